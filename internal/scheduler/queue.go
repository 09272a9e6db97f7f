package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/google/btree"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/fairshare"
	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// pendingGroup is a group of tasks to start.
type pendingGroup struct {
	job   *trackedJob
	group job.TaskGroup
	// latestStart is when the group must start for the job to finish in time,
	// going by the estimates.
	latestStart time.Duration
	// longRunning is set for tasks that run until their job is cancelled.
	longRunning bool
	// sequence is the job's position in the order in which jobs became known.
	sequence int64
	// need is what one task reserves, and tasks the number of tasks that waited when the
	// group was queued. gang is set if they start together.
	need  job.Resources
	tasks int
	gang  bool
	// tree is the one that holds the group.
	tree *groupTree
}

// slack returns how much longer the group can wait without making its job late.
func (pg pendingGroup) slack(now time.Duration) time.Duration { return pg.latestStart - now }

// step returns the step that the group's tasks belong to.
func (pg pendingGroup) step() worker.StepKey { return worker.StepKeyOf(pg.task(0)) }

// task returns the group's task with index k.
func (pg pendingGroup) task(k int) job.TaskID {
	return job.TaskID{Job: pg.job.Spec.ID, Occurrence: pg.group.Occurrence, Step: pg.group.Step, Index: k}
}

