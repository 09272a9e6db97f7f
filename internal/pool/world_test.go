package pool

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

// fleet is one folded state: the real fold of each slice that moves depend on.
type fleet struct {
	offset    uint64
	catalogue catalogue.State
	members   membership.State
	pools     State
}

func (f *fleet) Catalogue() *catalogue.State { return &f.catalogue }

func (f *fleet) ZoneMembers(zone string) []string { return f.members.InZone(zone) }

func (f *fleet) apply(r record.Record) (*fleet, record.Outcome) {
	next := &fleet{f.offset + 1, f.catalogue.Clone(), f.members.Clone(), f.pools.Clone()}
	var out record.Outcome
	switch r.Kind {
	case catalogue.KindEdit:
		out = next.catalogue.Apply(next.offset, r)
	case membership.KindJoin, membership.KindRemove:
		out = next.members.Apply(next.offset, r)
	default:
		return next, next.pools.Apply(next.offset, r, next)
	}
	if out.Accepted {
		next.pools.Reconcile(next.offset, next)
	}
	return next, out
}

func newRecord(kind record.Kind, author string, at time.Time, body any) record.Record {
	r, err := record.New(kind, author, at, record.Cause{Object: "host/test", Owner: "ops"}, body)
	if err != nil {
		panic(err)
	}
	return r
}

// editOf returns an edit that sets objects, or removes them when del is set.
func editOf(f *fleet, del bool, objects map[catalogue.Key]any) record.Record {
	e := catalogue.Edit{Base: f.catalogue.Version, Operator: "ops"}
	keys := slices.SortedFunc(maps.Keys(objects), func(a, b catalogue.Key) int {
		return strings.Compare(a.String(), b.String())
	})
	for _, key := range keys {
		ch := catalogue.Change{Key: key, Delete: del}
		if !del {
			spec, err := record.Encode(objects[key])
			if err != nil {
				panic(err)
			}
			ch.Spec = spec
		}
		e.Changes = append(e.Changes, ch)
	}
	return newRecord(catalogue.KindEdit, "ops", time.Time{}, e)
}

// smallFleet has three hosts of zone a on three racks: two in pool x, one in z.
// Pool y starts without hosts; x and z are spare pools, so that any may lend.
func smallFleet() *fleet {
	f := &fleet{0, catalogue.NewState(), membership.NewState(), NewState()}
	objects := map[catalogue.Key]any{
		{Kind: catalogue.KindTeam, Name: "ops"}: catalogue.Team{Name: "ops"},
	}
	for _, name := range worldPools {
		p := catalogue.Pool{
			Name: name, Owner: "ops", Spare: name != "y", MaxUnavailable: 2,
			SlotsPerHost: 8, ConnectionsPerHost: 64, LongShare: 0.5,
		}
		objects[catalogue.Key{Kind: catalogue.KindPool, Name: name}] = p
	}
	for i, name := range worldHosts {
		pool := "x"
		if i == 2 {
			pool = "z"
		}
		objects[catalogue.Key{Kind: catalogue.KindHost, Name: name}] = catalogue.Host{
			Name: name, Address: fmt.Sprintf("127.0.0.1:2000%d", i), Zone: "a",
			Rack: fmt.Sprintf("r%d", i), Pool: pool, Cores: 1, MemoryGB: 1,
		}
	}
	f, out := f.apply(editOf(f, false, objects))
	if !out.Accepted {
		panic(out.Reason)
	}
	return f
}

var (
	worldPools = []string{"x", "y", "z"}
	worldHosts = []string{"w0", "w1", "w2"}
)

const worldDaemons = 3

// variant is a model with a fault seeded into it, to show that the check of
// the model catches it.
type variant struct {
	skipAck    bool // a drain does not wait for one of the members
	skipCount  bool // a daemon acknowledges with requests in progress
	skipUsage  bool // a move does not wait for what runs on the host
	skipRounds bool // members are not asked again when one is gone
}

// logMode is what the log does with an append.
type logMode int

const (
	logUp logMode = iota
	logDown
	logLosesAnswer
	logDelays
	logModes
)

// world runs real folds, gates and controllers of one zone under a virtual
// clock. What it fakes are the log, the network and the hosts.
type world struct {
	variant variant
	now     time.Time
	log     []*fleet
	seen    map[ulid.ULID]bool
	mode    logMode
	delayed []record.Record
	daemons [worldDaemons]*daemon
	hosts   map[string]*target

	checked        *fleet // the last state whose budgets were checked
	started, moved int
	outcomes       []outcome
}

// outcome is what the fold made of one record.
type outcome struct {
	kind record.Kind
	record.Outcome
}

// target is a host that runs requests and reports its usage late.
type target struct {
	runs   []*run
	skew   time.Duration
	report platform.HostUsage
}

// run is one request of a daemon.
type run struct {
	pool  string
	owner *daemon
	leave func()
	sent  bool
	done  bool
}

