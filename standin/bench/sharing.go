package bench

import (
	"math"
	"slices"
	"strconv"

	"greengagedeck/internal/dispatch"
)

// sharing is a way for the daemons of a zone to share the slots of targets.
type sharing interface {
	// arrive is called when a caller's request reaches a daemon.
	arrive(w *work)
}

// method names a sharing and makes it.
type method struct {
	name string
	make func(*zone) sharing
}

// longShare is the part of the slots that long work may hold.
const longShare = 0.5

var (
	centralMethod = method{"central queue (reference)", newCentral}
	staticMethod  = method{"static split", newStatic}
	choicesMethod = method{"power of two choices", newChoices}
	leaseMethod   = method{"slot leases", newLeases}
	homeMethod    = method{"home queue, request handed over", newHome}
	lendMethod    = method{"split, lend and pull", newLend}
	// lendFifthMethod has the control bytes that are left to one pool when
	// five are contended at once.
	lendFifthMethod = method{"split, lend and pull, 0.8 KB/s", func(z *zone) sharing { return newLendWithin(z, controlBudget/5) }}
	// lendLeastMethod has what is left to one pool of 57.
	lendLeastMethod = method{"split, lend and pull, 0.07 KB/s", func(z *zone) sharing { return newLendWithin(z, controlBudget/57) }}
)

var methods = []method{centralMethod, staticMethod, choicesMethod, leaseMethod, homeMethod, lendMethod, lendFifthMethod, lendLeastMethod}

// central is one queue that knows everything and costs nothing.
type central struct {
	z *zone
	n *node
}

func newCentral(z *zone) sharing {
	n := newNode(z)
	n.queues = z.shape.daemons
	n.sched.SetTargets(z.list)
	return &central{z: z, n: n}
}

func (c *central) arrive(w *work) {
	c.n.submit(w, func(o outcome) { c.z.answer(w, o) })
}

// static gives each daemon an even part of every target's slots.
type static struct {
	z     *zone
	nodes []*node
}

func newStatic(z *zone) sharing {
	s := &static{z: z}
	for d := range z.shape.daemons {
		n := newNode(z)
		n.sched.SetTargets(splitTargets(z.list, d, z.shape.daemons))
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (s *static) arrive(w *work) {
	s.nodes[w.daemon].submit(w, func(o outcome) { s.z.answer(w, o) })
}

// splitTargets returns a daemon's part of each target, as the product splits
// them.
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

// home lets one daemon hold the pool's queue; the others hand requests to it.
type home struct {
	z  *zone
	at int
	n  *node
	// orphaned is set while the home is dead and has no successor.
	orphaned bool
}

func newHome(z *zone) sharing {
	n := newNode(z)
	n.queues = z.shape.daemons
	n.sched.SetTargets(z.list)
	return &home{z: z, n: n}
}

func (h *home) arrive(w *work) {
	reply := func(o outcome) { h.z.answer(w, o) }
	if h.orphaned {
		reply(outcome{refused: &noHome})
		return
	}
	if w.daemon == h.at {
		h.n.submit(w, reply)
		return
	}
	n := h.n
	h.z.handOver(w.daemon, h.at, w, func(reply func(outcome)) { n.submit(w, reply) }, reply)
}

// choices is the power of two choices: a daemon sends a request to the less
// loaded of two random targets, by its own requests in flight and those that
// the other daemons last reported, and holds it back while both seem full.
type choices struct {
	z        *zone
	own      [][]int   // requests in flight by daemon and target
	reported [][][]int // by receiving daemon, sending daemon and target
	queues   [][]*work
}

// loadInterval is how often daemons report their requests in flight.
const loadInterval = tickInterval / 2

func newChoices(z *zone) sharing {
	c := &choices{z: z, queues: make([][]*work, z.shape.daemons)}
	for range z.shape.daemons {
		c.own = append(c.own, make([]int, z.shape.hosts))
		var from [][]int
		for range z.shape.daemons {
			from = append(from, make([]int, z.shape.hosts))
		}
		c.reported = append(c.reported, from)
	}
	z.sim.Every(loadInterval, z.end, c.report)
	return c
}

func (c *choices) report() {
	for from := range c.own {
		msg := append([]int(nil), c.own[from]...)
		for to := range c.own {
			if to == from {
				continue
			}
			c.z.send(from, to, msg, func() {
				c.reported[to][from] = msg
				c.pump(to)
			})
		}
	}
}

func (c *choices) arrive(w *work) {
	d := w.daemon
	if len(c.queues[d]) >= 2*queueLimit {
		c.z.answer(w, outcome{refused: &queueFull})
		return
	}
	c.queues[d] = append(c.queues[d], w)
	c.pump(d)
}

func (c *choices) load(d, host int) int {
	n := c.own[d][host]
	for from := range c.reported[d] {
		n += c.reported[d][from][host]
	}
	return n
}

func (c *choices) choose(d int) int {
	best, least := -1, math.MaxInt
	for range 2 {
		h := c.z.sim.rng.IntN(c.z.shape.hosts)
		if l := c.load(d, h); l < least && l < c.z.shape.slots {
			best, least = h, l
		}
	}
	return best
}

func (c *choices) pump(d int) {
	for len(c.queues[d]) > 0 {
		w := c.queues[d][0]
		if c.z.sim.now+shortMean > w.arrive+w.deadline {
			c.queues[d] = c.queues[d][1:]
			c.z.answer(w, outcome{refused: &tooLate})
			continue
		}
		h := c.choose(d)
		if h < 0 {
			return
		}
		c.queues[d] = c.queues[d][1:]
		c.own[d][h]++
		c.z.run(c.z.list[h].Host, w, func() {
			c.own[d][h]--
			c.z.answer(w, outcome{})
			c.pump(d)
		})
	}
}
