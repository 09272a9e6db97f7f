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
	simPools = []string{"x", "y", "z"}
	simHosts = []string{"w0", "w1", "w2"}
)

const simDaemonCount = 3

// injectedFaults selects faults to inject, to verify that the checks of the
// simulation detect them.
type injectedFaults struct {
	skipAck        bool // a drain does not wait for one of the members
	skipInProgress bool // a daemon acknowledges with requests in progress
	skipUsage      bool // a move does not wait for requests that run on the host
	skipRounds     bool // no new round of acknowledgements starts when a member leaves
}

// logMode is how the log handles an append.
type logMode int

const (
	logUp logMode = iota
	logDown
	logLosesResponse
	logDelays
	logModeCount
)

// simulation runs the real state, gates and controllers of one zone under a
// virtual clock. The log, the network and the hosts are simulated.
type simulation struct {
	faults   injectedFaults
	now      time.Time
	log      []*fleetState
	appended map[ulid.ULID]bool
	mode     logMode
	delayed  []record.Record
	daemons  [simDaemonCount]*daemon
	hosts    map[string]*simHost

	checked                       *fleetState // the last state whose budgets were checked
	startedRequests, ownerChanges int
	outcomes                      []outcome
}

// outcome is the result of applying one record.
type outcome struct {
	kind record.Kind
	record.Outcome
}

// simHost is a host that runs requests and reports its usage with delay and
// clock skew.
type simHost struct {
	requests  []*simRequest
	clockSkew time.Duration
	report    platform.HostUsage
}

// simRequest is one request of a daemon.
type simRequest struct {
	pool   string
	daemon *daemon
	leave  func()
	sent   bool
	done   bool
}

func newSimulation(faults injectedFaults) *simulation {
	sim := &simulation{
		faults:   faults,
		now:      time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC),
		log:      []*fleetState{initialFleet},
		appended: map[ulid.ULID]bool{},
		hosts:    map[string]*simHost{},
	}
	for i, name := range simHosts {
		sim.hosts[name] = &simHost{clockSkew: time.Duration(i-1) * 900 * time.Millisecond}
	}
	for index := range sim.daemons {
		sim.startDaemon(index)
	}
	for _, d := range sim.daemons {
		d.applyRecords(len(sim.log))
	}
	return sim
}

var initialFleet = newSmallFleet()

// head returns the latest state.
func (sim *simulation) head() *fleetState { return sim.log[len(sim.log)-1] }

func (sim *simulation) startDaemon(index int) {
	d := &daemon{sim: sim, index: index, id: fmt.Sprintf("d%d-%d", index, len(sim.log))}
	d.gate = NewGate(d.id, "a")
	d.gate.Open()
	opts := ControllerOptions{
		Gate:      d.gate,
		Appender:  d,
		Usage:     d,
		Proposals: func(PublishedState, time.Time) []Move { return d.proposals },
	}
	if sim.faults.skipUsage {
		opts.Usage = nil
	}
	d.controller = NewController(opts)
	d.offset = len(sim.log) - 1
	sim.daemons[index] = d
	join := membership.Join{Member: membership.Member{
		ID: d.id, Host: fmt.Sprintf("e%d", index), Zone: "a", PeerAddress: fmt.Sprintf("127.0.0.1:%d", 3000+index),
	}}
	sim.append(newRecord(membership.KindJoin, d.id, sim.now, join))
}

func (sim *simulation) append(r record.Record) {
	if sim.appended[r.ID] {
		return
	}
	sim.appended[r.ID] = true
	before := sim.head()
	next, out := before.apply(r)
	sim.outcomes = append(sim.outcomes, outcome{r.Kind, out})
	sim.injectFault(r, before, next)
	for host, h := range next.pools.Hosts {
		if h.Pool != before.pools.Hosts[host].Pool {
			sim.ownerChanges++
		}
	}
	sim.log = append(sim.log, next)
}

// injectFault applies the selected faults to next, the state after r.
func (sim *simulation) injectFault(r record.Record, before, next *fleetState) {
	if d, ok := next.pools.Drains[r.ID.String()]; ok && sim.faults.skipAck && len(d.PendingMembers) > 1 {
		d.PendingMembers = d.PendingMembers[:len(d.PendingMembers)-1]
		next.pools.Drains[d.ID] = d
	}
	if !sim.faults.skipRounds {
		return
	}
	for id, d := range next.pools.Drains {
		old, ok := before.pools.Drains[id]
		if !ok || d.Round == old.Round {
			continue
		}
		old.PendingMembers = slices.DeleteFunc(slices.Clone(old.PendingMembers), func(m string) bool {
			return !slices.Contains(next.members.InZone("a"), m)
		})
		next.pools.Drains[id] = old
		if len(old.PendingMembers) == 0 {
			next.pools.completeDrain(next.offset, old, &next.catalogue)
		}
	}
}

func (h *simHost) sendAll() {
	for _, r := range h.requests {
		if !r.daemon.paused && !r.daemon.dead {
			r.sent = true
		}
	}
}

