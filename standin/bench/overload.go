package bench

import (
	"fmt"
	"io"
	"time"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
)

// The runs of the overload table.
const (
	overloadRun = 20 * time.Second
	// recoveryRun has one burst; what arrives from two seconds after its
	// end on is compared with what a run without a burst gives.
	recoveryRun  = 15 * time.Second
	recoveryFrom = burstOn + 2*time.Second
	urgentShare  = 0.05
)

var overloadLoads = []float64{0.5, 0.9, 1, 1.5, 2, 3, 5}

// overloadResult is what a zone does at a constant load.
type overloadResult struct {
	// goodput is the part of all slot time that went into answers that
	// came within their deadline.
	goodput    float64
	p99        time.Duration
	refused    float64
	late       float64
	urgentWait time.Duration
}

// patientMethod is the queue without early refusal: first come, first served
// to entries and teams alike, no limit.
var patientMethod = method{"no early refusal", newPatient}

func newPatient(z *zone) sharing {
	c := newCentral(z).(*central)
	c.n.patient = true
	return c
}

func runOverload(seed uint64, m method, sh shape, load float64) overloadResult {
	sim := NewSim(seed)
	z := newZone(sim, sh, overloadRun)
	s := m.make(z)
	rate := sh.rate(load)
	urgent := shortStream("stain-alarm", "laundry", constant(rate*urgentShare), rate*urgentShare)
	urgent.class = request.ClassUrgent
	urgent.deadline = 5900 * time.Millisecond
	streams := []stream{
		shortStream("laundry-pickup", "laundry", constant(rate*(1-urgentShare)), rate*(1-urgentShare)),
		urgent,
	}
	play(sim, generate(sim.rng, streams, sh.daemons, 0, overloadRun), s)
	n := float64(z.stats.arrived)
	return overloadResult{
		goodput:    z.stats.goodWork.Seconds() / overloadRun.Seconds() / float64(sh.capacity()),
		p99:        quantile(z.stats.short, 99),
		refused:    float64(z.stats.refused) / n,
		late:       float64(z.stats.late) / n,
		urgentWait: z.stats.urgentWait,
	}
}

// runRecovery returns the p99 of short work that arrives after a burst, or
// without one at the same load.
func runRecovery(seed uint64, m method, sh shape, burst bool) time.Duration {
	sim := NewSim(seed)
	z := newZone(sim, sh, recoveryRun)
	z.stats.from = recoveryFrom
	s := m.make(z)
	calm := sh.rate(0.5)
	rate := func(t time.Duration) float64 {
		if burst && t < burstOn {
			return burstHigh * calm
		}
		return calm
	}
	st := shortStream("reserve", "reservations", rate, burstHigh*calm)
	play(sim, generate(sim.rng, []stream{st}, sh.daemons, 0, recoveryRun), s)
	return quantile(z.stats.short, 99)
}

// Overload prints the table of goodput over load.
func Overload(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\n### Overload: %s, %s, %.0f %% of it urgent, seed %d\n\n",
		kumotZone.name, overloadRun, 100*urgentShare, seed)
	fmt.Fprintln(w, "| way | load | goodput | goodput / peak | short p99 | refused | late | longest wait of urgent work |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, m := range []method{patientMethod, centralMethod, lendMethod} {
		peak := 0.0
		for _, load := range overloadLoads {
			r := runOverload(seed, m, kumotZone, load)
			peak = max(peak, r.goodput)
			fmt.Fprintf(w, "| %s | %.1f | %.3f | %.2f | %s | %s | %s | %s |\n",
				m.name, load, r.goodput, r.goodput/peak, ms(r.p99), percent(r.refused), percent(r.late), ms(r.urgentWait))
		}
	}
	fmt.Fprintf(w, "\n### After a burst of %.0f times for %s: short work that arrives from two seconds later on, load 0.5, seed %d\n\n", burstHigh, burstOn, seed)
	fmt.Fprintln(w, "| way | p99 after the burst | p99 without one | ratio |")
	fmt.Fprintln(w, "|---|---|---|---|")
	for _, m := range []method{patientMethod, centralMethod, lendMethod} {
		after := runRecovery(seed, m, kumotZone, true)
		calm := runRecovery(seed, m, kumotZone, false)
		fmt.Fprintf(w, "| %s | %s | %s | %.2f |\n", m.name, ms(after), ms(calm), ratio(after, calm))
	}
}

// quotaCase is how teams are kept apart.
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

// The teams of the quota table.
const (
	quotaTeams = 250
	quotaLoad  = 0.7
	// quotaFlood is how many times its quota one team asks.
	quotaFlood = 100
	quotaRun   = 30 * time.Second
	// quotaHead is a team's quota as a multiple of what it asks.
	quotaHead = 2.0
)

// runQuota returns the p99 of the other teams' short work, with one team
// flooding or not.
func runQuota(seed uint64, m method, sh shape, c quotaCase, flood bool) time.Duration {
	sim := NewSim(seed)
	z := newZone(sim, sh, quotaRun)
	s := m.make(z)
	each := sh.rate(quotaLoad) / quotaTeams
	var streams []stream
	for i := range quotaTeams {
		rate := each
		if i == 0 && flood {
			rate = each * quotaFlood
		}
		name := fmt.Sprintf("team-%03d", i)
		streams = append(streams, shortStream("entry-"+name, name, constant(rate), rate))
	}
	all := generate(sim.rng, streams, sh.daemons, 0, quotaRun)
	quotas := make([]*dispatch.Quotas, sh.daemons)
	for d := range quotas {
		quotas[d] = dispatch.NewQuotas()
	}
	for _, w := range all {
		sim.At(w.arrive, func() { arriveWithin(z, s, quotas[w.daemon], c, each, w) })
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

// arriveWithin lets w in as the case says.
func arriveWithin(z *zone, s sharing, q *dispatch.Quotas, c quotaCase, each float64, w *work) {
	if c.quotas {
		share := dispatch.DaemonQuota(quotaHead*each, int(quotaHead*each), z.shape.daemons)
		if err := q.Admit(z.sim.Now(), w.team, share); err != nil {
			z.answer(w, outcome{refused: err})
			return
		}
	}
	w.oneQueue = !c.fair
	s.arrive(w)
}

// Quota prints the table of what one team's flood does to the others.
func Quota(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\n### Quotas: %s, %d teams at load %.1f, one asks %d times as much, %s, seed %d\n\n",
		kumotZone.name, quotaTeams, quotaLoad, quotaFlood, quotaRun, seed)
	fmt.Fprintln(w, "| way | teams | p99 of the others | without the flood | ratio |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, m := range []method{centralMethod, lendMethod} {
		for _, c := range quotaCases {
			calm := runQuota(seed, m, kumotZone, c, false)
			flood := runQuota(seed, m, kumotZone, c, true)
			fmt.Fprintf(w, "| %s | %s | %s | %s | %.2f |\n", m.name, c.name, ms(flood), ms(calm), ratio(flood, calm))
		}
	}
}
