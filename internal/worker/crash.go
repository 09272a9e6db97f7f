package worker

import (
	"time"

	"greengagedeck/internal/job"
)

// crashWindow is the time from the start of a task until its worker crashes, if
// the task is the cause.
const crashWindow = 250 * time.Millisecond

// MarkCrash records that this incarnation has ended: the runs that may be the
// cause get a CrashReason. Runs after whose start the worker answered for longer
// than crashWindow are not the cause. A worker that was draining is taken to
// have shut down. certain is set if the incarnation is known to have ended.
func (s *State) MarkCrash(certain bool) {
	if s.Draining {
		return
	}
	var suspects []*Run
	for _, r := range s.Runs {
		if s.mayHaveCrashed(r) {
			suspects = append(suspects, r)
		}
	}
	for _, r := range suspects {
		switch {
		case !certain || r.State != RunConfirmed:
			r.CrashReason = job.EndCrashPossible
		case len(suspects) > 1:
			r.CrashReason = job.EndCrashSuspected
		default:
			r.CrashReason = job.EndCrashedWorker
		}
	}
}

// mayHaveCrashed reports whether a run may be the cause of a crash of its worker.
func (s *State) mayHaveCrashed(r *Run) bool {
	switch {
	case r.State == RunPlanned:
		return false
	case r.StartSentAt == 0 && !r.Adopted:
		return false
	default:
		return r.LastReported == 0 && r.Adopted || s.LastAnswer < s.latestStart(r)+crashWindow
	}
}

// latestStart returns the latest moment at which the worker may have started a run.
// It is not known when an earlier holder or incarnation started one, but it was
// before the incarnation's first answer to this holder.
func (s *State) latestStart(r *Run) time.Duration {
	if r.StartSentAt > 0 {
		return r.StartSentAt
	}
	return s.FencedAt
}

// Survived reports whether the worker answered a poll for longer than crashWindow
// after it had started a run, going by the last poll that found the run there.
func (s *State) Survived(r *Run) bool { return r.LastReported >= s.latestStart(r)+crashWindow }

// Acquit records that a run is no suspect any more.
func (s *State) Acquit(r *Run) {
	if r.Suspect {
		r.Suspect = false
		s.SuspectRuns--
	}
}

// IsolatedFor returns how long the worker remains isolated if its runs go on.
func (s *State) IsolatedFor(now time.Duration) time.Duration {
	var rest time.Duration
	if s.SuspectRuns == 0 {
		return 0
	}
	for _, r := range s.Runs {
		if r.Suspect && r.State == RunConfirmed {
			rest = max(rest, r.StateSince+crashWindow-now)
		}
	}
	return rest
}

// AwaitsAnswer reports whether a run of a suspect is not to be started yet: the worker
// has to answer a call once the run is ordered and crashWindow has passed since the
// starts of its other runs. A start that is sent to a worker which has crashed already,
// or which another run crashes, would count against the suspect.
func (s *State) AwaitsAnswer(r *Run) bool {
	if !r.Suspect || r.State != RunOrdered || r.StartSentAt > 0 {
		return false
	}
	needed := r.StateSince
	for _, other := range s.Runs {
		if other.StartSentAt > 0 {
			needed = max(needed, other.StartSentAt+crashWindow)
		}
	}
	return s.LastAnswer < needed
}

// StartAwaitsAnswer reports whether the start of a run waits for an answer.
func (s *State) StartAwaitsAnswer() bool {
	if s.SuspectRuns == 0 {
		return false
	}
	for _, r := range s.Runs {
		if !r.Adopted && s.AwaitsAnswer(r) {
			return true
		}
	}
	return false
}

// RecentStart reports whether a run was started less than crashWindow ago.
func (s *State) RecentStart(now time.Duration) bool { return now < s.lastRunAdded+crashWindow }

// Isolated reports whether the worker takes no further task because a suspect
// has started there less than crashWindow ago, or is about to. If the worker
// crashes, the suspect is then the cause.
func (s *State) Isolated(now time.Duration) bool {
	if s.SuspectRuns == 0 {
		return false
	}
	for _, r := range s.Runs {
		if r.Suspect && (r.State != RunConfirmed || now < r.StateSince+crashWindow) {
			return true
		}
	}
	return false
}
