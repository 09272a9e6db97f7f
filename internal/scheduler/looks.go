package scheduler

import (
	"errors"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

const (
	// lookWait is how long a look at a busy worker waits for an end. It is a
	// fraction of the lease, which each look extends.
	lookWait = time.Second
	// lookGap is the least time between two looks at a worker, so that ends
	// that come close together are brought by one answer.
	lookGap = 40 * time.Millisecond
	// ackDelay is how long the acknowledgement of a worker's last ends waits
	// for a further start there, which makes a look of its own needless.
	ackDelay = time.Second
	// silentGap is the time between looks at a worker that does not answer.
	silentGap = 500 * time.Millisecond
	// unloggedGap is the time between looks at a worker some of whose ends
	// cannot be logged: they are listed again, so that no look waits.
	unloggedGap = time.Second
)

// Look is a look to take at a worker.
type Look struct {
	Worker  string
	Target  worker.Target
	Request worker.LookRequest
	// Sent is when it was planned.
	Sent time.Duration
	// born is the incarnation that it was meant for.
	born int64
}

// NextLook returns when a worker should be looked at next, or false when there
// is no reason to. last is when the last look ended.
func (c *Core) NextLook(id string, last time.Duration) (time.Duration, bool) {
	b := c.workers[id]
	switch {
	case b == nil || b.Address == "" || c.fenced:
		return 0, false
	case b.Misses > 0 && (b.Listed || len(b.Runs) > 0):
		return last + silentGap, true
	case !b.Fenced:
		return last, b.Listed || len(b.Runs) > 0
	case b.Seen > b.Logged:
		return last + unloggedGap, true
	case c.ordered(b):
		return last + lookGap, true
	case b.Logged > b.Acknowledged && b.Closed != "":
		return last + lookGap, true
	case b.Logged > b.Acknowledged:
		return last + ackDelay, true
	default:
		return 0, false
	}
}

// ordered reports whether a worker has or may have a run.
func (c *Core) ordered(b *worker.Book) bool {
	for _, r := range b.Runs {
		if r.State != worker.Planned {
			return true
		}
	}
	return false
}

// Look plans a look at a worker. remaining is how long this daemon may still
// act for the pool: without it no lease is extended.
func (c *Core) Look(id string, now, remaining time.Duration) Look {
	b := c.workers[id]
	l := Look{Worker: id, Target: b.Target(), Sent: now, born: b.Incarnation.StartedAt}
	l.Request = worker.LookRequest{Token: c.opt.Token}
	if !b.Fenced || b.Misses > 0 {
		// A lease is extended only at workers that answer: what runs at one
		// that does not has to end by itself. Nor is anything acknowledged:
		// another incarnation may answer, whose ends have other numbers.
		return l
	}
	l.Request.Acknowledged = b.Logged
	if c.ordered(b) && remaining > 0 {
		l.Request.Until = b.Lease(now, c.lease(remaining))
		switch {
		case b.Seen > b.Logged:
		case shares(b):
			l.Request.Wait = shareWait
		default:
			l.Request.Wait = lookWait
		}
	}
	return l
}

// lease returns the length of the leases to grant. When the duty cannot be
// renewed, tasks get as long a lease as there is: they outlive a time for which
// nobody can hold the pool.
func (c *Core) lease(remaining time.Duration) time.Duration {
	if remaining < c.opt.DutyLease/2 {
		return c.opt.MaxLease
	}
	return min(c.opt.Lease, c.opt.MaxLease)
}

// LookFailed takes in that a look was not answered, or was refused.
func (c *Core) LookFailed(l Look, err error, t Times) {
	b := c.workers[l.Worker]
	if b == nil || b.Incarnation.StartedAt != l.born {
		return
	}
	if errors.Is(err, worker.ErrGone) {
		c.gone(b, t)
		return
	}
	var refusal *worker.Refusal
	if errors.As(err, &refusal) && c.noteFence(refusal) {
		return
	}
	b.Missed()
	if b.Misses == 1 {
		c.opt.Logger.Warn().Err(err).Str("worker", l.Worker).Int("runs", len(b.Runs)).Msg("worker does not answer")
	}
	c.changed = true
}

// gone notes that another worker answers at a worker's address: addresses are
// reused only after their worker has ended.
func (c *Core) gone(b *worker.Book, t Times) {
	c.opt.Logger.Info().Str("worker", b.Incarnation.ID).Int("runs", len(b.Runs)).Msg("worker's address has passed to another")
	for _, r := range sortedRuns(b) {
		c.over(b, r, job.EndWorkerLost, "", t)
	}
	delete(c.workers, b.Incarnation.ID)
	c.Open(b.Incarnation.ID)
}

// Looked takes in the answer to a look.
func (c *Core) Looked(l Look, rep worker.Report, t Times) {
	b := c.workers[l.Worker]
	if b == nil || b.Incarnation.StartedAt != l.born {
		return
	}
	if rep.Born != 0 && rep.Born != b.Incarnation.StartedAt {
		listing := b.Listing
		listing.Incarnation.StartedAt = rep.Born
		listing.Clock = rep.Clock
		c.reborn(b, listing, t)
		return
	}
	if b.Misses > 0 {
		c.opt.Logger.Info().Str("worker", l.Worker).Msg("worker answers again")
		c.changed = true
	}
	b.Heard(rep.Clock, t.Now)
	b.Acknowledged = max(b.Acknowledged, l.Request.Acknowledged)
	first := !b.Fenced
	if first {
		b.Fenced = true
		b.FencedAt = t.Now
		c.changed = true
	}
	ended := c.takeEnds(b, rep.Ended, t)
	at := c.takeRunning(b, rep.Running, l.Sent, t.Now)
	c.missing(b, l, first, at, ended, t)
	if b.Seen > b.Logged {
		c.changed = true
	}
	c.govern(b, t.Now)
}

// takeEnds notes the ends that were not seen before. It returns the runs that
// are listed as ended.
func (c *Core) takeEnds(b *worker.Book, rows []worker.Ended, t Times) map[job.RunID]bool {
	ended := map[job.RunID]bool{}
	for _, e := range rows {
		ended[e.Run] = true
		if e.Number <= b.Seen {
			continue
		}
		b.Seen = e.Number
		if r := b.Runs[e.Run]; r != nil {
			c.over(b, r, e.How, e.Checkpoint, t)
		}
	}
	return ended
}

// takeRunning notes what runs. A run that nobody asked for is stopped: no order
// for it can be under way any more. It returns the runs at work.
func (c *Core) takeRunning(b *worker.Book, rows []worker.Running, sent, now time.Duration) map[job.RunID]bool {
	at := map[job.RunID]bool{}
	for _, row := range rows {
		at[row.Run] = true
		r := b.Runs[row.Run]
		if r == nil {
			r = c.stray(b, row, now)
		}
		if r.State != worker.Confirmed {
			r.State = worker.Confirmed
			r.Since = now
		}
		r.Reported = sent
		r.Percent = row.Percent
		r.Figure = row.Figure
		if row.Checkpoint != "" {
			r.Checkpoint = row.Checkpoint
		}
	}
	return at
}

// stray notes a run that is at a worker without being in the log.
func (c *Core) stray(b *worker.Book, row worker.Running, now time.Duration) *worker.Run {
	c.opt.Logger.Warn().Stringer("task", row.Run.Task).Int("run", row.Run.Number).Str("worker", b.Incarnation.ID).Msg("run found that was given up, stopping it")
	var s job.Step
	if it := c.jobs[row.Run.Task.Job]; it != nil && it.Task(row.Run.Task) != nil {
		s = it.Step(row.Run.Task)
	}
	r := worker.NewRun(row.Run, s, worker.Confirmed, now, 0)
	b.Add(r)
	c.stop(b, r, "not in the log")
	return r
}

// missing handles the runs that an answer lists neither as running nor as
// ended.
func (c *Core) missing(b *worker.Book, l Look, first bool, at, ended map[job.RunID]bool, t Times) {
	for _, r := range sortedRuns(b) {
		if at[r.ID] || ended[r.ID] || r.State == worker.Planned {
			continue
		}
		switch {
		case first && r.SentAt == 0:
			// The answer fenced off every earlier holder, so a run of theirs
			// that is not there was never started and never will be.
			c.over(b, r, job.EndWorkerLost, "", t)
		case first && r.Unanswered:
			// Its order went to an earlier incarnation and may still arrive.
			c.stop(b, r, "worker restarted with an order unanswered")
		case r.State == worker.Confirmed && r.Since < l.Sent:
			c.opt.Logger.Warn().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", l.Worker).Msg("run vanished")
			c.over(b, r, job.EndWorkerLost, "", t)
		case r.StopDone > 0 && r.StopDone+c.opt.StopTime < l.Sent:
			// The stop keeps a start that is still under way from having an
			// effect.
			c.over(b, r, job.EndWorkerLost, "", t)
		}
	}
}
