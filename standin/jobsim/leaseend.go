package jobsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"greengagedeck/internal/job"
)

const (
	// maxClockLag is the fraction by which a worker's clock may run slow.
	maxClockLag = 0.02
	// maxKillTime is the longest time from the expiry of a lease to the end of a run: bounds.stopMs.
	maxKillTime = 200 * time.Millisecond
	// maxAnswerDelay is how long a late answer is held back after the order was carried out, and
	// answersPerLateOne is one in how many is late.
	maxAnswerDelay    = 400 * time.Millisecond
	answersPerLateOne = 4
)

// lease is the timing of a worker's leases. mu of the worker guards it.
type lease struct {
	// rand is a source of its own, so that a seed draws the same other events without it.
	rand *rand.Rand
	// allowed is the longest lease.
	allowed time.Duration
	// clockRate is the rate of the worker's clock.
	clockRate float64
	// lateAnswers has some answers come late.
	lateAnswers bool
	// hiddenFrom, unless it is 0, is the lowest token whose calls get no answer.
	hiddenFrom int64
}

// newLease draws a clock. Three in four run as slow as they may.
func newLease(seed uint64) lease {
	r := rand.New(rand.NewPCG(seed, 2))
	lag := maxClockLag
	if r.IntN(4) == 0 {
		lag *= r.Float64()
	}
	return lease{rand: r, allowed: maxLease, clockRate: 1 - lag}
}

// AllowLease sets the longest lease that the worker allows.
func (w *Worker) AllowLease(longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease.allowed = longest
}

// SetLateAnswers has some answers come late, or none.
func (w *Worker) SetLateAnswers(late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease.lateAnswers = late
}

// HideFromSuccessors has calls with a higher token than the present one get no answer and no
// effect, or all get one again: the next holder does not reach the worker that this one reaches.
func (w *Worker) HideFromSuccessors(hidden bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease.hiddenFrom = 0
	if hidden {
		w.lease.hiddenFrom = w.token + 1
	}
}

// hides reports whether calls with a token get no answer.
func (w *Worker) hides(token int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unreachable.Load() || w.strays.hanging || w.lease.hiddenFrom > 0 && token >= w.lease.hiddenFrom
}

// delayAnswer holds an answer back if it is to come late.
func (w *Worker) delayAnswer() {
	w.mu.Lock()
	delay := time.Duration(0)
	if w.lease.lateAnswers && w.lease.rand.IntN(answersPerLateOne) == 0 {
		delay = time.Duration(w.lease.rand.Int64N(int64(maxAnswerDelay)))
	}
	w.mu.Unlock()
	time.Sleep(delay)
}

// clock returns the time since the start by the worker's clock.
func (w *Worker) clock() time.Duration {
	return time.Duration(float64(time.Since(w.startTime)) * w.lease.clockRate)
}

// leaseExpiry returns when the lease expires.
func (w *Worker) leaseExpiry() time.Time {
	return w.startTime.Add(time.Duration(float64(w.leaseEnd) / w.lease.clockRate))
}

// expireRuns has all runs end soon once the lease has expired, even if it is extended until
// then. It must be called with mu held.
func (w *Worker) expireRuns(now time.Time) {
	expiry := w.leaseExpiry()
	if !now.After(expiry) {
		return
	}
	for _, r := range w.running {
		if r.killedAt.IsZero() {
			r.killedAt = expiry.Add(r.killTime)
		}
	}
}

// recordLease tells the checker until when the runs are active by the present lease. It must be
// called with mu held.
func (w *Worker) recordLease() {
	expiry := w.leaseExpiry()
	for t, r := range w.running {
		if r.killedAt.IsZero() {
			w.checker.extendRun(t, w.id, expiry.Add(r.killTime))
		}
	}
}

// activity is a run that is active, by its task.
type activity struct {
	worker string
	// until is when the run ends at the latest by its lease, or zero if that is not known.
	until time.Time
}

// extendRun records until when a run is active unless its lease is extended.
func (c *RunChecker) extendRun(t job.TaskID, worker string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[t].worker == worker {
		c.running[t] = activity{worker, until}
	}
}

// lapse records the end of a run whose lease has expired.
func (c *RunChecker) lapse(t job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lapsed[t] = c.running[t]
}

// checkActive checks that no run of a task that starts is active. A run that its worker should have
// ended by now is not. It must be called with mu held.
func (c *RunChecker) checkActive(t job.TaskID, worker string, now time.Time) {
	a, active := c.running[t]
	if !active {
		a = c.lapsed[t]
	}
	delete(c.lapsed, t)
	gap := now.Sub(a.until)
	switch {
	case active && a.until.IsZero():
		c.addViolation("TWICE: %s starts on %s while it runs on %s", t, worker, a.worker)
	case active && gap < 0:
		c.addViolation("TWICE: %s starts on %s while it runs on %s, by its lease for another %d ms", t, worker, a.worker, -gap.Milliseconds())
	case !a.until.IsZero():
		c.lapseGaps = append(c.lapseGaps, gap)
	}
}

// LapseGaps returns the times from the end of runs whose lease had expired to the next starts of
// their tasks, in order.
func (c *RunChecker) LapseGaps() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(slices.Values(c.lapseGaps))
}
