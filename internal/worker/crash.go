package worker

import (
	"slices"
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
	// maxIdentityAge is how old the last poll that told which incarnation answers may be for a
	// start to be sent. A worker that has runs is polled all the time, and a poll waits for up to
	// 1.5 s; one without runs is not polled, and may be smaller since.
	maxIdentityAge     = 2 * time.Second
	maxIdleIdentityAge = 250 * time.Millisecond
)

// MarkCrash records that this incarnation has ended: the runs that may be the
// cause get a CrashReason. Runs after whose start the worker answered for longer
// than crashWindow are not the cause. A worker that was draining is taken to
// have shut down. certain is set if the incarnation is known to have ended.
func (s *State) MarkCrash(certain bool) {
	s.markCrash(slices.Concat(s.Lapsed, s.suspects()), certain)
}

// MarkLapsed does what MarkCrash does for the runs in Lapsed only.
func (s *State) MarkLapsed() { s.markCrash(s.Lapsed, false) }

// KeepLapsed adds to Lapsed the runs whose leases expire now and that may be the
// cause if this incarnation has ended.
func (s *State) KeepLapsed() { s.Lapsed = append(s.Lapsed, s.suspects()...) }

// suspects returns the runs that may be the cause if this incarnation has ended.
func (s *State) suspects() []*Run {
	var out []*Run
	for _, r := range s.Runs {
		if s.mayHaveCrashed(r) {
			out = append(out, r)
		}
	}
	return out
}

// markCrash sets the CrashReason of the runs that may be the cause of a crash.
func (s *State) markCrash(suspects []*Run, certain bool) {
	if s.Draining {
		return
	}
	alone := len(suspects) == 1
	for _, r := range suspects {
		// A worker that answered just before a start may have crashed before the start
		// reached it, and one that still answered long after it before the order arrived.
		started := r.State == RunConfirmed || r.Verified && alone && !s.outlivedOrder(r)
		switch {
		case !upAtStart(r):
			r.CrashReason = job.EndStartUnverified
		case !certain || !started:
			r.CrashReason = job.EndCrashPossible
		case !alone || r.State != RunConfirmed:
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
	case r.StartSentAt == 0 && (!r.Adopted || s.Reconciled && r.State == RunOrdered):
		return false
	case r.orderUnderWay():
		return true
	default:
		return r.LastReported == 0 && r.Adopted && r.StartSentAt == 0 || s.LastAnswer < s.latestStart(r)+crashWindow
	}
}

// outlivedOrder reports whether the worker answered for longer than crashWindow after
// an order to start a run was sent.
func (s *State) outlivedOrder(r *Run) bool { return s.LastAnswer >= r.StartSentAt+crashWindow }

// orderUnderWay reports whether an order to start the run was sent and the worker was
// not known to have the run, so that it may start it at any time.
func (r *Run) orderUnderWay() bool { return r.State == RunOrdered && r.StartSentAt > 0 }

// upAtStart reports whether the worker of a run was up when the run was started, as
// far as this holder can tell: of starts that an earlier one sent it knows nothing.
func upAtStart(r *Run) bool {
	return r.State == RunConfirmed || r.SentWhileUp || r.StartSentAt == 0
}

// StartSent records that a start of a run is sent.
func (s *State) StartSent(r *Run, now time.Duration) {
	r.StartSentAt = now
	r.RepeatsStart = false
	r.SentWhileUp = r.SentWhileUp || s.answeredRecently(now)
}

// answeredRecently reports whether the worker answered a call less than crashWindow
// ago. One that did not may be gone without having been missed, since idle workers
// are not polled.
func (s *State) answeredRecently(now time.Duration) bool { return now < s.LastAnswer+crashWindow }

// latestStart returns the latest moment at which the worker may have started a run
// that it has: the order may have been under way until the run was confirmed. It is
// not known when an earlier holder or incarnation started one, but it was before the
// incarnation's first answer to this holder.
func (s *State) latestStart(r *Run) time.Duration {
	switch {
	case r.StartSentAt == 0:
		return s.FencedAt
	case r.State == RunConfirmed:
		return max(r.StartSentAt, r.StateSince)
	default:
		return r.StartSentAt
	}
}

// Survived reports whether the worker answered a poll for longer than crashWindow
// after it had started a run, going by the last poll that found the run there.
func (s *State) Survived(r *Run) bool { return r.LastReported >= s.latestStart(r)+crashWindow }

// Acquit records that a run is no suspect any more.
func (s *State) Acquit(r *Run) {
	if r.Suspect {
		s.touch()
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

// AwaitsAnswer reports whether a run of a task under which workers may have crashed
// is not to be started yet: the worker has to answer a call once the run is ordered,
// and for a suspect also once crashWindow has passed since the starts of its other
// runs. A start that is sent to a worker which has crashed already, or which another
// run crashes, would count against the task.
func (s *State) AwaitsAnswer(r *Run) bool {
	if !r.Suspect && !r.Verified || r.State != RunOrdered || r.StartSentAt > 0 {
		return false
	}
	needed := r.StateSince
	if !r.Suspect {
		return s.LastAnswer < needed
	}
	for _, other := range s.Runs {
		if other.StartSentAt > 0 {
			needed = max(needed, s.latestStart(other)+crashWindow)
		}
	}
	return s.LastAnswer < needed
}

// HoldsStart reports whether a run is not to be started now: another incarnation may have taken
// the worker's place, with other capacity, the last reading of the worker's
// clock is too old to name the end of a lease by, or the run is one that AwaitsAnswer is about,
// and its worker has not answered yet, or not recently, so that it may be gone.
func (s *State) HoldsStart(r *Run, now time.Duration) bool {
	if s.AwaitsAnswer(r) || r.State == RunOrdered && (s.readingAge(now) > maxReadingAge || s.mayBeReplaced(now)) {
		return true
	}
	return (r.Suspect || r.Verified) && r.State == RunOrdered && r.StartSentAt == 0 && !s.answeredRecently(now)
}

// mayBeReplaced reports whether no poll has told recently that this incarnation answers.
func (s *State) mayBeReplaced(now time.Duration) bool {
	switch age := now - s.identifiedAt; {
	case age <= maxIdleIdentityAge:
		return false
	case age > maxIdentityAge:
		return true
	default:
		return !s.hasSentRuns()
	}
}

// hasSentRuns reports whether the worker has or may have a run.
func (s *State) hasSentRuns() bool {
	for _, r := range s.Runs {
		if r.State == RunConfirmed || r.StartSentAt > 0 || r.Adopted {
			return true
		}
	}
	return false
}

// StartAwaitsAnswer reports whether the start of a run waits for an answer.
func (s *State) StartAwaitsAnswer(now time.Duration) bool {
	for _, r := range s.Runs {
		if (!r.Adopted || r.RepeatsStart) && s.HoldsStart(r, now) {
			return true
		}
	}
	return false
}

// RecentStartUntil returns until when a run counts as started just now, or 0 if none ever
// was.
func (s *State) RecentStartUntil() time.Duration {
	if s.lastRunAdded == 0 {
		return 0
	}
	return s.lastRunAdded + crashWindow
}

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
