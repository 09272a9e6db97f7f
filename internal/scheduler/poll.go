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
	// ackDelay is how long the acknowledgement of a worker's last ends waits: if
	// another run starts there meanwhile, the polls of that run carry it and no
	// separate poll is needed.
	ackDelay = time.Second
	// unansweredPollGap is the time between polls of a worker that does not
	// answer.
	unansweredPollGap = 500 * time.Millisecond
	// unloggedPollGap is the time between polls of a worker that has reported
	// ends which the log does not hold yet, for example because it is down.
	// Every answer lists them again, so the worker answers such polls at once.
	unloggedPollGap = time.Second
	// stopRepeat is for how long after it should have stopped a run may still be listed
	// until it is stopped again.
	stopRepeat = 1500 * time.Millisecond
)

// Poll is a poll to send to a worker.
type Poll struct {
	Worker  string
	Target  worker.Target
	Request worker.PollRequest
	// Sent is when the poll was created.
	Sent time.Duration
	// startedAt identifies the incarnation of the worker to poll.
	startedAt int64
}

// sentOrder returns the poll for the log.
func (p *Poll) sentOrder() sentOrder {
	return sentOrder{kind: kindPoll, token: p.Request.Token, sentAt: p.Sent}
}

// NextPoll returns when a worker should be polled next, or false when there is
// no reason to. last is when the last poll ended.
func (c *Core) NextPoll(id string, last time.Duration) (time.Duration, bool) {
	ws := c.workers[id]
	switch {
	case ws == nil || ws.Address == "" || c.fenced:
		return 0, false
	case ws.UnansweredCalls > 0 && (ws.Listed || len(ws.Runs) > 0):
		return last + unansweredPollGap, true
	case !ws.Fenced:
		return last, ws.Listed || len(ws.Runs) > 0
	case ws.LastEndSeen > ws.LastEndLogged:
		return last + unloggedPollGap, true
	case c.mayHaveRuns(ws) || !ws.Reconciled && ws.Listed:
		return last + pollGap, true
	case ws.LastEndLogged > ws.LastEndAcknowledged && ws.CordonReason != "":
		return last + pollGap, true
	case ws.LastEndLogged > ws.LastEndAcknowledged:
		return last + ackDelay, true
	default:
		return 0, false
	}
}

// wakePoll records that the next poll of a worker may be due sooner than NextPoll
// last returned. Every change of what NextPoll depends on must be followed by it: who
// polls an idle worker sleeps until then.
func (c *Core) wakePoll(id string) { c.wakes[id] = true }

// Wakes returns the workers for which NextPoll has to be called again, since the last
// call of Wakes. The result is valid until the next call.
func (c *Core) Wakes() []string {
	out := c.wakeBuffer[:0]
	for id := range c.wakes {
		out = append(out, id)
	}
	clear(c.wakes)
	c.wakeBuffer = out
	return out
}

// mayHaveRuns reports whether a worker has or may have a run.
func (c *Core) mayHaveRuns(ws *worker.State) bool {
	for _, r := range ws.Runs {
		if r.State != worker.RunPlanned {
			return true
		}
	}
	return false
}

