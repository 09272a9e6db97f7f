package bench

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"greengagedeck/internal/dispatch"
)

// Parameters of the runs with several zones.
const (
	zoneCount         = 4
	crossZoneDuration = 20 * time.Second
	gossipInterval    = 50 * time.Millisecond
)

// cluster consists of several zones that share one pool.
type cluster struct {
	sim    *Sim
	zones  []*slotLending
	stats  *stats
	policy crossZonePolicy
	// handovers counts the requests that went to another zone.
	handovers int
}

// crossZonePolicy is a policy for handing requests over to other zones.
type crossZonePolicy struct {
	name string
	// gossip reports every daemon's load to all other zones at an interval.
	gossip bool
	// query asks other zones for their load, only when dispatch.ZoneSelector
	// finds that the answer comes before the request would have run here.
	query bool
	// choose returns the zone to which req is handed over, if any. wait and runTime
	// are the scheduler's estimates for req in this zone.
	choose func(a *crossZoneDaemon, req *simRequest, wait, runTime time.Duration) (string, bool)
	// rematch hands waiting requests over when a load answer arrives, starting
	// with those that fit the fewest zones if fewestZonesFirst is set.
	rematch          bool
	fewestZonesFirst bool
}

var crossZonePolicies = []crossZonePolicy{
	{name: "each zone alone"},
	{name: "queue length threshold, gossip", gossip: true, choose: chooseShortestQueue},
	{name: "expected wait, gossip", gossip: true, choose: chooseShortestWait},
	{name: "expected wait, asked on the paper's trigger", query: true, choose: chooseShortestWait},
	{name: "the same, and waiting requests when an answer comes", query: true, choose: chooseShortestWait, rematch: true},
	{name: "the same, fewest options first", query: true, choose: chooseShortestWait, rematch: true, fewestZonesFirst: true},
}

// productCrossZonePolicy is the policy that the product uses.
var productCrossZonePolicy = crossZonePolicies[3]

// crossZoneDaemon chooses other zones for the requests of one daemon, from the loads
// that they last reported.
type crossZoneDaemon struct {
	c         *cluster
	zone      int
	d         *lendingDaemon
	zones     *dispatch.ZoneSelector
	lastLoads map[string]dispatch.Load
}

func newCluster(sim *Sim, sh shape, end time.Duration, m crossZonePolicy) *cluster {
	c := &cluster{sim: sim, stats: newStats(), policy: m}
	for i := range zoneCount {
		z := newZone(sim, sh, end)
		z.stats = c.stats
		l := newSlotLendingWithBudget(z, controlBudget)
		c.zones = append(c.zones, l)
		for _, d := range l.daemons {
			c.addDaemon(i, d, end)
		}
	}
	return c
}

func (c *cluster) addDaemon(zone int, d *lendingDaemon, end time.Duration) {
	a := &crossZoneDaemon{c: c, zone: zone, d: d, zones: dispatch.NewZoneSelector(d.budget), lastLoads: map[string]dispatch.Load{}}
	var others []string
	for i := range zoneCount {
		if i != zone {
			others = append(others, strconv.Itoa(i))
		}
	}
	a.zones.SetZones(others)
	if c.policy.choose != nil {
		d.handOverToZone = a.handOver
	}
	d.crossZone = a
	if c.policy.gossip {
		c.sim.Every(gossipInterval, end, a.gossip)
	}
}

// loadMessage reports a daemon's load to another zone.
type loadMessage struct {
	Pool string        `cbor:"1,keyasint"`
	Load dispatch.Load `cbor:"2,keyasint"`
}

func (a *crossZoneDaemon) gossip() {
	msg := loadMessage{Pool: poolName, Load: a.d.n.sched.Load()}
	for i, l := range a.c.zones {
		if i == a.zone {
			continue
		}
		for _, d := range l.daemons {
			a.sendAcrossZones(a.d, msg, func() { d.crossZone.observe(a.zone, msg.Load, 2*crossZoneDelay) })
		}
	}
}

