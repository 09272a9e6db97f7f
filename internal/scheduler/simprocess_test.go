package scheduler_test

import (
	"errors"
	"fmt"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

// simMaxOrderDelay is how long after it was sent an order without an answer may be carried out.
const simMaxOrderDelay = 15 * time.Second

// openCall is a call that a worker may carry out after its sender has given it up, by the
// process that runs then.
type openCall struct {
	simCall
	h      *simHolder
	sentAt time.Duration
	// ended is set once the sender has an answer or has given the call up.
	ended bool
}

// callAcrossProcesses sends an order that is not lost with the process of the worker that it was
// meant for.
func (h *simHolder) callAcrossProcesses(call simCall) {
	w, s := h.w, call.to
	c := &openCall{simCall: call, h: h, sentAt: w.now}
	w.after(simCallTimeout+c.wait, func() { c.end(verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer")) })
	roll := w.rng.Float64()
	switch {
	case c.address != s.address:
	case s.partitioned || w.now < h.cutOffUntil[s.id]:
		if roll < w.delayedRate {
			c.carryOutLate(false)
		}
	case roll < w.lostRate:
	case roll < w.lostRate+w.delayedRate:
		c.carryOutLate(true)
	case roll < w.lostRate+w.delayedRate+w.unansweredRate:
		w.after(w.networkDelay(), func() { c.carryOut(false) })
	default:
		w.after(w.networkDelay(), func() { c.carryOut(true) })
	}
}

// end gives the sender an answer or the error for which there is none.
func (c *openCall) end(err error) {
	if c.ended {
		return
	}
	c.ended = true
	c.h.runWhenActive(func() { c.answer(err) })
}

// carryOut carries the order out. While the worker is down, the connection is being opened.
func (c *openCall) carryOut(answered bool) {
	w, s := c.h.w, c.to
	switch {
	case c.ended || s.partitioned:
		return
	case !s.up:
		c.awaitProcess(answered && w.rng.IntN(2) == 0)
		return
	}
	err := c.do()
	switch {
	case errors.Is(err, errWaits):
		w.after(simTick, func() { c.carryOut(answered) })
	case s.up && answered:
		w.after(w.answerDelay(), func() { c.end(err) })
	}
}

// awaitProcess has the next process of the worker carry the order out if it comes up before the
// sender gives the call up.
func (c *openCall) awaitProcess(answered bool) {
	if c.to.up {
		c.carryOut(answered)
	} else if !c.ended {
		c.h.w.after(simTick, func() { c.awaitProcess(answered) })
	}
}

// carryOutLate carries the order out some time within simMaxOrderDelay, by whichever process is
// up then. One that the worker has not received yet has to reach it.
func (c *openCall) carryOutLate(received bool) {
	w := c.h.w
	longest := simMaxOrderDelay
	if w.rng.IntN(2) == 0 {
		longest /= 5
	}
	w.after(time.Duration(w.rng.Int64N(int64(longest))), func() { c.carryOutOnceUp(received) })
}

func (c *openCall) carryOutOnceUp(received bool) {
	w, s := c.h.w, c.to
	reached := received || !s.partitioned && w.now >= c.h.cutOffUntil[s.id]
	switch {
	case w.now > c.sentAt+simMaxOrderDelay:
	case s.up && reached:
		_ = c.do()
	default:
		w.after(simTick, func() { c.carryOutOnceUp(received) })
	}
}

// pollFrom carries out a poll of the given origin.
func (s *simWorker) pollFrom(origin orderOrigin, req worker.PollRequest) (worker.Report, error) {
	s.w.order = origin
	defer func() { s.w.order = orderOrigin{} }()
	return s.poll(req)
}

// doubleRun is a start of a task that has another active run, or a run that was done. older is the
// one of the two that counted as ended, which is the one that starts if the other is done.
type doubleRun struct {
	task job.TaskID
	// starts is set if older is the one that starts.
	starts bool
	older  runOrigin
	// successor is set if another holder ordered the newer run.
	successor bool
}

// runOrigin tells by which orders a run is active.
type runOrigin struct {
	start orderOrigin
	// process is the one that has the run, and seen is set if a holder had had an answer of it
	// before the run started.
	process int64
	seen    bool
	// lease is the order that gave the process its last lease.
	lease orderOrigin
}

// strayStart reports whether the start of the run was meant for an earlier process.
func (r runOrigin) strayStart() bool { return r.start.process < r.process }

// strayLease reports whether the lease of the run was meant for an earlier process.
func (r runOrigin) strayLease() bool { return r.lease.process < r.process }

// cause tells how the older run came to be active.
func (d doubleRun) cause() string {
	r := d.older
	holder := "one holder"
	if d.successor {
		holder = "successor"
	}
	switch {
	case r.strayStart():
		after := "active when the next run starts"
		if d.starts {
			after = "carried out after the next run"
		}
		seen := "seen"
		if !r.seen {
			seen = "unseen"
		}
		life := "the next process"
		if r.process > r.start.process+1 {
			life = "a later process"
		}
		return fmt.Sprintf("%s: start carried out by %s, %s, %s", holder, life, seen, after)
	case r.strayLease() && r.lease.poll:
		return holder + ": lease by a poll meant for an earlier process"
	case r.strayLease():
		return holder + ": lease by a start meant for an earlier process"
	case d.starts:
		return holder + ": start meant for this process, carried out after the next run"
	default:
		return holder + ": start and lease meant for this process"
	}
}

// originOf returns how a run of the worker came to be active.
func (s *simWorker) originOf(r *simRun) runOrigin {
	o := r.origin
	o.lease = s.leaseOrder
	return o
}

// noteDoubleRun records that a start of a run breaks TWICE: other is the task's active run on a
// worker, or nil if a run was done.
func (w *simWorld) noteDoubleRun(s *simWorker, run job.RunID, other *simRun, at *simWorker) {
	d := doubleRun{task: run.Task, starts: true, older: s.startOrigin()}
	if other != nil && other.id.Number < run.Number {
		d.starts, d.older = false, at.originOf(other)
		d.successor = d.older.start.holder != w.order.holder
	} else if other != nil {
		d.successor = d.older.start.holder != other.origin.start.holder
	} else {
		d.successor = d.older.start.holder != w.token
	}
	w.doubleRuns = append(w.doubleRuns, d)
}

// startOrigin returns the origin of a run that the order being carried out starts.
func (s *simWorker) startOrigin() runOrigin {
	return runOrigin{start: s.w.order, process: s.startedAt, seen: s.seen, lease: s.leaseOrder}
}
