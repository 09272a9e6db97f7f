package scheduler

import (
	"errors"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

// maxUnansweredTime is how long starts of a run may get no answer from a worker that
// answers polls until its task is placed elsewhere.
const maxUnansweredTime = 2500 * time.Millisecond

// StartOrder is a start to send to a worker.
type StartOrder struct {
	Worker    string
	Target    worker.Target
	Order     worker.StartOrder
	startedAt int64
	// sentAt is when the order was made, before it is sent.
	sentAt time.Duration
	// reading is the reading of the worker's clock that the order's lease was named by.
	reading worker.ClockReading
}

// sentOrder returns the start for the log.
func (s *StartOrder) sentOrder() sentOrder {
	return sentOrder{kind: kindStart, run: s.Order.Run, token: s.Order.Token, sentAt: s.sentAt}
}

// SendDecision tells when to send an order.
type SendDecision uint8

// The decisions on when to send an order.
const (
	// SendNever means that the order is no longer wanted.
	SendNever SendDecision = iota
	// SendLater means that the order has to wait until this daemon may act again,
	// the worker answers a poll and the list of workers has been read.
	SendLater
	// SendNow means that the order may be sent.
	SendNow
)

// StartOrder returns the order that starts a run and whether to send it.
// remaining is how long this daemon may still act for the pool.
func (c *Core) StartOrder(r job.RunID, workerID string, now, remaining time.Duration) (StartOrder, SendDecision) {
	ws := c.workers[workerID]
	j := c.jobs[r.Task.Job]
	if ws == nil || j == nil || c.fenced {
		return StartOrder{}, SendNever
	}
	run := ws.Runs[r]
	if run == nil || run.State != worker.RunOrdered || run.Stopping || run.AwaitsEarlierHolders() {
		return StartOrder{}, SendNever
	}
	// A start extends the lease, which a worker that does not answer must not get:
	// only once its lease has expired do its tasks run elsewhere.
	if remaining <= 0 || !reachable(ws) || !c.mayExtendLease(ws) || now-c.listReadAt > maxListAge || ws.HoldsStart(run, now) {
		// The worker may not be polled while it is idle.
		c.wakePoll(workerID)
		return StartOrder{}, SendLater
	}
	s := j.Step(r.Task)
	if reason := unwantedAt(ws, run, s); reason != "" {
		c.requestStop(ws, run, reason)
		return StartOrder{}, SendNever
	}
	if !s.Speculative && c.awaitsStrayRun(r.Task) {
		return StartOrder{}, SendLater
	}
	ws.StartSent(run, now)
	ws.Ordered = true
	order := StartOrder{
		Worker:    workerID,
		Target:    ws.Target(),
		startedAt: ws.Incarnation.StartedAt,
		sentAt:    now,
		reading:   ws.LastReading(),
		Order: worker.StartOrder{
			Run:        r,
			Payload:    j.Spec.Payload,
			LeaseUntil: ws.ExtendLease(now, c.leaseLength(remaining)),
			Token:      c.tokens.of(workerID),
			Checkpoint: j.Checkpoint(r.Task),
			Ticket:     c.ticketFor(j, r.Task, ws.Incarnation),
		},
	}
	c.noteStartSent(&order)
	return order, SendNow
}

// unwantedAt returns why a start that has waited must not be sent to its worker any
// more, or "" if it may be sent.
func unwantedAt(ws *worker.State, run *worker.Run, s job.Step) string {
	switch {
	case !ws.Listed:
		// Nothing shows what the worker's capacity is.
		return "its worker is no longer listed"
	case ws.Draining && !s.Gang:
		// The other members of a gang may have started.
		return "its worker is draining"
	case ws.Overcommitted(run.Resources):
		return "its worker's capacity has shrunk"
	default:
		return ""
	}
}

// StartAnswered handles the answer to a start. It returns true when the order
// should be sent again.
func (c *Core) StartAnswered(s StartOrder, clock int64, err error, t Times) (resend bool) {
	c.wakePoll(s.Worker)
	ws := c.workers[s.Worker]
	if ws == nil || ws.Incarnation.StartedAt != s.startedAt {
		return false
	}
	r := ws.Runs[s.Order.Run]
	if r == nil {
		return false
	}
	var rejection *worker.RejectedError
	switch {
	case err == nil:
		c.recordStartAnswer(ws, &s, clock, t.Now)
		if r.State != worker.RunConfirmed {
			c.logStarted(r, s.Worker, t.Now)
			c.confirmRun(ws, r, t.Now)
		}
		if r.BestEffort {
			c.updateSpeeds(ws, t.Now)
		}
		return false
	case errors.Is(err, worker.ErrWorkerReplaced):
		if !r.StartUnanswered {
			// No worker has started the run, so no crash is its fault.
			c.endUnseen(ws, r, unseenStartNotCarriedOut, t)
		}
		c.addressReassigned(ws, t)
		return false
	case errors.As(err, &rejection):
		c.recordStartAnswer(ws, &s, rejection.Clock, t.Now)
		c.startRejected(ws, r, &s, rejection, t)
		return false
	case verdict.Of(err) == verdict.NotRun && !r.StartUnanswered:
		ws.RecordUnanswered(t.Now)
		c.opt.Logger.Info().Err(err).Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", s.Worker).Msg("start did not reach the worker")
		c.endMissing(ws, r, unseenStartNotCarriedOut, t)
		return false
	default:
		if !r.StartUnanswered {
			s.describeLease(c.opt.Logger.Info()).Err(err).Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", s.Worker).
				Dur("sent_ago", t.Now-s.sentAt).Msg("start got no answer")
		}
		r.RecordUnansweredStart(t.Now)
		c.stopUnanswered(ws, r, t.Now)
		return !r.Stopping
	}
}

// recordStartAnswer records the clock in an answer to a start.
func (c *Core) recordStartAnswer(ws *worker.State, s *StartOrder, clock int64, now time.Duration) {
	if !ws.RecordStartAnswer(clock, s.sentAt, now) {
		c.noteStrayAnswer(ws, s.sentOrder(), clock, now)
	}
}

// confirmRun records that a worker has a run.
func (c *Core) confirmRun(ws *worker.State, r *worker.Run, now time.Duration) {
	ws.SetRunState(r, worker.RunConfirmed, now)
	c.noteStarted(r.ID, ws.Incarnation.ID)
}

// noteStarted records that a worker has or had a run. That a job has started is not logged by
// itself: the next record of its progress tells it, which follows the end of any run, and
// before that a later holder learns it from the worker.
func (c *Core) noteStarted(r job.RunID, workerID string) {
	j := c.jobs[r.Task.Job]
	if j != nil && j.TaskStarted() && c.admits(msgJobStarted) {
		c.opt.Logger.Info().Str("job", string(j.Spec.ID)).Stringer("task", r.Task).Int("run", r.Number).Str("worker", workerID).Msg(msgJobStarted)
	}
}

// stopUnanswered stops a run whose starts have got no answer for maxUnansweredTime
// although its worker answers polls, which do not show the run. Its task is placed
// elsewhere if it can.
func (c *Core) stopUnanswered(ws *worker.State, r *worker.Run, now time.Duration) {
	j := c.jobs[r.ID.Task.Job]
	if j == nil || r.Stopping || r.State != worker.RunOrdered || !reachable(ws) || now < r.UnansweredSince+maxUnansweredTime {
		return
	}
	c.avoidWorker(j, r.ID.Task, ws.Incarnation.ID, now)
	c.requestStop(ws, r, "its starts get no answer")
}

// startRejected handles a start that a worker rejected. Unless an earlier order
// for the run is unaccounted for, the run is certainly not on the worker.
func (c *Core) startRejected(ws *worker.State, r *worker.Run, s *StartOrder, rejection *worker.RejectedError, t Times) {
	c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).Str("reason", string(rejection.Reason)).Bool("earlier_unanswered", r.StartUnanswered).Msg("worker rejected a start")
	if c.checkOrderFenced(ws, s.sentOrder(), rejection, t.Now); c.fenced {
		return
	}
	switch rejection.Reason {
	case worker.ReasonInvalidTicket:
		c.expireTicket(r.ID.Task, ws.Incarnation)
	case worker.ReasonUnhealthy, worker.ReasonNoResources, worker.ReasonInvalid:
		if j := c.jobs[r.ID.Task.Job]; j != nil {
			c.avoidWorker(j, r.ID.Task, ws.Incarnation.ID, t.Now)
		}
	}
	if r.StartUnanswered {
		c.requestStop(ws, r, "start rejected after an earlier start got no answer")
		return
	}
	c.endMissing(ws, r, unseenStartRejected, t)
}

