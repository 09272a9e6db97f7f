package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// grow gives hosts to pools that need more: from standby, then empty ones of
// pools that have more than they need.
func (d *decider) grow() {
	short := d.short()
	for _, p := range short {
		d.reopen(p)
		for p.have < p.want {
			m, ok := d.source()
			if !ok {
				return
			}
			p.have++
			d.act(Action{
				Kind: Move, Machine: m.Name, Worker: m.Worker, Pool: m.Pool, To: p.view.Name,
				Reason: fmt.Sprintf("pool needs %d hosts and has %d", p.want, p.have-1),
			})
		}
	}
}

// reopen has workers take tasks again that were being emptied for want of work.
func (d *decider) reopen(p *poolState) {
	for _, m := range d.Machines {
		if p.have >= p.want {
			return
		}
		if m.Pool != p.view.Name || !d.free(m) || !d.loads[m.Worker].Cordoned || d.due(m.Name) {
			continue
		}
		p.have++
		p.closing--
		d.act(Action{
			Kind: Open, Machine: m.Name, Worker: m.Worker, Pool: m.Pool,
			Reason: fmt.Sprintf("pool needs %d hosts and has %d", p.want, p.have-1),
		})
	}
}

// short returns the pools that need more hosts, the neediest first.
func (d *decider) short() []*poolState {
	var out []*poolState
	for _, p := range d.pools {
		if p.view.Known && !p.view.Standby && p.have < p.want {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(b.want-b.have, a.want-a.have), cmp.Compare(a.view.Name, b.view.Name))
	})
	return out
}

// source returns a host that can be moved now.
func (d *decider) source() (Machine, bool) {
	best := Machine{}
	found := false
	for _, m := range d.Machines {
		if !d.free(m) || !d.empty(m) || d.due(m.Name) {
			continue
		}
		if !found || d.pools[m.Pool].view.Standby && !d.pools[best.Pool].view.Standby {
			best, found = m, true
		}
	}
	return best, found
}

// due reports whether a wave still has to maintain a host.
func (d *decider) due(name string) bool {
	for _, w := range d.Waves {
		if !w.Completed && !w.Begun[name] && slices.Contains(w.Machines, name) {
			return true
		}
	}
	return false
}

// shrink closes workers of pools that have had more hosts than they need, and
// moves their hosts to standby once they are empty.
func (d *decider) shrink() {
	if d.standby == "" || d.Busy < d.rates.WarmUp {
		return
	}
	for _, m := range d.Machines {
		p := d.pools[m.Pool]
		if p != nil && !p.view.Standby && d.free(m) && d.empty(m) && !d.due(m.Name) {
			d.act(Action{
				Kind: Move, Machine: m.Name, Worker: m.Worker, Pool: m.Pool, To: d.standby,
				Reason: fmt.Sprintf("pool needs %d hosts and has %d", p.want, p.have),
			})
		}
	}
	for i := range d.Pools {
		p := d.pools[d.Pools[i].Name]
		if !p.view.Known || p.view.Standby || d.Surplus[p.view.Name] < d.rates.IdleAfter {
			continue
		}
		d.shrinkPool(p)
	}
}

func (d *decider) shrinkPool(p *poolState) {
	for _, m := range d.idle(p) {
		if p.have <= p.want {
			return
		}
		p.have--
		p.closing++
		d.act(Action{
			Kind: Close, Machine: m.Name, Worker: m.Worker, Pool: m.Pool,
			Reason: fmt.Sprintf("pool needs %d hosts and has %d", p.want, p.have+1),
		})
	}
}

// idle returns the hosts of a pool that could be given back, those that are
// empty the soonest first. Those with long-running tasks stay.
func (d *decider) idle(p *poolState) []Machine {
	var out []Machine
	for _, m := range d.Machines {
		l := d.loads[m.Worker]
		if m.Pool == p.view.Name && d.free(m) && l.ID != "" && !l.Cordoned && l.LongRunning == 0 {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b Machine) int {
		return cmp.Compare(d.loads[a.Worker].EmptyIn, d.loads[b.Worker].EmptyIn)
	})
	return out
}

// surplus returns the pools that have more hosts than they need.
func surplus(v View, r Rates) map[string]bool {
	d := newDecider(v, r)
	out := map[string]bool{}
	for name, p := range d.pools {
		if p.view.Known && !p.view.Standby && p.have > p.want {
			out[name] = true
		}
	}
	return out
}