// Poll returns the poll to send to a worker. remaining is how long this daemon
// may still act for the pool; when none is left, no lease is extended.
func (c *Core) Poll(id string, now, remaining time.Duration) Poll {
	ws := c.workers[id]
	p := Poll{Worker: id, Target: ws.Target(), Sent: now, startedAt: ws.Incarnation.StartedAt}
	p.Request = worker.PollRequest{Token: c.tokens.of(id)}
	if !ws.Fenced || ws.UnansweredCalls > 0 {
		// Only workers that answer get their lease extended: runs on a worker
		// that does not answer have to end when the lease expires. Nothing is
		// acknowledged either: another incarnation may answer, whose ends are
		// numbered differently.
		return p
	}
	if ws.LastEndLogged > ws.LastEndAcknowledged {
		p.Request.Acknowledged = ws.LastEndLogged
		ws.Ordered = true
	}
	if c.mayHaveRuns(ws) && remaining > 0 && c.mayExtendLease(ws) {
		p.Request.LeaseUntil = ws.ExtendLease(now, c.leaseLength(remaining))
		ws.LeasePollSent()
		ws.Ordered = true
		switch {
		case ws.LastEndSeen > ws.LastEndLogged || ws.StartAwaitsAnswer(now):
		case runsMixedTasks(ws):
			p.Request.Wait = mixedPollWait
		default:
			p.Request.Wait = pollWait
		}
		p.Request.Wait = min(p.Request.Wait, c.untilOverdue(ws, now), untilEarlierHoldersEnd(ws, now))
		if rest := ws.IsolatedFor(now); rest > 0 {
			// If the worker crashes later, its last answer shows that the suspect is
			// not the cause.
			p.Request.Wait = min(p.Request.Wait, rest)
		}
	}
	return p
}

// leaseLength returns the length of the leases to grant. When the duty cannot
// be renewed, tasks get the longest possible lease, so that they outlive a time
// in which no daemon can hold the pool.
func (c *Core) leaseLength(remaining time.Duration) time.Duration {
	if remaining < c.opt.DutyLease/2 {
		return c.longestGrant()
	}
	return min(c.opt.Lease, c.longestGrant())
}

// polled returns the worker that a poll was sent to, or nil if its incarnation is no longer the
// one that was polled. The next one may have carried the poll out.
func (c *Core) polled(p Poll, t Times) *worker.State {
	ws := c.workers[p.Worker]
	if ws == nil || ws.Incarnation.StartedAt == p.startedAt {
		return ws
	}
	if p.Request.LeaseUntil > 0 {
		c.noteStrayPoll(p, ws, t.Now)
		ws.RecordStrayLease(t.Now)
	}
	return nil
}

// PollFailed handles a poll that was not answered or was rejected.
func (c *Core) PollFailed(p Poll, err error, t Times) {
	ws := c.polled(p, t)
	if ws == nil {
		return
	}
	ws.LeasePollEnded()
	if errors.Is(err, worker.ErrWorkerReplaced) {
		c.addressReassigned(ws, t)
		return
	}
	var rejection *worker.RejectedError
	if errors.As(err, &rejection) && c.checkOrderFenced(ws, p.sentOrder(), rejection, t.Now) {
		return
	}
	ws.RecordUnanswered(t.Now)
	if p.Request.LeaseUntil > 0 {
		ws.LeasePollUnansweredAt = p.Sent
	}
	if ws.UnansweredCalls == 1 {
		c.opt.Logger.Warn().Err(err).Str("worker", p.Worker).Int64("born", p.startedAt).Int("runs", len(ws.Runs)).
			Int64("lease_until", p.Request.LeaseUntil).Dur("sent_ago", t.Now-p.Sent).Msg("worker does not answer")
	}
	c.needsPlan = true
}

// addressReassigned drops a worker when another worker answers at its address:
// addresses are reused only after their worker has ended.
func (c *Core) addressReassigned(ws *worker.State, t Times) {
	c.opt.Logger.Info().Str("worker", ws.Incarnation.ID).Int("runs", len(ws.Runs)).Msg("another worker answers at the worker's address")
	c.recordCrash(ws, t)
	for _, r := range sortedRuns(ws) {
		c.endUnseen(ws, r, unseenAddressReassigned, t)
	}
	c.tokens.forget(ws, t.Now)
	c.removeWorker(ws.Incarnation.ID)
	c.wakePoll(ws.Incarnation.ID)
	c.Uncordon(ws.Incarnation.ID)
}

