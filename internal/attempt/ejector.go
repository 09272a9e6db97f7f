package attempt

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"greengagedeck/internal/option"
)

// The defaults of EjectorOptions.
const (
	defaultMinTries       = 5
	defaultFailureRatio   = 0.5
	defaultMaxEjected     = 1.0 / 3
	defaultBackoff        = 5 * time.Second
	defaultMaxBackoff     = 5 * time.Minute
	defaultProbeTimeout   = 10 * time.Second
	defaultProbeSuccesses = 3
)

const (
	// othersFactor is how many times a host's failure ratio must exceed
	// that of its pool's other hosts.
	othersFactor = 2
	// hostMemory is how long a host that is not tried any more counts as
	// one of its pool's hosts. It exceeds the longest backoff.
	hostMemory = 15 * time.Minute
)

// EjectorOptions configures an Ejector. Zero values take the package's
// defaults.
type EjectorOptions struct {
	// MinTries is the fewest tries in the window that a host is judged by.
	MinTries int
	// FailureRatio is the share of failed tries from which a host may be
	// ejected.
	FailureRatio float64
	// MaxEjected is the share of a pool's hosts that may be ejected at once.
	// One host may always be ejected if it isn't the only one.
	MaxEjected float64
	// Backoff is the length of a first ejection. It doubles with each
	// further one up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ProbeTimeout is when a probe without an outcome no longer keeps
	// another from being made.
	ProbeTimeout time.Duration
	// ProbeSuccesses is how many probes in a row must succeed before a host
	// is back.
	ProbeSuccesses int
	// OnChange is told of every change of state, after it, or nil. It must
	// not call back into the ejector.
	OnChange func(Change)
	// Metrics receives the counters, or nil.
	Metrics tally.Scope
}

