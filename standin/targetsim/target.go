// Package targetsim simulates targets: workers that serve requests in a few slots, with
// switches for fault injection. It counts the requests that it runs.
package targetsim

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"greengagedeck/internal/platform/httpplatform"
	"greengagedeck/standin/platformsim"
)

// The header fields of the targets' protocol.
const (
	HeaderRequestID = "Request-Id"
	HeaderPool      = "Request-Pool"
	HeaderAttempt   = "Request-Attempt"
	HeaderVerdict   = "Request-Verdict"
	// HeaderServiceMs is the simulated service time of a request, in milliseconds.
	HeaderServiceMs = "X-Service-Ms"
)

// Switches sets the faults of a target. The zero value is a healthy target that rejects
// requests when all its slots are busy.
type Switches struct {
	// SlowFactor multiplies service times. 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailAll makes every task fail at once with status 500.
	FailAll bool `json:"fail_all"`
	// LateMs delays responses, in milliseconds, after the work is done and its slot
	// is free.
	LateMs int `json:"late_ms"`
	// Truncate, ResetBefore and ResetAfter are shares of requests: those whose
	// response is truncated, those whose connection is reset before the work starts,
	// and those whose connection is reset after it is done.
	Truncate    float64 `json:"truncate"`
	ResetBefore float64 `json:"reset_before"`
	ResetAfter  float64 `json:"reset_after"`
	// Seed seeds the generator that selects those requests. A change of it restarts
	// the generator.
	Seed uint64 `json:"seed"`
	// Queue makes requests wait for a slot instead of rejecting them.
	Queue bool `json:"queue"`
	// RebootMs is how long a reboot takes, in milliseconds. 0 means 500 ms.
	RebootMs int `json:"reboot_ms"`
	// UnhealthyAfterReboot makes the target unhealthy after a reboot: it then fails
	// every task.
	UnhealthyAfterReboot bool `json:"sick_after_reboot"`
	// UsageLagMs is the maximum age of a usage report, in milliseconds.
	UsageLagMs int `json:"usage_lag_ms"`
}

const (
	defaultReboot   = 500 * time.Millisecond
	shutdownTimeout = 100 * time.Millisecond
	listenRetry     = 20 * time.Millisecond
	slotTimeout     = 30 * time.Second
)

// Options configures a Target.
type Options struct {
	Name string
	// Address is IP:port; port 0 takes a free one.
	Address string
	// Slots and Connections are the maximum numbers of concurrent tasks and of open
	// connections.
	Slots       int
	Connections int
	Counter     *ExecutionCounter
}

// Stats holds the counters of a target.
type Stats struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Executions counts started tasks, Rejected those that found no free slot.
	Executions int `json:"executions"`
	Rejected   int `json:"refused"`
	// MaxBusy is the highest number of busy slots, MaxConnections the highest number
	// of open connections. RefusedConnections counts connections above the limit.
	MaxBusy            int `json:"max_busy"`
	MaxConnections     int `json:"max_connections"`
	RefusedConnections int `json:"refused_connections"`
	// PoolOverlaps counts tasks that started while a task of another pool was
	// running.
	PoolOverlaps int `json:"pool_overlaps"`
	// LastStart is when the last task started.
	LastStart time.Time `json:"last_start"`
	Boots     int       `json:"boots"`
}

// Target is one simulated worker.
type Target struct {
	opts  Options
	slots chan struct{}

	mu            sync.Mutex
	switches      Switches
	sampler       *platformsim.Sampler
	stats         Stats
	pools         map[string]int
	busy          int
	unhealthy     bool
	draining      bool
	throttleShare float64
	lastUsage     httpplatform.UsageResponse
	// interrupt is closed to interrupt all running tasks, and then replaced.
	interrupt chan struct{}
	closed    bool

	ln     *limitListener
	server *fasthttp.Server
}

