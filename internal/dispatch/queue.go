package dispatch

import (
	"container/heap"
	"time"
)

// classQueue holds the waiting jobs of one class. It is fair between teams by
// weight, then between the entries of a team, and orders the jobs of an entry
// by deadline.
//
// Fairness is start-time fair queueing: a team's tag grows by the expected
// work it starts divided by its weight, and the lowest tag goes first. A team
// that was idle takes up the tag of the last start, so it neither hoards a
// claim nor pays for the time it was away.
type classQueue struct {
	teams  map[string]*team
	flows  map[string]*flow
	active []*flow // flows with at least one job
	tag    float64 // tag of the last team served
	weight float64 // sum of the weights of teams with a job
	work   time.Duration
	jobs   int
	own    int // jobs that are not foreign
}

// team is one team's standing in a classQueue.
type team struct {
	tag    float64
	weight float64
	work   time.Duration // expected work of its waiting jobs
	jobs   int
	served float64 // entry tag of the last start
}

// flow is the waiting jobs of one entry.
type flow struct {
	entry  string
	team   *team
	tag    float64
	jobs   jobHeap
	active int // position in classQueue.active
}

func newClassQueue() *classQueue {
	return &classQueue{teams: map[string]*team{}, flows: map[string]*flow{}}
}

// push adds a job whose cost is set.
func (q *classQueue) push(j *Job) {
	f := q.flowOf(j)
	t := f.team
	if t.jobs == 0 {
		t.tag = max(t.tag, q.tag)
		t.weight = weightOf(j.Limits.Weight)
		q.weight += t.weight
	}
	if f.jobs.Len() == 0 {
		f.tag = max(f.tag, t.served)
		f.active = len(q.active)
		q.active = append(q.active, f)
	}
	j.flow = f
	j.state = jobQueued
	heap.Push(&f.jobs, j)
	t.jobs++
	t.work += j.cost
	q.jobs++
	if !j.Foreign {
		q.own++
	}
	q.work += j.cost
}

// remove takes a waiting job out, whether it starts or is given up.
func (q *classQueue) remove(j *Job) {
	f := j.flow
	t := f.team
	heap.Remove(&f.jobs, j.index)
	t.jobs--
	t.work -= j.cost
	q.jobs--
	if !j.Foreign {
		q.own--
	}
	q.work -= j.cost
	if f.jobs.Len() == 0 {
		q.deactivate(f)
	}
	if t.jobs == 0 {
		q.weight -= t.weight
	}
	if q.jobs == 0 {
		q.weight = 0
	}
}

// charge accounts the start of j to its team and entry.
func (q *classQueue) charge(j *Job) {
	f := j.flow
	t := f.team
	q.tag = t.tag
	t.served = f.tag
	t.tag += j.cost.Seconds() / t.weight
	f.tag += j.cost.Seconds()
}

// first returns the job to start next among those whose flow may start one.
func (q *classQueue) first(may func(*Job) bool) *Job {
	var best *flow
	for _, f := range q.active {
		if best != nil && !f.before(best) {
			continue
		}
		if may(f.jobs.jobs[0]) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.jobs.jobs[0]
}

func (f *flow) before(g *flow) bool {
	if f.team != g.team {
		return f.team.tag < g.team.tag
	}
	return f.tag < g.tag
}

func (q *classQueue) flowOf(j *Job) *flow {
	if f, ok := q.flows[j.Entry]; ok {
		return f
	}
	t, ok := q.teams[j.Team]
	if !ok {
		t = &team{}
		q.teams[j.Team] = t
	}
	f := &flow{entry: j.Entry, team: t}
	q.flows[j.Entry] = f
	return f
}

// deactivate swaps f out of active in constant time.
func (q *classQueue) deactivate(f *flow) {
	last := len(q.active) - 1
	moved := q.active[last]
	q.active[f.active] = moved
	moved.active = f.active
	q.active[last] = nil
	q.active = q.active[:last]
}

// waiting returns how many jobs of an entry wait.
func (q *classQueue) waiting(entry string) int {
	if f, ok := q.flows[entry]; ok {
		return f.jobs.Len()
	}
	return 0
}

// backlog returns the expected work that the scheduler would start before a
// new job of the team, given how fairness shares the slots: all that waits, or
// the team's own divided by its share, whichever is less.
func (q *classQueue) backlog(name string, weight float64) time.Duration {
	weight = weightOf(weight)
	t, ok := q.teams[name]
	if !ok || t.jobs == 0 {
		return min(q.work, time.Duration(float64(q.meanCost())*(q.weight+weight)/weight))
	}
	return min(q.work, time.Duration(float64(t.work)*q.weight/t.weight))
}

func (q *classQueue) meanCost() time.Duration {
	if q.jobs == 0 {
		return 0
	}
	return q.work / time.Duration(q.jobs)
}

func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}
