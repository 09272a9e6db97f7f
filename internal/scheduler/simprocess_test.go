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
	if w.hold != nil && w.hold(c) {
		return
	}
	roll := w.rng.Float64()
	switch {
	case c.address != s.address:
	case s.up && w.now < s.lateUntil && !s.partitioned && w.now >= h.cutOffUntil[s.id]:
		c.carryOutLate(true)
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

// doubleRun is a start of a run of a task that has another one, which is active or whose end as
// done was acknowledged.
type doubleRun struct {
	// older is the run that counted as ended when the other one was ordered, and starts is set if it
	// is the one that starts.
	older  runOrigin
	starts bool
	// successor is set if another holder ordered the newer run.
	successor bool
}

// runOrigin tells by which orders a run is active.
type runOrigin struct {
	number int
	start  orderOrigin
	// process is the start of the worker's process that has the run, and seen is set if a holder
	// had had an answer to a poll of it before the run started.
	process int64
	seen    bool
	// lease is the order that gave the process its last lease, and acknowledgement the poll that
	// acknowledged the end of the run, if any did.
	lease, acknowledgement orderOrigin
}

// strayStart reports whether the start of the run was meant for an earlier process.
func (r runOrigin) strayStart() bool { return r.start.process < r.process }

// strayLease reports whether the lease of the run was meant for an earlier process.
func (r runOrigin) strayLease() bool { return r.lease.process < r.process }

// strayAcknowledgement reports whether a poll that was meant for an earlier process acknowledged the
// end of the run.
func (r runOrigin) strayAcknowledgement() bool {
	return r.acknowledgement.poll && r.acknowledgement.process < r.process
}

// startCause tells which process has carried out a start that was meant for an earlier one, and
// whether that was before or after the newer run started.
func (d doubleRun) startCause() string {
	process, seen, order := "the next process", "seen", "before"
	if d.older.process > d.older.start.process+1 {
		process = "a later process"
	}
	if !d.older.seen {
		seen = "unseen"
	}
	if d.starts {
		order = "after"
	}
	return fmt.Sprintf("start carried out by %s, %s, %s the newer run starts", process, seen, order)
}

// cause tells why the older run was not over.
func (d doubleRun) cause() string {
	holder := "one holder: "
	if d.successor {
		holder = "successor: "
	}
	switch {
	case d.older.strayAcknowledgement():
		return holder + "end acknowledged by a poll meant for an earlier process"
	case d.older.strayStart():
		return holder + d.startCause()
	case d.older.strayLease() && d.older.lease.poll:
		return holder + "lease from a poll meant for an earlier process"
	case d.older.strayLease():
		return holder + "lease from a start meant for an earlier process"
	default:
		return holder + "start and lease meant for the process"
	}
}

// String tells the cause and by which orders the older run was active.
func (d doubleRun) String() string {
	o := d.older
	text := fmt.Sprintf("%s (run %d of process %d: start of holder %d for process %d, sent at %.3f", d.cause(), o.number, o.process,
		o.start.holder, o.start.process, seconds(o.start.sentAt))
	if o.lease.holder != 0 {
		text += fmt.Sprintf("; lease of holder %d for process %d, sent at %.3f", o.lease.holder, o.lease.process, seconds(o.lease.sentAt))
	}
	return text + ")"
}

// seconds returns a moment as the seconds since a world began.
func seconds(at time.Duration) float64 { return (at - time.Hour).Seconds() }

// originOf returns how a run of the worker came to be active.
func (s *simWorker) originOf(r *simRun) runOrigin {
	o := r.origin
	o.lease = s.leaseOrder
	return o
}

// startOrigin returns the origin of a run that the order being carried out starts.
func (s *simWorker) startOrigin(run job.RunID) runOrigin {
	return runOrigin{number: run.Number, start: s.w.order, process: s.startedAt, seen: s.seen, lease: s.leaseOrder}
}

// noteDoubleRun records that a run starts while another one of its task is active or done.
func (w *simWorld) noteDoubleRun(starting, other runOrigin) {
	d := doubleRun{older: other, successor: starting.start.holder != other.start.holder}
	if starting.number <= other.number {
		d.older, d.starts = starting, true
	}
	w.doubleRuns = append(w.doubleRuns, d)
}
