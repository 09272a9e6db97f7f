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
	defaultMinAttempts    = 5
	defaultFailureRatio   = 0.5
	defaultMaxEjected     = 1.0 / 3
	defaultBackoff        = 5 * time.Second
	defaultMaxBackoff     = 5 * time.Minute
	defaultProbeTimeout   = 10 * time.Second
	defaultProbeSuccesses = 3
)

const (
	// outlierFactor is the multiple of the failure ratio of its pool's other
	// hosts that a host must reach to be ejected.
	outlierFactor = 2
	// hostRetention is how long a host without attempts still counts as one
	// of its pool's hosts. It exceeds the longest backoff.
	hostRetention = 15 * time.Minute
)

// EjectorOptions configures an Ejector. Zero values take the package's
// defaults.
type EjectorOptions struct {
	// MinAttempts is the minimum number of attempts in the window, both at a
	// host and at the others of its pool, for the host to be ejected.
	MinAttempts int
	// FailureRatio is the share of failed attempts at which a host may be
	// ejected.
	FailureRatio float64
	// MaxEjected is the share of a pool's hosts that may be ejected at once.
	// One host may always be ejected unless it is the only one.
	MaxEjected float64
	// Backoff is the duration of the first ejection. It doubles with each
	// further ejection, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ProbeTimeout is how long a probe without an outcome prevents another
	// probe.
	ProbeTimeout time.Duration
	// ProbeSuccesses is how many consecutive probes must succeed before a
	// host is restored.
	ProbeSuccesses int
	// OnChange is called after every change of state. It may be nil, and it
	// must not call the ejector.
	OnChange func(Change)
	// Metrics receives the counters. It may be nil.
	Metrics tally.Scope
}

