package pool

import (
	"slices"
	"sync"
)

// Gate says which hosts this daemon may use now, and for which pool. It counts
// this daemon's requests in progress on each host.
//
// The check whether a request may start and the count of those that started
// happen under one lock. So once Update has shown the gate a draining host and
// Idle reports true, no request of this daemon runs there and none will start
// before the gate has seen the end of that drain.
type Gate struct {
	self string
	zone string

	mu sync.Mutex
	// open is false while the daemon may be behind: before it has caught up
	// and after a pause.
	open   bool
	member bool
	epoch  uint64
	hosts  map[string]Host
	usable map[string][]string
	busy   map[string]int
}

// NewGate returns a closed gate for the daemon with member ID self in zone.
func NewGate(self, zone string) *Gate {
	return &Gate{self: self, zone: zone, busy: map[string]int{}}
}

// Self returns the member ID of the daemon.
func (g *Gate) Self() string { return g.self }

// Zone returns the availability zone of the daemon.
func (g *Gate) Zone() string { return g.zone }

// Update shows the gate a newly published state. member says whether the
// folded membership names this daemon: only a member is waited for by drains,
// so only a member may start requests. A state older than one seen before is
// passed over. The gate keeps s.Hosts, which must not change any more.
func (g *Gate) Update(s *State, member bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Epoch < g.epoch {
		return
	}
	g.member = member
	if g.hosts != nil && s.Epoch == g.epoch {
		return
	}
	g.epoch = s.Epoch
	g.hosts = s.Hosts
	g.usable = usableByPool(s, g.zone)
}

func usableByPool(s *State, zone string) map[string][]string {
	usable := map[string][]string{}
	for name, h := range s.Hosts {
		if h.Zone == zone && h.Usable() {
			usable[h.Pool] = append(usable[h.Pool], name)
		}
	}
	for _, names := range usable {
		slices.Sort(names)
	}
	return usable
}

// Open lets requests start. The caller must have folded the control stream up
// to its own admission, or up to the newest offset known after a pause.
func (g *Gate) Open() { g.setOpen(true) }

// Close keeps new requests from starting. Those in progress go on.
func (g *Gate) Close() { g.setOpen(false) }

func (g *Gate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = open
}

// Enter asks to start a request for pool on host. When ok, the request counts
// as in progress until leave is called; leave may be called more than once.
func (g *Gate) Enter(host, pool string) (leave func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.mayStart(host, pool) {
		return nil, false
	}
	g.busy[host]++
	return sync.OnceFunc(func() { g.leave(host) }), true
}

// mayStart must be called with mu held.
func (g *Gate) mayStart(host, pool string) bool {
	if !g.open || !g.member {
		return false
	}
	h, ok := g.hosts[host]
	return ok && h.Zone == g.zone && h.Pool == pool && h.Usable()
}

func (g *Gate) leave(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy[host]--
	if g.busy[host] == 0 {
		delete(g.busy, host)
	}
}

// Hosts returns the hosts of a pool that this daemon may use now, sorted. The
// caller must not change the slice. A host may stop being usable at any time:
// Enter decides.
func (g *Gate) Hosts(pool string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open || !g.member {
		return nil
	}
	return g.usable[pool]
}

// Address returns the IP:port of the host's incarnation in service. It does not
// change while a request that entered is in progress.
func (g *Gate) Address(host string) (address string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.hosts[host]
	return h.Address, ok
}

// InProgress returns how many requests of this daemon run on host.
func (g *Gate) InProgress(host string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.busy[host]
}

// Idle reports whether no request of this daemon runs on host.
func (g *Gate) Idle(host string) bool { return g.InProgress(host) == 0 }

// Drained reports whether this daemon may acknowledge the drain with the given
// ID: it has seen the drain, runs nothing on the host, and will start nothing
// there before it has seen the drain's end.
func (g *Gate) Drained(host, drain string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.hosts[host]
	return ok && h.Phase == PhaseDraining && h.Drain == drain && g.busy[host] == 0
}
