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

// fleet is one folded state of the slices that a wave depends on.
type fleet struct {
	offset    uint64
	catalogue catalogue.State
	members   membership.State
	pools     pool.State
	waves     State
}

func (f *fleet) Catalogue() *catalogue.State { return &f.catalogue }

func (f *fleet) Pools() *pool.State { return &f.pools }

func (f *fleet) ZoneMembers(zone string) []string { return f.members.InZone(zone) }

// sim runs the real controllers of a fleet's zones on a virtual clock. The log,
// the hosts and the acknowledgements of drains are faked.
type sim struct {
	now      time.Time
	state    *fleet
	seen     map[string]bool
	log      error // what the log answers
	loses    bool  // the log appends, then answers with an error
	daemons  []*daemon
	hosts    map[string]*host
	accepted map[record.Kind]int
	rejected []record.Outcome
}

// host is a fake worker. Its reports lag by one tick.
type host struct {
	boot      int
	busy      int
	healthy   bool
	breaks    bool // the next reboot leaves it unhealthy
	rebooting time.Time
	reboots   int
	saved     int
	report    platform.HostUsage
}

type daemon struct {
	*Controller
	sim    *sim
	id     string
	zone   string
	paused bool
	dead   bool
	// after runs after each operation on a host.
	after func(op Operation)
}

const rebootTime = 4 * time.Minute

var simStart = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

func newSim() *sim {
	f := &fleet{0, catalogue.NewState(), membership.NewState(), pool.NewState(), NewState()}
	return &sim{
		now:      simStart,
		state:    f,
		seen:     map[string]bool{},
		hosts:    map[string]*host{},
		accepted: map[record.Kind]int{},
	}
}

func (s *sim) addPool(name string, maxUnavailable int) {
	p := catalogue.Pool{Name: name, Owner: name + "-team", MaxUnavailable: maxUnavailable}
	s.state.catalogue.Pools[name] = catalogue.Versioned[catalogue.Pool]{Version: 1, Value: p}
}

func (s *sim) addHost(name, pool, zone, rack string) {
	h := catalogue.Host{Name: name, Pool: pool, Zone: zone, Rack: rack}
	s.state.catalogue.Hosts[name] = catalogue.Versioned[catalogue.Host]{Version: 1, Value: h}
	s.hosts[name] = &host{healthy: true}
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

func (s *sim) addDaemon(id, zone string) *daemon {
	d := &daemon{sim: s, id: id, zone: zone}
	d.Controller = NewController(ControllerOptions{Self: id, Zone: zone, Appender: d, Tasks: d})
	s.daemons = append(s.daemons, d)
	s.state.members.Members[id] = membership.Member{ID: id, Host: id, Zone: zone}
	return d
}

// kill ends a daemon's process and takes it out of the membership.
func (s *sim) kill(d *daemon) {
	d.dead = true
	s.state.offset++
	delete(s.state.members.Members, d.id)
	s.state.pools.Reconcile(s.state.offset, s.state)
}

func (s *sim) append(r record.Record) record.Outcome {
	if s.seen[r.ID.String()] {
		return record.Reject("repeated")
	}
	s.seen[r.ID.String()] = true
	old := s.state
	next := &fleet{old.offset + 1, old.catalogue, old.members, old.pools.Clone(), old.waves.Clone()}
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
func (d *daemon) Append(_ context.Context, r record.Record) error {
	if d.sim.log != nil {
		return d.sim.log
	}
	d.sim.append(r)
	if d.sim.loses {
		return platform.ErrUncertain
	}
	return nil
}

// Usage implements Tasks with the host's last report.
func (d *daemon) Usage(_ context.Context, name string) (platform.HostUsage, error) {
	return d.sim.hosts[name].report, nil
}

// Checkpoint implements Tasks.
func (d *daemon) Checkpoint(_ context.Context, name string) error {
	h := d.sim.hosts[name]
	h.saved += h.busy
	h.busy = 0
	return nil
}

// Drain implements Tasks.
func (d *daemon) Drain(context.Context, string) error { return nil }

// Reboot implements Tasks. Rebooting a host in service is what must not happen.
func (d *daemon) Reboot(_ context.Context, name string) error {
	if phase := d.sim.state.pools.Hosts[name].Phase; phase != pool.PhaseOutOfService {
		panic(fmt.Sprintf("host %s is rebooted while %s", name, phase))
	}
	h := d.sim.hosts[name]
	h.reboots++
	h.rebooting = d.sim.now
	if d.after != nil {
		d.after(OpReboot)
	}
	return nil
}

func (s *sim) published(zone string) Published {
	members := s.state.members.InZone(zone)
	slices.Sort(members)
	return Published{
		Waves: &s.state.waves, Pools: &s.state.pools, Catalogue: &s.state.catalogue, Members: members,
	}
}

// tick lets time pass; hosts, then daemons, then acknowledgements follow.
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

func (h *host) tick(now time.Time) {
	if !h.rebooting.IsZero() {
		if now.Sub(h.rebooting) < rebootTime {
			return
		}
		h.rebooting = time.Time{}
		h.boot++
		h.healthy = !h.breaks
	}
	h.report = platform.HostUsage{
		BusySlots: h.busy, ReportedAt: now, BootID: fmt.Sprintf("boot-%d", h.boot), Healthy: h.healthy,
	}
}

func (s *sim) acknowledge() {
	if s.log != nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.state.pools.Drains)) {
		d := s.state.pools.Drains[id]
		if s.hosts[d.Host].busy > 0 {
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

// fail marks hosts as failed or healthy again.
func (s *sim) fail(failed bool, names ...string) {
	for _, name := range names {
		zone := s.state.pools.Hosts[name].Zone
		author := slices.Sorted(slices.Values(s.state.members.InZone(zone)))[0]
		s.appendFrom(author, pool.KindHealth, pool.HostHealth{Host: name, Failed: failed})
	}
}

// outage counts, without the code under test, how a pool's hosts stand.
func (s *sim) outage(name string) (unavailable int, racks map[string]bool) {
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

// taken returns the hosts that waves have out, sorted.
func (s *sim) taken() []string {
	var names []string
	for _, d := range s.state.pools.Drains {
		names = append(names, d.Host)
	}
	slices.Sort(names)
	return names
}

// until ticks by minutes until done, at most limit times.
func (s *sim) until(limit int, done func() bool) bool {
	for range limit {
		if done() {
			return true
		}
		s.tick(time.Minute)
	}
	return done()
}
