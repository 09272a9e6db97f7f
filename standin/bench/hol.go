package bench

import (
	"fmt"
	"io"
	"time"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
)

// holDuration is the duration of a run with long work.
const holDuration = 120 * time.Second

// Loads of short and long work, as shares of the zone's slots.
const (
	holShortLoad = 0.4
	holLongLoad  = 0.4
)

// holCase is one mix of short and long work.
type holCase struct {
	name string
	long float64
	// declared is the class that long work declares.
	declared request.Class
	// mixed is set if the long work belongs to an entry that also has short
	// work.
	mixed bool
}

var holCases = []holCase{
	{"short alone", 0, request.ClassLong, false},
	{"long declared long", holLongLoad, request.ClassLong, false},
	{"long declared short (size wrong by 100)", holLongLoad, request.ClassShort, false},
	{"long declared short, in the entry of short work", holLongLoad, request.ClassShort, true},
}

// holResult holds the measurements of short work of an entry without long work, the
// rejections of all work, and the completed long work.
type holResult struct {
	p50, p99      time.Duration
	rejected      int
	longCompleted int
}

// runHOL runs one mix of work with the given long share. A share of 1 reserves no
// slots for short work.
func runHOL(seed uint64, m strategySpec, sh shape, c holCase, share float64) holResult {
	sim := NewSim(seed)
	z := newZone(sim, sh, holDuration)
	z.policy = dispatch.SchedulerConfig{LongShare: share}
	z.stats.from = holDuration / 6
	s := m.build(z)
	short := sh.rate(holShortLoad)
	streams := []stream{
		shortStream("reserve", "reservations", constantRate(short/2), short/2),
		shortStream("balance", "settlement", constantRate(short/2), short/2),
	}
	if c.long > 0 {
		rate := c.long * float64(sh.capacity()) / longMean.Seconds()
		st := longStream("settle", "settlement", rate, c.declared)
		if c.mixed {
			st.entry = "balance"
		}
		streams = append(streams, st)
	}
	runRequests(sim, generate(sim.rng, streams, sh.daemons, 0, holDuration), s)
	h := z.stats.byTeam["reservations"]
	return holResult{
		p50:           quantile(h, 50),
		p99:           quantile(h, 99),
		rejected:      z.stats.rejected,
		longCompleted: z.stats.onTime - int(z.stats.short.TotalCount()),
	}
}

// HOL prints the table of head-of-line blocking: the latency of short work beside
// long work.
func HOL(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\n### Head-of-line blocking: %s, short load %.1f, long load %.1f, %s, seed %d\n\n",
		kumotZone.name, holShortLoad, holLongLoad, holDuration, seed)
	fmt.Fprintln(w, "| way | long share | work | short p50 | short p99 | p99 / alone | refused | long done |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, m := range []strategySpec{centralSpec, lendingSpec} {
		for _, share := range []float64{1, longShare} {
			var alone holResult
			for i, c := range holCases {
				r := runHOL(seed, m, kumotZone, c, share)
				if i == 0 {
					alone = r
				}
				fmt.Fprintf(w, "| %s | %.1f | %s | %s | %s | %.2f | %d | %d |\n",
					m.name, share, c.name, ms(r.p50), ms(r.p99), ratio(r.p99, alone.p99), r.rejected, r.longCompleted)
			}
		}
	}
}
