package scheduler

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
	// StageDecode decodes the answers of workers and the records of the intake.
	StageDecode Stage = iota
	// StageSubmit adds and cancels jobs.
	StageSubmit
	// StagePlan decides which runs start and stop, and StageEncode encodes the records
	// of a plan.
	StagePlan
	StageEncode
	// StageAppend waits for the log.
	StageAppend
	// StageStart issues starts and stops, and handles the answers to them.
	StageStart
	// StagePoll issues polls and handles the answers to them.
	StagePoll
	// StageList applies changes of the list of workers.
	StageList

	stageCount
)

var stageNames = [stageCount]string{"decode", "submit", "plan", "encode", "append", "start", "poll", "list"}

// String returns the stage as it is logged.
func (s Stage) String() string { return stageNames[s] }

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

// workMeter measures where the time of a pool's holder goes, and how late its work is
// done. It is safe for concurrent use.
type workMeter struct {
	busyTime [stageCount]tally.Counter
	waitTime [stageCount]tally.Histogram
	behind   tally.Gauge

	mu sync.Mutex
	// busy and longestWait are those since the last look.
	busy, longestWait [stageCount]time.Duration
	// planWantedAt is since when a plan is wanted, or 0.
	planWantedAt time.Duration
	// lookedAt is when the last look was, and loggedAt when a line last told that the
	// holder is behind, or 0 if it is not.
	lookedAt, loggedAt time.Duration
}

// newWorkMeter returns a meter for the pool whose tag the scope has.
func newWorkMeter(scope tally.Scope, now time.Duration) *workMeter {
	m := &workMeter{behind: scope.Gauge("behind_seconds"), lookedAt: now}
	for s := range stageCount {
		tagged := scope.Tagged(map[string]string{"stage": s.String()})
		m.busyTime[s] = tagged.Counter("stage_microseconds")
		m.waitTime[s] = tagged.Histogram("stage_wait_seconds", waitBuckets)
	}
	return m
}

// spent records time that a stage took.
func (m *workMeter) spent(s Stage, d time.Duration) {
	m.busyTime[s].Inc(d.Microseconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy[s] += d
}

// waited records how long work of a stage waited until it was done.
func (m *workMeter) waited(s Stage, d time.Duration) {
	d = max(0, d)
	m.waitTime[s].RecordDuration(d)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longestWait[s] = max(m.longestWait[s], d)
}

// planWanted records that a plan is wanted.
func (m *workMeter) planWanted(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.planWantedAt == 0 {
		m.planWantedAt = now
	}
}

// planStarted records that a plan is made. It is not late as long as it only waited for
// changes that it covers.
func (m *workMeter) planStarted(now time.Duration) {
	m.mu.Lock()
	wanted := m.planWantedAt
	m.planWantedAt = 0
	m.mu.Unlock()
	if wanted > 0 {
		m.waited(StagePlan, now-wanted-planDelay)
	}
}

// workLoad is what a look at a meter finds.
type workLoad struct {
	// over is the time since the look before, and busy how much of it each stage took.
	over time.Duration
	busy [stageCount]time.Duration
	// behind is the longest time for which work waited, and in which stage.
	behind time.Duration
	stage  Stage
}

// look returns what was measured since the last look.
func (m *workMeter) look(now time.Duration) workLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.planWantedAt > 0 {
		m.longestWait[StagePlan] = max(m.longestWait[StagePlan], now-m.planWantedAt-planDelay)
	}
	l := workLoad{over: now - m.lookedAt, busy: m.busy}
	for s, wait := range m.longestWait {
		if wait > l.behind {
			l.behind, l.stage = wait, Stage(s)
		}
	}
	m.lookedAt = now
	m.busy, m.longestWait = [stageCount]time.Duration{}, [stageCount]time.Duration{}
	return l
}

// report looks at the meter, and logs when the holder falls behind and when it has
// caught up.
func (m *workMeter) report(now time.Duration, l zerolog.Logger) {
	load := m.look(now)
	m.behind.Update(load.behind.Seconds())
	switch {
	case load.behind < behindAfter:
		if m.loggedAt > 0 {
			l.Info().Dur("longest_wait", load.behind).Msg("the pool's holder has caught up")
		}
		m.loggedAt = 0
	case m.loggedAt == 0 || now >= m.loggedAt+behindRepeat:
		m.loggedAt = now
		e := l.Warn().Dur("behind", load.behind).Stringer("stage", load.stage).Dur("over", load.over)
		for s, d := range load.busy {
			e.Dur(stageNames[s], d)
		}
		e.Msg("the pool's holder is behind")
	}
}

// clear sets the gauge to 0.
func (m *workMeter) clear() { m.behind.Update(0) }
