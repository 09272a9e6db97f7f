package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// planWaves plans the maintenance of the hosts of every uncompleted wave, within
// the wave's MaxConcurrent. Empty hosts, such as those in standby, go first.
// Then hosts that their pool can spare are cordoned, and hosts that are hard to
// empty once the reserved part of the wave's duration begins.
func (d *decider) planWaves() {
	for i := range d.Waves {
		w := &d.Waves[i]
		if w.Completed {
			continue
		}
		d.planWave(w)
	}
}

// planWave plans the next steps of one wave.
func (d *decider) planWave(w *WaveView) {
	remaining := d.remainingHosts(w)
	inMaintenance := d.countInMaintenance(w)
	for _, h := range remaining {
		if inMaintenance >= w.MaxConcurrent {
			break
		}
		if d.canOrder(h) && d.isEmpty(h) {
			d.addAction(Action{
				Kind: Maintain, Host: h.Name, Worker: h.Worker, Pool: h.Pool, Wave: w.Number,
				Reason: fmt.Sprintf("wave %d: %d hosts left, %d of %d in maintenance", w.Number, len(remaining), inMaintenance, w.MaxConcurrent),
			})
			inMaintenance++
		}
	}
	urgent := w.TimeLeft < time.Duration(float64(w.Duration)*d.params.WaveReserveShare)
	cordoned := 0
	for _, h := range remaining {
		if !d.workerLoads[h.Worker].Cordoned {
			continue
		}
		cordoned++
		if urgent {
			d.evacuateForWave(w, h)
		}
	}
	for _, h := range remaining {
		if cordoned+inMaintenance >= w.MaxConcurrent {
			return
		}
		if d.cordonForWave(w, h, urgent) {
			cordoned++
		}
	}
}

// remainingHosts returns the hosts that a wave still has to maintain, the
// easiest to empty first: those with the fewest long-running tasks, then those
// with the fewest runs. Hosts that are down are left out.
func (d *decider) remainingHosts(w *WaveView) []Host {
	var out []Host
	for _, name := range w.Hosts {
		h, ok := d.hostsByName[name]
		if ok && !w.Started[name] && h.State != HostDown {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(a, b Host) int {
		la, lb := d.workerLoads[a.Worker], d.workerLoads[b.Worker]
		return cmp.Or(cmp.Compare(la.LongRunning, lb.LongRunning), cmp.Compare(la.Runs, lb.Runs))
	})
	return out
}

// countInMaintenance counts the hosts of a wave that are in maintenance or may
// be, because an order for them is pending.
func (d *decider) countInMaintenance(w *WaveView) int {
	n := 0
	for _, name := range w.Hosts {
		if h, ok := d.hostsByName[name]; ok && (h.State == HostInMaintenance || d.Pending[name]) {
			n++
		}
	}
	return n
}

// cordonForWave cordons a worker so that its host can be maintained. Unless the
// wave is urgent, a pool keeps the hosts that it needs and those with
// long-running tasks. It reports whether it cordoned the worker.
func (d *decider) cordonForWave(w *WaveView, h Host, urgent bool) bool {
	l := d.workerLoads[h.Worker]
	p := d.pools[h.Pool]
	if !d.canOrder(h) || p == nil || p.view.Standby || !p.view.HasReport || l.Cordoned || l.ID == "" {
		return false
	}
	surplus := p.hosts > p.required
	if !urgent && (!surplus || l.LongRunning > 0) {
		return false
	}
	d.cordon(p, waveCordon(w, h))
	return true
}

// evacuateForWave has the long-running tasks moved off a host that was cordoned to
// shrink its pool. Such a task may have started there just before the cordon.
func (d *decider) evacuateForWave(w *WaveView, h Host) {
	l := d.workerLoads[h.Worker]
	if l.LongRunning > 0 && !l.Evacuating && d.canOrder(h) {
		d.addAction(waveCordon(w, h))
	}
}

// waveCordon returns the action that cordons and empties a host for a wave.
func waveCordon(w *WaveView, h Host) Action {
	return Action{
		Kind: Cordon, Host: h.Name, Worker: h.Worker, Pool: h.Pool, Evacuate: true,
		Reason: fmt.Sprintf("wave %d: maintenance, %.1f s left", w.Number, w.TimeLeft.Seconds()),
	}
}
