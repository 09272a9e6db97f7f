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
		n.pump()
	})
	return n
}

// submit queues w and calls reply with its outcome.
func (n *node) submit(w *work, reply func(outcome)) {
	n.enqueue(w, w.job(n.queues), reply)
}

func (n *node) enqueue(w *work, j *dispatch.Job, reply func(outcome)) {
	if n.neverReject {
		j.Deadline = j.Deadline.Add(time.Hour)
		j.Limits.Queue = 0
	}
	j.OnDecision = func(s dispatch.Decision) {
		if s.Rejection != nil {
			reply(outcome{rejection: s.Rejection})
			return
		}
		n.z.stats.recordStart(n.z.sim.now, w)
		n.z.run(s.Target.Host, w, func() { n.finish(j, reply) })
	}
	if err := n.sched.Enqueue(n.z.sim.Now(), j); err != nil {
		reply(outcome{rejection: err})
		return
	}
	n.pump()
}

func (n *node) finish(j *dispatch.Job, reply func(outcome)) {
	if n.down {
		return
	}
	n.sched.Finish(n.z.sim.Now(), j, true)
	if n.onSlotFreed != nil {
		n.onSlotFreed()
	}
	n.pump()
	reply(outcome{})
}

func (n *node) pump() {
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
