package bench

import (
	"time"

	"greengagedeck/internal/dispatch"
)

// node is the scheduler of one daemon for one pool in a zone.
type node struct {
	z     *zone
	sched *dispatch.Scheduler
	// onSlotFreed, if set, is called when a job has released its slot, before a
	// waiting job gets the slot.
	onSlotFreed func()
	// queues is the number of daemons whose queues this node replaces.
	queues int
	// neverReject extends deadlines and removes queue limits, so that no
	// request is rejected.
	neverReject bool
	down        bool
}

func newNode(z *zone) *node {
	n := &node{z: z, queues: 1, sched: dispatch.NewScheduler(z.policy)}
	z.sim.Every(tickInterval, z.end, func() {
		n.sched.Tick(z.sim.Now())
		n.applyDecisions()
	})
	return n
}

// submit queues req and calls reply with its outcome.
func (n *node) submit(req *simRequest, reply func(outcome)) {
	n.enqueue(req, req.job(n.queues), reply)
}

func (n *node) enqueue(req *simRequest, j *dispatch.Job, reply func(outcome)) {
	if n.neverReject {
		j.Deadline = j.Deadline.Add(time.Hour)
		j.Limits.Queue = 0
	}
	j.OnDecision = func(s dispatch.Decision) {
		if s.Rejection != nil {
			reply(outcome{rejection: s.Rejection})
			return
		}
		n.z.stats.recordStart(n.z.sim.now, req)
		n.z.run(s.Target.Host, req, func() { n.finish(j, reply) })
	}
	if err := n.sched.Enqueue(n.z.sim.Now(), j); err != nil {
		reply(outcome{rejection: err})
		return
	}
	n.applyDecisions()
}

func (n *node) finish(j *dispatch.Job, reply func(outcome)) {
	if n.down {
		return
	}
	n.sched.Finish(n.z.sim.Now(), j, true)
	if n.onSlotFreed != nil {
		n.onSlotFreed()
	}
	n.applyDecisions()
	reply(outcome{})
}

// applyDecisions starts or rejects waiting jobs as long as the scheduler has decisions.
func (n *node) applyDecisions() {
	if n.down {
		return
	}
	for {
		s, ok := n.sched.Next(n.z.sim.Now())
		if !ok {
			return
		}
		s.Job.OnDecision(s)
	}
}