// finishOldest finishes the oldest request that runs on the host.
func (h *simHost) finishOldest() {
	for _, r := range h.requests {
		if r.sent && !r.done {
			r.done = true
			r.notifyDaemon()
			return
		}
	}
}

// abandonOldest makes a daemon give up the oldest running request, which continues
// on the host.
func (h *simHost) abandonOldest() {
	for _, r := range h.requests {
		if r.sent && !r.done && !r.daemon.paused && !r.daemon.dead {
			r.leave()
			return
		}
	}
}

// notifyDaemon tells the daemon that the request has ended, unless the daemon is
// paused or dead.
func (r *simRequest) notifyDaemon() {
	if !r.daemon.paused && !r.daemon.dead && (r.done || !r.sent) {
		r.leave()
	}
}

func (sim *simulation) sampleUsage(t *simHost) {
	busy := 0
	for _, r := range t.requests {
		if r.sent && !r.done {
			busy++
		}
	}
	t.report = platform.HostUsage{BusySlots: busy, ReportedAt: sim.now.Add(t.clockSkew)}
}

func (sim *simulation) sampleAllUsage() {
	for _, t := range sim.hosts {
		sim.sampleUsage(t)
	}
}

func (sim *simulation) setPaused(d *daemon, paused bool) {
	d.paused = paused
	if paused {
		return
	}
	for _, t := range sim.hosts {
		for _, r := range t.requests {
			if r.daemon == d && r.done {
				r.notifyDaemon()
			}
		}
	}
}

// killDaemon ends a daemon's process. Requests that it has sent continue; the
// others never start.
func (sim *simulation) killDaemon(d *daemon) {
	d.dead = true
	for _, t := range sim.hosts {
		t.requests = slices.DeleteFunc(t.requests, func(r *simRequest) bool { return r.daemon == d && !r.sent })
	}
}

// proposeMove makes the daemon's policy propose one move.
func (d *daemon) proposeMove(host, to string) {
	h := d.sim.log[d.offset].pools.Hosts[host]
	d.proposals = []Move{{Host: host, From: h.Pool, To: to, Cause: record.Cause{Object: "pool/" + to, Owner: "ops"}}}
}

// checkInvariants returns an error if two pools use or may use the same host now,
// or if a budget is exceeded.
func (sim *simulation) checkInvariants() error {
	for _, host := range simHosts {
		users := map[string]string{}
		for _, r := range sim.hosts[host].requests {
			if !r.done && (r.sent || !r.daemon.dead) {
				users[r.pool] = "a request of " + r.daemon.id
			}
		}
		for _, d := range sim.daemons {
			sim.addGateUsers(d, host, users)
		}
		if len(users) > 1 {
			return eris.Errorf("host %s at offset %d is used by %v", host, sim.head().offset, users)
		}
	}
	if sim.checked == sim.head() {
		return nil
	}
	sim.checked = sim.head()
	return sim.checkBudgets()
}

func (sim *simulation) addGateUsers(d *daemon, host string, users map[string]string) {
	if d.dead {
		return
	}
	d.gate.mu.Lock()
	defer d.gate.mu.Unlock()
	for _, pool := range simPools {
		if d.gate.mayStart(host, pool) {
			users[pool] = "the gate of " + d.id
		}
	}
}

// checkBudgets returns an error if a pool has more hosts drained than its budget
// allows. Edits in the simulation never lower budgets, so only drains can exceed
// them.
func (sim *simulation) checkBudgets() error {
	s := &sim.head().pools
	for _, pool := range simPools {
		p, ok := sim.head().catalogue.Pools[pool]
		limit := p.Value.MaxUnavailable
		if n := s.PoolUsage(pool).Unavailable; ok && n > limit {
			return eris.Errorf("pool %s has %d hosts unavailable of at most %d", pool, n, limit)
		}
	}
	return nil
}

// settle ends all outages and pauses and runs the zone until every drain has
// ended. It returns an error if a drain never ends.
func (sim *simulation) settle() error {
	sim.mode = logUp
	for _, d := range sim.daemons {
		d.disconnected = false
		d.proposals = nil
		sim.setPaused(d, false)
		if d.dead {
			sim.startDaemon(d.index)
		}
	}
	for _, r := range sim.delayed {
		sim.append(r)
	}
	for range 300 {
		for _, t := range sim.hosts {
			t.sendAll()
			t.finishOldest()
		}
		sim.round(time.Second)
		if err := sim.checkInvariants(); err != nil {
			return err
		}
		if sim.settled() {
			return nil
		}
	}
	return eris.Errorf("drains never ended: %v", sim.head().pools.Drains)
}

// settled reports whether no drain is left and every daemon has applied the whole
// log.
func (sim *simulation) settled() bool {
	for _, d := range sim.daemons {
		if d.offset < len(sim.log)-1 {
			return false
		}
	}
	return len(sim.head().pools.Drains) == 0
}

// round advances the clock by d, updates the hosts' usage reports and makes every
// daemon apply all records and step once.
func (sim *simulation) round(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.sampleAllUsage()
	for _, d := range sim.daemons {
		d.applyRecords(len(sim.log))
		d.step()
	}
}
