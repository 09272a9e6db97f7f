package bench

import (
	"fmt"
	"io"
	"time"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
)

// holRun is the length of a run with long work.
const holRun = 120 * time.Second

// The loads of short and long work, as shares of the zone's slots.
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
	// mixed is set when one entry holds both kinds of work.
	mixed bool
}

var holCases = []holCase{
	{"short alone", 0, request.ClassLong, false},
	{"long declared long", holLongLoad, request.ClassLong, false},
	{"long declared short (size wrong by 100)", holLongLoad, request.ClassShort, false},
	{"long declared short, in the entry of short work", holLongLoad, request.ClassShort, true},
}

// holResult is what short work of an entry without long work met.
type holResult struct {
	p50, p99 time.Duration
	refused  int
	longDone int
}

// runHOL runs one mix under a long share; 1 is no reservation.
func runHOL(seed uint64, m method, sh shape, c holCase, share float64) holResult {
	sim := NewSim(seed)
	z := newZone(sim, sh, holRun)
	z.policy = dispatch.SchedulerConfig{LongShare: share}
	z.stats.from = holRun / 6
	s := m.make(z)
	short := sh.rate(holShortLoad)
	streams := []stream{
		shortStream("reserve", "reservations", constant(short/2), short/2),
		shortStream("balance", "settlement", constant(short/2), short/2),
	}
	if c.long > 0 {
		rate := c.long * float64(sh.capacity()) / longMean.Seconds()
		st := longStream("settle", "settlement", rate, c.declared)
		if c.mixed {
			st.entry = "balance"
		}
		streams = append(streams, st)
	}
	play(sim, generate(sim.rng, streams, sh.daemons, 0, holRun), s)
	h := z.stats.byTeam["reservations"]
	return holResult{
		p50:      quantile(h, 50),
		p99:      quantile(h, 99),
		refused:  z.stats.refused,
		longDone: z.stats.good - int(z.stats.short.TotalCount()),
	}
}

// HOL prints the table of head-of-line blocking.
func HOL(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\n### Head-of-line blocking: %s, short load %.1f, long load %.1f, %s, seed %d\n\n",
		kumotZone.name, holShortLoad, holLongLoad, holRun, seed)
	fmt.Fprintln(w, "| way | long share | work | short p50 | short p99 | p99 / alone | refused | long done |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, m := range []method{centralMethod, lendMethod} {
		for _, share := range []float64{1, longShare} {
			var alone holResult
			for i, c := range holCases {
				r := runHOL(seed, m, kumotZone, c, share)
				if i == 0 {
					alone = r
				}
				fmt.Fprintf(w, "| %s | %.1f | %s | %s | %s | %.2f | %d | %d |\n",
					m.name, share, c.name, ms(r.p50), ms(r.p99), ratio(r.p99, alone.p99), r.refused, r.longDone)
			}
		}
	}
}
