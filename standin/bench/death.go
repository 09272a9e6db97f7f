package bench

import (
	"fmt"
	"io"
	"strconv"
	"time"
)

// The run in which a daemon dies.
const (
	deathRun = 30 * time.Second
	deathAt  = 10 * time.Second
	// deathWindow is how long after the death requests are counted.
	deathWindow = 10 * time.Second
	// deathDetection is how long the others take to drop it as a member.
	deathDetection = 2 * time.Second
)

// mortal is a sharing of which daemon 0 can die.
type mortal interface {
	sharing
	// die stops the daemon; detected tells the others.
	die()
	detected()
}

// pending is a request that one daemon handed to another.
type pending struct {
	to    int
	reply func(outcome)
}

// handOver carries a request to another daemon and its answer back. If the
// other dies in between, the request is lost: it may have run.
func (z *zone) handOver(from, to int, w *work, run func(reply func(outcome)), reply func(outcome)) {
	z.handed++
	z.handSeq++
	id := z.handSeq
	z.pending[id] = pending{to: to, reply: reply}
	z.hand(from, to, requestBytes, func() {
		run(func(o outcome) {
			z.hand(to, from, answerBytes, func() {
				if p, ok := z.pending[id]; ok {
					delete(z.pending, id)
					p.reply(o)
				}
			})
		})
	})
}

// kill stops a daemon. Every request it was asked for by a caller or another
// daemon, and that was not answered, is lost.
func (z *zone) kill(d int) {
	z.dead[d] = true
	for id := range z.handSeq + 1 {
		p, ok := z.pending[id]
		if ok && p.to == d {
			delete(z.pending, id)
			p.reply(outcome{lost: true})
		}
	}
}

func (s *static) die() {
	s.z.kill(0)
	s.nodes[0].down = true
}

func (s *static) detected() {
	for d, n := range s.nodes[1:] {
		n.sched.SetTargets(splitTargets(s.z.list, d, len(s.nodes)-1))
		n.pump()
	}
}

func (h *home) die() {
	h.z.kill(0)
	h.n.down = true
	h.orphaned = true
}

// detected makes daemon 1 the home.
func (h *home) detected() {
	h.orphaned = false
	h.at = 1
	h.n = newNode(h.z)
	h.n.queues = h.z.shape.daemons - 1
	h.n.sched.SetTargets(h.z.list)
}

func (l *lend) die() {
	l.z.kill(0)
	l.daemons[0].n.down = true
	// A connection that is refused tells the others that there is nothing
	// to lend from, but not whose slots are free.
	for _, d := range l.daemons[1:] {
		d.lending.SetZonePeers(l.living(d.id))
	}
}

func (l *lend) living(except int) []string {
	var ids []string
	for _, d := range l.daemons[1:] {
		if d.id != except {
			ids = append(ids, strconv.Itoa(d.id))
		}
	}
	return ids
}

func (l *lend) detected() {
	for i, d := range l.daemons[1:] {
		d.n.sched.SetTargets(splitTargets(l.z.list, i, len(l.daemons)-1))
		d.n.pump()
	}
}

// deathResult is what happened to requests around the death that callers did
// not send to the dead daemon itself.
type deathResult struct {
	lost    int
	refused float64
	p99     time.Duration
}

func runDeath(seed uint64, m method, sh shape, load float64) deathResult {
	sim := NewSim(seed)
	z := newZone(sim, sh, deathRun)
	z.stats.from = deathAt - time.Second
	z.stats.to = deathAt + deathWindow
	s := m.make(z).(mortal)
	rate := sh.rate(load)
	st := shortStream("reserve", "reservations", constant(rate), rate)
	for _, w := range generate(sim.rng, []stream{st}, sh.daemons, 0, deathRun) {
		sim.At(w.arrive, func() {
			if z.dead[w.daemon] {
				w.daemon = 1 + sim.rng.IntN(sh.daemons-1)
			}
			s.arrive(w)
		})
	}
	sim.At(deathAt, s.die)
	sim.At(deathAt+deathDetection, s.detected)
	sim.Run()
	return deathResult{
		lost:    z.stats.lost,
		refused: float64(z.stats.refused) / float64(z.stats.arrived),
		p99:     quantile(z.stats.short, 99),
	}
}

func deathTable(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\n### A daemon of the zone dies, is dropped %s later; requests of the other daemons' callers in %s, seed %d\n\n",
		deathDetection, deathWindow, seed)
	fmt.Fprintln(w, "| zone | load | way | may have run, answer lost | refused | short p99 |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, sh := range []shape{kumotZone, thinZone} {
		for _, load := range []float64{0.5, 0.8} {
			for _, m := range []method{staticMethod, homeMethod, lendMethod} {
				r := runDeath(seed, m, sh, load)
				fmt.Fprintf(w, "| %s | %.1f | %s | %d | %s | %s |\n",
					sh.name, load, m.name, r.lost, percent(r.refused), ms(r.p99))
			}
		}
	}
}
