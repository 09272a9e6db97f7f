package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// growPools gives hosts to pools that need more. Hosts for tasks that no worker
// takes come first: they would wait for as long as any pool has a larger
// shortage.
func (d *decider) growPools() {
	pools := d.poolsBelowDemand()
	if len(pools) == 0 {
		return
	}
	movable := d.movableHosts()
	for _, p := range pools {
		movable = d.growForUnplaced(p, movable)
	}
	for _, p := range pools {
		movable = d.growPool(p, p.requiredAny, movable)
	}
}

// growPool gives hosts to a pool until it has a number of them: first cordoned
// hosts of the pool itself, then movable ones. It returns the hosts that are
// still movable.
func (d *decider) growPool(p *poolState, hosts int, movable []Host) []Host {
	d.uncordonHosts(p, hosts)
	for p.hosts < hosts && len(movable) > 0 {
		h := movable[0]
		movable = movable[1:]
		if d.hasAction[h.Name] {
			continue
		}
		d.moveHost(p, h)
	}
	return movable
}

// uncordonHosts uncordons workers of a pool until it has a number of hosts.
func (d *decider) uncordonHosts(p *poolState, hosts int) {
	for _, h := range d.Hosts {
		if p.hosts >= hosts {
			return
		}
		if h.Pool == p.view.Name && d.canUncordon(h) {
			d.uncordonHost(p, h)
		}
	}
}

// poolsBelowDemand returns the pools that need more hosts, those with the largest
// shortage first.
func (d *decider) poolsBelowDemand() []*poolState {
	var out []*poolState
	for _, p := range d.pools {
		if p.view.HasReport && !p.view.Standby && p.hosts < p.required {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(b.required-b.hosts, a.required-a.hosts), cmp.Compare(a.view.Name, b.view.Name))
	})
	return out
}

// movableHosts returns the empty hosts that can be moved now, those in standby
// first.
func (d *decider) movableHosts() []Host {
	var standby, others []Host
	for _, h := range d.Hosts {
		switch {
		case !d.canOrder(h) || !d.isEmpty(h) || d.awaitingMaintenance[h.Name]:
		case d.pools[h.Pool].view.Standby:
			standby = append(standby, h)
		default:
			others = append(others, h)
		}
	}
	return append(standby, others...)
}

// shrinkPools cordons workers of pools that have had more hosts than they need
// for ScaleDownDelay, and moves empty hosts to standby.
func (d *decider) shrinkPools() {
	if d.standbyPool == "" || d.BusyFor < d.params.WarmUp {
		return
	}
	for _, h := range d.Hosts {
		p := d.pools[h.Pool]
		if p != nil && !p.view.Standby && d.canOrder(h) && d.isEmpty(h) && !d.awaitingMaintenance[h.Name] {
			d.addAction(Action{
				Kind: Move, Host: h.Name, Worker: h.Worker, Pool: h.Pool, To: d.standbyPool,
				Reason: fmt.Sprintf("pool needs %d hosts and has %d", p.required, p.hosts),
			})
		}
	}
	for i := range d.Pools {
		p := d.pools[d.Pools[i].Name]
		if !p.view.HasReport || p.view.Standby || d.SurplusFor[p.view.Name] < d.params.ScaleDownDelay {
			continue
		}
		d.shrinkPool(p)
	}
}

// shrinkPool cordons workers of a pool until it has no more hosts than it needs.
func (d *decider) shrinkPool(p *poolState) {
	for _, h := range d.cordonCandidates(p) {
		if p.hosts <= p.required {
			return
		}
		d.cordon(p, Action{
			Kind: Cordon, Host: h.Name, Worker: h.Worker, Pool: h.Pool,
			Reason: fmt.Sprintf("pool needs %d hosts and has %d", p.required, p.hosts),
		})
	}
}

// cordonCandidates returns the hosts of a pool that may be cordoned to shrink it,
// those expected to be empty soonest first. Hosts with long-running tasks, or with
// room for tasks that wait, are left out, and one host for each that is emptying:
// its tasks may be about to move there.
func (d *decider) cordonCandidates(p *poolState) []Host {
	var out []Host
	for _, h := range d.Hosts {
		l := d.workerLoads[h.Worker]
		if h.Pool == p.view.Name && d.canOrder(h) && l.ID != "" && !l.Cordoned && !l.Draining && l.LongRunning == 0 && !d.takesUnplaced(p, h) {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(a, b Host) int {
		return cmp.Compare(d.workerLoads[a.Worker].EmptyIn, d.workerLoads[b.Worker].EmptyIn)
	})
	return out[:max(0, len(out)-p.emptying)]
}

// poolsWithSurplus returns the pools that have more hosts than they need.
func (d *decider) poolsWithSurplus() map[string]bool {
	out := map[string]bool{}
	for name, p := range d.pools {
		if p.view.HasReport && !p.view.Standby && p.hosts > p.required {
			out[name] = true
		}
	}
	return out
}