// daemon is one incarnation of a daemon.
type daemon struct {
	w       *world
	slot    int
	id      string
	gate    *Gate
	ctl     *Controller
	offset  int
	paused  bool
	cut     bool
	dead    bool
	desired []Move
}

func newWorld(v variant) *world {
	w := &world{
		variant: v,
		now:     time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC),
		log:     []*fleet{initialFleet},
		seen:    map[ulid.ULID]bool{},
		hosts:   map[string]*target{},
	}
	for i, name := range worldHosts {
		w.hosts[name] = &target{skew: time.Duration(i-1) * 900 * time.Millisecond}
	}
	for slot := range w.daemons {
		w.start(slot)
	}
	for _, d := range w.daemons {
		d.fold(len(w.log))
	}
	return w
}

var initialFleet = smallFleet()

// head returns the newest state.
func (w *world) head() *fleet { return w.log[len(w.log)-1] }

func (w *world) start(slot int) {
	d := &daemon{w: w, slot: slot, id: fmt.Sprintf("d%d-%d", slot, len(w.log))}
	d.gate = NewGate(d.id, "a")
	d.gate.Open()
	opts := ControllerOptions{
		Gate:      d.gate,
		Appender:  d,
		Usage:     d,
		Proposals: func(Published, time.Time) []Move { return d.desired },
	}
	if w.variant.skipUsage {
		opts.Usage = nil
	}
	d.ctl = NewController(opts)
	d.offset = len(w.log) - 1
	w.daemons[slot] = d
	join := membership.Join{Member: membership.Member{
		ID: d.id, Host: fmt.Sprintf("e%d", slot), Zone: "a", PeerAddress: fmt.Sprintf("127.0.0.1:%d", 3000+slot),
	}}
	w.append(newRecord(membership.KindJoin, d.id, w.now, join))
}

func (w *world) append(r record.Record) {
	if w.seen[r.ID] {
		return
	}
	w.seen[r.ID] = true
	before := w.head()
	next, out := before.apply(r)
	w.outcomes = append(w.outcomes, outcome{r.Kind, out})
	w.sabotage(r, before, next)
	for host, h := range next.pools.Hosts {
		if h.Pool != before.pools.Hosts[host].Pool {
			w.moved++
		}
	}
	w.log = append(w.log, next)
}

// sabotage seeds the variant's fault into a folded state.
func (w *world) sabotage(r record.Record, before, next *fleet) {
	if d, ok := next.pools.Drains[r.ID.String()]; ok && w.variant.skipAck && len(d.Waiting) > 1 {
		d.Waiting = d.Waiting[:len(d.Waiting)-1]
		next.pools.Drains[d.ID] = d
	}
	if !w.variant.skipRounds {
		return
	}
	for id, d := range next.pools.Drains {
		old, ok := before.pools.Drains[id]
		if !ok || d.Round == old.Round {
			continue
		}
		old.Waiting = slices.DeleteFunc(slices.Clone(old.Waiting), func(m string) bool {
			return !slices.Contains(next.members.InZone("a"), m)
		})
		next.pools.Drains[id] = old
		if len(old.Waiting) == 0 {
			next.pools.complete(next.offset, old, &next.catalogue)
		}
	}
}

// Append implements Appender under the log's current mode.
func (d *daemon) Append(_ context.Context, r record.Record) error {
	switch {
	case d.cut || d.w.mode == logDown:
		return platform.ErrUnavailable
	case d.w.mode == logDelays:
		d.w.delayed = append(d.w.delayed, r)
		return platform.ErrUncertain
	case d.w.mode == logLosesAnswer:
		d.w.append(r)
		return platform.ErrUncertain
	}
	d.w.append(r)
	return nil
}

// Usage implements Usage with the host's last report.
func (d *daemon) Usage(_ context.Context, host string) (platform.HostUsage, error) {
	if d.cut {
		return platform.HostUsage{}, platform.ErrUnavailable
	}
	return d.w.hosts[host].report, nil
}

// fold lets the daemon see the next n records.
func (d *daemon) fold(n int) {
	if d.cut || d.paused || d.dead {
		return
	}
	for ; n > 0 && d.offset < len(d.w.log)-1; n-- {
		d.offset++
		f := d.w.log[d.offset]
		d.ctl.Update(Published{Pools: &f.pools, Catalogue: &f.catalogue, Members: f.members.InZone("a")})
	}
}

func (d *daemon) step() {
	if d.paused || d.dead {
		return
	}
	if d.w.variant.skipCount {
		d.gate.mu.Lock()
		clear(d.gate.busy)
		d.gate.mu.Unlock()
	}
	d.ctl.Step(context.Background(), d.w.now)
}

// enter asks the gate for a request; send puts it on the wire.
func (d *daemon) enter(host, pool string) *run {
	if d.paused || d.dead {
		return nil
	}
	leave, ok := d.gate.Enter(host, pool)
	if !ok {
		return nil
	}
	r := &run{pool: pool, owner: d, leave: leave}
	d.w.hosts[host].runs = append(d.w.hosts[host].runs, r)
	d.w.started++
	return r
}

