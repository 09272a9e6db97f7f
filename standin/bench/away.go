package bench

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"greengagedeck/internal/dispatch"
)

// The runs between zones.
const (
	zoneCount  = 4
	zonesRun   = 20 * time.Second
	gossipTime = 50 * time.Millisecond
)

// cluster is several zones of one pool.
type cluster struct {
	sim   *Sim
	zones []*lend
	stats *stats
	away  awayMethod
	// handed counts requests that went to another zone.
	handed int
}

// awayMethod is a way to hand requests to other zones.
type awayMethod struct {
	name string
	// gossip reports every daemon's load to all others at an interval.
	gossip bool
	// ask asks other zones only while the paper's trigger holds.
	ask    bool
	choose func(a *awayDaemon, w *work, wait, size time.Duration) (string, bool)
	// rematch hands waiting requests on when an answer comes, those with
	// the fewest zones to choose from first if fewest is set.
	rematch bool
	fewest  bool
}

var awayMethods = []awayMethod{
	{name: "each zone alone"},
	{name: "queue length threshold, gossip", gossip: true, choose: chooseShortest},
	{name: "expected wait, gossip", gossip: true, choose: chooseSoonest},
	{name: "expected wait, asked on the paper's trigger", ask: true, choose: chooseSoonest},
	{name: "the same, and waiting requests when an answer comes", ask: true, choose: chooseSoonest, rematch: true},
	{name: "the same, fewest options first", ask: true, choose: chooseSoonest, rematch: true, fewest: true},
}

// keptAway is the way that the product uses.
var keptAway = awayMethods[3]

// awayDaemon is what one daemon knows of other zones.
type awayDaemon struct {
	c     *cluster
	zone  int
	d     *lendDaemon
	zones *dispatch.ZoneSelector
	last  map[string]dispatch.Load
}

func newCluster(sim *Sim, sh shape, end time.Duration, m awayMethod) *cluster {
	c := &cluster{sim: sim, stats: newStats(), away: m}
	for i := range zoneCount {
		z := newZone(sim, sh, end)
		z.stats = c.stats
		l := newLendWithin(z, controlBudget)
		c.zones = append(c.zones, l)
		for _, d := range l.daemons {
			c.join(i, d, end)
		}
	}
	return c
}

func (c *cluster) join(zone int, d *lendDaemon, end time.Duration) {
	a := &awayDaemon{c: c, zone: zone, d: d, zones: dispatch.NewZoneSelector(d.budget), last: map[string]dispatch.Load{}}
	var others []string
	for i := range zoneCount {
		if i != zone {
			others = append(others, strconv.Itoa(i))
		}
	}
	a.zones.SetZones(others)
	if c.away.choose != nil {
		d.away = a.handOn
	}
	d.observer = a
	if c.away.gossip {
		c.sim.Every(gossipTime, end, a.gossip)
	}
}

// loadMessage reports a daemon's load to another zone.
type loadMessage struct {
	Pool string        `cbor:"1,keyasint"`
	Load dispatch.Load `cbor:"2,keyasint"`
}

func (a *awayDaemon) gossip() {
	msg := loadMessage{Pool: poolName, Load: a.d.n.sched.Load()}
	for i, l := range a.c.zones {
		if i == a.zone {
			continue
		}
		for _, d := range l.daemons {
			a.cross(a.d, msg, func() { d.observer.observe(a.zone, msg.Load, 2*crossHop) })
		}
	}
}

// cross carries a control message between zones.
func (a *awayDaemon) cross(from *lendDaemon, msg any, receive func()) {
	from.l.z.count(from.id, msg)
	a.c.sim.After(crossHop, receive)
}

func (a *awayDaemon) observe(zone int, l dispatch.Load, roundTrip time.Duration) {
	name := strconv.Itoa(zone)
	a.last[name] = l
	a.zones.Observe(a.c.sim.Now(), name, l, roundTrip)
}

// askMessage asks a daemon of another zone for its load.
type askMessage struct {
	Pool string `cbor:"1,keyasint"`
}

func (a *awayDaemon) askAround(wait time.Duration) {
	for _, name := range a.zones.DueQueries(a.c.sim.Now(), wait) {
		i, _ := strconv.Atoi(name)
		there := a.c.zones[i]
		m := there.daemons[a.c.sim.rng.IntN(len(there.daemons))]
		a.cross(a.d, askMessage{Pool: poolName}, func() {
			l := m.n.sched.Load()
			a.cross(m, loadMessage{Pool: poolName, Load: l}, func() { a.answered(i, l) })
		})
	}
}

func (a *awayDaemon) answered(zone int, l dispatch.Load) {
	a.observe(zone, l, 2*crossHop)
	if a.c.away.rematch {
		a.rematch()
	}
}

// handOn gives w to another zone if that would serve it sooner.
func (a *awayDaemon) handOn(w *work, reply func(outcome)) bool {
	wait, size := a.d.n.sched.EstimateWait(w.job(1))
	if a.c.away.ask {
		a.askAround(wait)
	}
	to, ok := a.c.away.choose(a, w, wait, size)
	if !ok {
		return false
	}
	a.give(to, w, reply)
	return true
}

