package catalogue

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// Limits on the values in a catalogue.
const (
	maxSlotsPerHost = 4096
	maxDeadline     = 24 * time.Hour
	maxBodyBytes    = 1 << 20
	maxNameLength   = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// locatedProblem is a problem and the position of the field that it concerns.
type locatedProblem struct {
	Problem
	position position
}

// withoutPositions returns the problems without their positions.
func withoutPositions(ls []locatedProblem) []Problem {
	out := make([]Problem, len(ls))
	for i, l := range ls {
		out[i] = l.Problem
	}
	return out
}

// checker collects problems and the names that have been declared.
type checker struct {
	problems []locatedProblem
	declared map[Key]struct{}
	pools    map[string]Pool
	teams    map[string]struct{}

	// key and pos identify the object that is being checked.
	key Key
	pos position
}

// Check returns all problems of the document.
func (d *Document) Check() []locatedProblem {
	c := &checker{
		declared: map[Key]struct{}{},
		pools:    map[string]Pool{},
		teams:    map[string]struct{}{},
	}
	for _, t := range d.Teams {
		c.teams[t.Name] = struct{}{}
	}
	for _, p := range d.Pools {
		c.pools[p.Name] = p
	}
	for i, t := range d.Teams {
		c.beginObject("teams", i, Key{KindTeam, t.Name})
		c.checkTeam(t)
	}
	for i, p := range d.Pools {
		c.beginObject("pools", i, Key{KindPool, p.Name})
		c.checkPool(p)
	}
	c.checkHosts(d.Hosts)
	for i, e := range d.Entries {
		c.beginObject("entries", i, Key{KindEntry, e.Name})
		c.checkEntry(e)
	}
	for i, w := range d.Waves {
		c.beginObject("waves", i, Key{KindWave, w.Name})
		c.checkWave(w)
	}
	return c.problems
}

// beginObject sets the object that is being checked and checks its name.
func (c *checker) beginObject(section string, i int, k Key) {
	c.key = k
	c.pos = position{section: section, index: i}
	if len(k.Name) > maxNameLength || !namePattern.MatchString(k.Name) {
		c.addProblem("name", "name %q is not 1 to %d lower-case letters, digits and inner hyphens", k.Name, maxNameLength)
	}
	if _, dup := c.declared[k]; dup {
		c.addProblem("name", "duplicate: %s is declared more than once", k)
	}
	c.declared[k] = struct{}{}
}

func (c *checker) addProblem(field, format string, args ...any) {
	at := c.pos
	at.field = field
	p := Problem{Object: c.key.String(), Reason: fmt.Sprintf(format, args...)}
	c.problems = append(c.problems, locatedProblem{p, at})
}

func (c *checker) checkNotNegative(field string, v float64) {
	if v < 0 {
		c.addProblem(field, "%s is negative: %v", field, v)
	}
}

func (c *checker) checkOwner(name string) {
	if _, ok := c.teams[name]; !ok {
		c.addProblem("owner", "unknown team %q", name)
	}
}

func (c *checker) checkTeam(t Team) {
	c.checkNotNegative("rate", t.Rate)
	c.checkNotNegative("burst", float64(t.Burst))
	c.checkNotNegative("weight", t.Weight)
	if t.Rate > 0 && t.Burst == 0 {
		c.addProblem("burst", "a team with a rate needs a burst of at least 1")
	}
}

func (c *checker) checkPool(p Pool) {
	c.checkOwner(p.Owner)
	c.checkNotNegative("min_hosts", float64(p.MinHosts))
	c.checkNotNegative("max_hosts", float64(p.MaxHosts))
	c.checkNotNegative("max_unavailable", float64(p.MaxUnavailable))
	if p.MaxHosts > 0 && p.MaxHosts < p.MinHosts {
		c.addProblem("max_hosts", "max_hosts %d is less than min_hosts %d", p.MaxHosts, p.MinHosts)
	}
	if p.SlotsPerHost < 1 || p.SlotsPerHost > maxSlotsPerHost {
		c.addProblem("slots_per_host", "slots_per_host %d is not within 1 and %d", p.SlotsPerHost, maxSlotsPerHost)
	}
	if p.ConnectionsPerHost < p.SlotsPerHost {
		c.addProblem("connections_per_host", "connections_per_host %d is less than slots_per_host %d", p.ConnectionsPerHost, p.SlotsPerHost)
	}
	if p.LongShare < 0 || p.LongShare > 1 {
		c.addProblem("long_share", "long_share %v is not within 0 and 1", p.LongShare)
	}
}

// checkHosts checks every host, and that no two hosts share an address.
func (c *checker) checkHosts(hosts []Host) {
	byAddress := map[string]string{}
	byName := map[string]Host{}
	for i, h := range hosts {
		first, dup := byName[h.Name]
		c.beginObject("hosts", i, Key{KindHost, h.Name})
		if dup && first.Pool != h.Pool {
			c.addProblem("pool", "host is in two pools: %s and %s", first.Pool, h.Pool)
		}
		byName[h.Name] = h
		c.checkHost(h)
		if other, taken := byAddress[h.Address]; taken && other != h.Name {
			c.addProblem("address", "address %s is also that of host %s", h.Address, other)
		}
		byAddress[h.Address] = h.Name
	}
}

func (c *checker) checkHost(h Host) {
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		c.addProblem("address", "address %q is not IP:port", h.Address)
	}
	if h.Zone == "" {
		c.addProblem("zone", "zone is missing")
	}
	if h.Rack == "" {
		c.addProblem("rack", "rack is missing")
	}
	if _, ok := c.pools[h.Pool]; !ok {
		c.addProblem("pool", "unknown pool %q", h.Pool)
	}
	c.checkNotNegative("cores", float64(h.Cores))
	c.checkNotNegative("memory_gb", float64(h.MemoryGB))
}

