package scheduler

import (
	"time"

	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

// NoRunReason is why a job, or a task that lasts, has no active run. It is written to
// the log and is a label of metrics.
type NoRunReason string

// The reasons that concern the whole pool.
const (
	// NoRunTakeover means that what earlier holders logged is still being loaded.
	NoRunTakeover NoRunReason = "takeover"
	// NoRunEnded means that scheduling the pool has ended on an error.
	NoRunEnded NoRunReason = "scheduling-ended"
	// NoRunFenced means that a worker has seen the token of a newer holder.
	NoRunFenced NoRunReason = "fenced"
	// NoRunLogSilent means that no plan is made because the log does not answer.
	NoRunLogSilent NoRunReason = "log-unanswered"
	// NoRunNotPlanned means that no plan was made since the job changed.
	NoRunNotPlanned NoRunReason = "not-planned"
)

// The reasons for which no worker takes a task.
const (
	// NoRunListUnread means that the list of workers was never read.
	NoRunListUnread NoRunReason = "worker-list-unread"
	// NoRunNoneListed means that no worker of the pool is listed.
	NoRunNoneListed NoRunReason = "no-worker-listed"
	// NoRunUnreachable to NoRunCordoned mean that no listed worker accepts tasks, and
	// tell why most of them do not.
	NoRunUnreachable  NoRunReason = "workers-unreachable"
	NoRunUnreconciled NoRunReason = "workers-unreconciled"
	NoRunDraining     NoRunReason = "workers-draining"
	NoRunCordoned     NoRunReason = "workers-cordoned"
	// NoRunEjected means that the workers that could take the task are ejected or
	// stalled, and NoRunIsolated that they are isolated for a task that may crash them.
	NoRunEjected  NoRunReason = "workers-ejected"
	NoRunIsolated NoRunReason = "workers-isolated"
	// NoRunNoLabel, NoRunNotApproved, NoRunNodeLimit and NoRunNoResources are the
	// reasons of the placement.
	NoRunNoLabel     NoRunReason = "no-label"
	NoRunNotApproved NoRunReason = "not-approved"
	NoRunNodeLimit   NoRunReason = "limit-per-worker"
	NoRunNoResources NoRunReason = "no-resources"
	// NoRunCustomerLimit means that the grant of the job's customer does not allow the task.
	NoRunCustomerLimit NoRunReason = "customer-limit"
	// NoRunCustomerShare means that no worker has the resources and that customers which use
	// less of the pool for their weight come first.
	NoRunCustomerShare NoRunReason = "customer-share"
)

// The reasons for which a run that was planned is not active.
const (
	// NoRunNotLogged means that the run is planned and not in the log yet.
	NoRunNotLogged NoRunReason = "plan-not-logged"
	// NoRunStartNoDuty to NoRunStartHeld mean that the run is in the log and its start
	// was not sent: this daemon may not act, its worker does not answer or has not been
	// polled, the list of workers is too old, a record of earlier leases names the
	// worker, or the worker has to answer first.
	NoRunStartNoDuty       NoRunReason = "start-without-duty"
	NoRunStartUnreachable  NoRunReason = "start-worker-unreachable"
	NoRunStartOldList      NoRunReason = "start-list-too-old"
	NoRunStartEarlierLease NoRunReason = "start-earlier-lease"
	NoRunStartHeld         NoRunReason = "start-awaits-answer"
	// NoRunStartNotSent means that nothing keeps the start of a logged run, which is
	// not sent yet.
	NoRunStartNotSent NoRunReason = "start-not-sent"
	// NoRunStartUnanswered means that the start was sent and got no answer yet.
	NoRunStartUnanswered NoRunReason = "start-unanswered"
	// NoRunStopping means that the run is being stopped.
	NoRunStopping NoRunReason = "run-stopping"
	// NoRunLease means that the run counts as possibly active until the lease of its
	// worker, which does not answer, has expired.
	NoRunLease NoRunReason = "lease-of-unreachable-worker"
	// NoRunEarlierLease means that an earlier holder planned the run, and its worker
	// was not polled yet, or has no such run and earlier holders may still send its start.
	NoRunEarlierLease NoRunReason = "run-of-earlier-holder"
)

// Further reasons.
const (
	// NoRunEarlierSteps means that a step before the task's step is not done.
	NoRunEarlierSteps NoRunReason = "earlier-steps"
	// NoRunNotReleased means that an occurrence is due and has not been released.
	NoRunNotReleased NoRunReason = "due-not-released"
	// NoRunNotQueued, NoRunUntracked and NoRunNoTask mean that the holder's own state is
	// inconsistent: a ready task is not in the queue, a logged run is tracked at no
	// worker, or a job that has not ended has neither a task nor a due time.
	NoRunNotQueued NoRunReason = "ready-not-queued"
	NoRunUntracked NoRunReason = "run-untracked"
	NoRunNoTask    NoRunReason = "no-task"
)

// noRunReasons are all reasons, for the metrics.
var noRunReasons = []NoRunReason{
	NoRunTakeover, NoRunEnded, NoRunFenced, NoRunLogSilent, NoRunNotPlanned,
	NoRunListUnread, NoRunNoneListed, NoRunUnreachable, NoRunUnreconciled, NoRunDraining, NoRunCordoned,
	NoRunEjected, NoRunIsolated,
	NoRunNoLabel, NoRunNotApproved, NoRunNodeLimit, NoRunNoResources, NoRunCustomerLimit, NoRunCustomerShare,
	NoRunNotLogged, NoRunStartNoDuty, NoRunStartUnreachable, NoRunStartOldList, NoRunStartEarlierLease, NoRunStartHeld,
	NoRunStartNotSent, NoRunStartUnanswered, NoRunStopping, NoRunLease, NoRunEarlierLease,
	NoRunEarlierSteps, NoRunNotReleased, NoRunNotQueued, NoRunUntracked, NoRunNoTask,
}

// usual reports whether jobs wait for the reason in a pool that works and is full, or whose
// customers use what they may.
func (n NoRunReason) usual() bool {
	switch n {
	case NoRunNoResources, NoRunNodeLimit, NoRunNotApproved, NoRunCustomerLimit, NoRunCustomerShare, NoRunEarlierSteps:
		return true
	default:
		return false
	}
}

// poolReason returns the reason for which no job of the pool gets a run, or "".
func (c *Core) poolReason(h HolderState) NoRunReason {
	switch {
	case h.Phase == PhaseEnded:
		return NoRunEnded
	case h.Phase.takeover():
		return NoRunTakeover
	case c.fenced:
		return NoRunFenced
	default:
		return ""
	}
}

// queuedReason returns why the tasks of a group wait.
func (c *Core) queuedReason(pg pendingGroup, h HolderState, n WorkerCounts, now time.Duration) NoRunReason {
	if reason := c.unplannedReason(pg.job, h, now); reason != "" {
		return reason
	}
	if reason := c.customerWait(pg.job, pg.group, now); reason != "" {
		return reason
	}
	return c.noPlaceReason(c.explainWait(&pg, c.index.nodes, now).reason, n)
}

// unplannedReason returns why no plan has considered a job in its present state, or "" if
// one has.
func (c *Core) unplannedReason(j *trackedJob, h HolderState, now time.Duration) NoRunReason {
	switch {
	case h.AppendStarted > 0 && now-h.PlannedAt >= noRunAfter:
		return NoRunLogSilent
	case j.unplanned || now-h.PlannedAt >= noRunAfter:
		return NoRunNotPlanned
	default:
		return ""
	}
}

// noPlaceReason returns the reason for which tasks wait that no worker takes.
func (c *Core) noPlaceReason(r placement.UnplacedReason, n WorkerCounts) NoRunReason {
	switch r {
	case reasonCustomerLimit:
		return NoRunCustomerLimit
	case reasonCustomerShare:
		return NoRunCustomerShare
	case placement.ReasonNoNodes:
		return c.noWorkerReason(n)
	case placement.ReasonNoLabel:
		return NoRunNoLabel
	case placement.ReasonNotApproved:
		return NoRunNotApproved
	case placement.ReasonNodeLimit:
		return NoRunNodeLimit
	case placement.ReasonIsolated:
		if n.Isolated > n.Ejected {
			return NoRunIsolated
		}
		return NoRunEjected
	default:
		return NoRunNoResources
	}
}

// noWorkerReason returns why no worker accepts tasks.
func (c *Core) noWorkerReason(n WorkerCounts) NoRunReason {
	if c.listReadAt == 0 {
		return NoRunListUnread
	}
	reason, most := NoRunNoneListed, 0
	for _, cause := range []struct {
		reason NoRunReason
		count  int
	}{
		{NoRunUnreachable, n.Unreachable},
		{NoRunUnreconciled, n.Unreconciled},
		{NoRunDraining, n.Draining},
		{NoRunCordoned, n.Cordoned},
	} {
		if cause.count > most {
			reason, most = cause.reason, cause.count
		}
	}
	return reason
}

// inactiveReason returns why a run that is planned or logged does not count as
// active.
func (c *Core) inactiveReason(ws *worker.State, r *worker.Run, h HolderState, now time.Duration) NoRunReason {
	switch {
	case r.State == worker.RunPlanned:
		return NoRunNotLogged
	case r.Adopted && !ws.Fenced || r.AwaitsEarlierHolders() && !r.Stopping:
		return NoRunEarlierLease
	case r.State == worker.RunOrdered && r.StartSentAt == 0 && !r.Stopping:
		return c.unsentReason(ws, r, h, now)
	case !reachable(ws):
		return NoRunLease
	case r.Stopping:
		return NoRunStopping
	default:
		return NoRunStartUnanswered
	}
}

// unsentReason returns why the start of a logged run is not sent.
func (c *Core) unsentReason(ws *worker.State, r *worker.Run, h HolderState, now time.Duration) NoRunReason {
	switch {
	case h.DutyRemaining <= 0:
		return NoRunStartNoDuty
	case !reachable(ws):
		return NoRunStartUnreachable
	case !c.mayExtendLease(ws):
		return NoRunStartEarlierLease
	case now-c.listReadAt > maxListAge:
		return NoRunStartOldList
	case ws.HoldsStart(r, now) || c.awaitsStrayRun(r.ID.Task):
		return NoRunStartHeld
	default:
		return NoRunStartNotSent
	}
}