func (o EjectorOptions) withDefaults() EjectorOptions {
	option.Default(&o.MinTries, defaultMinTries)
	option.Default(&o.FailureRatio, defaultFailureRatio)
	option.Default(&o.MaxEjected, defaultMaxEjected)
	option.Default(&o.Backoff, defaultBackoff)
	option.Default(&o.MaxBackoff, defaultMaxBackoff)
	option.Default(&o.ProbeTimeout, defaultProbeTimeout)
	option.Default(&o.ProbeSuccesses, defaultProbeSuccesses)
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

// HealthState is what the ejector allows a host.
type HealthState string

// The states of a host.
const (
	// HealthServing hosts take requests.
	HealthServing HealthState = "serving"
	// HealthEjected hosts take none until their backoff has passed.
	HealthEjected HealthState = "ejected"
	// HealthProbing hosts take one request at a time.
	HealthProbing HealthState = "probing"
)

// Change is one change of a host's state, with the figures it was decided on.
type Change struct {
	Host string      `json:"host"`
	Pool string      `json:"pool"`
	From HealthState `json:"from"`
	To   HealthState `json:"to"`
	At   time.Time   `json:"at"`
	// Until is the end of an ejection.
	Until time.Time `json:"until"`
	// Tries and Failures are the host's own, OtherTries and OtherFailures
	// those of its pool's other hosts, in the same window.
	Tries         int `json:"tries"`
	Failures      int `json:"failures"`
	OtherTries    int `json:"other_tries"`
	OtherFailures int `json:"other_failures"`
}

// HostHealth is one host's state as Snapshot shows it.
type HostHealth struct {
	Host     string      `json:"host"`
	Pool     string      `json:"pool"`
	State    HealthState `json:"state"`
	Until    time.Time   `json:"until"`
	Tries    int         `json:"tries"`
	Failures int         `json:"failures"`
}

// Ejector finds hosts that fail what the others of their pool do not, and
// keeps requests from them for a while. A pool that fails as a whole keeps its
// hosts, because no host stands out. It reads no clock and is safe for
// concurrent use.
type Ejector struct {
	opts     EjectorOptions
	ejected  tally.Counter
	restored tally.Counter
	capped   tally.Counter

	mu    sync.Mutex
	hosts map[string]*hostHealth
}

type hostHealth struct {
	name     string
	pool     string
	state    HealthState
	window   window
	seen     time.Time
	until    time.Time
	backoff  time.Duration
	probed   time.Time // start of the probe in progress, or zero
	proven   int       // probes that succeeded in a row
	restored time.Time
}

// NewEjector returns an ejector that knows no hosts.
func NewEjector(opts EjectorOptions) *Ejector {
	opts = opts.withDefaults()
	s := opts.Metrics.SubScope("attempt")
	return &Ejector{
		opts:     opts,
		ejected:  s.Counter("hosts_ejected"),
		restored: s.Counter("hosts_restored"),
		capped:   s.Counter("ejections_capped"),
		hosts:    map[string]*hostHealth{},
	}
}

// Ejected reports whether host must not be given a request now.
func (e *Ejector) Ejected(host string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.hosts[host]
	return h != nil && !h.admits(now, e.opts.ProbeTimeout)
}

func (h *hostHealth) admits(now time.Time, probeTimeout time.Duration) bool {
	switch {
	case h.state == HealthServing:
		return true
	case now.Before(h.until):
		return false
	default:
		return h.probed.IsZero() || now.Sub(h.probed) >= probeTimeout
	}
}

// Started notes that host is given a request. On a host whose backoff has
// passed, that request is the probe, and Ejected is true until its outcome is
// known. Whoever picks hosts calls it under the lock of the pick.
func (e *Ejector) Started(host string, now time.Time) {
	e.mu.Lock()
	h := e.hosts[host]
	if h == nil || h.state == HealthServing || !h.admits(now, e.opts.ProbeTimeout) {
		e.mu.Unlock()
		return
	}
	h.probed = now
	var changes []Change
	if h.state == HealthEjected {
		changes = append(changes, e.change(h, HealthProbing, now))
	}
	e.mu.Unlock()
	e.tell(changes)
}

// Observe notes the outcome of one try at host for pool. took is how long the
// try was; it is not compared, because hosts of one pool run work of very
// different lengths.
func (e *Ejector) Observe(host, pool string, err error, took time.Duration, now time.Time) {
	e.mu.Lock()
	h := e.host(host, pool, now)
	h.seen = now
	var changes []Change
	if h.state == HealthServing {
		h.window.add(err != nil, now)
	}
	switch {
	case h.state == HealthProbing:
		changes = e.probeDone(h, err, now)
	case h.state == HealthServing && err != nil:
		changes = e.judge(pool, now)
	}
	e.mu.Unlock()
	e.tell(changes)
}

// host returns the health of a host. A host that has come to another pool
// starts anew.
func (e *Ejector) host(name, pool string, now time.Time) *hostHealth {
	h := e.hosts[name]
	if h == nil {
		e.forget(now)
	}
	if h == nil || h.pool != pool {
		h = &hostHealth{name: name, pool: pool, state: HealthServing}
		e.hosts[name] = h
	}
	return h
}

// forget drops hosts that have not been tried for long.
func (e *Ejector) forget(now time.Time) {
	for name, h := range e.hosts {
		if now.Sub(h.seen) > hostMemory {
			delete(e.hosts, name)
		}
	}
}

func (e *Ejector) probeDone(h *hostHealth, err error, now time.Time) []Change {
	h.probed = time.Time{}
	if err != nil {
		return []Change{e.eject(h, counts{Tries: 1, Failures: 1}, counts{}, now)}
	}
	h.proven++
	if h.proven < e.opts.ProbeSuccesses {
		return nil
	}
	h.restored = now
	h.window = window{}
	e.restored.Inc(1)
	return []Change{e.change(h, HealthServing, now)}
}

// judge ejects the hosts of pool that stand out, worst first, up to the share.
func (e *Ejector) judge(pool string, now time.Time) []Change {
	members := e.members(pool, now)
	sums := map[*hostHealth]counts{}
	var total counts
	out := 0
	for _, h := range members {
		if h.state != HealthServing {
			out++
			continue
		}
		sums[h] = h.window.sum(now)
		total = total.plus(sums[h])
	}
	slices.SortStableFunc(members, func(a, b *hostHealth) int {
		return cmp.Compare(sums[b].failureRatio(), sums[a].failureRatio())
	})
	var changes []Change
	for _, h := range members {
		others := total.minus(sums[h])
		if h.state != HealthServing || !e.standsOut(sums[h], others) {
			continue
		}
		if out >= e.maxEjected(len(members)) {
			e.capped.Inc(1)
			break
		}
		out++
		changes = append(changes, e.eject(h, sums[h], others, now))
		total = others
	}
	return changes
}

// members returns the hosts of pool by name.
func (e *Ejector) members(pool string, now time.Time) []*hostHealth {
	var out []*hostHealth
	for _, h := range e.hosts {
		if h.pool == pool && now.Sub(h.seen) <= hostMemory {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *hostHealth) int { return cmp.Compare(a.name, b.name) })
	return out
}

// standsOut reports whether a host fails much while the others of its pool,
// which have been tried too, fail much less.
func (e *Ejector) standsOut(own, others counts) bool {
	if own.Tries < e.opts.MinTries || others.Tries < e.opts.MinTries {
		return false
	}
	ratio := own.failureRatio()
	return ratio >= e.opts.FailureRatio && ratio >= othersFactor*others.failureRatio()
}

// maxEjected returns how many of n hosts may be out at once.
func (e *Ejector) maxEjected(n int) int {
	return min(max(1, int(float64(n)*e.opts.MaxEjected)), n-1)
}

func (e *Ejector) eject(h *hostHealth, own, others counts, now time.Time) Change {
	h.backoff = e.nextBackoff(h, now)
	h.until = now.Add(h.backoff)
	h.proven = 0
	h.probed = time.Time{}
	e.ejected.Inc(1)
	c := e.change(h, HealthEjected, now)
	c.Tries, c.Failures = own.Tries, own.Failures
	c.OtherTries, c.OtherFailures = others.Tries, others.Failures
	return c
}

// nextBackoff doubles the last backoff, unless the host has been well for
// longer than the longest one.
func (e *Ejector) nextBackoff(h *hostHealth, now time.Time) time.Duration {
	if h.backoff == 0 || h.state == HealthServing && now.Sub(h.restored) > e.opts.MaxBackoff {
		return e.opts.Backoff
	}
	return min(2*h.backoff, e.opts.MaxBackoff)
}

func (e *Ejector) change(h *hostHealth, to HealthState, now time.Time) Change {
	c := Change{Host: h.name, Pool: h.pool, From: h.state, To: to, At: now}
	if to == HealthEjected {
		c.Until = h.until
	}
	h.state = to
	return c
}

// tell must be called without mu held.
func (e *Ejector) tell(changes []Change) {
	if e.opts.OnChange == nil {
		return
	}
	for _, c := range changes {
		e.opts.OnChange(c)
	}
}

// Snapshot returns every known host's health by name, with the tries of this
// daemon.
func (e *Ejector) Snapshot(now time.Time) []HostHealth {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]HostHealth, 0, len(e.hosts))
	for _, h := range e.hosts {
		sum := h.window.sum(now)
		out = append(out, HostHealth{
			Host: h.name, Pool: h.pool, State: h.state, Until: h.until,
			Tries: sum.Tries, Failures: sum.Failures,
		})
	}
	slices.SortFunc(out, func(a, b HostHealth) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