// sendAcrossZones delivers a control message to another zone.
func (a *crossZoneDaemon) sendAcrossZones(from *lendingDaemon, msg any, receive func()) {
	from.lending.z.countControl(from.id, msg)
	a.c.sim.After(crossZoneDelay, receive)
}

func (a *crossZoneDaemon) observe(zone int, l dispatch.Load, roundTrip time.Duration) {
	name := strconv.Itoa(zone)
	a.lastLoads[name] = l
	a.zones.Observe(a.c.sim.Now(), name, l, roundTrip)
}

// loadQuery asks a daemon of another zone for its load.
type loadQuery struct {
	Pool string `cbor:"1,keyasint"`
}

func (a *crossZoneDaemon) queryZones(wait time.Duration) {
	for _, name := range a.zones.DueQueries(a.c.sim.Now(), wait) {
		i, _ := strconv.Atoi(name)
		there := a.c.zones[i]
		peer := there.daemons[a.c.sim.rng.IntN(len(there.daemons))]
		a.sendAcrossZones(a.d, loadQuery{Pool: poolName}, func() {
			l := peer.n.sched.Load()
			a.sendAcrossZones(peer, loadMessage{Pool: poolName, Load: l}, func() { a.onLoadAnswer(i, l) })
		})
	}
}

func (a *crossZoneDaemon) onLoadAnswer(zone int, l dispatch.Load) {
	a.observe(zone, l, 2*crossZoneDelay)
	if a.c.policy.rematch {
		a.rematch()
	}
}

// handOver hands req over to another zone if the policy chooses one, and reports
// whether it did.
func (a *crossZoneDaemon) handOver(req *simRequest, reply func(outcome)) bool {
	wait, runTime := a.d.n.sched.EstimateWait(req.job(1))
	if a.c.policy.query {
		a.queryZones(wait)
	}
	to, ok := a.c.policy.choose(a, req, wait, runTime)
	if !ok {
		return false
	}
	a.handOverTo(to, req, reply)
	return true
}

func (a *crossZoneDaemon) handOverTo(to string, req *simRequest, reply func(outcome)) {
	i, _ := strconv.Atoi(to)
	there := a.c.zones[i]
	peer := there.daemons[a.c.sim.rng.IntN(len(there.daemons))]
	a.c.handovers++
	req.handedOver = true
	a.c.sim.After(crossZoneDelay, func() {
		peer.admit(req, func(o outcome) {
			a.c.sim.After(crossZoneDelay, func() { reply(o) })
		})
	})
}

// rematch hands waiting requests over as long as the policy chooses another zone for
// them.
func (a *crossZoneDaemon) rematch() {
	for {
		j, next, ok := a.nextToRematch()
		if !ok {
			return
		}
		wait, runTime := a.d.n.sched.EstimateWait(j)
		to, ok := a.c.policy.choose(a, next.req, wait, runTime)
		if !ok || !a.d.n.sched.Cancel(j) {
			return
		}
		delete(a.d.waiting, j)
		a.handOverTo(to, next.req, next.reply)
	}
}

// nextToRematch returns the waiting request that is matched next.
func (a *crossZoneDaemon) nextToRematch() (*dispatch.Job, waitingRequest, bool) {
	var job *dispatch.Job
	var best waitingRequest
	for j, x := range a.d.waiting {
		if j.NoHandover || !j.Waiting() {
			continue
		}
		if job == nil || a.rematchBefore(x.req, best.req) {
			job, best = j, x
		}
	}
	return job, best, job != nil
}

// rematchBefore orders requests by arrival and, if the policy asks for it, first by
// the number of zones that fit.
func (a *crossZoneDaemon) rematchBefore(x, y *simRequest) bool {
	if a.c.policy.fewestZonesFirst && x.large != y.large {
		return x.large
	}
	return x.arrive < y.arrive
}

