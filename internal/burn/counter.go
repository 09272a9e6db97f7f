package burn

import (
	"math/rand/v2"
	"sync"
	"time"

	"greengagedeck/internal/request"
)

const (
	counterShards = 8
	// maxEntries bounds the entries that a shard counts apart in a minute.
	// Further ones are counted together.
	maxEntries  = 4096
	otherEntry  = "(other)"
	maxQueuedMS = uint64(24 * time.Hour / time.Millisecond)
)

// Conditions tells what goes on in a pool while a request ends there.
type Conditions interface {
	// Maintenance reports whether maintenance has hosts of the pool out.
	Maintenance(pool string) bool
	// LongHeld reports whether long work holds slots of the pool.
	LongHeld(pool string) bool
}

// Counter counts the requests of one daemon by minute and entry. It is safe
// for concurrent use.
type Counter struct {
	conditions Conditions
	shards     [counterShards]counterShard
}

type counterShard struct {
	mu sync.Mutex
	// floor is the first minute that has not been taken away. A sample of
	// an earlier minute counts there, so that a minute that has been
	// summarised never changes.
	floor   int64
	minutes map[int64]map[entryKey]*Counts
}

type entryKey struct {
	entry string
	pool  string
}

// NewCounter returns a counter without samples. conditions may be nil.
func NewCounter(conditions Conditions) *Counter {
	c := &Counter{conditions: conditions}
	for i := range c.shards {
		c.shards[i].minutes = map[int64]map[entryKey]*Counts{}
	}
	return c
}

// Record counts s as finished at now.
func (c *Counter) Record(s Sample, now time.Time) {
	maintenance, held := false, false
	if c.conditions != nil {
		maintenance = s.Err != nil && c.conditions.Maintenance(s.Pool)
		held = s.Queued > 0 && s.Class != request.ClassLong && c.conditions.LongHeld(s.Pool)
	}
	out, cause := classify(s, maintenance)
	sh := &c.shards[rand.IntN(counterShards)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	cell := sh.cell(minuteOf(now), entryKey{s.Entry, s.Pool})
	cell.count(s, out, cause, held)
}

func (sh *counterShard) cell(minute int64, key entryKey) *Counts {
	minute = max(minute, sh.floor)
	cells := sh.minutes[minute]
	if cells == nil {
		cells = map[entryKey]*Counts{}
		sh.minutes[minute] = cells
	}
	cell := cells[key]
	if cell == nil && len(cells) >= maxEntries {
		key = entryKey{entry: otherEntry}
		cell = cells[key]
	}
	if cell == nil {
		cell = &Counts{Bad: make([]uint64, numCauses), Latency: make([]uint64, latencyBuckets)}
		cells[key] = cell
	}
	return cell
}

func (c *Counts) count(s Sample, out outcome, cause Cause, held bool) {
	switch out {
	case outcomeExcluded:
		c.Excluded++
		return
	case outcomeBad:
		c.Bad[cause]++
	case outcomeGood:
		c.Good++
	}
	if s.Err == nil {
		c.Latency[latencyBucket(s.Took)]++
	}
	if s.Class == request.ClassLong {
		return
	}
	queued := min(uint64(max(0, s.Queued.Milliseconds())), maxQueuedMS)
	c.Short++
	c.ShortQueued += queued
	if held {
		c.ShortBlocked += queued
	}
}

// Take removes and returns what was counted in the minutes before that of
// now, oldest first. A minute is returned once.
func (c *Counter) Take(now time.Time) []Minute {
	return c.take(minuteOf(now))
}

// TakeAll is Take with the minute of now, for a daemon that stops.
func (c *Counter) TakeAll(now time.Time) []Minute {
	return c.take(minuteOf(now) + 1)
}

func (c *Counter) take(floor int64) []Minute {
	merged := map[int64]map[entryKey]*Counts{}
	for i := range c.shards {
		c.shards[i].take(floor, merged)
	}
	return sortedMinutes(merged)
}

func (sh *counterShard) take(floor int64, into map[int64]map[entryKey]*Counts) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.floor = max(sh.floor, floor)
	for minute, cells := range sh.minutes {
		if minute >= sh.floor {
			continue
		}
		delete(sh.minutes, minute)
		if into[minute] == nil {
			into[minute] = map[entryKey]*Counts{}
		}
		addCells(into[minute], cells)
	}
}

// addCells adds the counts of cells to into. It may take over cells' values.
func addCells(into, cells map[entryKey]*Counts) {
	for key, cell := range cells {
		if sum := into[key]; sum != nil {
			sum.Add(*cell)
		} else {
			into[key] = cell
		}
	}
}
