package scheduler

import (
	"errors"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

// Start is a start to order.
type Start struct {
	Worker string
	Target worker.Target
	Order  worker.Order
	born   int64
}

// Send says what to do with an order.
type Send uint8

// What to do with an order.
const (
	// SendNever orders are not wanted any more.
	SendNever Send = iota
	// SendLater orders have to wait until this daemon may act again.
	SendLater
	// SendNow orders may leave.
	SendNow
)

// StartOrder returns the order for a run and whether to send it. remaining is
// how long this daemon may still act for the pool.
func (c *Core) StartOrder(r job.RunID, workerID string, now, remaining time.Duration) (Start, Send) {
	b := c.workers[workerID]
	it := c.jobs[r.Task.Job]
	if b == nil || it == nil || c.fenced {
		return Start{}, SendNever
	}
	run := b.Runs[r]
	if run == nil || run.State != worker.Ordered || run.Stopping {
		return Start{}, SendNever
	}
	if remaining <= 0 || !b.Fenced {
		return Start{}, SendLater
	}
	run.SentAt = now
	return Start{
		Worker: workerID,
		Target: b.Target(),
		born:   b.Incarnation.StartedAt,
		Order: worker.Order{
			Run:        r,
			Text:       it.Spec.Payload,
			Until:      b.Lease(now, c.lease(remaining)),
			Token:      c.opt.Token,
			Checkpoint: it.Checkpoint(r.Task),
			Ticket:     c.ticketFor(it, r.Task, b.Incarnation),
		},
	}, SendNow
}

// Started takes in the answer to a start. It returns true when the order should
// be sent again.
func (c *Core) Started(s Start, clock int64, err error, t Times) (again bool) {
	b := c.workers[s.Worker]
	if b == nil || b.Incarnation.StartedAt != s.born {
		return false
	}
	r := b.Runs[s.Order.Run]
	if r == nil {
		return false
	}
	var refusal *worker.Refusal
	switch {
	case err == nil:
		b.HeardOrder(clock, t.Now)
		if r.State != worker.Confirmed {
			c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", s.Worker).Dur("order", t.Now-r.SentAt).Msg("run started")
			r.State = worker.Confirmed
			r.Since = t.Now
		}
		if r.Fills {
			c.govern(b, t.Now)
		}
		return false
	case errors.Is(err, worker.ErrGone):
		c.gone(b, t)
		return false
	case errors.As(err, &refusal):
		b.HeardOrder(refusal.Clock, t.Now)
		c.refused(b, r, refusal, t)
		return false
	case verdict.Of(err) == verdict.NotRun && !r.Unanswered:
		b.Missed()
		c.opt.Logger.Info().Err(err).Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", s.Worker).Msg("start not sent")
		c.over(b, r, job.EndWorkerLost, "", t)
		return false
	default:
		if !r.Unanswered {
			c.opt.Logger.Info().Err(err).Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", s.Worker).Msg("start unanswered")
		}
		r.Unanswered = true
		return !r.Stopping
	}
}

// refused handles a start that a worker turned down. Unless an earlier order
// for the run is unaccounted for, it is certain that the run is not there.
func (c *Core) refused(b *worker.Book, r *worker.Run, refusal *worker.Refusal, t Times) {
	c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", b.Incarnation.ID).Str("reason", string(refusal.Reason)).Bool("earlier_unanswered", r.Unanswered).Msg("start refused")
	if c.noteFence(refusal) {
		return
	}
	if refusal.Reason == worker.ReasonTicket {
		c.dropTicket(r.ID.Task, b.Incarnation)
	}
	if r.Unanswered {
		c.stop(b, r, "start refused after an unanswered one")
		return
	}
	c.over(b, r, job.EndWorkerLost, "", t)
}

// noteFence reports whether a refusal shows that another daemon holds the pool.
// Nothing is decided any more from then on.
func (c *Core) noteFence(refusal *worker.Refusal) bool {
	if refusal.Reason != worker.ReasonFenced {
		return false
	}
	if !c.fenced {
		c.fenced = true
		c.opt.Logger.Warn().Int64("token", c.opt.Token).Msg("a worker has seen a newer holder")
	}
	return true
}

// Stop is a stop to order.
type Stop struct {
	Worker string
	Target worker.Target
	Run    job.RunID
	Token  int64
	born   int64
}

// Stops returns the stops to order now.
func (c *Core) Stops() []Stop {
	if c.fenced {
		return nil
	}
	var out []Stop
	for id, b := range c.workers {
		if b.Address == "" || b.Misses > 0 {
			continue
		}
		for _, r := range b.Runs {
			if !r.Stopping || r.StopSent || r.StopDone > 0 || r.State == worker.Planned {
				continue
			}
			r.StopSent = true
			out = append(out, Stop{Worker: id, Target: b.Target(), Run: r.ID, Token: c.opt.Token, born: b.Incarnation.StartedAt})
		}
	}
	return out
}

// Stopped takes in the answer to a stop. One that was not carried out is
// ordered again by the next call of Stops.
func (c *Core) Stopped(s Stop, clock int64, err error, t Times) {
	b := c.workers[s.Worker]
	if b == nil || b.Incarnation.StartedAt != s.born {
		return
	}
	if errors.Is(err, worker.ErrGone) {
		c.gone(b, t)
		return
	}
	if err == nil {
		b.HeardOrder(clock, t.Now)
	}
	r := b.Runs[s.Run]
	if r == nil {
		return
	}
	r.StopSent = false
	c.changed = true
	if err == nil {
		r.StopDone = t.Now
		return
	}
	var refusal *worker.Refusal
	if errors.As(err, &refusal) {
		c.noteFence(refusal)
	}
	c.opt.Logger.Info().Err(err).Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", s.Worker).Msg("stop not carried out")
}