// less orders the groups of one priority by urgency, except that it does not tell late
// groups from others. Groups of one job keep their order.
func (pg *pendingGroup) less(other *pendingGroup) bool {
	return cmp.Or(
		compareBool(other.longRunning, pg.longRunning),
		cmp.Compare(pg.latestStart, other.latestStart),
		cmp.Compare(pg.sequence, other.sequence),
		cmp.Compare(pg.group.Occurrence, other.group.Occurrence),
		cmp.Compare(pg.group.Step, other.group.Step),
	) < 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Classes of waiting tasks within a priority, in the order in which they are
// placed.
const (
	classLongRunning = iota
	classOnTime
	classExcess
	classLate
)

// class puts long-running tasks first, since every moment without them counts, and jobs
// that can no longer finish in time last. Before those come the jobs that their customers
// have submitted beyond what they are entitled to.
func (pg pendingGroup) class(now time.Duration) int {
	switch {
	case pg.longRunning:
		return classLongRunning
	case pg.latestStart < now:
		return classLate
	case pg.job.excess:
		return classExcess
	default:
		return classOnTime
	}
}

// waitQueue holds the groups of tasks that wait. Only the groups of jobs that have
// changed are looked up and sorted again, so that the many jobs that wait unchanged in
// a full pool cost a plan nothing.
type waitQueue struct {
	// byPriority are the groups of each priority.
	byPriority map[int]*priorityQueue
	// priorities are the keys of byPriority in order.
	priorities []int
	// needs counts the groups by the processor time that one of their tasks reserves.
	needs *btree.BTreeG[needCount]
	// approvals counts the groups whose workers have to be approved.
	approvals int
	// byCustomer is set if customers take turns. Otherwise all groups are in the queue of
	// the customer "".
	byCustomer bool
	// turns and finished are those of the present plan, see turnOrder.
	turns    fairshare.Turns[classTurn]
	finished map[customer.ID]bool
	// accounts count the waiting tasks of each customer.
	accounts *customerAccounts
	// changed are the jobs whose groups may have changed, and unplanned those that have
	// changed since the last plan.
	changed, unplanned []*trackedJob
}

// needCount is the number of groups whose tasks reserve an amount of processor time, in
// thousandths of a core.
type needCount struct{ cpu, groups int }

// treeDegree is the degree of the queue's trees.
const treeDegree = 16

func newWaitQueue(a *customerAccounts) waitQueue {
	return waitQueue{
		accounts:   a,
		finished:   map[customer.ID]bool{},
		byPriority: map[int]*priorityQueue{},
		needs:      btree.NewG(treeDegree, func(a, b needCount) bool { return a.cpu < b.cpu }),
	}
}

// jobChanged records that the waiting groups of a job may have changed.
func (q *waitQueue) jobChanged(j *trackedJob) {
	if !j.requeue {
		j.requeue = true
		q.changed = append(q.changed, j)
	}
	if !j.unplanned {
		j.unplanned = true
		q.unplanned = append(q.unplanned, j)
	}
}

// remove drops a job that is not run.
func (q *waitQueue) remove(j *trackedJob) {
	isRemoved := func(other *trackedJob) bool { return other == j }
	q.changed = slices.DeleteFunc(q.changed, isRemoved)
	q.unplanned = slices.DeleteFunc(q.unplanned, isRemoved)
	q.dequeue(j)
}

// update applies the changes of jobs to the queue.
func (q *waitQueue) update() {
	for _, j := range q.changed {
		j.requeue = false
		q.dequeue(j)
		q.enqueue(j)
	}
	clear(q.changed)
	q.changed = q.changed[:0]
}

// planned records that a plan has considered every group.
func (q *waitQueue) planned() {
	for _, j := range q.unplanned {
		j.unplanned = false
	}
	clear(q.unplanned)
	q.unplanned = q.unplanned[:0]
}

// enqueue adds the groups of a job.
func (q *waitQueue) enqueue(j *trackedJob) {
	groups := j.pendingGroups()
	if q.byCustomer {
		j.queuedWork, j.lateAfter = j.workNotStarted(groups), j.latestStart()
	}
	for i := range groups {
		pg := &groups[i]
		j.queued = append(j.queued, pg)
		pg.tree = q.priority(j.Terms.Priority).of(q.queueKey(j)).tree(j)
		pg.tree.ReplaceOrInsert(pg)
		q.count(pg, 1)
	}
}

// dequeue removes the groups of a job.
func (q *waitQueue) dequeue(j *trackedJob) {
	for _, pg := range j.queued {
		pg.tree.Delete(pg)
		q.count(pg, -1)
	}
	j.queued = nil
}

// priority returns the groups of a priority.
func (q *waitQueue) priority(priority int) *priorityQueue {
	pq := q.byPriority[priority]
	if pq == nil {
		pq = &priorityQueue{}
		q.byPriority[priority] = pq
		at, _ := slices.BinarySearch(q.priorities, priority)
		q.priorities = slices.Insert(q.priorities, at, priority)
	}
	return pq
}

// count counts a group that is added, or one that is removed if n is -1.
func (q *waitQueue) count(pg *pendingGroup, n int) {
	q.accounts.of(pg.job.Terms.Customer).addWaiting(pg, n)
	if pg.job.Terms.Approval != nil {
		q.approvals += n
	}
	c, _ := q.needs.Get(needCount{cpu: pg.need.CPU})
	c.cpu = pg.need.CPU
	c.groups += n
	if c.groups == 0 {
		q.needs.Delete(c)
		return
	}
	q.needs.ReplaceOrInsert(c)
}

// leastNeed returns the least processor time that a task of any group reserves, in
// thousandths of a core.
func (q *waitQueue) leastNeed() int {
	least, _ := q.needs.Min()
	return least.cpu
}

// inOrder returns the groups by priority and customer, those of one customer by their
// classes. The queue must not be updated meanwhile.
func (q *waitQueue) inOrder(now time.Duration) iter.Seq[*pendingGroup] {
	q.update()
	bounds := newClassBounds(now)
	return func(yield func(*pendingGroup) bool) {
		for _, p := range q.priorities {
			for _, cq := range q.byPriority[p].customers {
				if !bounds.eachByClass(cq.usual, yield) || !bounds.eachByClass(cq.excess, yield) {
					return
				}
			}
		}
	}
}

// queue returns the groups that wait, the most urgent of each priority and customer first.
func (c *Core) queue(now time.Duration) iter.Seq[*pendingGroup] { return c.waiting.inOrder(now) }

// pendingGroups returns the groups of a job that wait.
func (j *trackedJob) pendingGroups() []pendingGroup {
	groups := j.WaitingGroups()
	if len(groups) == 0 {
		return nil
	}
	latestStart := j.latestStart()
	out := make([]pendingGroup, 0, len(groups))
	for _, g := range groups {
		st := j.Spec.Steps[g.Step]
		out = append(out, pendingGroup{
			job:         j,
			group:       g,
			latestStart: latestStart,
			longRunning: st.LongRunning,
			sequence:    j.sequence,
			need:        st.ReservedResources(),
			tasks:       len(g.Waiting),
			gang:        st.Gang,
		})
	}
	return out
}

// objective returns the time in which a job should be done.
func objective(s *job.Spec, t job.Terms) time.Duration {
	return t.Slack + time.Duration(t.StretchFactor*float64(criticalPath(s)))
}

// criticalPath returns the longest chain of estimated durations over all steps
// of a job.
func criticalPath(s *job.Spec) time.Duration {
	pathTo := make([]time.Duration, len(s.Steps))
	var longestPath time.Duration
	for i := range s.Steps {
		for _, a := range s.Steps[i].After {
			pathTo[i] = max(pathTo[i], pathTo[a])
		}
		pathTo[i] += s.Steps[i].Estimate
		longestPath = max(longestPath, pathTo[i])
	}
	return longestPath
}