// enterOwned asks for a request of the pool that the daemon knows to own host.
func (d *daemon) enterOwned(host string) *run {
	return d.enter(host, d.w.log[d.offset].pools.Hosts[host].Pool)
}

func (t *target) send() {
	for _, r := range t.runs {
		if !r.owner.paused && !r.owner.dead {
			r.sent = true
		}
	}
}

// finish ends the oldest request that runs on the host.
func (t *target) finish() {
	for _, r := range t.runs {
		if r.sent && !r.done {
			r.done = true
			r.answer()
			return
		}
	}
}

// abandon lets the daemon of the oldest request give it up; the host goes on.
func (t *target) abandon() {
	for _, r := range t.runs {
		if r.sent && !r.done && !r.owner.paused && !r.owner.dead {
			r.leave()
			return
		}
	}
}

// answer tells the daemon, if it is there to hear, that the request has ended.
func (r *run) answer() {
	if !r.owner.paused && !r.owner.dead && (r.done || !r.sent) {
		r.leave()
	}
}

func (w *world) sample(t *target) {
	busy := 0
	for _, r := range t.runs {
		if r.sent && !r.done {
			busy++
		}
	}
	t.report = platform.HostUsage{BusySlots: busy, ReportedAt: w.now.Add(t.skew)}
}

func (w *world) sampleAll() {
	for _, t := range w.hosts {
		w.sample(t)
	}
}

func (w *world) setPaused(d *daemon, paused bool) {
	d.paused = paused
	if paused {
		return
	}
	for _, t := range w.hosts {
		for _, r := range t.runs {
			if r.owner == d && r.done {
				r.answer()
			}
		}
	}
}

// kill ends a daemon's process. What it sent runs on; the rest never starts.
func (w *world) kill(d *daemon) {
	d.dead = true
	for _, t := range w.hosts {
		t.runs = slices.DeleteFunc(t.runs, func(r *run) bool { return r.owner == d && !r.sent })
	}
}

// propose makes the daemon's policy want one move.
func (d *daemon) propose(host, to string) {
	h := d.w.log[d.offset].pools.Hosts[host]
	d.desired = []Move{{Host: host, From: h.Pool, To: to, Cause: record.Cause{Object: "pool/" + to, Owner: "ops"}}}
}

// violation reports a host that two pools use or may use at this moment.
func (w *world) violation() error {
	for _, host := range worldHosts {
		users := map[string]string{}
		for _, r := range w.hosts[host].runs {
			if !r.done && (r.sent || !r.owner.dead) {
				users[r.pool] = "a request of " + r.owner.id
			}
		}
		for _, d := range w.daemons {
			w.mayUse(d, host, users)
		}
		if len(users) > 1 {
			return eris.Errorf("host %s at offset %d is used by %v", host, w.head().offset, users)
		}
	}
	if w.checked == w.head() {
		return nil
	}
	w.checked = w.head()
	return w.budgetViolation()
}

func (w *world) mayUse(d *daemon, host string, users map[string]string) {
	if d.dead {
		return
	}
	d.gate.mu.Lock()
	defer d.gate.mu.Unlock()
	for _, pool := range worldPools {
		if d.gate.mayStart(host, pool) {
			users[pool] = "the gate of " + d.id
		}
	}
}

// budgetViolation reports a pool with more hosts drained than its budget. An
// edit may not lower budgets here, so drains alone can break them.
func (w *world) budgetViolation() error {
	s := &w.head().pools
	for _, pool := range worldPools {
		limit := w.head().catalogue.Pools[pool].Value.MaxUnavailable
		if n := s.Spent(pool).Unavailable; n > limit {
			return eris.Errorf("pool %s has %d hosts unavailable of at most %d", pool, n, limit)
		}
	}
	return nil
}

// settle ends every fault and lets the zone finish what it began. It returns
// an error when a drain is left over.
func (w *world) settle() error {
	w.mode = logUp
	for _, d := range w.daemons {
		d.cut = false
		d.desired = nil
		w.setPaused(d, false)
		if d.dead {
			w.start(d.slot)
		}
	}
	for _, r := range w.delayed {
		w.append(r)
	}
	for range 300 {
		for _, t := range w.hosts {
			t.send()
			t.finish()
		}
		w.round(time.Second)
		if err := w.violation(); err != nil {
			return err
		}
		if w.quiet() {
			return nil
		}
	}
	return eris.Errorf("drains never ended: %v", w.head().pools.Drains)
}

// quiet reports whether no drain is left and everybody knows it.
func (w *world) quiet() bool {
	for _, d := range w.daemons {
		if d.offset < len(w.log)-1 {
			return false
		}
	}
	return len(w.head().pools.Drains) == 0
}

// round lets time pass and every daemon act once on a fresh report.
func (w *world) round(d time.Duration) {
	w.now = w.now.Add(d)
	w.sampleAll()
	for _, d := range w.daemons {
		d.fold(len(w.log))
		d.step()
	}
}