// StopOrder is a stop to send to a worker.
type StopOrder struct {
	Worker    string
	Target    worker.Target
	Run       job.RunID
	Token     int64
	startedAt int64
	// sentAt is when the stop was sent, or 0 if that is not known.
	sentAt time.Duration
}

// sentOrder returns the stop for the log.
func (s *StopOrder) sentOrder() sentOrder {
	return sentOrder{kind: kindStop, run: s.Run, token: s.Token, sentAt: s.sentAt}
}

// StopOrders returns the stops to send now.
func (c *Core) StopOrders() []StopOrder {
	if c.fenced {
		return nil
	}
	var out []StopOrder
	for id := range c.stoppingWorkers {
		ws := c.workers[id]
		if ws == nil {
			delete(c.stoppingWorkers, id)
			continue
		}
		stops, stopping := c.stopOrdersFor(id, ws)
		if !stopping {
			delete(c.stoppingWorkers, id)
		}
		out = append(out, stops...)
	}
	return out
}

// stopOrdersFor returns the stops to send to a worker now, and whether any of its
// runs is to be stopped.
func (c *Core) stopOrdersFor(id string, ws *worker.State) (out []StopOrder, stopping bool) {
	reachable := ws.Address != "" && ws.UnansweredCalls == 0
	for _, r := range ws.Runs {
		if !r.Stopping {
			continue
		}
		stopping = true
		if !reachable || r.StopInFlight || r.StopAnsweredAt > 0 || r.State == worker.RunPlanned {
			continue
		}
		r.StopInFlight = true
		ws.Ordered = true
		out = append(out, StopOrder{Worker: id, Target: ws.Target(), Run: r.ID, Token: c.tokens.of(id), startedAt: ws.Incarnation.StartedAt})
	}
	return out, stopping
}

// StopAnswered handles the answer to a stop. A stop that was not carried out is
// returned again by the next call of StopOrders. One that was carried out is followed
// by polls until they show that the run has ended.
func (c *Core) StopAnswered(s StopOrder, clock int64, err error, t Times) {
	c.wakePoll(s.Worker)
	ws := c.workers[s.Worker]
	if ws == nil || ws.Incarnation.StartedAt != s.startedAt {
		return
	}
	if errors.Is(err, worker.ErrWorkerReplaced) {
		c.addressReassigned(ws, t)
		return
	}
	if err == nil && !ws.RecordOrderAnswer(clock, t.Now) {
		c.noteStrayAnswer(ws, s.sentOrder(), clock, t.Now)
	}
	r := ws.Runs[s.Run]
	if r == nil {
		return
	}
	r.StopInFlight = false
	c.needsPlan = true
	if err == nil {
		r.StopAnsweredAt = t.Now
		return
	}
	var rejection *worker.RejectedError
	if errors.As(err, &rejection) {
		c.checkOrderFenced(ws, s.sentOrder(), rejection, t.Now)
	}
	c.opt.Logger.Info().Err(err).Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", s.Worker).Msg("stop failed")
}
