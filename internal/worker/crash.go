package worker

import (
	"time"

	"greengagedeck/internal/job"
)

const (
	// crashWindow is the time from the start of a task until its worker crashes, if
	// the task is the cause.
	crashWindow = 250 * time.Millisecond
	// minSurvivalWait is how long a poll waits that is to find a suspect after its
	// crashWindow.
	minSurvivalWait = time.Millisecond
)

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
	case r.StartSentAt == 0:
		// It is not known when an earlier holder started the run, but it was before
		// this holder saw it at the worker.
		return r.Adopted && r.LastReported == 0
	default:
		return s.LastAnswer < r.StartSentAt+crashWindow
	}
}

// Survived reports whether the worker answered a poll for longer than crashWindow
// after it had started a run, going by the last poll that found the run there. A
// run of an earlier holder or incarnation had started before the first answer.
func (s *State) Survived(r *Run) bool {
	started := r.StartSentAt
	if started == 0 {
		started = s.FencedAt
	}
	return r.LastReported >= started+crashWindow
}

// Acquit records that a run is no suspect any more.
func (s *State) Acquit(r *Run) {
	if r.Suspect {
		r.Suspect = false
		s.SuspectRuns--
	}
}

// IsolatedFor returns how long a poll of an isolated worker may wait to find that
// its suspects have not crashed it, at least minSurvivalWait, or 0 if the worker is
// not isolated for runs that have started.
func (s *State) IsolatedFor(now time.Duration) time.Duration {
	var rest time.Duration
	if s.SuspectRuns == 0 {
		return 0
	}
	for _, r := range s.Runs {
		if r.Suspect && r.State == RunConfirmed && !s.Survived(r) {
			rest = max(rest, r.StateSince+crashWindow-now, minSurvivalWait)
		}
	}
	return rest
}

// RecentStart reports whether a run was started less than crashWindow ago.
func (s *State) RecentStart(now time.Duration) bool { return now < s.lastRunAdded+crashWindow }

// Isolated reports whether the worker takes no further task because a suspect has
// started there, or is about to, and no poll has found yet that the worker survived
// it. If the worker crashes, the suspect is then the cause.
func (s *State) Isolated(now time.Duration) bool {
	if s.SuspectRuns == 0 {
		return false
	}
	for _, r := range s.Runs {
		if r.Suspect && (r.State != RunConfirmed || now < r.StateSince+crashWindow || !s.Survived(r)) {
			return true
		}
	}
	return false
}
