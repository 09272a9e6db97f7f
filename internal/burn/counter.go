package burn

import (
	"math/rand/v2"
	"sync"
	"time"

	"greengagedeck/internal/request"
)

const (
	counterShards = 8
	// maxEntriesPerShard bounds the entries that a shard counts individually
	// in a minute. Further ones are counted together under overflowEntry.
	maxEntriesPerShard = 4096
	overflowEntry      = "(other)"
	maxQueuedMS        = uint64(24 * time.Hour / time.Millisecond)
)

// Conditions reports the state of a pool at the time one of its requests ends.
type Conditions interface {
	// InMaintenance reports whether hosts of the pool are out for maintenance.
	InMaintenance(pool string) bool
	// LongRequestsHoldSlots reports whether long requests hold slots of the pool.
	LongRequestsHoldSlots(pool string) bool
}

// Counter counts the requests of one daemon by minute and entry. It is safe
// for concurrent use.
type Counter struct {
	conditions Conditions
	shards     [counterShards]counterShard
}

type counterShard struct {
	mu sync.Mutex
	// firstOpenMinute is the first minute that Take has not returned yet. A
	// sample of an earlier minute is counted there, so that a minute that has
	// been summarised never changes.
	firstOpenMinute int64
	minutes         map[int64]map[entryKey]*Counts
}

type entryKey struct {
	entry string
	pool  string
}

// NewCounter returns an empty counter. conditions may be nil.
func NewCounter(conditions Conditions) *Counter {
	c := &Counter{conditions: conditions}
	for i := range c.shards {
		c.shards[i].minutes = map[int64]map[entryKey]*Counts{}
	}
	return c
}

// Record counts s as a request that finished at now.
func (c *Counter) Record(s Sample, now time.Time) {
	maintenance, blocked := false, false
	if c.conditions != nil {
		maintenance = s.Err != nil && c.conditions.InMaintenance(s.Pool)
		blocked = s.Queued > 0 && s.Class != request.ClassLong && c.conditions.LongRequestsHoldSlots(s.Pool)
	}
	result, cause := classify(s, maintenance)
	sh := &c.shards[rand.IntN(counterShards)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	counts := sh.countsFor(minuteOf(now), entryKey{s.Entry, s.Pool})
	counts.count(s, result, cause, blocked)
}

func (sh *counterShard) countsFor(minute int64, key entryKey) *Counts {
	minute = max(minute, sh.firstOpenMinute)
	byEntry := sh.minutes[minute]
	if byEntry == nil {
		byEntry = map[entryKey]*Counts{}
		sh.minutes[minute] = byEntry
	}
	counts := byEntry[key]
	if counts == nil && len(byEntry) >= maxEntriesPerShard {
		key = entryKey{entry: overflowEntry}
		counts = byEntry[key]
	}
	if counts == nil {
		counts = &Counts{Bad: make([]uint64, numCauses), Latency: make([]uint64, latencyBuckets)}
		byEntry[key] = counts
	}
	return counts
}

func (c *Counts) count(s Sample, result outcome, cause Cause, blocked bool) {
	switch result {
	case outcomeExcluded:
		c.Excluded++
		return
	case outcomeBad:
		c.Bad[cause]++
	case outcomeGood:
		c.Good++
	}
	if s.Err == nil {
		c.Latency[latencyBucket(s.Duration)]++
	}
	if s.Class == request.ClassLong {
		return
	}
	queued := min(uint64(max(0, s.Queued.Milliseconds())), maxQueuedMS)
	c.Short++
	c.ShortQueued += queued
	if blocked {
		c.ShortBlocked += queued
	}
}

// Take removes and returns the counts of all minutes that ended before now,
// oldest first. Each minute is returned at most once.
func (c *Counter) Take(now time.Time) []Minute {
	return c.take(minuteOf(now))
}

// TakeAll is like Take but includes the minute of now. A daemon calls it when
// it stops.
func (c *Counter) TakeAll(now time.Time) []Minute {
	return c.take(minuteOf(now) + 1)
}

func (c *Counter) take(end int64) []Minute {
	merged := map[int64]map[entryKey]*Counts{}
	for i := range c.shards {
		c.shards[i].take(end, merged)
	}
	return sortedMinutes(merged)
}

func (sh *counterShard) take(end int64, into map[int64]map[entryKey]*Counts) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.firstOpenMinute = max(sh.firstOpenMinute, end)
	for minute, byEntry := range sh.minutes {
		if minute >= sh.firstOpenMinute {
			continue
		}
		delete(sh.minutes, minute)
		if into[minute] == nil {
			into[minute] = map[entryKey]*Counts{}
		}
		mergeCounts(into[minute], byEntry)
	}
}

// mergeCounts adds the counts of from to into. It may keep pointers to the
// values of from.
func mergeCounts(into, from map[entryKey]*Counts) {
	for key, counts := range from {
		if sum := into[key]; sum != nil {
			sum.Add(*counts)
		} else {
			into[key] = counts
		}
	}
}
