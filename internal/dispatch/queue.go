package dispatch

import (
	"container/heap"
	"time"
)

// classQueue holds the waiting jobs of one class. It is fair between teams by
// weight, then between the entries of a team, and orders the jobs of an entry
// by deadline.
//
// Fairness is start-time fair queueing: a team's start tag grows by the
// expected run time of each job it starts, divided by its weight, and the team
// with the lowest tag goes first. A team that was idle continues from the tag
// of the last start, so it neither gains credit nor is charged for the idle
// time.
type classQueue struct {
	teams        map[string]*teamState
	flows        map[string]*flow
	activeFlows  []*flow // flows with at least one job
	virtualTime  float64 // start tag of the last team served
	activeWeight float64 // sum of the weights of teams with a job
	queuedWork   time.Duration
	jobs         int
	transferable int // jobs that may be handed over
}

// teamState is the fair-queueing state of one team in a classQueue.
type teamState struct {
	startTag     float64
	weight       float64
	queuedWork   time.Duration // expected run time of its waiting jobs
	jobs         int
	lastEntryTag float64 // start tag of its last entry served
}

// flow holds the waiting jobs of one entry.
type flow struct {
	entry       string
	team        *teamState
	startTag    float64
	jobs        jobHeap
	activeIndex int // position in classQueue.activeFlows
}

func newClassQueue() *classQueue {
	return &classQueue{teams: map[string]*teamState{}, flows: map[string]*flow{}}
}

// push adds a job whose cost is set.
func (q *classQueue) push(j *Job) {
	f := q.flowFor(j)
	t := f.team
	if t.jobs == 0 {
		t.startTag = max(t.startTag, q.virtualTime)
		t.weight = effectiveWeight(j.Limits.Weight)
		q.activeWeight += t.weight
	}
	if f.jobs.Len() == 0 {
		f.startTag = max(f.startTag, t.lastEntryTag)
		f.activeIndex = len(q.activeFlows)
		q.activeFlows = append(q.activeFlows, f)
	}
	j.flow = f
	j.state = jobQueued
	heap.Push(&f.jobs, j)
	t.jobs++
	t.queuedWork += j.cost
	q.jobs++
	if !j.NoHandover {
		q.transferable++
	}
	q.queuedWork += j.cost
}

// remove takes out a waiting job that starts or is discarded.
func (q *classQueue) remove(j *Job) {
	f := j.flow
	t := f.team
	heap.Remove(&f.jobs, j.heapIndex)
	t.jobs--
	t.queuedWork -= j.cost
	q.jobs--
	if !j.NoHandover {
		q.transferable--
	}
	q.queuedWork -= j.cost
	if f.jobs.Len() == 0 {
		q.deactivate(f)
	}
	if t.jobs == 0 {
		q.activeWeight -= t.weight
	}
	if q.jobs == 0 {
		q.activeWeight = 0
	}
}

// charge advances the tags of the queue, the team and the entry when j starts.
func (q *classQueue) charge(j *Job) {
	f := j.flow
	t := f.team
	q.virtualTime = t.startTag
	t.lastEntryTag = f.startTag
	t.startTag += j.cost.Seconds() / t.weight
	f.startTag += j.cost.Seconds()
}

// peek returns the job to start next. It considers the first job of each entry,
// if eligible accepts it.
func (q *classQueue) peek(eligible func(*Job) bool) *Job {
	var best *flow
	for _, f := range q.activeFlows {
		if best != nil && !f.precedes(best) {
			continue
		}
		if eligible(f.jobs.jobs[0]) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.jobs.jobs[0]
}

func (f *flow) precedes(g *flow) bool {
	if f.team != g.team {
		return f.team.startTag < g.team.startTag
	}
	return f.startTag < g.startTag
}

func (q *classQueue) flowFor(j *Job) *flow {
	if f, ok := q.flows[j.Entry]; ok {
		return f
	}
	t, ok := q.teams[j.Team]
	if !ok {
		t = &teamState{}
		q.teams[j.Team] = t
	}
	f := &flow{entry: j.Entry, team: t}
	q.flows[j.Entry] = f
	return f
}

// deactivate removes f from activeFlows in constant time; the last flow takes
// its place.
func (q *classQueue) deactivate(f *flow) {
	last := len(q.activeFlows) - 1
	moved := q.activeFlows[last]
	q.activeFlows[f.activeIndex] = moved
	moved.activeIndex = f.activeIndex
	q.activeFlows[last] = nil
	q.activeFlows = q.activeFlows[:last]
}

// waitingOf returns how many jobs of an entry wait.
func (q *classQueue) waitingOf(entry string) int {
	if f, ok := q.flows[entry]; ok {
		return f.jobs.Len()
	}
	return 0
}

// backlogAhead returns the expected run time of the jobs that would start
// before a new job of the team under fair queueing: that of all waiting jobs,
// or that of the team's own jobs divided by its share, whichever is less.
func (q *classQueue) backlogAhead(name string, weight float64) time.Duration {
	weight = effectiveWeight(weight)
	t, ok := q.teams[name]
	if !ok || t.jobs == 0 {
		return min(q.queuedWork, time.Duration(float64(q.meanCost())*(q.activeWeight+weight)/weight))
	}
	return min(q.queuedWork, time.Duration(float64(t.queuedWork)*q.activeWeight/t.weight))
}

func (q *classQueue) meanCost() time.Duration {
	if q.jobs == 0 {
		return 0
	}
	return q.queuedWork / time.Duration(q.jobs)
}

func effectiveWeight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}