// Start returns a target that already serves.
func Start(opts Options) (*Target, error) {
	t := &Target{
		opts:          opts,
		slots:         make(chan struct{}, opts.Slots),
		sampler:       platformsim.NewSampler(0),
		pools:         map[string]int{},
		throttleShare: 1,
		interrupt:     make(chan struct{}),
	}
	if err := t.boot(); err != nil {
		return nil, err
	}
	return t, nil
}

// boot opens the listener and starts a server on it.
func (t *Target) boot() error {
	ln, err := net.Listen("tcp", t.opts.Address)
	if err != nil {
		return fmt.Errorf("target %s: %w", t.opts.Name, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ln.Close()
	}
	t.opts.Address = ln.Addr().String()
	t.stats.Boots++
	t.ln = newLimitListener(ln, t.opts.Connections)
	t.server = &fasthttp.Server{Handler: t.serve, CloseOnShutdown: true, Logger: discardLogger{}}
	go func(s *fasthttp.Server, ln net.Listener) { _ = s.Serve(ln) }(t.server, t.ln)
	return nil
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Address returns the IP:port of the target.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opts.Address
}

// Switches returns the current switches.
func (t *Target) Switches() Switches {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.switches
}

// SetSwitches replaces the switches.
func (t *Target) SetSwitches(s Switches) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Seed != t.switches.Seed {
		t.sampler = platformsim.NewSampler(s.Seed)
	}
	t.switches = s
}

// Stats returns the current counters.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Name, s.Address = t.opts.Name, t.opts.Address
	s.addConnections(t.ln)
	return s
}

func (s *Stats) addConnections(ln *limitListener) {
	maxOpen, refused := ln.connectionCounts()
	s.MaxConnections = max(s.MaxConnections, maxOpen)
	s.RefusedConnections += refused
}

// Close stops the target permanently.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.shutDown()
}

// shutDown interrupts all tasks and closes the listener and every connection.
func (t *Target) shutDown() {
	t.mu.Lock()
	t.endTasks()
	server, ln := t.server, t.ln
	t.stats.addConnections(ln)
	t.mu.Unlock()
	_ = ln.Close()
	ln.closeAll()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Shutdown()
	}()
	select {
	case <-done:
	case <-time.After(shutdownTimeout):
	}
}

// endTasks interrupts the running tasks. The caller holds t.mu.
func (t *Target) endTasks() {
	close(t.interrupt)
	t.interrupt = make(chan struct{})
}

// Usage implements platformsim.Worker.
func (t *Target) Usage() httpplatform.UsageResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	lag := time.Duration(t.switches.UsageLagMs) * time.Millisecond
	now := time.Now()
	if t.lastUsage.ReportedAt == 0 || now.Sub(time.UnixMilli(t.lastUsage.ReportedAt)) >= lag {
		t.lastUsage = httpplatform.UsageResponse{
			BusySlots:  t.busy,
			ReportedAt: now.UnixMilli(),
			BootID:     t.opts.Name + "/" + strconv.Itoa(t.stats.Boots),
			Healthy:    !t.unhealthy,
		}
	}
	return t.lastUsage
}

// Checkpoint implements platformsim.Worker: tasks save their progress and end.
func (t *Target) Checkpoint() { t.Stop() }

// Stop implements platformsim.Worker.
func (t *Target) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endTasks()
}

// Throttle implements platformsim.Worker.
func (t *Target) Throttle(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if share > 0 {
		t.throttleShare = share
	}
}

// Drain implements platformsim.Worker.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Reboot implements platformsim.Worker: connections are refused during the reboot,
// after which the target has a new boot ID.
func (t *Target) Reboot() {
	go func() {
		t.shutDown()
		s := t.Switches()
		downtime := time.Duration(s.RebootMs) * time.Millisecond
		if downtime <= 0 {
			downtime = defaultReboot
		}
		time.Sleep(downtime)
		t.mu.Lock()
		t.unhealthy, t.draining, t.throttleShare = s.UnhealthyAfterReboot, false, 1
		t.lastUsage = httpplatform.UsageResponse{}
		t.mu.Unlock()
		for t.boot() != nil {
			time.Sleep(listenRetry)
		}
	}()
}
