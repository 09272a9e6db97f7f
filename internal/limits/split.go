package limits

import (
	"cmp"
	"slices"
	"time"
)

const (
	// evenPart is one in how many parts of what no pool needs is spread evenly over all pools,
	// while some need quota. The rest is spread in proportion to what they need. Load that
	// turns to a pool so finds room there before the first exchange.
	evenPart = 2
	// stuckAfter is how long a pool may want quota without starting a task until it is served
	// before others. Its part may be smaller than its next task, whose size is not known here.
	stuckAfter = time.Second
	// stuckTurn is how long it is served before others if it starts nothing: its tasks may
	// wait for something else than quota.
	stuckTurn = time.Second
)

// progress is how many tasks of a customer a pool has started, and when it last started one
// or wanted none.
type progress struct {
	started int64
	at      time.Duration
}

// observe records how many tasks the pool has started.
func (s *share) observe(started int64, now time.Duration) {
	if s.wanted == (amounts{}) || started != s.progress.started || now-s.progress.at >= stuckAfter+stuckTurn {
		s.progress = progress{started, now}
	}
}

// stuck reports whether the pool is to be served before others, as of its last report: one that
// has stopped calling would take the limit along.
func (s *share) stuck() bool {
	return s.wanted != amounts{} && s.pool.exchangedAt-s.progress.at >= stuckAfter
}

// starved reports whether the pool wants more than its grant allows.
func (s *share) starved() bool { return s.wanted != amounts{} && !s.need().fitsIn(s.grant) }

// target is a pool with its part of a customer's limit.
type target struct {
	*share
	part amounts
}

// targets splits a customer's limit over its pools. Pools that have stopped calling keep
// their bounds, and are left out.
func (a *Allocator) targets(c *customerState, now time.Duration) []target {
	limit := c.limit
	out := make([]target, 0, len(c.shares))
	for _, s := range c.shares {
		if now-s.pool.exchangedAt > responsivePeriod || s.pool.exchangedAt == 0 {
			limit = limit.over(s.held())
			continue
		}
		out = append(out, target{share: s})
	}
	left := serveStuck(out, limit)
	for r := range left {
		splitResource(out, r, left[r], max(len(out), len(a.limits.Pools)))
	}
	return out
}

// serveStuck gives the pools that are to be served before others what they need, those first
// that have waited longest. It returns what is left.
func serveStuck(list []target, limit amounts) (left amounts) {
	left = limit
	var stuck []*target
	for i := range list {
		if list[i].stuck() {
			stuck = append(stuck, &list[i])
		}
	}
	slices.SortFunc(stuck, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.progress.at, b.progress.at), cmp.Compare(a.pool.name, b.pool.name))
	})
	for _, t := range stuck {
		t.part = t.need().atMost(left)
		left = left.minus(t.part)
	}
	return left
}

// splitResource splits what is left of one resource over the needs of the pools, and spreads
// what they do not need: a part evenly over all pools, of which there may be more than in the
// list, and the rest over those in the list that need some. What nobody gets stays free.
func splitResource(list []target, r, left, pools int) {
	needs := make([]int, len(list))
	total := 0
	for i, t := range list {
		needs[i] = max(0, t.need()[r]-t.part[r])
		total += needs[i]
	}
	if total > left {
		for i, n := range fairParts(left, needs) {
			list[i].part[r] += n
		}
		return
	}
	rest := left - total
	even := rest / max(1, pools)
	if total > 0 {
		even /= evenPart
	}
	byNeed := rest - even*pools
	for i := range list {
		list[i].part[r] += needs[i] + even
		if total > 0 {
			list[i].part[r] += int(float64(byNeed) * float64(needs[i]) / float64(total))
		}
	}
}

// fairParts splits an amount over needs that exceed it. One half is split evenly, so that small
// needs are met, and the other in proportion to what the needs exceed that by.
func fairParts(amount int, needs []int) []int {
	total := 0
	for _, n := range needs {
		total += n
	}
	parts := evenParts(amount/2, needs)
	given := 0
	for _, n := range parts {
		given += n
	}
	rest, unmet := float64(amount-given), float64(total-given)
	for i := range parts {
		parts[i] += int(rest * float64(needs[i]-parts[i]) / unmet)
	}
	return parts
}

// evenParts splits an amount evenly over needs that exceed it. What the small ones leave goes
// to the others.
func evenParts(amount int, needs []int) []int {
	order := make([]int, len(needs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(needs[a], needs[b]) })
	parts := make([]int, len(needs))
	for n, i := range order {
		parts[i] = min(needs[i], amount/(len(order)-n))
		amount -= parts[i]
	}
	return parts
}