// PollSucceeded handles the answer to a poll.
func (c *Core) PollSucceeded(p Poll, report worker.Report, t Times) {
	ws := c.polled(p, t)
	if ws == nil {
		return
	}
	if report.StartedAt != 0 && report.StartedAt != ws.Incarnation.StartedAt {
		listing := ws.Listing
		listing.Incarnation.StartedAt = report.StartedAt
		listing.Clock = report.Clock
		later := report.StartedAt > ws.Incarnation.StartedAt
		c.workerRestarted(ws, listing, t)
		// Only the list tells what capacity the next incarnation has.
		ws.Listed = ws.Listed && !later
		c.touch(p.Worker)
		return
	}
	ws.LeasePollEnded()
	if ws.UnansweredCalls > 0 {
		c.opt.Logger.Info().Str("worker", p.Worker).Msg("worker answers again")
		c.needsPlan = true
	}
	ws.RecordAnswer(report.Clock, t.Now)
	ws.Lapsed = nil
	if !report.Unacknowledged {
		ws.LastEndAcknowledged = max(ws.LastEndAcknowledged, p.Request.Acknowledged)
	}
	if !ws.Fenced {
		c.noteReached(ws, report, t.Now)
		c.workerReached(ws, report.Clock, t)
	}
	ended := c.applyEnds(ws, report.Ended, t)
	active := c.applyRunning(ws, report.Running, p.Sent, t.Now)
	if report.Partial {
		c.keepMissing(ws, p, active)
	} else {
		c.resolveMissing(ws, p, active, ended, t)
	}
	if ws.LastEndSeen > ws.LastEndLogged {
		c.needsPlan = true
	}
	c.updateSpeeds(ws, t.Now)
}

// applyEnds records the ends that were not seen before. It returns the runs
// that are listed as ended.
func (c *Core) applyEnds(ws *worker.State, reported []worker.RunEnd, t Times) map[job.RunID]bool {
	ended := map[job.RunID]bool{}
	for _, e := range reported {
		ended[e.Run] = true
		if e.Number <= ws.LastEndSeen {
			continue
		}
		ws.LastEndSeen = e.Number
		c.index.unlogged[ws.Incarnation.ID] = true
		c.noteStarted(e.Run, ws.Incarnation.ID)
		c.noteReported(e.Run, ws, string(e.Reason), t.Now)
		if r := ws.Runs[e.Run]; r != nil {
			c.recordEnd(ws, r, e.Reason, e.Checkpoint, t)
		}
	}
	return ended
}

// applyRunning records which runs are active. A run that is not tracked is
// stopped: no order for it can still arrive. It returns the active runs.
func (c *Core) applyRunning(ws *worker.State, reported []worker.RunStatus, sent, now time.Duration) map[job.RunID]bool {
	active := map[job.RunID]bool{}
	for _, row := range reported {
		active[row.Run] = true
		r := ws.Runs[row.Run]
		if r == nil {
			c.noteReported(row.Run, ws, reportedActive, now)
			r = c.stopUnknownRun(ws, row, now)
		}
		if r.State != worker.RunConfirmed {
			c.confirmRun(ws, r, now)
		}
		r.LastReported = sent
		if r.StopAnsweredAt > 0 && sent > r.StopAnsweredAt+c.opt.StopTimeout+stopRepeat {
			c.repeatStop(ws, r)
		}
		c.recordSurvival(ws, r)
		r.ProgressPercent = row.ProgressPercent
		r.Measurement = row.Measurement
		c.keepCheckpoint(r, row.Checkpoint)
	}
	return active
}

// keepCheckpoint keeps the checkpoint that a run was last reported with, unless it is too long
// to be stored.
func (c *Core) keepCheckpoint(r *worker.Run, checkpoint string) {
	j := c.jobs[r.ID.Task.Job]
	switch {
	case checkpoint == "" || checkpoint == r.Checkpoint:
	case j == nil || j.TakesCheckpoint(checkpoint):
		r.Checkpoint = checkpoint
	case !r.CheckpointDropped:
		r.CheckpointDropped = true
		c.checkpointsDropped++
		c.opt.Logger.Warn().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Int("bytes", len(checkpoint)).Msg("checkpoint too long to be stored, the task would resume from an earlier one")
	}
}

