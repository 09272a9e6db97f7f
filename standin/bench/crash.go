package bench

import (
	"fmt"
	"io"
	"strconv"
	"time"
)

// Parameters of the run in which a daemon crashes.
const (
	crashRunDuration = 30 * time.Second
	crashAt          = 10 * time.Second
	// crashWindow is the time after the crash in which requests are counted.
	crashWindow = 10 * time.Second
	// crashDetectionTime is the time until the other daemons remove the
	// crashed daemon from the membership.
	crashDetectionTime = 2 * time.Second
)

// crashStrategy is a strategy that supports a crash of daemon 0.
type crashStrategy interface {
	strategy
	// crash stops daemon 0. onCrashDetected lets the other daemons react when
	// the crash is detected.
	crash()
	onCrashDetected()
}

// pendingHandover is a request that one daemon handed over to another.
type pendingHandover struct {
	to    int
	reply func(outcome)
}

// handOver sends a request to another daemon and its answer back. If the other
// daemon crashes in between, the request is lost and may have run.
func (z *zone) handOver(from, to int, req *simRequest, run func(reply func(outcome)), reply func(outcome)) {
	z.handovers++
	z.handoverSeq++
	id := z.handoverSeq
	z.pending[id] = pendingHandover{to: to, reply: reply}
	z.sendData(from, to, requestBytes, func() {
		run(func(o outcome) {
			z.sendData(to, from, answerBytes, func() {
				if p, ok := z.pending[id]; ok {
					delete(z.pending, id)
					p.reply(o)
				}
			})
		})
	})
}

// crash stops a daemon. Every request that another daemon has handed over to it and
// that is not answered yet is lost. Requests of its own callers stay unanswered.
func (z *zone) crash(d int) {
	z.crashed[d] = true
	for id := range z.handoverSeq + 1 {
		p, ok := z.pending[id]
		if ok && p.to == d {
			delete(z.pending, id)
			p.reply(outcome{lost: true})
		}
	}
}

func (s *staticSplit) crash() {
	s.z.crash(0)
	s.nodes[0].down = true
}

func (s *staticSplit) onCrashDetected() {
	for d, n := range s.nodes[1:] {
		n.sched.SetTargets(splitTargets(s.z.targetList, d, len(s.nodes)-1))
		n.applyDecisions()
	}
}

func (h *homeQueue) crash() {
	h.z.crash(0)
	h.n.down = true
	h.withoutHome = true
}

// onCrashDetected makes daemon 1 the home.
func (h *homeQueue) onCrashDetected() {
	h.withoutHome = false
	h.home = 1
	h.n = newNode(h.z)
	h.n.queues = h.z.shape.daemons - 1
	h.n.sched.SetTargets(h.z.targetList)
}

func (l *slotLending) crash() {
	l.z.crash(0)
	l.daemons[0].n.down = true
	// Refused connections show the other daemons that they cannot use the
	// crashed daemon as a peer, but not that its slots are free.
	for _, d := range l.daemons[1:] {
		d.balancer.SetZonePeers(l.alivePeers(d.id))
	}
}

func (l *slotLending) alivePeers(except int) []string {
	var ids []string
	for _, d := range l.daemons[1:] {
		if d.id != except {
			ids = append(ids, strconv.Itoa(d.id))
		}
	}
	return ids
}

func (l *slotLending) onCrashDetected() {
	for i, d := range l.daemons[1:] {
		d.n.sched.SetTargets(splitTargets(l.z.targetList, i, len(l.daemons)-1))
		d.n.applyDecisions()
	}
}

// crashResult sums up the requests around the crash, except for those that callers
// sent to the crashed daemon itself.
type crashResult struct {
	lost     int
	rejected float64
	p99      time.Duration
}

func runCrash(seed uint64, m strategySpec, sh shape, load float64) crashResult {
	sim := NewSim(seed)
	z := newZone(sim, sh, crashRunDuration)
	z.stats.from = crashAt - time.Second
	z.stats.to = crashAt + crashWindow
	s := m.build(z).(crashStrategy)
	rate := sh.rate(load)
	st := shortStream("reserve", "reservations", constantRate(rate), rate)
	for _, req := range generate(sim.rng, []stream{st}, sh.daemons, 0, crashRunDuration) {
		sim.At(req.arrive, func() {
			if z.crashed[req.daemon] {
				req.daemon = 1 + sim.rng.IntN(sh.daemons-1)
			}
			s.arrive(req)
		})
	}
	sim.At(crashAt, s.crash)
	sim.At(crashAt+crashDetectionTime, s.onCrashDetected)
	sim.Run()
	return crashResult{
		lost:     z.stats.lost,
		rejected: float64(z.stats.rejected) / float64(z.stats.arrived),
		p99:      quantile(z.stats.short, 99),
	}
}

func crashTable(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\n### A daemon of the zone dies, is dropped %s later; requests of the other daemons' callers in %s, seed %d\n\n",
		crashDetectionTime, crashWindow, seed)
	fmt.Fprintln(w, "| zone | load | way | may have run, answer lost | refused | short p99 |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, sh := range []shape{kumotZone, fourDaemonZone} {
		for _, load := range []float64{0.5, 0.8} {
			for _, m := range []strategySpec{staticSpec, homeSpec, lendingSpec} {
				r := runCrash(seed, m, sh, load)
				fmt.Fprintf(w, "| %s | %.1f | %s | %d | %s | %s |\n",
					sh.name, load, m.name, r.lost, percent(r.rejected), ms(r.p99))
			}
		}
	}
}
