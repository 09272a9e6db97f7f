package bench

import (
	"fmt"
	"io"
	"time"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
)

// Parameters of the runs of the overload table.
const (
	overloadDuration = 20 * time.Second
	// recoveryDuration is the length of a run with one burst at its start. The
	// latency of requests that arrive two seconds or more after the end of the
	// burst is compared with the latency in a run without a burst.
	recoveryDuration = 15 * time.Second
	recoveryStart    = burstDuration + 2*time.Second
	urgentShare      = 0.05
)

var overloadLoads = []float64{0.5, 0.9, 1, 1.5, 2, 3, 5}

// overloadResult holds the measurements of a zone at a constant load.
type overloadResult struct {
	// goodput is the share of the total slot time that was spent on answers
	// within their deadline.
	goodput    float64
	p99        time.Duration
	rejected   float64
	late       float64
	urgentWait time.Duration
}

// noRejectionSpec is the central queue without early rejection and without a queue
// limit.
var noRejectionSpec = strategySpec{"no early refusal", newNoRejection}

func newNoRejection(z *zone) strategy {
	c := newCentral(z).(*centralQueue)
	c.n.neverReject = true
	return c
}

func runOverload(seed uint64, m strategySpec, sh shape, load float64) overloadResult {
	sim := NewSim(seed)
	z := newZone(sim, sh, overloadDuration)
	s := m.build(z)
	rate := sh.rate(load)
	urgent := shortStream("stain-alarm", "laundry", constantRate(rate*urgentShare), rate*urgentShare)
	urgent.class = request.ClassUrgent
	urgent.deadline = 5900 * time.Millisecond
	streams := []stream{
		shortStream("laundry-pickup", "laundry", constantRate(rate*(1-urgentShare)), rate*(1-urgentShare)),
		urgent,
	}
	runRequests(sim, generate(sim.rng, streams, sh.daemons, 0, overloadDuration), s)
	n := float64(z.stats.arrived)
	return overloadResult{
		goodput:    z.stats.onTimeWork.Seconds() / overloadDuration.Seconds() / float64(sh.capacity()),
		p99:        quantile(z.stats.short, 99),
		rejected:   float64(z.stats.rejected) / n,
		late:       float64(z.stats.late) / n,
		urgentWait: z.stats.urgentWait,
	}
}

// runRecovery returns the p99 latency of short work in the interval after a burst,
// or in the same interval of a run without a burst.
func runRecovery(seed uint64, m strategySpec, sh shape, burst bool) time.Duration {
	sim := NewSim(seed)
	z := newZone(sim, sh, recoveryDuration)
	z.stats.from = recoveryStart
	s := m.build(z)
	calm := sh.rate(0.5)
	rate := func(t time.Duration) float64 {
		if burst && t < burstDuration {
			return burstFactor * calm
		}
		return calm
	}
	st := shortStream("reserve", "reservations", rate, burstFactor*calm)
	runRequests(sim, generate(sim.rng, []stream{st}, sh.daemons, 0, recoveryDuration), s)
	return quantile(z.stats.short, 99)
}

// Overload prints the tables of goodput at several loads and of the recovery after a
// burst.
func Overload(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\n### Overload: %s, %s, %.0f %% of it urgent, seed %d\n\n",
		kumotZone.name, overloadDuration, 100*urgentShare, seed)
	fmt.Fprintln(w, "| way | load | goodput | goodput / peak | short p99 | refused | late | longest wait of urgent work |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, m := range []strategySpec{noRejectionSpec, centralSpec, lendingSpec} {
		peak := 0.0
		for _, load := range overloadLoads {
			r := runOverload(seed, m, kumotZone, load)
			peak = max(peak, r.goodput)
			fmt.Fprintf(w, "| %s | %.1f | %.3f | %.2f | %s | %s | %s | %s |\n",
				m.name, load, r.goodput, r.goodput/peak, ms(r.p99), percent(r.rejected), percent(r.late), ms(r.urgentWait))
		}
	}
	fmt.Fprintf(w, "\n### After a burst of %.0f times for %s: short work that arrives from two seconds later on, load 0.5, seed %d\n\n", burstFactor, burstDuration, seed)
	fmt.Fprintln(w, "| way | p99 after the burst | p99 without one | ratio |")
	fmt.Fprintln(w, "|---|---|---|---|")
	for _, m := range []strategySpec{noRejectionSpec, centralSpec, lendingSpec} {
		after := runRecovery(seed, m, kumotZone, true)
		calm := runRecovery(seed, m, kumotZone, false)
		fmt.Fprintf(w, "| %s | %s | %s | %.2f |\n", m.name, ms(after), ms(calm), ratio(after, calm))
	}
}

// quotaCase selects the mechanisms that isolate the teams from each other.
type quotaCase struct {
	name   string
	fair   bool
	quotas bool
}

var quotaCases = []quotaCase{
	{"one queue for all", false, false},
	{"fair between teams", true, false},
	{"quotas alone", false, true},
	{"fair between teams, and quotas", true, true},
}

// Parameters of the quota table.
const (
	quotaTeams = 250
	quotaLoad  = 0.7
	// floodFactor is the demand of the flooding team as a multiple of its
	// normal demand.
	floodFactor   = 100
	quotaDuration = 30 * time.Second
	// quotaHeadroom is a team's quota as a multiple of its normal demand.
	quotaHeadroom = 2.0
)

// runQuota returns the p99 latency of the other teams' short work, with or without
// one flooding team.
func runQuota(seed uint64, m strategySpec, sh shape, c quotaCase, flood bool) time.Duration {
	sim := NewSim(seed)
	z := newZone(sim, sh, quotaDuration)
	s := m.build(z)
	each := sh.rate(quotaLoad) / quotaTeams
	var streams []stream
	for i := range quotaTeams {
		rate := each
		if i == 0 && flood {
			rate = each * floodFactor
		}
		name := fmt.Sprintf("team-%03d", i)
		streams = append(streams, shortStream("entry-"+name, name, constantRate(rate), rate))
	}
	all := generate(sim.rng, streams, sh.daemons, 0, quotaDuration)
	quotas := make([]*dispatch.Quotas, sh.daemons)
	for d := range quotas {
		quotas[d] = dispatch.NewQuotas()
	}
	for _, req := range all {
		sim.At(req.arrive, func() { arriveThroughQuota(z, s, quotas[req.daemon], c, each, req) })
	}
	sim.Run()
	others := newHistogram()
	for team, h := range z.stats.byTeam {
		if team != floodingTeam {
			others.Merge(h)
		}
	}
	return quantile(others, 99)
}

const floodingTeam = "team-000"

// arriveThroughQuota passes req to the strategy. If the case has quotas, a request above
// its team's quota is rejected instead.
func arriveThroughQuota(z *zone, s strategy, q *dispatch.Quotas, c quotaCase, each float64, req *simRequest) {
	if c.quotas {
		share := dispatch.DaemonQuota(quotaHeadroom*each, int(quotaHeadroom*each), z.shape.daemons)
		if err := q.Admit(z.sim.Now(), req.team, share); err != nil {
			z.recordAnswer(req, outcome{rejection: err})
			return
		}
	}
	req.sharedQueue = !c.fair
	s.arrive(req)
}

// Quota prints the table of the effect of one flooding team on the others.
func Quota(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\n### Quotas: %s, %d teams at load %.1f, one asks %d times as much, %s, seed %d\n\n",
		kumotZone.name, quotaTeams, quotaLoad, floodFactor, quotaDuration, seed)
	fmt.Fprintln(w, "| way | teams | p99 of the others | without the flood | ratio |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, m := range []strategySpec{centralSpec, lendingSpec} {
		for _, c := range quotaCases {
			calm := runQuota(seed, m, kumotZone, c, false)
			flood := runQuota(seed, m, kumotZone, c, true)
			fmt.Fprintf(w, "| %s | %s | %s | %s | %.2f |\n", m.name, c.name, ms(flood), ms(calm), ratio(flood, calm))
		}
	}
}
