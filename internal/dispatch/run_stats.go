package dispatch

import "time"

const (
	// runTimeGain is the weight of the newest run in an entry's mean run
	// time.
	runTimeGain = 1.0 / 16
	// longShareGain is the weight of the newest run in an entry's share of
	// long runs.
	longShareGain = 1.0 / 128
	// minHistoryRuns is how many runs an entry needs before its declared
	// class is trusted, and how many slots it may hold until then.
	minHistoryRuns = 4
	// mayBeLongShare is the share of runs past the LongAfter threshold from
	// which any job of an entry may turn out long.
	mayBeLongShare = 0.002
	// usuallyLongShare is the share of runs past the LongAfter threshold
	// from which an entry's jobs queue as long.
	usuallyLongShare = 0.25
	// defaultShortRunTime and defaultLongRunTime are the expected run times
	// of jobs of entries that have not run yet.
	defaultShortRunTime = 20 * time.Millisecond
	defaultLongRunTime  = 2 * time.Second
)

// runStats holds statistics of the runs of one entry.
type runStats struct {
	runs        int
	meanSeconds float64
	// classifiedRuns counts the runs whose class is known, longShare is the
	// share of them that passed the LongAfter threshold.
	classifiedRuns int
	longShare      float64
}

// runStatsByEntry holds the statistics of each entry.
type runStatsByEntry map[string]*runStats

func (s runStatsByEntry) forEntry(entry string) *runStats {
	z, ok := s[entry]
	if !ok {
		z = &runStats{}
		s[entry] = z
	}
	return z
}

// observeRunTime adds a finished run.
func (z *runStats) observeRunTime(d time.Duration) {
	z.runs++
	z.meanSeconds += averagingGain(runTimeGain, z.runs) * (d.Seconds() - z.meanSeconds)
}

// observeClass records whether a run passed the LongAfter threshold, which is
// known before the run ends.
func (z *runStats) observeClass(long bool) {
	v := 0.0
	if long {
		v = 1
	}
	z.classifiedRuns++
	z.longShare += averagingGain(longShareGain, z.classifiedRuns) * (v - z.longShare)
}

// averagingGain returns the weight of the newest of the given number of runs. The
// average is arithmetic over the first runs and exponential after them.
func averagingGain(minGain float64, runs int) float64 { return max(minGain, 1/float64(runs)) }

func (z *runStats) hasHistory() bool { return z.runs >= minHistoryRuns }

// mayBeLong reports whether the next job may turn out long.
func (z *runStats) mayBeLong() bool { return !z.hasHistory() || z.longShare >= mayBeLongShare }

func (z *runStats) usuallyLong() bool { return z.longShare >= usuallyLongShare }

// expectedRunTime returns the run time to plan with.
func (z *runStats) expectedRunTime(long bool) time.Duration {
	switch {
	case z.runs > 0:
		return time.Duration(z.meanSeconds * float64(time.Second))
	case long:
		return defaultLongRunTime
	default:
		return defaultShortRunTime
	}
}
