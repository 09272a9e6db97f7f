package pool

import (
	"fmt"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/membership"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

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
		p, ok := w.head().catalogue.Pools[pool]
		limit := p.Value.MaxUnavailable
		if n := s.Spent(pool).Unavailable; ok && n > limit {
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