// repeatStop has a stop sent again that was answered and has had no effect.
func (c *Core) repeatStop(ws *worker.State, r *worker.Run) {
	c.opt.Logger.Warn().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).Msg("worker still lists a run whose stop it answered, stopping it again")
	r.StopAnsweredAt = 0
	c.stoppingWorkers[ws.Incarnation.ID] = true
}

// recordSurvival clears what a run was suspected of, once its worker has survived
// its start.
func (c *Core) recordSurvival(ws *worker.State, r *worker.Run) {
	if !ws.Survived(r) {
		return
	}
	r.CrashReason = ""
	j := c.jobs[r.ID.Task.Job]
	if j != nil && j.HasCrashes() && j.Survived(r.ID.Task) {
		ws.Acquit(r)
		c.markDirty(j)
	}
}

// stopUnknownRun tracks and stops a run that is on a worker without being in
// the log.
func (c *Core) stopUnknownRun(ws *worker.State, row worker.RunStatus, now time.Duration) *worker.Run {
	c.opt.Logger.Warn().Stringer("task", row.Run.Task).Int("run", row.Run.Number).Str("worker", ws.Incarnation.ID).Msg("worker has a run that is not in the log, stopping it")
	var s job.Step
	if j := c.jobs[row.Run.Task.Job]; j != nil && j.Task(row.Run.Task) != nil {
		s = j.Step(row.Run.Task)
	}
	r := worker.NewRun(row.Run, s, worker.RunConfirmed, now, 0)
	ws.AddRun(r)
	c.strayRuns.add(ws, r)
	c.noteStarted(r.ID, ws.Incarnation.ID)
	c.requestStop(ws, r, "not in the log")
	return r
}

// keepMissing handles the runs that a partial answer does not list. They may have
// ended, so none counts as active, but how they ended is not known yet.
func (c *Core) keepMissing(ws *worker.State, p Poll, active map[job.RunID]bool) {
	for _, r := range ws.Runs {
		if r.State == worker.RunConfirmed && r.StateSince < p.Sent && !active[r.ID] {
			r.ProgressPercent = 0
		}
	}
}

// resolveMissing handles the runs that an answer lists neither as running nor
// as ended. The answer must not be partial.
func (c *Core) resolveMissing(ws *worker.State, p Poll, active, ended map[job.RunID]bool, t Times) {
	firstAnswer := !ws.Reconciled
	if firstAnswer {
		ws.Reconciled = true
		c.touch(p.Worker)
		c.needsPlan = true
	}
	for _, r := range sortedRuns(ws) {
		if active[r.ID] || ended[r.ID] || r.State == worker.RunPlanned {
			continue
		}
		switch {
		case c.repeatsStart(ws, r, firstAnswer, t.Now):
		case r.StartSentAt == 0 && firstAnswer || r.AwaitsEarlierHolders():
			// The answer fenced off every earlier holder, so this process will
			// not start a run of theirs that is not there. A later one may.
			c.endMissing(ws, r, unseenNotInFirstAnswer, t)
		case firstAnswer && r.StartUnanswered && c.tokens.rise() && r.StartSentAt < ws.RestartedAt:
			// Its order went to an earlier incarnation, with a lower token.
			c.endMissing(ws, r, unseenNotInFirstAnswer, t)
		case firstAnswer && r.StartUnanswered:
			// Its order went to an earlier incarnation and may still arrive.
			c.requestStop(ws, r, "worker restarted before it answered a start")
		case r.State == worker.RunConfirmed && r.StateSince < p.Sent:
			c.opt.Logger.Warn().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", p.Worker).Msg("worker no longer lists a run that it confirmed")
			c.endMissing(ws, r, unseenNotListed, t)
		case r.StopAnsweredAt > 0 && r.StopAnsweredAt+c.opt.StopTimeout < p.Sent:
			// The stop keeps a start that is still in transit from taking
			// effect.
			c.endMissing(ws, r, unseenNotListedAfterStop, t)
		}
	}
}
