package maintenance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// simState is the replicated state that a wave depends on.
type simState struct {
	offset    uint64
	catalogue catalogue.State
	members   membership.State
	pools     pool.State
	waves     State
}

func (f *simState) Catalogue() *catalogue.State { return &f.catalogue }

func (f *simState) Pools() *pool.State { return &f.pools }

func (f *simState) ZoneMembers(zone string) []string { return f.members.InZone(zone) }

// sim runs the real controllers of all zones on a virtual clock. The log, the hosts
// and the acknowledgements of drains are fakes.
type sim struct {
	now               time.Time
	state             *simState
	appendedIDs       map[string]bool
	logErr            error // error of every append
	loseAppendAnswers bool  // appends take effect, then return ErrUncertain
	daemons           []*simDaemon
	hosts             map[string]*simHost
	accepted          map[record.Kind]int
	rejected          []record.Outcome
}

// simHost is a fake host. It reports once per tick, except while it reboots.
type simHost struct {
	bootCount         int
	busySlots         int
	healthy           bool
	failsAfterReboot  bool // unhealthy after the next reboot
	rebootStarted     time.Time
	reboots           int
	checkpointedTasks int
	report            platform.HostUsage
}

type simDaemon struct {
	*Controller
	sim    *sim
	id     string
	zone   string
	paused bool
	dead   bool
	// afterOperation is called after each operation on a host.
	afterOperation func(op Operation)
}

const rebootTime = 4 * time.Minute

var simStart = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

func newSim() *sim {
	f := &simState{0, catalogue.NewState(), membership.NewState(), pool.NewState(), NewState()}
	return &sim{
		now:         simStart,
		state:       f,
		appendedIDs: map[string]bool{},
		hosts:       map[string]*simHost{},
		accepted:    map[record.Kind]int{},
	}
}

func (s *sim) addPool(name string, maxUnavailable int) {
	p := catalogue.Pool{Name: name, Owner: name + "-team", MaxUnavailable: maxUnavailable}
	s.state.catalogue.Pools[name] = catalogue.Versioned[catalogue.Pool]{Version: 1, Value: p}
}

func (s *sim) addHost(name, pool, zone, rack string) {
	h := catalogue.Host{Name: name, Pool: pool, Zone: zone, Rack: rack}
	s.state.catalogue.Hosts[name] = catalogue.Versioned[catalogue.Host]{Version: 1, Value: h}
	s.hosts[name] = &simHost{healthy: true}
	s.state.pools.Reconcile(1, s.state)
}

// setWave adds or edits a wave at the next offset.
func (s *sim) setWave(w catalogue.Wave) {
	s.state.offset++
	s.state.catalogue.Waves[w.Name] = catalogue.Versioned[catalogue.Wave]{Version: s.state.offset, Value: w}
}

func newWave(name string) catalogue.Wave {
	return catalogue.Wave{
		Name: name, Owner: "ops", MaxParallel: 4, MaxFailures: 1, DrainTimeout: 10 * time.Minute,
		Start: simStart, Deadline: simStart.Add(10 * time.Hour),
	}
}

func (s *sim) addDaemon(id, zone string) *simDaemon {
	d := &simDaemon{sim: s, id: id, zone: zone}
	d.Controller = NewController(ControllerOptions{Self: id, Zone: zone, Appender: d, Hosts: d})
	s.daemons = append(s.daemons, d)
	s.state.members.Members[id] = membership.Member{ID: id, Host: id, Zone: zone}
	return d
}

// kill stops a daemon and removes it from the membership.
func (s *sim) kill(d *simDaemon) {
	d.dead = true
	s.state.offset++
	delete(s.state.members.Members, d.id)
	s.state.pools.Reconcile(s.state.offset, s.state)
}

func (s *sim) append(r record.Record) record.Outcome {
	if s.appendedIDs[r.ID.String()] {
		return record.Reject("repeated")
	}
	s.appendedIDs[r.ID.String()] = true
	old := s.state
	next := &simState{old.offset + 1, old.catalogue, old.members, old.pools.Clone(), old.waves.Clone()}
	var out record.Outcome
	if r.Kind[:4] == "pool" {
		out = next.pools.Apply(next.offset, r, next)
	} else {
		out = next.waves.Apply(next.offset, r, next)
	}
	if out.Accepted {
		s.accepted[r.Kind]++
	} else {
		s.rejected = append(s.rejected, out)
	}
	s.state = next
	return out
}

// Append implements intent.Appender.
func (d *simDaemon) Append(_ context.Context, r record.Record) error {
	if d.sim.logErr != nil {
		return d.sim.logErr
	}
	d.sim.append(r)
	if d.sim.loseAppendAnswers {
		return platform.ErrUncertain
	}
	return nil
}

