package dispatch

import "time"

const (
	// sizeGain is the weight of the newest run in an entry's mean size.
	sizeGain = 1.0 / 16
	// classGain is the weight of the newest run in its share of long runs.
	classGain = 1.0 / 128
	// provenRuns is how many runs an entry needs before its declared class
	// is believed, and how many slots it may hold until then.
	provenRuns = 4
	// suspectShare is the share of runs past the threshold from which any
	// job of an entry may turn out long.
	suspectShare = 0.002
	// learnedLongShare is the share of runs past the threshold from which
	// an entry's jobs queue as long.
	learnedLongShare = 0.25
	// assumedShort and assumedLong are the sizes of jobs of entries that
	// have not run yet.
	assumedShort = 20 * time.Millisecond
	assumedLong  = 2 * time.Second
)

// size is what was learned of the runs of one entry.
type size struct {
	runs int
	mean float64 // seconds
	// classed counts the runs whose class is known, long the share of them
	// that passed the threshold.
	classed int
	long    float64
}

// sizes learns how long the runs of each entry take.
type sizes map[string]*size

func (s sizes) of(entry string) *size {
	z, ok := s[entry]
	if !ok {
		z = &size{}
		s[entry] = z
	}
	return z
}

// observe adds a finished run.
func (z *size) observe(d time.Duration) {
	z.runs++
	z.mean += gain(sizeGain, z.runs) * (d.Seconds() - z.mean)
}

// observeClass adds whether a run passed the threshold. It is known before the
// run ends.
func (z *size) observeClass(long bool) {
	v := 0.0
	if long {
		v = 1
	}
	z.classed++
	z.long += gain(classGain, z.classed) * (v - z.long)
}

// gain makes an average plain over the first runs and exponential after them.
func gain(settled float64, runs int) float64 { return max(settled, 1/float64(runs)) }

func (z *size) proven() bool { return z.runs >= provenRuns }

// suspect reports whether the next job may well turn out long.
func (z *size) suspect() bool { return !z.proven() || z.long >= suspectShare }

func (z *size) learnedLong() bool { return z.long >= learnedLongShare }

// expected returns the size to plan with.
func (z *size) expected(long bool) time.Duration {
	switch {
	case z.runs > 0:
		return time.Duration(z.mean * float64(time.Second))
	case long:
		return assumedLong
	default:
		return assumedShort
	}
}
