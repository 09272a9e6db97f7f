// Package stage measures where the time of a pool's holder goes, by the stages of its work.
package stage

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Stage is a part of the work of a pool's holder.
type Stage uint8

// The stages.
const (
	// Decode decodes the answers of workers and the records of the intake.
	Decode Stage = iota
	// Submit adds and cancels jobs.
	Submit
	// Plan decides which runs start and stop, and Encode encodes the records
	// of a plan.
	Plan
	Encode
	// Append waits for the log.
	Append
	// Start issues starts and stops, and handles the answers to them.
	Start
	// Poll issues polls and handles the answers to them.
	Poll
	// List applies changes of the list of workers.
	List

	count
)

var names = [count]string{"decode", "submit", "plan", "encode", "append", "start", "poll", "list"}

// String returns the stage as it is logged.
func (s Stage) String() string { return names[s] }

const (
	// behindAfter is how long work must have waited for the holder to be behind.
	behindAfter = 250 * time.Millisecond
	// behindRepeat is the time between two lines about a holder that is behind.
	behindRepeat = 5 * time.Second
)

// waitBuckets are the histogram bounds of the time for which work waits.
var waitBuckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// Meter measures where the time of a pool's holder goes, and how late its work is
// done. It is safe for concurrent use.
type Meter struct {
	busyTime [count]tally.Counter
	waitTime [count]tally.Histogram
	behind   tally.Gauge
	// planDelay is how long a plan waits for the changes that it covers.
	planDelay time.Duration

	mu sync.Mutex
	// busy and longestWait are those since the last look.
	busy, longestWait [count]time.Duration
	// planWantedAt is since when a plan is wanted, or 0.
	planWantedAt time.Duration
	// lookedAt is when the last look was, and loggedAt when a line last told that the
	// holder is behind, or 0 if it is not.
	lookedAt, loggedAt time.Duration
}

// NewMeter returns a meter for the pool whose tag the scope has. A plan waits for planDelay on
// purpose.
func NewMeter(scope tally.Scope, now, planDelay time.Duration) *Meter {
	m := &Meter{planDelay: planDelay, behind: scope.Gauge("behind_seconds"), lookedAt: now}
	for s := range count {
		tagged := scope.Tagged(map[string]string{"stage": s.String()})
		m.busyTime[s] = tagged.Counter("stage_microseconds")
		m.waitTime[s] = tagged.Histogram("stage_wait_seconds", waitBuckets)
	}
	return m
}

// Spent records time that a stage took.
func (m *Meter) Spent(s Stage, d time.Duration) {
	m.busyTime[s].Inc(d.Microseconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy[s] += d
}

// Waited records how long work of a stage waited until it was done.
func (m *Meter) Waited(s Stage, d time.Duration) {
	d = max(0, d)
	m.waitTime[s].RecordDuration(d)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longestWait[s] = max(m.longestWait[s], d)
}

// PlanWanted records that a plan is wanted.
func (m *Meter) PlanWanted(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.planWantedAt == 0 {
		m.planWantedAt = now
	}
}

// PlanStarted records that a plan is made. It is not late as long as it only waited for
// changes that it covers.
func (m *Meter) PlanStarted(now time.Duration) {
	m.mu.Lock()
	wanted := m.planWantedAt
	m.planWantedAt = 0
	m.mu.Unlock()
	if wanted > 0 {
		m.Waited(Plan, now-wanted-m.planDelay)
	}
}

// load is what a look at a meter finds.
type load struct {
	// over is the time since the look before, and busy how much of it each stage took.
	over time.Duration
	busy [count]time.Duration
	// behind is the longest time for which work waited, and in which stage.
	behind time.Duration
	stage  Stage
}

// look returns what was measured since the last look.
func (m *Meter) look(now time.Duration) load {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.planWantedAt > 0 {
		m.longestWait[Plan] = max(m.longestWait[Plan], now-m.planWantedAt-m.planDelay)
	}
	l := load{over: now - m.lookedAt, busy: m.busy}
	for s, wait := range m.longestWait {
		if wait > l.behind {
			l.behind, l.stage = wait, Stage(s)
		}
	}
	m.lookedAt = now
	m.busy, m.longestWait = [count]time.Duration{}, [count]time.Duration{}
	return l
}

// Report looks at the meter, and logs when the holder falls behind and when it has
// caught up.
func (m *Meter) Report(now time.Duration, l zerolog.Logger) {
	found := m.look(now)
	m.behind.Update(found.behind.Seconds())
	switch {
	case found.behind < behindAfter:
		if m.loggedAt > 0 {
			l.Info().Dur("longest_wait", found.behind).Msg("the pool's holder has caught up")
		}
		m.loggedAt = 0
	case m.loggedAt == 0 || now >= m.loggedAt+behindRepeat:
		m.loggedAt = now
		e := l.Warn().Dur("behind", found.behind).Stringer("stage", found.stage).Dur("over", found.over)
		for s, d := range found.busy {
			e.Dur(names[s], d)
		}
		e.Msg("the pool's holder is behind")
	}
}

// Clear sets the gauge to 0.
func (m *Meter) Clear() { m.behind.Update(0) }