// Usage implements HostClient and returns the host's last report.
func (d *simDaemon) Usage(_ context.Context, name string) (platform.HostUsage, error) {
	return d.sim.hosts[name].report, nil
}

// Checkpoint implements HostClient.
func (d *simDaemon) Checkpoint(_ context.Context, name string) error {
	h := d.sim.hosts[name]
	h.checkpointedTasks += h.busySlots
	h.busySlots = 0
	return nil
}

// Drain implements HostClient.
func (d *simDaemon) Drain(context.Context, string) error { return nil }

// Reboot implements HostClient. It panics if the host is in service, since the
// controller must never reboot such a host.
func (d *simDaemon) Reboot(_ context.Context, name string) error {
	if phase := d.sim.state.pools.Hosts[name].Phase; phase != pool.PhaseOutOfService {
		panic(fmt.Sprintf("host %s is rebooted while %s", name, phase))
	}
	h := d.sim.hosts[name]
	h.reboots++
	h.rebootStarted = d.sim.now
	if d.afterOperation != nil {
		d.afterOperation(OpReboot)
	}
	return nil
}

func (s *sim) published(zone string) PublishedState {
	members := s.state.members.InZone(zone)
	slices.Sort(members)
	return PublishedState{
		Waves: &s.state.waves, Pools: &s.state.pools, Catalogue: &s.state.catalogue, Members: members,
	}
}

// tick advances the clock and then runs the hosts, the daemons and the
// acknowledgements, in this order.
func (s *sim) tick(d time.Duration) {
	s.now = s.now.Add(d)
	for _, h := range s.hosts {
		h.tick(s.now)
	}
	for _, d := range s.daemons {
		if d.dead || d.paused {
			continue
		}
		d.Update(s.published(d.zone))
		d.Step(context.Background(), s.now)
	}
	s.acknowledge()
}

func (h *simHost) tick(now time.Time) {
	if !h.rebootStarted.IsZero() {
		if now.Sub(h.rebootStarted) < rebootTime {
			return
		}
		h.rebootStarted = time.Time{}
		h.bootCount++
		h.healthy = !h.failsAfterReboot
	}
	h.report = platform.HostUsage{
		BusySlots: h.busySlots, ReportedAt: now, BootID: fmt.Sprintf("boot-%d", h.bootCount), Healthy: h.healthy,
	}
}

func (s *sim) acknowledge() {
	if s.logErr != nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.state.pools.Drains)) {
		d := s.state.pools.Drains[id]
		if s.hosts[d.Host].busySlots > 0 {
			continue
		}
		for _, m := range d.PendingMembers {
			s.appendFrom(m, pool.KindAck, pool.Ack{Drain: id, Round: d.Round})
		}
	}
}

func (s *sim) appendFrom(author string, kind record.Kind, body any) record.Outcome {
	r, err := record.New(kind, author, s.now, record.Cause{}, body)
	if err != nil {
		panic(err)
	}
	return s.append(r)
}

// setFailed appends records that mark hosts as failed or as healthy again.
func (s *sim) setFailed(failed bool, names ...string) {
	for _, name := range names {
		zone := s.state.pools.Hosts[name].Zone
		author := slices.Sorted(slices.Values(s.state.members.InZone(zone)))[0]
		s.appendFrom(author, pool.KindHealth, pool.Health{Host: name, Failed: failed})
	}
}

// unavailability returns how many hosts of a pool are unavailable and in which racks
// healthy hosts are being drained or out. It doesn't use the code under test.
func (s *sim) unavailability(name string) (unavailable int, racks map[string]bool) {
	racks = map[string]bool{}
	for _, h := range s.state.pools.Hosts {
		if h.Pool != name {
			continue
		}
		if h.Failed || h.Phase != pool.PhaseServing {
			unavailable++
		}
		if h.DrainID != "" && !h.Failed {
			racks[h.Zone+"/"+h.Rack] = true
		}
	}
	return unavailable, racks
}

// drainedHosts returns the hosts with a drain, sorted.
func (s *sim) drainedHosts() []string {
	var names []string
	for _, d := range s.state.pools.Drains {
		names = append(names, d.Host)
	}
	slices.Sort(names)
	return names
}

// runUntil advances the clock by a minute at a time until done returns true, at most
// limit times. It returns the last result of done.
func (s *sim) runUntil(limit int, done func() bool) bool {
	for range limit {
		if done() {
			return true
		}
		s.tick(time.Minute)
	}
	return done()
}
