package bench

import (
	"fmt"
	"io"
	"time"
)

// The compared zone sizes.
var (
	kumotZone      = shape{name: "2 daemons, 3 hosts", daemons: 2, hosts: 3, slots: 8}
	fourDaemonZone = shape{name: "4 daemons, 3 hosts", daemons: 4, hosts: 3, slots: 8}
	largeZone      = shape{name: "9 daemons, 50 hosts", daemons: 9, hosts: 50, slots: 8}
)

// Durations of the runs of the slots table.
const (
	slotsDuration      = 60 * time.Second
	largeSlotsDuration = 10 * time.Second
)

// pattern describes how short work arrives.
type pattern struct {
	name string
	load float64
	rate func(mean float64) func(time.Duration) float64
	// peak is the highest rate as a multiple of the mean.
	peak float64
	// skew is the share of requests that goes to one daemon regardless of the
	// load balancer.
	skew float64
}

var (
	load50  = pattern{"0.5", 0.5, constantRate, 1, 0}
	load80  = pattern{"0.8", 0.8, constantRate, 1, 0}
	skew80  = pattern{"0.8, uneven", 0.8, constantRate, 1, 0.25}
	load95  = pattern{"0.95", 0.95, constantRate, 1, 0}
	burst5x = pattern{"burst", 0.4, burstRate, burstFactor, 0}
)

var patterns = []pattern{load50, load80, skew80, load95, burst5x}

// slotsResult holds the measurements of one row of the slots table.
type slotsResult struct {
	p50, p99   time.Duration
	rejected   float64 // share of requests
	control    float64 // bytes per second of the busiest daemon
	data       float64
	handedOver float64 // share of requests
	overflows  float64 // share of requests that reached a full target
	arrived    int
}

// runSlots runs one strategy under one pattern of short work of two entries.
func runSlots(seed uint64, m strategySpec, sh shape, p pattern, end time.Duration) slotsResult {
	sim := NewSim(seed)
	z := newZone(sim, sh, end)
	s := m.build(z)
	mean := sh.rate(p.load) / 2
	streams := []stream{
		shortStream("reserve", "reservations", p.rate(mean), mean*p.peak),
		shortStream("free-blankets", "reservations", p.rate(mean), mean*p.peak),
	}
	all := generate(sim.rng, streams, sh.daemons, p.skew, end)
	runRequests(sim, all, s)
	return newSlotsResult(z, len(all))
}

// runRequests lets every request arrive at its time and runs until all are answered.
func runRequests(sim *Sim, all []*simRequest, s strategy) {
	for _, req := range all {
		sim.At(req.arrive, func() { s.arrive(req) })
	}
	sim.Run()
}

func newSlotsResult(z *zone, arrived int) slotsResult {
	overflows := 0
	for _, t := range z.targets {
		overflows += t.overflows
	}
	n := float64(arrived)
	return slotsResult{
		p50:        quantile(z.stats.short, 50),
		p99:        quantile(z.stats.short, 99),
		rejected:   float64(z.stats.rejected) / n,
		control:    z.controlRate(),
		data:       z.dataRate(),
		handedOver: float64(z.handovers) / n,
		overflows:  float64(overflows) / n,
		arrived:    arrived,
	}
}

// Slots prints the tables that compare the strategies for sharing slots.
func Slots(w io.Writer, seed uint64) {
	slotsTable(w, seed, kumotZone, slotsDuration)
	slotsTable(w, seed, fourDaemonZone, slotsDuration)
	slotsTable(w, seed, largeZone, largeSlotsDuration)
	crashTable(w, seed)
}

func slotsTable(w io.Writer, seed uint64, sh shape, end time.Duration) {
	fmt.Fprintf(w, "\n### Slots: %s, %d slots each, %s, seed %d\n\n", sh.name, sh.slots, end, seed)
	fmt.Fprintln(w, "| load | way | short p50 | short p99 | p99 / reference | refused | handed over | met a full target | control B/s | data B/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, p := range patterns {
		var ref slotsResult
		for i, m := range strategies {
			r := runSlots(seed, m, sh, p, end)
			if i == 0 {
				ref = r
			}
			fmt.Fprintf(w, "| %s | %s | %s | %s | %.2f | %s | %s | %s | %.0f | %.0f |\n",
				p.name, m.name, ms(r.p50), ms(r.p99), ratio(r.p99, ref.p99),
				percent(r.rejected), percent(r.handedOver), percent(r.overflows), r.control, r.data)
		}
	}
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

func percent(x float64) string { return fmt.Sprintf("%.2f %%", 100*x) }

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }
