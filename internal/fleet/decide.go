package fleet

import (
	"math"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// Rates are what the policy weighs.
type Rates struct {
	// Headroom multiplies the expected need.
	Headroom float64
	// MaxGrowth bounds what is expected, as a multiple of what runs and waits: an
	// expectation from a few jobs can be far off.
	MaxGrowth float64
	// Reserve is the room, in hosts, that a pool keeps free for what comes
	// unexpected.
	Reserve float64
	// LateShare is the part of the room that late jobs wait for which counts.
	LateShare float64
	// IdleAfter is how long a pool has more hosts than it needs before one is
	// given back.
	IdleAfter time.Duration
	// WarmUp is for how long callers must have handed in work before hosts are
	// given back: until then nobody knows which pools they need.
	WarmUp time.Duration
	// MinHosts is how many hosts a pool keeps.
	MinHosts int
	// WaveReserve is the part of a wave's time that is kept for hosts that are
	// hard to empty: before it, hosts with long-running tasks are left alone.
	WaveReserve float64
}

// DefaultRates are those of the daemon.
var DefaultRates = Rates{
	Headroom:    1.15,
	MaxGrowth:   2,
	Reserve:     2,
	LateShare:   0.3,
	IdleAfter:   400 * time.Millisecond,
	WarmUp:      time.Second,
	MinHosts:    1,
	WaveReserve: 0.75,
}

// decider makes one decision.
type decider struct {
	View
	rates Rates

	byName  map[string]Machine
	loads   map[string]scheduler.WorkerLoad
	pools   map[string]*poolState
	standby string
	// taken names the hosts that an action concerns already.
	taken   map[string]bool
	actions []Action
}

// poolState counts the hosts of a pool.
type poolState struct {
	view *PoolView
	// have counts the hosts that work or are on their way, without those that
	// are being emptied.
	have int
	// want is how many it needs.
	want int
	// arriving counts those of them that will work soon.
	arriving int
	// closing counts the hosts that are being emptied.
	closing int
	unit    job.Resources
}

// Need is how many hosts a pool has and needs.
type Need struct {
	Pool string
	// Have counts the hosts that work or are on their way, and Closing those
	// that are being emptied.
	Have, Closing int
	Want          int
}

// Decide returns what to do now, and the needs that it rests on. It changes
// nothing in v.
func Decide(v View, r Rates) ([]Action, []Need) {
	d := newDecider(v, r)
	needs := d.needs()
	d.waves()
	d.grow()
	d.shrink()
	return d.actions, needs
}

func newDecider(v View, r Rates) *decider {
	d := &decider{
		View:   v,
		rates:  r,
		byName: map[string]Machine{},
		loads:  map[string]scheduler.WorkerLoad{},
		pools:  map[string]*poolState{},
		taken:  map[string]bool{},
	}
	d.index()
	return d
}

// needs returns the needs of the pools whose holder answered.
func (d *decider) needs() []Need {
	var out []Need
	for _, v := range d.Pools {
		if p := d.pools[v.Name]; v.Known && !v.Standby {
			out = append(out, Need{Pool: v.Name, Have: p.have, Closing: p.closing, Want: p.want})
		}
	}
	return out
}

func (d *decider) index() {
	for i := range d.Pools {
		p := &d.Pools[i]
		d.pools[p.Name] = &poolState{view: p}
		if p.Standby && d.standby == "" {
			d.standby = p.Name
		}
		for _, w := range p.Report.Workers {
			d.loads[w.ID] = w
		}
	}
	for _, m := range d.Machines {
		d.byName[m.Name] = m
		p := d.pools[m.Pool]
		if p == nil {
			continue
		}
		p.unit = m.Capacity
		switch {
		case m.State == Down:
		case d.loads[m.Worker].Cordoned:
			p.closing++
		default:
			p.have++
			if !d.loads[m.Worker].Schedulable && (m.State != Up || d.Arriving[m.Name]) {
				p.arriving++
			}
		}
	}
	for _, p := range d.pools {
		p.want = d.need(p)
	}
}

// need returns how many hosts a pool needs: room for what runs and waits now,
// and for what callers are expected to hand in by the time a host could come.
func (d *decider) need(p *poolState) int {
	if p.view.Standby || !p.view.Known || p.unit.CPU == 0 {
		return p.have
	}
	r := p.view.Report
	reserve := scale(p.unit, d.rates.Reserve)
	late := scale(r.Late, 1-d.rates.LateShare)
	seen := r.Used.Add(r.Waiting).Sub(late).Sub(r.LongRunning)
	now := scale(seen, d.rates.Headroom)
	soon := scale(atMost(r.ExpectedDemand, scale(seen, d.rates.MaxGrowth).Add(reserve)), d.rates.Headroom)
	need := max(hostsFor(now.Add(r.LongRunning).Add(reserve), p.unit), hostsFor(soon.Add(r.LongRunning).Add(reserve), p.unit))
	if r.HostsNeeded > 0 {
		// Room that is spread over many hosts holds no large task.
		need = max(need, p.have+r.HostsNeeded-p.arriving)
	}
	return max(need, d.rates.MinHosts)
}

// atMost returns the smaller amount of each kind.
func atMost(a, b job.Resources) job.Resources {
	return job.Resources{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}

func scale(r job.Resources, f float64) job.Resources {
	return job.Resources{CPU: int(float64(r.CPU) * f), MemoryMB: int(float64(r.MemoryMB) * f), GPU: r.GPU}
}

// hostsFor returns how many hosts have an amount of room together.
func hostsFor(r, unit job.Resources) int {
	n := math.Ceil(float64(r.CPU) / float64(unit.CPU))
	if unit.MemoryMB > 0 {
		n = max(n, math.Ceil(float64(r.MemoryMB)/float64(unit.MemoryMB)))
	}
	return int(n)
}

func (d *decider) act(a Action) {
	d.taken[a.Machine] = true
	d.actions = append(d.actions, a)
}

// free reports whether a host may be given orders now.
func (d *decider) free(m Machine) bool {
	return m.State == Up && !d.taken[m.Name] && !d.Pending[m.Name]
}

// empty reports whether nothing runs on a host and nothing will.
func (d *decider) empty(m Machine) bool {
	p := d.pools[m.Pool]
	if p == nil {
		return false
	}
	return p.view.Standby || d.loads[m.Worker].Empty
}
