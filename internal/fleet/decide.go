package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
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
	// arriving counts those of them that do not work yet.
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
		case d.loads[m.Worker].Closed:
			p.closing++
		default:
			p.have++
			if !d.loads[m.Worker].Open {
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
	seen := r.Used.Add(r.Waiting).Sub(late).Sub(r.Long)
	now := scale(seen, d.rates.Headroom)
	soon := scale(atMost(r.Expected, scale(seen, d.rates.MaxGrowth).Add(reserve)), d.rates.Headroom)
	need := max(hostsFor(now.Add(r.Long).Add(reserve), p.unit), hostsFor(soon.Add(r.Long).Add(reserve), p.unit))
	if r.Stuck > 0 {
		// Room that is spread over many hosts holds no large task.
		need = max(need, p.have+r.Stuck-p.arriving)
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
		if d.loads[m.Worker].Closed {
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
		return cmp.Or(cmp.Compare(la.Long, lb.Long), cmp.Compare(la.Runs, lb.Runs))
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
	if !d.free(m) || p == nil || p.view.Standby || !p.view.Known || l.Closed || l.ID == "" {
		return false
	}
	spare := p.have > p.want
	if !hurry && (!spare || l.Long > 0) {
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
		if m.Pool != p.view.Name || !d.free(m) || !d.loads[m.Worker].Closed || d.due(m.Name) {
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
		if m.Pool == p.view.Name && d.free(m) && l.ID != "" && !l.Closed && l.Long == 0 {
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
