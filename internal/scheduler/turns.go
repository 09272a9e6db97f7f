package scheduler

import (
	"iter"
	"math"
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/fairshare"
	"greengagedeck/internal/placement"
)

// idleTurnAfter is for how long a job of a customer that runs nothing in the pool waits as
// late or excess until it gets its customer's turn among the jobs that are on time. Without
// it, the jobs of others could keep it waiting for ever.
const idleTurnAfter = 5 * time.Second

// turnOrder is the order in which a plan places the waiting groups: by priority, class,
// customer and urgency. Customers that use less than their part of the pool by weight come
// first, in the order of urgency of their next group; then those with the lowest dominant
// share for their weight. Both count what the plan has placed so far.
type turnOrder struct {
	core *Core
	x    *placement.Index
	now  time.Duration
	// bounds are those between the classes.
	bounds classBounds
	// finished are the customers of which this plan can place nothing more.
	finished map[customer.ID]bool
	turns    *fairshare.Turns[classTurn]
	// fairShare is the dominant share for each unit of weight that each customer with runs or
	// waiting tasks has if they all use their part of the pool.
	fairShare float64
}

// classTurn is what a customer has waiting of one class.
type classTurn struct {
	account *customerAccount
	weight  float64
	// next is the customer's next group, which is in the first of the spans.
	next  *pendingGroup
	spans [2]groupSpan
	// overdue is set if next is a group of another class, see idleTurnAfter, and the only
	// one.
	overdue bool
}

func (c *Core) newTurnOrder(x *placement.Index, now time.Duration) *turnOrder {
	q := &c.waiting
	clear(q.finished)
	return &turnOrder{core: c, x: x, now: now, bounds: newClassBounds(now), finished: q.finished, turns: &q.turns, fairShare: c.accounts.fairShare()}
}

// finish records that this plan can place nothing more of a customer. Where customers do
// not take turns, it has no effect: the groups of several may be in one queue.
func (o *turnOrder) finish(id customer.ID) {
	if o.core.waiting.byCustomer {
		o.finished[id] = true
	}
}

// groups returns the groups in order, each with how many of its tasks may be placed before
// another customer's turn. A group with tasks left comes again at its customer's next turn.
// The queue must not be updated meanwhile.
func (o *turnOrder) groups() iter.Seq2[*pendingGroup, int] {
	q := &o.core.waiting
	q.update()
	return func(yield func(*pendingGroup, int) bool) {
		for _, p := range q.priorities {
			if !o.eachOfPriority(q.byPriority[p], yield) {
				return
			}
		}
	}
}

// eachOfPriority passes the groups of a priority to yield until that returns false. It
// reports whether it did not.
func (o *turnOrder) eachOfPriority(pq *priorityQueue, yield func(*pendingGroup, int) bool) bool {
	if only := pq.only(); only != nil {
		return o.eachOfOnly(only, yield)
	}
	for class := classLongRunning; class <= classLate; class++ {
		if !o.eachOfClass(pq, class, yield) {
			return false
		}
	}
	return true
}

// eachOfOnly does what eachOfPriority does where only one customer has groups.
func (o *turnOrder) eachOfOnly(cq *customerQueue, yield func(*pendingGroup, int) bool) bool {
	goOn := true
	o.bounds.eachByClass(cq.usual, func(pg *pendingGroup) bool {
		if o.finished[pg.job.Terms.Customer] {
			return false
		}
		if len(pg.group.Waiting) > 0 {
			goOn = yield(pg, math.MaxInt)
		}
		return goOn
	})
	return goOn
}

// eachOfClass passes the groups of one class to yield until that returns false. It reports
// whether it did not.
func (o *turnOrder) eachOfClass(pq *priorityQueue, class int, yield func(*pendingGroup, int) bool) bool {
	o.addTurns(pq, class)
	for o.turns.Len() > 0 {
		t := o.turns.First()
		atMost := o.tasksInTurn(t)
		wanted := min(atMost, len(t.next.group.Waiting))
		left := len(t.next.group.Waiting) - wanted
		if !yield(t.next, atMost) {
			return false
		}
		if len(t.next.group.Waiting) != left || left == 0 || t.overdue {
			// All of the group's tasks are placed, or no more can be.
			t.advance()
		}
		if t.next == nil || o.finished[t.account.id] {
			o.turns.Remove()
			continue
		}
		o.turns.Update(o.key(t), t)
	}
	return true
}

