package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/google/btree"

	"greengagedeck/internal/customer"
)

// groupTree holds waiting groups in the order of pendingGroup.less.
type groupTree = btree.BTreeG[*pendingGroup]

// priorityQueue holds the groups of one priority by customer, in the order of their IDs.
type priorityQueue struct{ customers []*customerQueue }

// customerQueue holds the groups of one customer and priority.
type customerQueue struct {
	customer customer.ID
	// usual are the groups of jobs that are not excess, and excess the others.
	usual, excess *groupTree
}

func newGroupTree() *groupTree { return btree.NewG(treeDegree, (*pendingGroup).less) }

// of returns the queue of a customer, and creates it if there is none.
func (pq *priorityQueue) of(id customer.ID) *customerQueue {
	at, found := slices.BinarySearchFunc(pq.customers, id, func(cq *customerQueue, id customer.ID) int { return cmp.Compare(cq.customer, id) })
	if !found {
		pq.customers = slices.Insert(pq.customers, at, &customerQueue{customer: id, usual: newGroupTree(), excess: newGroupTree()})
	}
	return pq.customers[at]
}

// only returns the queue of the only customer with groups, or nil if there are several or
// some groups are of excess jobs.
func (pq *priorityQueue) only() *customerQueue {
	var only *customerQueue
	for _, cq := range pq.customers {
		switch {
		case cq.excess.Len() > 0:
			return nil
		case cq.usual.Len() == 0:
		case only != nil:
			return nil
		default:
			only = cq
		}
	}
	return only
}

// dropEmpty drops the queues without groups.
func (pq *priorityQueue) dropEmpty() {
	pq.customers = slices.DeleteFunc(pq.customers, func(cq *customerQueue) bool { return cq.usual.Len() == 0 && cq.excess.Len() == 0 })
}

// tree returns the tree that holds the groups of a job.
func (cq *customerQueue) tree(j *trackedJob) *groupTree {
	if j.excess {
		return cq.excess
	}
	return cq.usual
}

// classBounds are the bounds between the classes of a tree: groups of long-running tasks
// are below the first, and late ones below the second.
type classBounds struct{ firstShort, firstOnTime *pendingGroup }

func newClassBounds(now time.Duration) classBounds {
	return classBounds{
		firstShort:  &pendingGroup{latestStart: math.MinInt64, sequence: math.MinInt64},
		firstOnTime: &pendingGroup{latestStart: now, sequence: math.MinInt64},
	}
}

// eachByClass passes the groups of a tree to yield, by their classes, until that returns
// false. It reports whether it passed all.
func (b classBounds) eachByClass(t *groupTree, yield func(*pendingGroup) bool) bool {
	goOn := true
	pass := func(pg *pendingGroup) bool {
		goOn = yield(pg)
		return goOn
	}
	t.AscendLessThan(b.firstShort, pass)
	if goOn {
		t.AscendGreaterOrEqual(b.firstOnTime, pass)
	}
	if goOn {
		t.AscendRange(b.firstShort, b.firstOnTime, pass)
	}
	return goOn
}

// groupSpan is a part of a tree: the groups from one bound, or the first, up to another,
// or the last.
type groupSpan struct {
	tree      *groupTree
	from, end *pendingGroup
}

// spans returns the groups of a class. Late groups of excess jobs come after the others of
// their customer.
func (cq *customerQueue) spans(class int, b classBounds) [2]groupSpan {
	switch class {
	case classLongRunning:
		return [2]groupSpan{{cq.usual, nil, b.firstShort}}
	case classOnTime:
		return [2]groupSpan{{cq.usual, b.firstOnTime, nil}}
	case classExcess:
		return [2]groupSpan{{cq.excess, b.firstOnTime, nil}}
	default:
		return [2]groupSpan{{cq.usual, b.firstShort, b.firstOnTime}, {cq.excess, b.firstShort, b.firstOnTime}}
	}
}

// first returns the first group of the span, or nil.
func (s groupSpan) first() *pendingGroup {
	var out *pendingGroup
	take := func(pg *pendingGroup) bool {
		out = pg
		return false
	}
	switch {
	case s.tree == nil || s.tree.Len() == 0:
	case s.from == nil:
		s.tree.Ascend(take)
	default:
		s.tree.AscendGreaterOrEqual(s.from, take)
	}
	return s.below(out)
}

// after returns the group of the span that follows one of it, or nil.
func (s groupSpan) after(pg *pendingGroup) *pendingGroup {
	var out *pendingGroup
	s.tree.AscendGreaterOrEqual(pg, func(g *pendingGroup) bool {
		if g == pg {
			return true
		}
		out = g
		return false
	})
	return s.below(out)
}

// below returns a group unless it is beyond the span.
func (s groupSpan) below(pg *pendingGroup) *pendingGroup {
	if pg == nil || s.end != nil && !pg.less(s.end) {
		return nil
	}
	return pg
}

// leastCPU returns the least processor time that one of the customer's waiting tasks
// reserves, or 0 if it has more than maxKinds kinds of them.
func (acc *customerAccount) leastCPU() int {
	if len(acc.kinds) == 0 || len(acc.kinds) > maxKinds {
		return 0
	}
	least := math.MaxInt
	for k := range acc.kinds {
		least = min(least, k.need.CPU)
	}
	return least
}

// queueKey returns the customer in whose queue the groups of a job are.
func (q *waitQueue) queueKey(j *trackedJob) customer.ID {
	if q.byCustomer {
		return j.Terms.Customer
	}
	return ""
}

// setByCustomer has customers take turns, or all groups wait in one queue. open are the
// jobs that may have groups.
func (q *waitQueue) setByCustomer(byCustomer bool, open func(func(*trackedJob) bool)) {
	if q.byCustomer == byCustomer {
		return
	}
	q.update()
	for j := range open {
		q.dequeue(j)
	}
	q.byPriority, q.priorities = map[int]*priorityQueue{}, nil
	q.byCustomer = byCustomer
	for j := range open {
		q.enqueue(j)
	}
}

// dropEmpty drops the queues of customers without groups.
func (q *waitQueue) dropEmpty() {
	for _, pq := range q.byPriority {
		pq.dropEmpty()
	}
}
