package scheduler

import (
	"errors"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

const (
	// pollWait is how long a poll of a busy worker waits for a run to end. It
	// is a fraction of the lease, which each poll extends.
	pollWait = time.Second
	// pollGap is the least time between two polls of a worker, so that one
	// answer reports ends that come close together.
	pollGap = 40 * time.Millisecond
	// ackDelay is how long the acknowledgement of a worker's last ends waits
	// for another start there, which makes a separate poll redundant.
	ackDelay = time.Second
	// unansweredPollGap is the time between polls of a worker that does not
	// answer.
	unansweredPollGap = 500 * time.Millisecond
	// unloggedPollGap is the time between polls of a worker that has reported
	// ends which cannot be logged: every answer lists them again, so that no
	// poll waits.
	unloggedPollGap = time.Second
)

// Poll is a poll to send to a worker.
type Poll struct {
	Worker  string
	Target  worker.Target
	Request worker.LookRequest
	// Sent is when the poll was created.
	Sent time.Duration
	// born identifies the worker's incarnation that is polled.
	born int64
}

// NextPoll returns when a worker should be polled next, or false when there is
// no reason to. last is when the last poll ended.
func (c *Core) NextPoll(id string, last time.Duration) (time.Duration, bool) {
	ws := c.workers[id]
	switch {
	case ws == nil || ws.Address == "" || c.fenced:
		return 0, false
	case ws.Misses > 0 && (ws.Listed || len(ws.Runs) > 0):
		return last + unansweredPollGap, true
	case !ws.Fenced:
		return last, ws.Listed || len(ws.Runs) > 0
	case ws.Seen > ws.Logged:
		return last + unloggedPollGap, true
	case c.mayHaveRuns(ws):
		return last + pollGap, true
	case ws.Logged > ws.Acknowledged && ws.Closed != "":
		return last + pollGap, true
	case ws.Logged > ws.Acknowledged:
		return last + ackDelay, true
	default:
		return 0, false
	}
}

// mayHaveRuns reports whether a worker has or may have a run.
func (c *Core) mayHaveRuns(ws *worker.Book) bool {
	for _, r := range ws.Runs {
		if r.State != worker.Planned {
			return true
		}
	}
	return false
}

// Poll returns the poll to send to a worker. remaining is how long this daemon
// may still act for the pool; when none is left, no lease is extended.
func (c *Core) Poll(id string, now, remaining time.Duration) Poll {
	ws := c.workers[id]
	p := Poll{Worker: id, Target: ws.Target(), Sent: now, born: ws.Incarnation.Born}
	p.Request = worker.LookRequest{Token: c.opt.Token}
	if !ws.Fenced || ws.Misses > 0 {
		// Only workers that answer get their lease extended: runs on a worker
		// that does not answer have to end when the lease expires. Nothing is
		// acknowledged either: another incarnation may answer, whose ends are
		// numbered differently.
		return p
	}
	p.Request.Acknowledged = ws.Logged
	if c.mayHaveRuns(ws) && remaining > 0 {
		p.Request.Until = ws.Lease(now, c.leaseLength(remaining))
		switch {
		case ws.Seen > ws.Logged:
		case runsMixedTasks(ws):
			p.Request.Wait = mixedPollWait
		default:
			p.Request.Wait = pollWait
		}
	}
	return p
}

// leaseLength returns the length of the leases to grant. When the duty cannot
// be renewed, tasks get the longest possible lease, so that they outlive a time
// in which no daemon can hold the pool.
func (c *Core) leaseLength(remaining time.Duration) time.Duration {
	if remaining < c.opt.DutyLease/2 {
		return c.opt.MaxLease
	}
	return min(c.opt.Lease, c.opt.MaxLease)
}

// PollFailed handles a poll that was not answered or was rejected.
func (c *Core) PollFailed(p Poll, err error, t Times) {
	ws := c.workers[p.Worker]
	if ws == nil || ws.Incarnation.Born != p.born {
		return
	}
	if errors.Is(err, worker.ErrGone) {
		c.addressReassigned(ws, t)
		return
	}
	var rejection *worker.Refusal
	if errors.As(err, &rejection) && c.checkFenced(rejection) {
		return
	}
	ws.Missed()
	if ws.Misses == 1 {
		c.opt.Logger.Warn().Err(err).Str("worker", p.Worker).Int("runs", len(ws.Runs)).Msg("worker does not answer")
	}
	c.needsPlan = true
}

// addressReassigned drops a worker when another worker answers at its address:
// addresses are reused only after their worker has ended.
func (c *Core) addressReassigned(ws *worker.Book, t Times) {
	c.opt.Logger.Info().Str("worker", ws.Incarnation.ID).Int("runs", len(ws.Runs)).Msg("another worker answers at the worker's address")
	for _, r := range sortedRuns(ws) {
		c.recordEnd(ws, r, job.EndLost, "", t)
	}
	delete(c.workers, ws.Incarnation.ID)
	c.Uncordon(ws.Incarnation.ID)
}

// PollSucceeded handles the answer to a poll.
func (c *Core) PollSucceeded(p Poll, report worker.Report, t Times) {
	ws := c.workers[p.Worker]
	if ws == nil || ws.Incarnation.Born != p.born {
		return
	}
	if report.Born != 0 && report.Born != ws.Incarnation.Born {
		listing := ws.Listing
		listing.Incarnation.Born = report.Born
		listing.Clock = report.Clock
		c.workerRestarted(ws, listing, t)
		return
	}
	if ws.Misses > 0 {
		c.opt.Logger.Info().Str("worker", p.Worker).Msg("worker answers again")
		c.needsPlan = true
	}
	ws.Heard(report.Clock, t.Now)
	ws.Acknowledged = max(ws.Acknowledged, p.Request.Acknowledged)
	firstAnswer := !ws.Fenced
	if firstAnswer {
		ws.Fenced = true
		ws.FencedAt = t.Now
		c.needsPlan = true
	}
	ended := c.applyEnds(ws, report.Ended, t)
	active := c.applyRunning(ws, report.Running, p.Sent, t.Now)
	c.resolveMissing(ws, p, firstAnswer, active, ended, t)
	if ws.Seen > ws.Logged {
		c.needsPlan = true
	}
	c.updateSpeeds(ws, t.Now)
}

// applyEnds records the ends that were not seen before. It returns the runs
// that are listed as ended.
func (c *Core) applyEnds(ws *worker.Book, reported []worker.Ended, t Times) map[job.RunID]bool {
	ended := map[job.RunID]bool{}
	for _, e := range reported {
		ended[e.Run] = true
		if e.Number <= ws.Seen {
			continue
		}
		ws.Seen = e.Number
		if r := ws.Runs[e.Run]; r != nil {
			c.recordEnd(ws, r, e.How, e.Checkpoint, t)
		}
	}
	return ended
}

// applyRunning records which runs are active. A run that is not tracked is
// stopped: no order for it can still arrive. It returns the active runs.
func (c *Core) applyRunning(ws *worker.Book, reported []worker.Running, sent, now time.Duration) map[job.RunID]bool {
	active := map[job.RunID]bool{}
	for _, row := range reported {
		active[row.Run] = true
		r := ws.Runs[row.Run]
		if r == nil {
			r = c.stopUnknownRun(ws, row, now)
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
	return active
}

// stopUnknownRun tracks and stops a run that is on a worker without being in
// the log.
func (c *Core) stopUnknownRun(ws *worker.Book, row worker.Running, now time.Duration) *worker.Run {
	c.opt.Logger.Warn().Stringer("task", row.Run.Task).Int("run", row.Run.Number).Str("worker", ws.Incarnation.ID).Msg("worker has a run that is not in the log, stopping it")
	var s job.Step
	if j := c.jobs[row.Run.Task.Job]; j != nil && j.Task(row.Run.Task) != nil {
		s = j.Step(row.Run.Task)
	}
	r := worker.NewRun(row.Run, s, worker.Confirmed, now, 0)
	ws.Add(r)
	c.requestStop(ws, r, "not in the log")
	return r
}

// resolveMissing handles the runs that an answer lists neither as running nor
// as ended.
func (c *Core) resolveMissing(ws *worker.Book, p Poll, firstAnswer bool, active, ended map[job.RunID]bool, t Times) {
	for _, r := range sortedRuns(ws) {
		if active[r.ID] || ended[r.ID] || r.State == worker.Planned {
			continue
		}
		switch {
		case firstAnswer && r.SentAt == 0:
			// The answer fenced off every earlier holder, so a run of theirs
			// that is not there was never started and never will be.
			c.recordEnd(ws, r, job.EndLost, "", t)
		case firstAnswer && r.Unanswered:
			// Its order went to an earlier incarnation and may still arrive.
			c.requestStop(ws, r, "worker restarted before it answered a start")
		case r.State == worker.Confirmed && r.Since < p.Sent:
			c.opt.Logger.Warn().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", p.Worker).Msg("worker no longer lists a run that it confirmed")
			c.recordEnd(ws, r, job.EndLost, "", t)
		case r.StopDone > 0 && r.StopDone+c.opt.StopTimeout < p.Sent:
			// The stop keeps a start that is still in transit from taking
			// effect.
			c.recordEnd(ws, r, job.EndLost, "", t)
		}
	}
}