func (o EjectorOptions) withDefaults() EjectorOptions {
	option.Default(&o.MinAttempts, defaultMinAttempts)
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

// HealthState determines which requests a host may receive.
type HealthState string

// The states of a host.
const (
	// HealthServing hosts receive requests.
	HealthServing HealthState = "serving"
	// HealthEjected hosts receive no requests until their backoff has passed.
	HealthEjected HealthState = "ejected"
	// HealthProbing hosts receive one request at a time.
	HealthProbing HealthState = "probing"
)

// Change is a change of a host's state, with the counts it is based on.
type Change struct {
	Host string      `json:"host"`
	Pool string      `json:"pool"`
	From HealthState `json:"from"`
	To   HealthState `json:"to"`
	At   time.Time   `json:"at"`
	// Until is the end of an ejection.
	Until time.Time `json:"until"`
	// Attempts and Failures are those of the host, OtherAttempts and
	// OtherFailures those of its pool's other hosts in the same window.
	Attempts      int `json:"tries"`
	Failures      int `json:"failures"`
	OtherAttempts int `json:"other_tries"`
	OtherFailures int `json:"other_failures"`
}

// HostHealth is a host's state as returned by Snapshot.
type HostHealth struct {
	Host     string      `json:"host"`
	Pool     string      `json:"pool"`
	State    HealthState `json:"state"`
	Until    time.Time   `json:"until"`
	Attempts int         `json:"tries"`
	Failures int         `json:"failures"`
}

// Ejector detects hosts that fail much more often than the other hosts of their
// pool and ejects them for a time. If a whole pool fails, no host is ejected,
// because none is an outlier. Callers pass the current time. It is safe for
// concurrent use.
type Ejector struct {
	opts     EjectorOptions
	ejected  tally.Counter
	restored tally.Counter
	capped   tally.Counter

	mu    sync.Mutex
	hosts map[string]*hostState
}

type hostState struct {
	name           string
	pool           string
	state          HealthState
	window         window
	lastAttempt    time.Time
	ejectedUntil   time.Time
	backoff        time.Duration
	probeStarted   time.Time // start of the probe in progress, or zero
	probeSuccesses int       // consecutive successful probes
	restoredAt     time.Time
}

// NewEjector returns an ejector with no known hosts.
func NewEjector(opts EjectorOptions) *Ejector {
	opts = opts.withDefaults()
	s := opts.Metrics.SubScope("attempt")
	return &Ejector{
		opts:     opts,
		ejected:  s.Counter("hosts_ejected"),
		restored: s.Counter("hosts_restored"),
		capped:   s.Counter("ejections_capped"),
		hosts:    map[string]*hostState{},
	}
}

// Ejected reports whether host must not receive a request now.
func (e *Ejector) Ejected(host string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.hosts[host]
	return h != nil && !h.admitsRequest(now, e.opts.ProbeTimeout)
}

func (h *hostState) admitsRequest(now time.Time, probeTimeout time.Duration) bool {
	switch {
	case h.state == HealthServing:
		return true
	case now.Before(h.ejectedUntil):
		return false
	default:
		return h.probeStarted.IsZero() || now.Sub(h.probeStarted) >= probeTimeout
	}
}

// Started records that a request is sent to host. If the backoff of the host has
// passed, this request is the probe, and Ejected returns true until its outcome
// is known. The caller that selects hosts must call Started under the same lock
// as the selection.
func (e *Ejector) Started(host string, now time.Time) {
	e.mu.Lock()
	h := e.hosts[host]
	if h == nil || h.state == HealthServing || !h.admitsRequest(now, e.opts.ProbeTimeout) {
		e.mu.Unlock()
		return
	}
	h.probeStarted = now
	var changes []Change
	if h.state == HealthEjected {
		changes = append(changes, e.setState(h, HealthProbing, now))
	}
	e.mu.Unlock()
	e.notifyChanges(changes)
}

// Observe records the outcome of an attempt at host for pool. took, the duration
// of the attempt, is ignored, because hosts of one pool run work of very
// different durations.
func (e *Ejector) Observe(host, pool string, err error, took time.Duration, now time.Time) {
	e.mu.Lock()
	h := e.getOrCreateHost(host, pool, now)
	h.lastAttempt = now
	var changes []Change
	if h.state == HealthServing {
		h.window.add(err != nil, now)
	}
	switch {
	case h.state == HealthProbing:
		changes = e.handleProbeResult(h, err, now)
	case h.state == HealthServing && err != nil:
		changes = e.ejectOutliers(pool, now)
	}
	e.mu.Unlock()
	e.notifyChanges(changes)
}

// getOrCreateHost returns the state of a host, and adds it if it is unknown. A
// host that has moved to another pool starts with a new state.
func (e *Ejector) getOrCreateHost(name, pool string, now time.Time) *hostState {
	h := e.hosts[name]
	if h == nil {
		e.removeStaleHosts(now)
	}
	if h == nil || h.pool != pool {
		h = &hostState{name: name, pool: pool, state: HealthServing}
		e.hosts[name] = h
	}
	return h
}

// removeStaleHosts removes hosts without attempts for longer than
// hostRetention.
func (e *Ejector) removeStaleHosts(now time.Time) {
	for name, h := range e.hosts {
		if now.Sub(h.lastAttempt) > hostRetention {
			delete(e.hosts, name)
		}
	}
}

func (e *Ejector) handleProbeResult(h *hostState, err error, now time.Time) []Change {
	h.probeStarted = time.Time{}
	if err != nil {
		return []Change{e.eject(h, counts{Attempts: 1, Failures: 1}, counts{}, now)}
	}
	h.probeSuccesses++
	if h.probeSuccesses < e.opts.ProbeSuccesses {
		return nil
	}
	h.restoredAt = now
	h.window = window{}
	e.restored.Inc(1)
	return []Change{e.setState(h, HealthServing, now)}
}

// ejectOutliers ejects the outliers of pool, those with the highest failure ratio
// first, up to the maximum share of ejected hosts.
func (e *Ejector) ejectOutliers(pool string, now time.Time) []Change {
	members := e.poolHosts(pool, now)
	sums := map[*hostState]counts{}
	var total counts
	ejected := 0
	for _, h := range members {
		if h.state != HealthServing {
			ejected++
			continue
		}
		sums[h] = h.window.sum(now)
		total = total.plus(sums[h])
	}
	slices.SortStableFunc(members, func(a, b *hostState) int {
		return cmp.Compare(sums[b].failureRatio(), sums[a].failureRatio())
	})
	var changes []Change
	for _, h := range members {
		others := total.minus(sums[h])
		if h.state != HealthServing || !e.isOutlier(sums[h], others) {
			continue
		}
		if ejected >= e.maxEjected(len(members)) {
			e.capped.Inc(1)
			break
		}
		ejected++
		changes = append(changes, e.eject(h, sums[h], others, now))
		total = others
	}
	return changes
}

// poolHosts returns the hosts of pool, sorted by name.
func (e *Ejector) poolHosts(pool string, now time.Time) []*hostState {
	var out []*hostState
	for _, h := range e.hosts {
		if h.pool == pool && now.Sub(h.lastAttempt) <= hostRetention {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *hostState) int { return cmp.Compare(a.name, b.name) })
	return out
}

// isOutlier reports whether the failure ratio of a host is high while that of
// the others of its pool, which have enough attempts too, is much lower.
func (e *Ejector) isOutlier(own, others counts) bool {
	if own.Attempts < e.opts.MinAttempts || others.Attempts < e.opts.MinAttempts {
		return false
	}
	ratio := own.failureRatio()
	return ratio >= e.opts.FailureRatio && ratio >= outlierFactor*others.failureRatio()
}

// maxEjected returns how many of n hosts may be ejected at once.
func (e *Ejector) maxEjected(n int) int {
	return min(max(1, int(float64(n)*e.opts.MaxEjected)), n-1)
}

func (e *Ejector) eject(h *hostState, own, others counts, now time.Time) Change {
	h.backoff = e.nextBackoff(h, now)
	h.ejectedUntil = now.Add(h.backoff)
	h.probeSuccesses = 0
	h.probeStarted = time.Time{}
	e.ejected.Inc(1)
	c := e.setState(h, HealthEjected, now)
	c.Attempts, c.Failures = own.Attempts, own.Failures
	c.OtherAttempts, c.OtherFailures = others.Attempts, others.Failures
	return c
}

// nextBackoff doubles the last backoff. It starts again with the first one if
// the host has been serving for longer than MaxBackoff.
func (e *Ejector) nextBackoff(h *hostState, now time.Time) time.Duration {
	if h.backoff == 0 || h.state == HealthServing && now.Sub(h.restoredAt) > e.opts.MaxBackoff {
		return e.opts.Backoff
	}
	return min(2*h.backoff, e.opts.MaxBackoff)
}

func (e *Ejector) setState(h *hostState, to HealthState, now time.Time) Change {
	c := Change{Host: h.name, Pool: h.pool, From: h.state, To: to, At: now}
	if to == HealthEjected {
		c.Until = h.ejectedUntil
	}
	h.state = to
	return c
}

// notifyChanges calls OnChange for each change. mu must not be held.
func (e *Ejector) notifyChanges(changes []Change) {
	if e.opts.OnChange == nil {
		return
	}
	for _, c := range changes {
		e.opts.OnChange(c)
	}
}

// Snapshot returns the health of all known hosts, sorted by name, with the
// attempts of this daemon.
func (e *Ejector) Snapshot(now time.Time) []HostHealth {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]HostHealth, 0, len(e.hosts))
	for _, h := range e.hosts {
		sum := h.window.sum(now)
		out = append(out, HostHealth{
			Host: h.name, Pool: h.pool, State: h.state, Until: h.ejectedUntil,
			Attempts: sum.Attempts, Failures: sum.Failures,
		})
	}
	slices.SortFunc(out, func(a, b HostHealth) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
