package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// waves has hosts maintained, as many at once as the wave allows. Hosts in
// standby and empty ones go first; then idle ones are closed, and those that
// are hard to empty are begun with while there is time left.
func (d *decider) waves() {
	for i := range d.Waves {
		w := &d.Waves[i]
		if w.Completed {
			continue
		}
		d.wave(w)
	}
}

func (d *decider) wave(w *WaveView) {
	left := d.left(w)
	down := d.down(w)
	for _, m := range left {
		if down >= w.MaxDown {
			break
		}
		if d.free(m) && d.empty(m) {
			d.act(Action{
				Kind: Maintain, Machine: m.Name, Worker: m.Worker, Pool: m.Pool, Wave: w.Number,
				Reason: fmt.Sprintf("wave %d: %d hosts left, %d of %d in maintenance", w.Number, len(left), down, w.MaxDown),
			})
			down++
		}
	}
	closing := 0
	for _, m := range left {
		if d.loads[m.Worker].Cordoned {
			closing++
		}
	}
	hurry := w.Left < time.Duration(float64(w.Duration)*d.rates.WaveReserve)
	for _, m := range left {
		if closing+down >= w.MaxDown {
			return
		}
		if d.closeForWave(w, m, hurry) {
			closing++
		}
	}
}

// left returns the hosts that the wave still has to maintain, those that are
// the easiest to empty first.
func (d *decider) left(w *WaveView) []Machine {
	var out []Machine
	for _, name := range w.Machines {
		m, ok := d.byName[name]
		if ok && !w.Begun[name] && m.State != Down {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b Machine) int {
		la, lb := d.loads[a.Worker], d.loads[b.Worker]
		return cmp.Or(cmp.Compare(la.LongRunning, lb.LongRunning), cmp.Compare(la.Runs, lb.Runs))
	})
	return out
}

// down counts the hosts of a wave that are or may be in maintenance.
func (d *decider) down(w *WaveView) int {
	n := 0
	for _, name := range w.Machines {
		if m, ok := d.byName[name]; ok && (m.State == Upkeep || d.Pending[name]) {
			n++
		}
	}
	return n
}

// closeForWave closes a worker so that its host can be maintained. A pool keeps
// the hosts that it needs until the wave is in a hurry.
func (d *decider) closeForWave(w *WaveView, m Machine, hurry bool) bool {
	l := d.loads[m.Worker]
	p := d.pools[m.Pool]
	if !d.free(m) || p == nil || p.view.Standby || !p.view.Known || l.Cordoned || l.ID == "" {
		return false
	}
	spare := p.have > p.want
	if !hurry && (!spare || l.LongRunning > 0) {
		return false
	}
	p.have--
	p.closing++
	d.act(Action{
		Kind: Close, Machine: m.Name, Worker: m.Worker, Pool: m.Pool, Evacuate: true,
		Reason: fmt.Sprintf("wave %d: maintenance, %.1f s left", w.Number, w.Left.Seconds()),
	})
	return true
}
