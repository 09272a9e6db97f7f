package worker

import "time"

// ReplaceIncarnation resets the state after another incarnation has answered to
// the worker's ID. The runs most likely ended with the old incarnation, but an
// order may have reached the new one before the change was known, so every run
// has to be looked for there. A run that is not there has to be stopped there
// if its start was not answered and may still arrive.
//
// If the new incarnation does not answer either, its runs count as lost once the
// lease of the old one has expired and every lease that a start which is
// unaccounted for may have got. A further restart extends the wait only for starts
// that were sent since.
func (s *State) ReplaceIncarnation(l Listing, now time.Duration) {
	runs, listed, entry, touched, observer := s.Runs, s.Listed, s.EntryStartedAt, s.touched, s.observer
	strayPoll := s.leasePollInFlight
	priorLeaseExpiry := max(s.priorLeaseExpiry, s.leaseExpiry())
	for _, r := range runs {
		priorLeaseExpiry = max(priorLeaseExpiry, s.strayLeaseExpiry(r, now))
	}
	earlierHoldersEnd := s.earlierHoldersEnd
	*s = *NewState(l, now, s.earlierLeasesEnd, s.bounds)
	s.earlierHoldersEnd = earlierHoldersEnd
	s.Listed, s.EntryStartedAt, s.touched = listed, entry, touched
	s.touch()
	s.RestartedAt = now
	s.priorLeaseExpiry = priorLeaseExpiry
	if strayPoll {
		s.RecordStrayLease(now)
	}
	for _, r := range runs {
		r.carryOver(now)
		s.AddRun(r)
	}
	// The observer keeps counting the same runs.
	s.observer = observer
}

// EntryLags reports whether an entry in the list that names another incarnation is
// older than what is known: it was taken from the list before, and the worker has named
// another one since, or the worker answers. The times at which incarnations started do
// not tell alone, since the time of day may have been set back between them.
func (s *State) EntryLags(l Listing) bool {
	if l.Incarnation.StartedAt == s.EntryStartedAt {
		return true
	}
	return l.Incarnation.StartedAt < s.Incarnation.StartedAt && s.UnansweredCalls == 0
}

// strayLeaseExpiry returns when a run has ended under its lease if its start
// is carried out by an incarnation other than the one that it was sent to, or 0 if
// that cannot happen.
func (s *State) strayLeaseExpiry(r *Run, now time.Duration) time.Duration {
	// The clock of another incarnation is behind, so that it grants what it allows.
	longestRun := s.bounds.LongestRun(s.bounds.Allowed)
	switch {
	case r.startMayArrive(now):
		return r.StartSentAt + maxOrderDelay + longestRun
	case r.startUnaccounted():
		return now + longestRun
	case r.StartSentAt > 0 && r.LastReported == 0:
		// The answer to the start may be that of the new incarnation. One to a poll
		// tells which incarnation has the run.
		return now + longestRun
	case r.Adopted && now < s.EarlierOrdersEnd():
		// A start that an earlier holder sent may be unaccounted for.
		return now + longestRun
	default:
		return 0
	}
}

// startUnaccounted reports whether a start of the run was sent and not answered.
func (r *Run) startUnaccounted() bool {
	return r.State == RunOrdered && r.StartSentAt > 0 || r.StartUnanswered
}

// UnaccountedStarts returns how many runs have a start that was sent and not answered.
func (s *State) UnaccountedStarts() int {
	n := 0
	for _, r := range s.Runs {
		if r.startUnaccounted() {
			n++
		}
	}
	return n
}

// startMayArrive reports whether a start of the run that was not answered may still
// be carried out by another incarnation of the worker.
func (r *Run) startMayArrive(now time.Duration) bool {
	return r.startUnaccounted() && now < r.StartSentAt+maxOrderDelay
}

// carryOver prepares the run for another incarnation of its worker.
func (r *Run) carryOver(now time.Duration) {
	r.StartUnanswered = r.startMayArrive(now)
	if r.StartUnanswered {
		r.State = RunOrdered
	} else {
		r.StartSentAt = 0
	}
	r.StopInFlight = false
	r.StopAnsweredAt = 0
	r.SpeedInFlight = false
	r.SpeedAtWorker = SpeedUnknown
}