func chooseShortestWait(a *crossZoneDaemon, req *simRequest, wait, runTime time.Duration) (string, bool) {
	return a.zones.Choose(a.c.sim.Now(), wait, runTime, func(zone string) bool { return fits(req, zone) })
}

// fits reports whether a zone has hosts for req. Large work fits only the first two
// zones.
func fits(req *simRequest, zone string) bool { return !req.large || zone < largeWorkZoneLimit }

const largeWorkZoneLimit = "2"

// chooseShortestQueue hands a request over while this daemon's queue is longer than
// the number of its slots, to the zone that last reported the shortest queue.
func chooseShortestQueue(a *crossZoneDaemon, req *simRequest, _, _ time.Duration) (string, bool) {
	own := a.d.n.sched.Load()
	if own.Queued <= own.Slots {
		return "", false
	}
	best, least := "", math.MaxInt
	for i := range zoneCount {
		name := strconv.Itoa(i)
		l, ok := a.lastLoads[name]
		if i == a.zone || !ok || !fits(req, name) {
			continue
		}
		if l.Queued < least && l.Queued < own.Queued {
			best, least = name, l.Queued
		}
	}
	return best, best != ""
}

// crossZoneCase sets the load of each zone.
type crossZoneCase struct {
	name  string
	loads [zoneCount]float64
	// large is the share of the work that fits only the first two zones.
	large float64
}

var crossZoneCases = []crossZoneCase{
	{"one zone at 1.6, three at 0.4", [zoneCount]float64{1.6, 0.4, 0.4, 0.4}, 0},
	{"the same, a third fits two zones only", [zoneCount]float64{1.6, 0.4, 0.4, 0.4}, 1.0 / 3},
	{"one zone at 0.9, three at 0.6", [zoneCount]float64{0.9, 0.6, 0.6, 0.6}, 0},
	{"all zones at 2", [zoneCount]float64{2, 2, 2, 2}, 0},
}

// crossZoneResult holds the measurements of the short work of all zones.
type crossZoneResult struct {
	p50, p99   time.Duration
	rejected   float64
	handedOver float64
	control    float64
	onTime     int
}

func runCrossZone(seed uint64, m crossZonePolicy, c crossZoneCase) crossZoneResult {
	sim := NewSim(seed)
	cl := newCluster(sim, kumotZone, crossZoneDuration, m)
	var all []*simRequest
	for i, load := range c.loads {
		rate := kumotZone.rate(load)
		st := shortStream("reserve", "reservations", constantRate(rate), rate)
		st.zone = i
		all = append(all, generate(sim.rng, []stream{st}, kumotZone.daemons, 0, crossZoneDuration)...)
	}
	for _, req := range all {
		req.large = fits(&simRequest{large: true}, strconv.Itoa(req.zone)) && sim.rng.Float64() < c.large
		sim.At(req.arrive, func() { cl.zones[req.zone].arrive(req) })
	}
	sim.Run()
	r := crossZoneResult{
		p50:        quantile(cl.stats.short, 50),
		p99:        quantile(cl.stats.short, 99),
		rejected:   float64(cl.stats.rejected) / float64(len(all)),
		handedOver: float64(cl.handovers) / float64(len(all)),
		onTime:     cl.stats.onTime,
	}
	for _, l := range cl.zones {
		r.control = max(r.control, l.z.controlRate())
	}
	return r
}

// CrossZone prints the table that compares the policies for handing requests over to
// other zones.
func CrossZone(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\n### Between zones: %d zones of %s, %s apart, %s, seed %d\n\n",
		zoneCount, kumotZone.name, crossZoneDelay, crossZoneDuration, seed)
	fmt.Fprintln(w, "| load | way | short p50 | short p99 | refused | handed on | control B/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, c := range crossZoneCases {
		for _, m := range crossZonePolicies {
			r := runCrossZone(seed, m, c)
			fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %.0f |\n",
				c.name, m.name, ms(r.p50), ms(r.p99), percent(r.rejected), percent(r.handedOver), r.control)
		}
	}
}
