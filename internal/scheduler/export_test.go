package scheduler

import (
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/job"
)

// PlannedStart is a start that a batch holds, exported for tests.
type PlannedStart struct {
	Run    job.RunID
	Worker string
}

// BatchStarts returns the starts that a batch holds.
func BatchStarts(b *Batch) []PlannedStart { return exportedStarts(b.starts) }

// RepeatedStarts returns the starts of earlier holders that a batch has sent again.
func RepeatedStarts(b *Batch) []PlannedStart { return exportedStarts(b.repeatedStarts) }

func exportedStarts(starts []plannedStart) []PlannedStart {
	out := make([]PlannedStart, 0, len(starts))
	for _, s := range starts {
		out = append(out, PlannedStart{s.run, s.worker.ID})
	}
	return out
}

// EarlierLeasesEnd returns when the last lease has expired that an earlier holder may
// have granted.
func EarlierLeasesEnd(c *Core) time.Duration { return c.earlierLeasesEnd }

// DeleteLeftovers has the core take what the intake holds of ended jobs for deleted
// where deleted returns true.
func DeleteLeftovers(c *Core, deleted func(job.ID) bool) {
	for _, id := range slices.Sorted(maps.Keys(c.leftInIntake)) {
		if deleted(id) {
			c.leftInIntake.deleted(leftovers{id: c.leftInIntake[id]})
		}
	}
}

// StoppingRuns returns how many runs at a worker are to be stopped.
func StoppingRuns(c *Core, workerID string) int {
	n := 0
	for _, r := range c.workers[workerID].Runs {
		if r.Stopping {
			n++
		}
	}
	return n
}