// addTurns adds the customers with groups of a class.
func (o *turnOrder) addTurns(pq *priorityQueue, class int) {
	o.turns.Reset()
	a := &o.core.accounts
	for _, cq := range pq.customers {
		if o.finished[cq.customer] {
			continue
		}
		t := classTurn{account: a.of(cq.customer), weight: a.weights.Of(cq.customer), spans: cq.spans(class, o.bounds)}
		t.first()
		if t.next == nil && class == classOnTime && t.account.runs == 0 {
			t = classTurn{account: t.account, weight: t.weight, next: o.overdue(cq), overdue: true}
		}
		if t.next != nil {
			o.turns.Add(o.key(t), t)
		}
	}
	o.turns.Order()
}

// overdue returns the first group of a customer that has waited for idleTurnAfter as late
// or excess, or nil.
func (o *turnOrder) overdue(cq *customerQueue) *pendingGroup {
	for _, class := range [...]int{classLate, classExcess} {
		t := classTurn{spans: cq.spans(class, o.bounds)}
		t.first()
		if t.next != nil && o.now-t.next.job.arrived >= idleTurnAfter {
			return t.next
		}
	}
	return nil
}

// key returns the key by which a customer's turn comes.
func (o *turnOrder) key(t classTurn) fairshare.Key {
	share := fairshare.Share(t.account.used, o.core.index.capacity) / t.weight
	return fairshare.Key{Excess: max(0, share-o.fairShare), LatestStart: t.next.latestStart, Sequence: t.next.sequence}
}

// tasksInTurn returns how many tasks a customer places in its turn: until it uses more than its
// part of the pool, and exceeds that by more than the next customer. While much of the pool is free it places more, so that the
// workers need not be searched for every single task; the others get as much after it.
func (o *turnOrder) tasksInTurn(t classTurn) int {
	runnerUp, ok := o.turns.RunnerUp()
	if !ok {
		return math.MaxInt
	}
	need := t.next.need
	n := fairshare.TasksUntil((runnerUp.Excess+o.fairShare)*t.weight, t.account.used, need, o.core.index.capacity)
	if need.CPU > 0 {
		n = max(n, o.x.FreeCPU()/(2*o.turns.Len()*need.CPU))
	}
	return n
}

// leastShares are, by priority, by how much the customers that have tasks waiting exceed their
// parts of the pool at least, at a moment.
type leastShares struct {
	at         time.Duration
	byPriority map[int]float64
}

// othersFirst reports whether customers that exceed their parts of the pool by less have tasks
// waiting at a job's priority.
func (c *Core) othersFirst(j *trackedJob, now time.Duration) bool {
	if !c.waiting.byCustomer {
		return false
	}
	l := &c.leastShares
	if l.byPriority == nil || l.at != now {
		*l = leastShares{now, map[int]float64{}}
	}
	least, known := l.byPriority[j.Terms.Priority]
	if !known {
		least = c.leastShare(j.Terms.Priority)
		l.byPriority[j.Terms.Priority] = least
	}
	return least < c.excessShare(c.accountOf(j))
}

// leastShare returns by how much a customer that has tasks waiting at a priority exceeds its
// part of the pool at least.
func (c *Core) leastShare(priority int) float64 {
	least := math.Inf(1)
	for _, cq := range c.waiting.priority(priority).customers {
		if cq.usual.Len()+cq.excess.Len() > 0 {
			least = min(least, c.excessShare(c.accounts.of(cq.customer)))
		}
	}
	return least
}

// excessShare returns by how much a customer's dominant share of the pool, divided by its
// weight, exceeds its part.
func (c *Core) excessShare(acc *customerAccount) float64 {
	return max(0, fairshare.Share(acc.used, c.index.capacity)/c.accounts.weights.Of(acc.id)-c.accounts.fairShare())
}

// first goes to the first group that has tasks left, if there is one.
func (t *classTurn) first() {
	for t.spans[0].tree != nil {
		t.next = t.spans[0].first()
		t.skipPlaced()
		if t.next != nil {
			return
		}
		t.spans = [2]groupSpan{t.spans[1]}
	}
}

// advance goes to the next group that has tasks left, if there is one.
func (t *classTurn) advance() {
	if t.overdue {
		t.next = nil
		return
	}
	t.next = t.spans[0].after(t.next)
	t.skipPlaced()
	if t.next == nil {
		t.spans = [2]groupSpan{t.spans[1]}
		t.first()
	}
}

// skipPlaced skips groups whose tasks this plan has placed already.
func (t *classTurn) skipPlaced() {
	for t.next != nil && len(t.next.group.Waiting) == 0 {
		t.next = t.spans[0].after(t.next)
	}
}