func (c *checker) checkEntry(e Entry) {
	c.checkOwner(e.Owner)
	if _, ok := c.pools[e.Pool]; !ok {
		c.addProblem("pool", "unknown pool %q", e.Pool)
	}
	if !e.Class.Valid() {
		c.addProblem("class", "class %q is not urgent, short or long", e.Class)
	}
	c.checkLimits(e.Limits)
	if a := e.Objective.Availability; a < 0 || a >= 1 {
		c.addProblem("objective.availability", "availability %v is not within 0 and 1", a)
	}
	if e.Objective.Latency < 0 {
		c.addProblem("objective.latency", "latency is negative: %v", e.Objective.Latency)
	}
}

func (c *checker) checkLimits(l Limits) {
	c.checkNotNegative("limits.slots", float64(l.Slots))
	c.checkNotNegative("limits.queue", float64(l.Queue))
	c.checkNotNegative("limits.memory_gb", float64(l.MemoryGB))
	c.checkNotNegative("limits.cores", float64(l.Cores))
	if l.BodyBytes < 0 || l.BodyBytes > maxBodyBytes {
		c.addProblem("limits.body_bytes", "body_bytes %d is not within 0 and %d", l.BodyBytes, maxBodyBytes)
	}
	if l.Deadline <= 0 || l.Deadline > maxDeadline {
		c.addProblem("limits.deadline", "deadline %v is not within 0 and %v", l.Deadline, maxDeadline)
	}
}

func (c *checker) checkWave(w Wave) {
	c.checkOwner(w.Owner)
	if w.Pool != "" {
		if _, ok := c.pools[w.Pool]; !ok {
			c.addProblem("pool", "unknown pool %q", w.Pool)
		}
	}
	if w.MaxParallel < 1 {
		c.addProblem("max_parallel", "max_parallel %d is less than 1", w.MaxParallel)
	}
	if w.Deadline.IsZero() || !w.Deadline.After(w.Start) {
		c.addProblem("deadline", "deadline is not after start")
	}
	if w.DrainTimeout < 0 {
		c.addProblem("drain_timeout", "drain_timeout is negative: %v", w.DrainTimeout)
	}
	c.checkNotNegative("max_failures", float64(w.MaxFailures))
}
