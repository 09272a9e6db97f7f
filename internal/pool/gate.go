package pool

import (
	"slices"
	"sync"
)

// Gate decides which hosts this daemon may use for which pool, and counts the
// daemon's requests in progress on each host.
//
// Whether a request may start is checked and the request is counted under the
// same lock. So once Update has passed a draining host to the gate and Idle
// reports true, no request of this daemon runs there and none will start before
// an update contains the end of that drain.
type Gate struct {
	self string
	zone string

	mu sync.Mutex
	// open is false while the daemon's state may be out of date: before it has
	// caught up with the control stream and after a pause.
	open       bool
	member     bool
	epoch      uint64
	hosts      map[string]Host
	usable     map[string][]string
	inProgress map[string]int
}

// NewGate returns a closed gate for the daemon with member ID self in zone.
func NewGate(self, zone string) *Gate {
	return &Gate{self: self, zone: zone, inProgress: map[string]int{}}
}

// Self returns the member ID of the daemon.
func (g *Gate) Self() string { return g.self }

// Zone returns the availability zone of the daemon.
func (g *Gate) Zone() string { return g.zone }

// Update passes a newly published state to the gate. member is whether this
// daemon is in the membership of that state: drains wait only for members, so
// only a member may start requests. A state older than the last one is ignored.
// The gate keeps s.Hosts, which must not be modified afterwards.
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

// Open allows requests to start. The caller must have applied the control stream
// up to its own admission or, after a pause, up to the newest known offset.
func (g *Gate) Open() { g.setOpen(true) }

// Close prevents new requests from starting. Requests in progress continue.
func (g *Gate) Close() { g.setOpen(false) }

func (g *Gate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = open
}

// Enter starts a request for pool on host. If ok is true, the request counts as
// in progress until leave is called; leave may be called more than once.
func (g *Gate) Enter(host, pool string) (leave func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.mayStart(host, pool) {
		return nil, false
	}
	g.inProgress[host]++
	return sync.OnceFunc(func() { g.leave(host) }), true
}

// mayStart reports whether a request for pool may start on host. It must be
// called with mu held.
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
	g.inProgress[host]--
	if g.inProgress[host] == 0 {
		delete(g.inProgress, host)
	}
}

// Hosts returns the hosts of a pool that this daemon may use now, sorted. The
// caller must not modify the slice. A host may become unusable at any time, so
// Enter checks again.
func (g *Gate) Hosts(pool string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open || !g.member {
		return nil
	}
	return g.usable[pool]
}

// Address returns the IP:port of the host's incarnation in service. It does not
// change while a request counted by Enter is in progress.
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
	return g.inProgress[host]
}

// Idle reports whether no request of this daemon runs on host.
func (g *Gate) Idle(host string) bool { return g.InProgress(host) == 0 }

// MayAcknowledge reports whether this daemon may acknowledge the drain with the
// given ID: the gate knows the drain, no request of the daemon runs on the host,
// and none will start there before an update contains the drain's end.
func (g *Gate) MayAcknowledge(host, drain string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.hosts[host]
	return ok && h.Phase == PhaseDraining && h.DrainID == drain && g.inProgress[host] == 0
}