func (a *awayDaemon) give(to string, w *work, reply func(outcome)) {
	i, _ := strconv.Atoi(to)
	there := a.c.zones[i]
	m := there.daemons[a.c.sim.rng.IntN(len(there.daemons))]
	a.c.handed++
	w.handed = true
	a.c.sim.After(crossHop, func() {
		m.admit(w, func(o outcome) {
			a.c.sim.After(crossHop, func() { reply(o) })
		})
	})
}

// rematch hands waiting requests on as long as another zone serves them sooner.
func (a *awayDaemon) rematch() {
	for {
		j, next, ok := a.next()
		if !ok {
			return
		}
		wait, size := a.d.n.sched.EstimateWait(j)
		to, ok := a.c.away.choose(a, next.w, wait, size)
		if !ok || !a.d.n.sched.Cancel(j) {
			return
		}
		delete(a.d.waiting, j)
		a.give(to, next.w, next.reply)
	}
}

// next is the waiting request to match next.
func (a *awayDaemon) next() (*dispatch.Job, lendWaiting, bool) {
	var job *dispatch.Job
	var best lendWaiting
	for j, x := range a.d.waiting {
		if j.NoHandover || !j.Waiting() {
			continue
		}
		if job == nil || a.before(x.w, best.w) {
			job, best = j, x
		}
	}
	return job, best, job != nil
}

// before orders by arrival, after the number of zones that fit if the way
// says so.
func (a *awayDaemon) before(x, y *work) bool {
	if a.c.away.fewest && x.large != y.large {
		return x.large
	}
	return x.arrive < y.arrive
}

func chooseSoonest(a *awayDaemon, w *work, wait, size time.Duration) (string, bool) {
	return a.zones.Choose(a.c.sim.Now(), wait, size, func(zone string) bool { return fits(w, zone) })
}

// fits reports whether a zone has hosts for w: large work fits the first two.
func fits(w *work, zone string) bool { return !w.large || zone < largeZones }

const largeZones = "2"

// chooseShortest hands on while the own queue is longer than the own slots, to
// the zone that last reported the shortest.
func chooseShortest(a *awayDaemon, w *work, _, _ time.Duration) (string, bool) {
	own := a.d.n.sched.Load()
	if own.Queued <= own.Slots {
		return "", false
	}
	best, least := "", math.MaxInt
	for i := range zoneCount {
		name := strconv.Itoa(i)
		l, ok := a.last[name]
		if i == a.zone || !ok || !fits(w, name) {
			continue
		}
		if l.Queued < least && l.Queued < own.Queued {
			best, least = name, l.Queued
		}
	}
	return best, best != ""
}

// zonesCase is the load of each zone.
type zonesCase struct {
	name  string
	loads [zoneCount]float64
	// large is the share of work that fits the first two zones only.
	large float64
}

var zonesCases = []zonesCase{
	{"one zone at 1.6, three at 0.4", [zoneCount]float64{1.6, 0.4, 0.4, 0.4}, 0},
	{"the same, a third fits two zones only", [zoneCount]float64{1.6, 0.4, 0.4, 0.4}, 1.0 / 3},
	{"one zone at 0.9, three at 0.6", [zoneCount]float64{0.9, 0.6, 0.6, 0.6}, 0},
	{"all zones at 2", [zoneCount]float64{2, 2, 2, 2}, 0},
}

// zonesResult is what short work of all zones met.
type zonesResult struct {
	p50, p99 time.Duration
	refused  float64
	handed   float64
	control  float64
	good     int
}

func runZones(seed uint64, m awayMethod, c zonesCase) zonesResult {
	sim := NewSim(seed)
	cl := newCluster(sim, kumotZone, zonesRun, m)
	var all []*work
	for i, load := range c.loads {
		rate := kumotZone.rate(load)
		st := shortStream("reserve", "reservations", constant(rate), rate)
		st.zone = i
		all = append(all, generate(sim.rng, []stream{st}, kumotZone.daemons, 0, zonesRun)...)
	}
	for _, w := range all {
		w.large = fits(&work{large: true}, strconv.Itoa(w.zone)) && sim.rng.Float64() < c.large
		sim.At(w.arrive, func() { cl.zones[w.zone].arrive(w) })
	}
	sim.Run()
	r := zonesResult{
		p50:     quantile(cl.stats.short, 50),
		p99:     quantile(cl.stats.short, 99),
		refused: float64(cl.stats.refused) / float64(len(all)),
		handed:  float64(cl.handed) / float64(len(all)),
		good:    cl.stats.good,
	}
	for _, l := range cl.zones {
		r.control = max(r.control, l.z.controlRate())
	}
	return r
}

// BetweenZones prints the table of ways to hand requests to other zones.
func BetweenZones(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\n### Between zones: %d zones of %s, %s apart, %s, seed %d\n\n",
		zoneCount, kumotZone.name, crossHop, zonesRun, seed)
	fmt.Fprintln(w, "| load | way | short p50 | short p99 | refused | handed on | control B/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, c := range zonesCases {
		for _, m := range awayMethods {
			r := runZones(seed, m, c)
			fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %.0f |\n",
				c.name, m.name, ms(r.p50), ms(r.p99), percent(r.refused), percent(r.handed), r.control)
		}
	}
}
