package bench

import (
	"time"

	"greengagedeck/internal/dispatch"
)

// node is one daemon's scheduler of one pool in a zone.
type node struct {
	z     *zone
	sched *dispatch.Scheduler
	// freed, when set, is called when a job has given its slot back and
	// before the slot goes to a waiting job.
	freed func()
	// queues is how many daemons' queues the node stands for.
	queues int
	// patient drops deadlines and queue limits, so that nothing is refused.
	patient bool
	down    bool
}

func newNode(z *zone) *node {
	n := &node{z: z, queues: 1, sched: dispatch.NewScheduler(z.policy)}
	z.sim.Every(tickInterval, z.end, func() {
		n.sched.Tick(z.sim.Now())
		n.pump()
	})
	return n
}

// submit queues w and calls reply with how it ended.
func (n *node) submit(w *work, reply func(outcome)) {
	n.offer(w, w.job(n.queues), reply)
}

func (n *node) offer(w *work, j *dispatch.Job, reply func(outcome)) {
	if n.patient {
		j.Deadline = j.Deadline.Add(time.Hour)
		j.Limits.Queue = 0
	}
	j.OnDecision = func(s dispatch.Decision) {
		if s.Rejection != nil {
			reply(outcome{refused: s.Rejection})
			return
		}
		n.z.stats.start(n.z.sim.now, w)
		n.z.run(s.Target.Host, w, func() { n.finish(j, reply) })
	}
	if err := n.sched.Enqueue(n.z.sim.Now(), j); err != nil {
		reply(outcome{refused: err})
		return
	}
	n.pump()
}

func (n *node) finish(j *dispatch.Job, reply func(outcome)) {
	if n.down {
		return
	}
	n.sched.Finish(n.z.sim.Now(), j, true)
	if n.freed != nil {
		n.freed()
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
