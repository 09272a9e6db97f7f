package scheduler

import (
	"time"

	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

const (
	// maxUnseenEnds bounds how many runs that counted as ended are remembered, and
	// unseenEndWindow for how long: a worker that was cut off answers again after its lease.
	maxUnseenEnds   = 512
	unseenEndWindow = 30 * time.Second
)

// unseenReason is why a run counts as ended although no worker has reported its end.
type unseenReason string

// The reasons why a run counts as ended.
const (
	// unseenLeaseExpired means that the lease of a worker that does not answer has expired.
	unseenLeaseExpired unseenReason = "lease-expired"
	// unseenAddressReassigned means that another worker answers at the worker's address.
	unseenAddressReassigned unseenReason = "address-reassigned"
	// unseenHostReassigned means that another worker answers on the worker's host.
	unseenHostReassigned unseenReason = "host-reassigned"
	// unseenNotListed means that the worker no longer lists a run that it confirmed.
	unseenNotListed unseenReason = "not-listed"
	// unseenNotInFirstAnswer means that the worker's first answer does not list the run.
	unseenNotInFirstAnswer unseenReason = "not-in-first-answer"
	// unseenNotListedAfterStop means that the worker does not list the run after it
	// answered a stop.
	unseenNotListedAfterStop unseenReason = "not-listed-after-stop"
	// unseenStartNotCarriedOut means that the start did not reach the worker.
	unseenStartNotCarriedOut unseenReason = "start-not-carried-out"
	// unseenStartRejected means that the worker rejected the start.
	unseenStartRejected unseenReason = "start-rejected"
	// unseenStartNotSent means that the start was never sent: the run was not wanted any
	// more once the log held it.
	unseenStartNotSent unseenReason = "start-not-sent"
)

// reportedActive is how a worker reports a run that has not ended. A run that has ended is
// reported with its job.EndReason.
const reportedActive = "active"

// unseenEnd tells when and why a run counted as ended.
type unseenEnd struct {
	run    job.RunID
	reason unseenReason
	at     time.Duration
}

// unseenEnds remembers the last runs that counted as ended without a report of their end.
type unseenEnds struct {
	byRun map[job.RunID]unseenEnd
	// inOrder are the ends from the oldest on. One that byRun does not hold is void.
	inOrder []unseenEnd
	counts  unseenCounts
}

// unseenCounts count since the last plan.
type unseenCounts struct {
	// ended counts the runs that counted as ended, by reason.
	ended map[unseenReason]int64
	// outlived counts the reports of such runs as active that came later, and lateEnds
	// those of their ends.
	outlived, lateEnds int64
}

// add remembers an end.
func (u *unseenEnds) add(e unseenEnd) {
	if u.byRun == nil {
		u.byRun = map[job.RunID]unseenEnd{}
	}
	u.prune(e.at)
	u.byRun[e.run] = e
	u.inOrder = append(u.inOrder, e)
	if u.counts.ended == nil {
		u.counts.ended = map[unseenReason]int64{}
	}
	u.counts.ended[e.reason]++
}

// prune forgets the ends that are too old, and the oldest one if there is no room for another.
func (u *unseenEnds) prune(now time.Duration) {
	for len(u.inOrder) > 0 && (len(u.inOrder) >= maxUnseenEnds || now > u.inOrder[0].at+unseenEndWindow) {
		oldest := u.inOrder[0]
		if u.byRun[oldest.run] == oldest {
			delete(u.byRun, oldest.run)
		}
		u.inOrder = u.inOrder[1:]
	}
}

// reported counts a report of a run that had counted as ended, and returns that end. It
// returns false if the run had not, as far as is remembered.
func (u *unseenEnds) reported(run job.RunID, how string, now time.Duration) (unseenEnd, bool) {
	e, ok := u.byRun[run]
	if !ok || now > e.at+unseenEndWindow {
		return unseenEnd{}, false
	}
	if how == reportedActive {
		u.counts.outlived++
		return e, true
	}
	u.counts.lateEnds++
	delete(u.byRun, run)
	return e, true
}

// takeCounts returns the counts since the last call.
func (u *unseenEnds) takeCounts() unseenCounts {
	out := u.counts
	u.counts = unseenCounts{}
	return out
}

// endUnseen ends a run whose end no worker has reported.
func (c *Core) endUnseen(ws *worker.State, r *worker.Run, reason unseenReason, t Times) {
	c.unseen.add(unseenEnd{run: r.ID, reason: reason, at: t.Now})
	c.recordEnd(ws, r, job.EndWorkerLost, "", t)
}

// noteReported logs that a worker reports a run which had counted as ended. A report of an
// active run shows that the run outlived that; one of an end does not tell when it ended.
func (c *Core) noteReported(run job.RunID, ws *worker.State, how string, now time.Duration) {
	e, ok := c.unseen.reported(run, how, now)
	if !ok {
		return
	}
	c.opt.Logger.Warn().Stringer("task", run.Task).Int("run", run.Number).Str("worker", ws.Incarnation.ID).Str("ended_for", string(e.reason)).
		Dur("ago", now-e.at).Str("how", how).Msg("worker reports a run that had counted as ended")
}

// unseenCounters count runs that counted as ended.
type unseenCounters struct {
	scope              tally.Scope
	outlived, lateEnds tally.Counter
}

func newUnseenCounters(scope tally.Scope) unseenCounters {
	return unseenCounters{scope: scope, outlived: scope.Counter("runs_outlived"), lateEnds: scope.Counter("run_ends_late")}
}

// record adds counts.
func (u unseenCounters) record(counts unseenCounts) {
	for reason, n := range counts.ended {
		u.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("runs_ended_unseen").Inc(n)
	}
	u.outlived.Inc(counts.outlived)
	u.lateEnds.Inc(counts.lateEnds)
}
