package fleet

import (
	"fmt"
	"slices"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// hostSpace is a host that a pool has soon or may get, with the resources that
// waiting tasks may take there.
type hostSpace struct {
	Host
	free job.Resources
	// needed is set for a host that arrives, and once a task is counted there.
	needed bool
}

// countTasks counts groups of waiting tasks on hosts: each task on the first host
// that has room for it, hosts that are needed anyway first. Tasks that fit on none
// are left out.
func countTasks(groups []scheduler.UnplacedTasks, hosts []hostSpace) {
	for _, g := range groups {
		left := g.Count
		for _, h := range neededFirst(hosts) {
			left -= h.take(g, left)
		}
	}
}

// neededFirst returns the hosts in their order, those that are needed first.
func neededFirst(hosts []hostSpace) []*hostSpace {
	var needed, others []*hostSpace
	for i := range hosts {
		if hosts[i].needed {
			needed = append(needed, &hosts[i])
		} else {
			others = append(others, &hosts[i])
		}
	}
	return append(needed, others...)
}

// take counts up to limit tasks of a group on the host and returns their number,
// 0 without the label that they require.
func (h *hostSpace) take(g scheduler.UnplacedTasks, limit int) int {
	if g.Label != "" && !slices.Contains(h.Labels, g.Label) {
		return 0
	}
	if g.MaxPerHost > 0 {
		limit = min(limit, g.MaxPerHost)
	}
	n := 0
	for n < limit && g.Need.FitsIn(h.free) {
		h.free = h.free.Sub(g.Need)
		h.needed = true
		n++
	}
	return n
}

// hostsForUnplaced returns how many hosts of other pools, and cordoned ones of its
// own, a pool needs for tasks that no worker takes, beside the hosts that are
// arriving. Each of them takes such a task, whether it can be had now or not.
func (d *decider) hostsForUnplaced(p *poolState) int {
	groups := p.view.Report.Unplaced
	if len(groups) == 0 {
		return 0
	}
	spaces := d.arrivingSpace(p)
	arriving := len(spaces)
	spaces = append(spaces, d.cordonedSpace(p)...)
	for _, h := range d.Hosts {
		if h.Pool != p.view.Name && d.pools[h.Pool] != nil && h.State != HostDown {
			spaces = append(spaces, hostSpace{Host: h, free: h.Capacity})
		}
	}
	countTasks(groups, spaces)
	n := 0
	for _, h := range spaces[arriving:] {
		if h.needed {
			n++
		}
	}
	return n
}

// arrivingSpace returns the hosts that are on their way to a pool.
func (d *decider) arrivingSpace(p *poolState) []hostSpace {
	var out []hostSpace
	for _, h := range d.Hosts {
		if h.Pool == p.view.Name && h.State != HostDown && d.isArriving(h) && !d.workerLoads[h.Worker].Cordoned {
			out = append(out, hostSpace{Host: h, free: h.Capacity, needed: true})
		}
	}
	return out
}

// cordonedSpace returns the hosts of a pool that may be uncordoned.
func (d *decider) cordonedSpace(p *poolState) []hostSpace {
	var out []hostSpace
	for _, h := range d.Hosts {
		if h.Pool == p.view.Name && d.canUncordon(h) {
			out = append(out, hostSpace{Host: h, free: d.freeOn(h)})
		}
	}
	return out
}

// canUncordon reports whether the worker on a host may be uncordoned. Hosts that
// await maintenance and draining workers stay cordoned.
func (d *decider) canUncordon(h Host) bool {
	l := d.workerLoads[h.Worker]
	return d.canOrder(h) && l.Cordoned && !l.Draining && !d.awaitingMaintenance[h.Name]
}

// freeOn returns the resources of a host that its runs leave free.
func (d *decider) freeOn(h Host) job.Resources {
	return h.Capacity.Sub(d.workerLoads[h.Worker].Used)
}

// growForUnplaced gives a pool the hosts that the tasks which no worker takes need
// beside those that are arriving: first cordoned hosts of the pool itself, then
// movable ones. It returns the hosts that are still movable.
func (d *decider) growForUnplaced(p *poolState, movable []Host) []Host {
	groups := p.view.Report.Unplaced
	if len(groups) == 0 {
		return d.growPool(p, min(p.requiredAny, p.hosts+d.hostsForStalled(p)), movable)
	}
	spaces := d.arrivingSpace(p)
	arriving := len(spaces)
	spaces = append(spaces, d.cordonedSpace(p)...)
	for _, h := range movable {
		if h.Pool != p.view.Name && !d.hasAction[h.Name] {
			spaces = append(spaces, hostSpace{Host: h, free: h.Capacity})
		}
	}
	countTasks(groups, spaces)
	for _, h := range spaces[arriving:] {
		switch {
		case !h.needed:
		case h.Pool == p.view.Name:
			d.uncordonHost(p, h.Host)
		default:
			d.moveHost(p, h.Host)
		}
	}
	return slices.DeleteFunc(movable, func(h Host) bool { return d.hasAction[h.Name] })
}

// takesUnplaced reports whether a host has room for a task that no worker of its
// pool takes. Such a host would be needed again as soon as it is cordoned.
func (d *decider) takesUnplaced(p *poolState, h Host) bool {
	space := hostSpace{Host: h, free: d.freeOn(h)}
	return slices.ContainsFunc(p.view.Report.Unplaced, func(g scheduler.UnplacedTasks) bool { return space.take(g, 1) > 0 })
}

// uncordonHost uncordons the worker on a host of a pool.
func (d *decider) uncordonHost(p *poolState, h Host) {
	p.hosts++
	p.cordoned--
	d.addAction(Action{
		Kind: Uncordon, Host: h.Name, Worker: h.Worker, Pool: h.Pool,
		Reason: fmt.Sprintf("pool needs %d hosts and has %d", p.required, p.hosts-1),
	})
}

// moveHost moves a host to a pool.
func (d *decider) moveHost(p *poolState, h Host) {
	p.hosts++
	d.addAction(Action{
		Kind: Move, Host: h.Name, Worker: h.Worker, Pool: h.Pool, To: p.view.Name,
		Reason: fmt.Sprintf("pool needs %d hosts and has %d", p.required, p.hosts-1),
	})
}
