package bench

import (
	"math"
	"slices"
	"strconv"

	"greengagedeck/internal/dispatch"
)

// strategy is a way in which the daemons of a zone share the slots of the targets.
type strategy interface {
	// arrive is called when a caller's request reaches a daemon.
	arrive(req *simRequest)
}

// strategySpec is a named strategy with its constructor.
type strategySpec struct {
	name  string
	build func(*zone) strategy
}

// longShare is the share of the slots that long work may hold.
const longShare = 0.5

var (
	centralSpec    = strategySpec{"central queue (reference)", newCentral}
	staticSpec     = strategySpec{"static split", newStatic}
	twoChoicesSpec = strategySpec{"power of two choices", newChoices}
	leaseSpec      = strategySpec{"slot leases", newLeases}
	homeSpec       = strategySpec{"home queue, request handed over", newHome}
	lendingSpec    = strategySpec{"split, lend and pull", newSlotLending}
	// lendingFifthBudgetSpec has the control budget that one pool gets while
	// five pools are contended at the same time.
	lendingFifthBudgetSpec = strategySpec{"split, lend and pull, 0.8 KB/s", func(z *zone) strategy { return newSlotLendingWithBudget(z, controlBudget/5) }}
	// lendingMinBudgetSpec has the control budget of one pool out of 57.
	lendingMinBudgetSpec = strategySpec{"split, lend and pull, 0.07 KB/s", func(z *zone) strategy { return newSlotLendingWithBudget(z, controlBudget/57) }}
)

var strategies = []strategySpec{centralSpec, staticSpec, twoChoicesSpec, leaseSpec, homeSpec, lendingSpec, lendingFifthBudgetSpec, lendingMinBudgetSpec}

// centralQueue is a single queue that knows the state of all slots immediately and
// without sending messages. It is the reference for the other strategies.
type centralQueue struct {
	z *zone
	n *node
}

func newCentral(z *zone) strategy {
	n := newNode(z)
	n.queues = z.shape.daemons
	n.sched.SetTargets(z.targetList)
	return &centralQueue{z: z, n: n}
}

func (c *centralQueue) arrive(req *simRequest) {
	c.n.submit(req, func(o outcome) { c.z.recordAnswer(req, o) })
}

// staticSplit gives each daemon an equal part of every target's slots.
type staticSplit struct {
	z     *zone
	nodes []*node
}

func newStatic(z *zone) strategy {
	s := &staticSplit{z: z}
	for d := range z.shape.daemons {
		n := newNode(z)
		n.sched.SetTargets(splitTargets(z.targetList, d, z.shape.daemons))
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (s *staticSplit) arrive(req *simRequest) {
	s.nodes[req.daemon].submit(req, func(o outcome) { s.z.recordAnswer(req, o) })
}

// splitTargets returns the targets with a daemon's part of their slots, computed as
// the product does.
func splitTargets(list []dispatch.Target, daemon, daemons int) []dispatch.Target {
	var ids []string
	for i := range daemons {
		ids = append(ids, strconv.Itoa(i))
	}
	out := slices.Clone(list)
	for i := range out {
		out[i].Slots = dispatch.SplitSlots(out[i].Slots, out[i].Host, ids, strconv.Itoa(daemon))
	}
	return out
}

// homeQueue keeps the pool's queue at one daemon, the home. The other daemons hand
// their requests over to it.
type homeQueue struct {
	z    *zone
	home int
	n    *node
	// withoutHome is set from the crash of the home until it has a successor.
	withoutHome bool
}

func newHome(z *zone) strategy {
	n := newNode(z)
	n.queues = z.shape.daemons
	n.sched.SetTargets(z.targetList)
	return &homeQueue{z: z, n: n}
}

func (h *homeQueue) arrive(req *simRequest) {
	reply := func(o outcome) { h.z.recordAnswer(req, o) }
	if h.withoutHome {
		reply(outcome{rejection: &noHomeError})
		return
	}
	if req.daemon == h.home {
		h.n.submit(req, reply)
		return
	}
	n := h.n
	h.z.handOver(req.daemon, h.home, req, func(reply func(outcome)) { n.submit(req, reply) }, reply)
}

// twoChoices is the power of two choices: a daemon sends a request to the less
// loaded of two random targets. The load of a target is the number of the daemon's
// own requests in flight plus those that the other daemons last reported. While
// both targets seem full, the request waits.
type twoChoices struct {
	z        *zone
	own      [][]int   // requests in flight by daemon and target
	reported [][][]int // by receiving daemon, sending daemon and target
	queues   [][]*simRequest
}

// loadReportInterval is the interval at which daemons report their requests in
// flight.
const loadReportInterval = tickInterval / 2

func newChoices(z *zone) strategy {
	c := &twoChoices{z: z, queues: make([][]*simRequest, z.shape.daemons)}
	for range z.shape.daemons {
		c.own = append(c.own, make([]int, z.shape.hosts))
		var from [][]int
		for range z.shape.daemons {
			from = append(from, make([]int, z.shape.hosts))
		}
		c.reported = append(c.reported, from)
	}
	z.sim.Every(loadReportInterval, z.end, c.report)
	return c
}

func (c *twoChoices) report() {
	for from := range c.own {
		msg := append([]int(nil), c.own[from]...)
		for to := range c.own {
			if to == from {
				continue
			}
			c.z.sendControl(from, to, msg, func() {
				c.reported[to][from] = msg
				c.startWaiting(to)
			})
		}
	}
}

func (c *twoChoices) arrive(req *simRequest) {
	d := req.daemon
	if len(c.queues[d]) >= 2*queueLimit {
		c.z.recordAnswer(req, outcome{rejection: &queueFullError})
		return
	}
	c.queues[d] = append(c.queues[d], req)
	c.startWaiting(d)
}

func (c *twoChoices) load(d, host int) int {
	n := c.own[d][host]
	for from := range c.reported[d] {
		n += c.reported[d][from][host]
	}
	return n
}

func (c *twoChoices) choose(d int) int {
	best, least := -1, math.MaxInt
	for range 2 {
		h := c.z.sim.rng.IntN(c.z.shape.hosts)
		if l := c.load(d, h); l < least && l < c.z.shape.slots {
			best, least = h, l
		}
	}
	return best
}

// startWaiting sends the waiting requests of daemon d to targets until both random
// targets seem full. It rejects requests that cannot meet their deadline.
func (c *twoChoices) startWaiting(d int) {
	for len(c.queues[d]) > 0 {
		req := c.queues[d][0]
		if c.z.sim.now+shortMean > req.arrive+req.deadline {
			c.queues[d] = c.queues[d][1:]
			c.z.recordAnswer(req, outcome{rejection: &deadlineError})
			continue
		}
		h := c.choose(d)
		if h < 0 {
			return
		}
		c.queues[d] = c.queues[d][1:]
		c.own[d][h]++
		c.z.run(c.z.targetList[h].Host, req, func() {
			c.own[d][h]--
			c.z.recordAnswer(req, outcome{})
			c.startWaiting(d)
		})
	}
}
