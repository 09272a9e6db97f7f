package catalogue

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// Bounds of what a catalogue may declare.
const (
	maxSlotsPerHost = 4096
	maxDeadline     = 24 * time.Hour
	maxBodyBytes    = 1 << 20
	maxNameLength   = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// located is a problem with the field it was found in.
type located struct {
	Problem
	at position
}

func plain(ls []located) []Problem {
	out := make([]Problem, len(ls))
	for i, l := range ls {
		out[i] = l.Problem
	}
	return out
}

// checker collects problems and knows which names exist.
type checker struct {
	problems []located
	names    map[Key]struct{}
	pools    map[string]Pool
	teams    map[string]struct{}

	// object under check
	key Key
	pos position
}

// Check returns everything wrong with the document.
func (d *Document) Check() []located {
	c := &checker{
		names: map[Key]struct{}{},
		pools: map[string]Pool{},
		teams: map[string]struct{}{},
	}
	for _, t := range d.Teams {
		c.teams[t.Name] = struct{}{}
	}
	for _, p := range d.Pools {
		c.pools[p.Name] = p
	}
	for i, t := range d.Teams {
		c.begin("teams", i, Key{KindTeam, t.Name})
		c.team(t)
	}
	for i, p := range d.Pools {
		c.begin("pools", i, Key{KindPool, p.Name})
		c.pool(p)
	}
	c.hosts(d.Hosts)
	for i, e := range d.Entries {
		c.begin("entries", i, Key{KindEntry, e.Name})
		c.entry(e)
	}
	for i, w := range d.Waves {
		c.begin("waves", i, Key{KindWave, w.Name})
		c.wave(w)
	}
	return c.problems
}

// begin starts the checks of one object with those of its name.
func (c *checker) begin(section string, i int, k Key) {
	c.key = k
	c.pos = position{section: section, index: i}
	if len(k.Name) > maxNameLength || !namePattern.MatchString(k.Name) {
		c.fail("name", "name %q is not 1 to %d lower-case letters, digits and inner hyphens", k.Name, maxNameLength)
	}
	if _, dup := c.names[k]; dup {
		c.fail("name", "duplicate: %s is declared more than once", k)
	}
	c.names[k] = struct{}{}
}

func (c *checker) fail(field, format string, args ...any) {
	at := c.pos
	at.field = field
	p := Problem{Object: c.key.String(), Reason: fmt.Sprintf(format, args...)}
	c.problems = append(c.problems, located{p, at})
}

func (c *checker) notNegative(field string, v float64) {
	if v < 0 {
		c.fail(field, "%s is negative: %v", field, v)
	}
}

func (c *checker) owner(name string) {
	if _, ok := c.teams[name]; !ok {
		c.fail("owner", "unknown team %q", name)
	}
}

func (c *checker) team(t Team) {
	c.notNegative("rate", t.Rate)
	c.notNegative("burst", float64(t.Burst))
	c.notNegative("weight", t.Weight)
	if t.Rate > 0 && t.Burst == 0 {
		c.fail("burst", "a team with a rate needs a burst of at least 1")
	}
}

func (c *checker) pool(p Pool) {
	c.owner(p.Owner)
	c.notNegative("min_hosts", float64(p.MinHosts))
	c.notNegative("max_hosts", float64(p.MaxHosts))
	c.notNegative("max_unavailable", float64(p.MaxUnavailable))
	if p.MaxHosts > 0 && p.MaxHosts < p.MinHosts {
		c.fail("max_hosts", "max_hosts %d is less than min_hosts %d", p.MaxHosts, p.MinHosts)
	}
	if p.SlotsPerHost < 1 || p.SlotsPerHost > maxSlotsPerHost {
		c.fail("slots_per_host", "slots_per_host %d is not within 1 and %d", p.SlotsPerHost, maxSlotsPerHost)
	}
	if p.ConnectionsPerHost < p.SlotsPerHost {
		c.fail("connections_per_host", "connections_per_host %d is less than slots_per_host %d", p.ConnectionsPerHost, p.SlotsPerHost)
	}
	if p.LongShare < 0 || p.LongShare > 1 {
		c.fail("long_share", "long_share %v is not within 0 and 1", p.LongShare)
	}
}

// hosts checks every host; an address may serve only one of them.
func (c *checker) hosts(hosts []Host) {
	byAddress := map[string]string{}
	byName := map[string]Host{}
	for i, h := range hosts {
		first, dup := byName[h.Name]
		c.begin("hosts", i, Key{KindHost, h.Name})
		if dup && first.Pool != h.Pool {
			c.fail("pool", "host is in two pools: %s and %s", first.Pool, h.Pool)
		}
		byName[h.Name] = h
		c.host(h)
		if other, taken := byAddress[h.Address]; taken && other != h.Name {
			c.fail("address", "address %s is also that of host %s", h.Address, other)
		}
		byAddress[h.Address] = h.Name
	}
}

func (c *checker) host(h Host) {
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		c.fail("address", "address %q is not IP:port", h.Address)
	}
	if h.Zone == "" {
		c.fail("zone", "zone is missing")
	}
	if h.Rack == "" {
		c.fail("rack", "rack is missing")
	}
	if _, ok := c.pools[h.Pool]; !ok {
		c.fail("pool", "unknown pool %q", h.Pool)
	}
	c.notNegative("cores", float64(h.Cores))
	c.notNegative("memory_gb", float64(h.MemoryGB))
}

func (c *checker) entry(e Entry) {
	c.owner(e.Owner)
	if _, ok := c.pools[e.Pool]; !ok {
		c.fail("pool", "unknown pool %q", e.Pool)
	}
	if !e.Class.Valid() {
		c.fail("class", "class %q is not urgent, short or long", e.Class)
	}
	c.limits(e.Limits)
	if a := e.Objective.Availability; a < 0 || a >= 1 {
		c.fail("objective.availability", "availability %v is not within 0 and 1", a)
	}
	if e.Objective.Latency < 0 {
		c.fail("objective.latency", "latency is negative: %v", e.Objective.Latency)
	}
}

func (c *checker) limits(l Limits) {
	c.notNegative("limits.slots", float64(l.Slots))
	c.notNegative("limits.queue", float64(l.Queue))
	c.notNegative("limits.memory_gb", float64(l.MemoryGB))
	c.notNegative("limits.cores", float64(l.Cores))
	if l.BodyBytes < 0 || l.BodyBytes > maxBodyBytes {
		c.fail("limits.body_bytes", "body_bytes %d is not within 0 and %d", l.BodyBytes, maxBodyBytes)
	}
	if l.Deadline <= 0 || l.Deadline > maxDeadline {
		c.fail("limits.deadline", "deadline %v is not within 0 and %v", l.Deadline, maxDeadline)
	}
}

func (c *checker) wave(w Wave) {
	c.owner(w.Owner)
	if w.Pool != "" {
		if _, ok := c.pools[w.Pool]; !ok {
			c.fail("pool", "unknown pool %q", w.Pool)
		}
	}
	if w.MaxParallel < 1 {
		c.fail("max_parallel", "max_parallel %d is less than 1", w.MaxParallel)
	}
	if w.Deadline.IsZero() || !w.Deadline.After(w.Start) {
		c.fail("deadline", "deadline is not after start")
	}
	if w.DrainTimeout < 0 {
		c.fail("drain_timeout", "drain_timeout is negative: %v", w.DrainTimeout)
	}
	c.notNegative("max_failures", float64(w.MaxFailures))
}
