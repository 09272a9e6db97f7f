package fleet

import (
	"math"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// Params are the parameters of Decide.
type Params struct {
	// Headroom is the factor by which a pool's capacity exceeds its current and
	// forecast demand.
	Headroom float64
	// MaxForecastRatio bounds the forecast to a multiple of what runs and waits
	// now, since a forecast from a few jobs can be far off.
	MaxForecastRatio float64
	// ReserveHosts is the capacity, in hosts, that a pool keeps free for
	// unexpected demand.
	ReserveHosts float64
	// LateWeight is the fraction of the resources requested by waiting tasks of
	// late jobs that counts as demand.
	LateWeight float64
	// ScaleDownDelay is how long a pool must have more hosts than it needs before
	// it gives any back.
	ScaleDownDelay time.Duration
	// WarmUp is how long callers must have submitted work before pools give hosts
	// back. Until then it is unknown which pools they need.
	WarmUp time.Duration
	// MinHosts is the minimum number of hosts of a pool.
	MinHosts int
	// WaveReserveShare is the fraction of a wave's duration, at its end, that is
	// reserved for hosts that are hard to empty. Before that, hosts with
	// long-running tasks are not cordoned.
	WaveReserveShare float64
}

// DefaultParams are the parameters that the daemon uses.
var DefaultParams = Params{
	Headroom:         1.15,
	MaxForecastRatio: 2,
	ReserveHosts:     2,
	LateWeight:       0.3,
	ScaleDownDelay:   400 * time.Millisecond,
	WarmUp:           time.Second,
	MinHosts:         1,
	WaveReserveShare: 0.75,
}

// decider holds the state of one decision.
type decider struct {
	View
	params Params

	hostsByName map[string]Host
	workerLoads map[string]scheduler.WorkerLoad
	pools       map[string]*poolState
	standbyPool string
	// awaitingMaintenance holds the hosts that an uncompleted wave still has to
	// maintain.
	awaitingMaintenance map[string]bool
	// hasAction holds the hosts that already have an action in this decision.
	hasAction map[string]bool
	actions   []Action
}

// poolState holds the host counts of a pool. They include the effect of the
// actions decided so far.
type poolState struct {
	view *PoolView
	// hosts counts the hosts whose workers take tasks or will soon.
	hosts int
	// required is how many hosts the pool needs, and requiredAny how many of them
	// whatever tasks they can take.
	required, requiredAny int
	// arriving counts those of hosts whose workers do not take tasks yet but will
	// soon.
	arriving int
	// cordoned counts the hosts with a cordoned worker.
	cordoned int
	// emptying counts the hosts whose long-running tasks have to move to others,
	// because the worker drains or is cordoned for maintenance.
	emptying int
	// hostCapacity is the capacity of one host of the pool, or of any host if the
	// pool has none.
	hostCapacity job.Resources
}

// Demand is the number of hosts that a pool has and needs.
type Demand struct {
	Pool string
	// Hosts counts the hosts whose workers take tasks or will soon, and Cordoned
	// those with a cordoned worker.
	Hosts, Cordoned int
	// Required is how many hosts the pool needs.
	Required int
}

// Decision is the result of Decide.
type Decision struct {
	// Actions are what to do now, and Demands what that is based on.
	Actions []Action
	Demands []Demand
	// Surplus holds the pools that have more hosts than they need.
	Surplus map[string]bool
}

// Decide returns what to do now. It does not modify v.
func Decide(v View, params Params) Decision {
	d := newDecider(v, params)
	out := Decision{Demands: d.demands(), Surplus: d.poolsWithSurplus()}
	d.planWaves()
	d.growPools()
	d.shrinkPools()
	out.Actions = d.actions
	return out
}

func newDecider(v View, params Params) *decider {
	d := &decider{
		View:        v,
		params:      params,
		hostsByName: map[string]Host{},
		workerLoads: map[string]scheduler.WorkerLoad{},
		pools:       map[string]*poolState{},
		hasAction:   map[string]bool{},

		awaitingMaintenance: map[string]bool{},
	}
	d.indexView()
	return d
}

// demands returns the demands of the pools whose holder sent a report.
func (d *decider) demands() []Demand {
	var out []Demand
	for _, v := range d.Pools {
		if p := d.pools[v.Name]; v.HasReport && !v.Standby {
			out = append(out, Demand{Pool: v.Name, Hosts: p.hosts, Cordoned: p.cordoned, Required: p.required})
		}
	}
	return out
}

// indexView builds the lookup tables and counts the hosts of every pool.
func (d *decider) indexView() {
	for i := range d.Pools {
		p := &d.Pools[i]
		d.pools[p.Name] = &poolState{view: p}
		if p.Standby && d.standbyPool == "" {
			d.standbyPool = p.Name
		}
		for _, w := range p.Report.Workers {
			d.workerLoads[w.ID] = w
		}
	}
	for i := range d.Waves {
		d.indexWave(&d.Waves[i])
	}
	for _, h := range d.Hosts {
		d.hostsByName[h.Name] = h
		p := d.pools[h.Pool]
		if p == nil {
			continue
		}
		p.hostCapacity = h.Capacity
		if d.isEmptying(h) {
			p.emptying++
		}
		switch {
		case h.State == HostDown:
		case d.workerLoads[h.Worker].Cordoned:
			p.cordoned++
		case d.isCapacity(h):
			p.hosts++
			if d.isArriving(h) {
				p.arriving++
			}
		}
	}
	for _, p := range d.pools {
		if p.hostCapacity.CPU == 0 && len(d.Hosts) > 0 {
			p.hostCapacity = d.Hosts[0].Capacity
		}
		p.requiredAny = d.requiredHosts(p)
		p.required = p.requiredAny
		if n := d.hostsForUnplaced(p); n > 0 {
			p.required = max(p.required, p.hosts+n)
		}
	}
}

// indexWave records which hosts a wave still has to maintain.
func (d *decider) indexWave(w *WaveView) {
	if w.Completed {
		return
	}
	for _, name := range w.Hosts {
		if !w.Started[name] {
			d.awaitingMaintenance[name] = true
		}
	}
}

// requiredHosts returns how many hosts a pool needs, whatever tasks they can take:
// enough for what runs and waits now, and for what callers are forecast to submit
// by the time a moved host would run tasks.
func (d *decider) requiredHosts(p *poolState) int {
	if p.view.Standby || !p.view.HasReport || p.hostCapacity.CPU == 0 {
		return p.hosts
	}
	r := p.view.Report
	reserve := scaleResources(p.hostCapacity, d.params.ReserveHosts)
	late := scaleResources(r.Late, 1-d.params.LateWeight)
	current := r.Used.Add(r.Waiting).Sub(late).Sub(r.LongRunning)
	now := scaleResources(current, d.params.Headroom)
	forecast := scaleResources(minResources(r.ExpectedDemand, scaleResources(current, d.params.MaxForecastRatio).Add(reserve)), d.params.Headroom)
	required := max(hostsForResources(now.Add(r.LongRunning).Add(reserve), p.hostCapacity), hostsForResources(forecast.Add(r.LongRunning).Add(reserve), p.hostCapacity))
	if len(r.Unplaced) == 0 && r.HostsNeeded > 0 {
		// Free resources that are spread over many hosts do not fit a large task.
		required = max(required, p.hosts+r.HostsNeeded-p.arriving)
	}
	return max(required, d.params.MinHosts)
}

// hostsForStalled returns how many hosts a pool needs for tasks that no worker
// takes and that its report does not describe, beside those that are arriving.
func (d *decider) hostsForStalled(p *poolState) int {
	return max(0, p.view.Report.HostsNeeded-p.arriving)
}

// minResources returns the element-wise minimum of a and b.
func minResources(a, b job.Resources) job.Resources {
	return job.Resources{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}

// scaleResources multiplies CPU and memory by f. GPUs are not scaled.
func scaleResources(r job.Resources, f float64) job.Resources {
	return job.Resources{CPU: int(float64(r.CPU) * f), MemoryMB: int(float64(r.MemoryMB) * f), GPU: r.GPU}
}

// hostsForResources returns how many hosts with a capacity each together have
// the CPU and memory of r.
func hostsForResources(r, capacity job.Resources) int {
	n := math.Ceil(float64(r.CPU) / float64(capacity.CPU))
	if capacity.MemoryMB > 0 {
		n = max(n, math.Ceil(float64(r.MemoryMB)/float64(capacity.MemoryMB)))
	}
	return int(n)
}

func (d *decider) addAction(a Action) {
	d.hasAction[a.Host] = true
	d.actions = append(d.actions, a)
}

// canOrder reports whether an action may be decided for a host now.
func (d *decider) canOrder(h Host) bool {
	return h.State == HostUp && !d.hasAction[h.Name] && !d.Pending[h.Name]
}

// isEmpty reports whether a host has no runs and will get none.
func (d *decider) isEmpty(h Host) bool {
	p := d.pools[h.Pool]
	if p == nil {
		return false
	}
	return p.view.Standby || d.workerLoads[h.Worker].Empty
}
