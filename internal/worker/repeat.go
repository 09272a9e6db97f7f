package worker

import "time"

// EarlierHoldersEnd returns until when earlier holders of the pool may send orders to the worker.
func (s *State) EarlierHoldersEnd() time.Duration { return s.earlierHoldersEnd }

// EarlierOrdersEnd returns until when the worker's next process may carry out an order that an
// earlier holder sent.
func (s *State) EarlierOrdersEnd() time.Duration { return s.EarlierHoldersEnd() + maxOrderDelay }

// AwaitsEarlierHolders reports whether the run is one of an earlier holder that no answer has
// shown to be at the worker and that this holder does not start: nothing shows that it is not
// started by a later process of the worker while earlier holders may send orders.
func (r *Run) AwaitsEarlierHolders() bool {
	return r.Adopted && r.State == RunOrdered && r.StartSentAt == 0 && (!r.RepeatsStart || r.Stopping)
}

// HoldBack records that the run is not at the worker and is not to be started there again under
// its number: it may have ended.
func (s *State) HoldBack(r *Run, now time.Duration) {
	if r.State != RunOrdered {
		s.SetRunState(r, RunOrdered, now)
	}
	r.StartSentAt, r.StartUnanswered, r.PlannedFor, r.RepeatsStart = 0, false, 0, false
}
