// Package targetsim stands in for targets: workers that serve requests in a
// few slots, with switches for their failures. It counts what it runs.
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
	// HeaderServiceMs is how long the work takes, in milliseconds.
	HeaderServiceMs = "X-Service-Ms"
)

// Switches sets how a target fails. The zero value is a healthy target that
// refuses what its slots can't hold.
type Switches struct {
	// SlowFactor multiplies service times, 0 for 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailAll answers 500 at once to every task.
	FailAll bool `json:"fail_all"`
	// LateMs delays answers after the work is done and its slot is free.
	LateMs int `json:"late_ms"`
	// Truncate, ResetBefore and ResetAfter are shares of requests: those
	// whose answer breaks off, whose connection is reset before the work
	// starts, and after it is done.
	Truncate    float64 `json:"truncate"`
	ResetBefore float64 `json:"reset_before"`
	ResetAfter  float64 `json:"reset_after"`
	// Seed restarts the generator behind the shares when it changes.
	Seed uint64 `json:"seed"`
	// Queue lets requests wait for a slot inside the target.
	Queue bool `json:"queue"`
	// RebootMs is how long a reboot takes, 0 for 500 ms.
	RebootMs int `json:"reboot_ms"`
	// SickAfterReboot makes the target come back unhealthy: it then fails
	// every task.
	SickAfterReboot bool `json:"sick_after_reboot"`
	// UsageLagMs is how old a usage report may be.
	UsageLagMs int `json:"usage_lag_ms"`
}

const (
	defaultReboot   = 500 * time.Millisecond
	shutdownTimeout = 100 * time.Millisecond
	listenRetry     = 20 * time.Millisecond
	slotWait        = 30 * time.Second
)

// Options configures a Target.
type Options struct {
	Name string
	// Address is IP:port; port 0 takes a free one.
	Address string
	// Slots and Connections are what the target serves at once.
	Slots       int
	Connections int
	Book        *Book
}

// Stats is what a target has seen.
type Stats struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Executions counts tasks started, Refused those that found no slot.
	Executions int `json:"executions"`
	Refused    int `json:"refused"`
	// MaxBusy is the most slots in use at once, MaxConnections the most
	// connections, RefusedConnections those above the limit.
	MaxBusy            int `json:"max_busy"`
	MaxConnections     int `json:"max_connections"`
	RefusedConnections int `json:"refused_connections"`
	// PoolOverlaps counts tasks that started while a task of another pool
	// was in progress.
	PoolOverlaps int `json:"pool_overlaps"`
	// LastStart is when the last task started.
	LastStart time.Time `json:"last_start"`
	Boots     int       `json:"boots"`
}

// Target is one worker.
type Target struct {
	opts  Options
	slots chan struct{}

	mu       sync.Mutex
	switches Switches
	chance   *platformsim.Sampler
	stats    Stats
	pools    map[string]int
	busy     int
	sick     bool
	draining bool
	share    float64
	reported httpplatform.UsageAnswer
	// interrupt is closed and replaced when the target's tasks are ended.
	interrupt chan struct{}
	closed    bool

	ln     *limitListener
	server *fasthttp.Server
}

// Start returns a target that serves.
func Start(opts Options) (*Target, error) {
	t := &Target{
		opts:      opts,
		slots:     make(chan struct{}, opts.Slots),
		chance:    platformsim.NewSampler(0),
		pools:     map[string]int{},
		share:     1,
		interrupt: make(chan struct{}),
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
	t.server = &fasthttp.Server{Handler: t.serve, CloseOnShutdown: true, Logger: silent{}}
	go func(s *fasthttp.Server, ln net.Listener) { _ = s.Serve(ln) }(t.server, t.ln)
	return nil
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// Address returns IP:port.
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

// Set changes the switches.
func (t *Target) Set(s Switches) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Seed != t.switches.Seed {
		t.chance = platformsim.NewSampler(s.Seed)
	}
	t.switches = s
}

// Stats returns what the target has seen.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Name, s.Address = t.opts.Name, t.opts.Address
	s.addConnections(t.ln)
	return s
}

func (s *Stats) addConnections(ln *limitListener) {
	most, refused := ln.counts()
	s.MaxConnections = max(s.MaxConnections, most)
	s.RefusedConnections += refused
}

// Close stops the target for good.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.halt()
}

// halt ends all tasks, the listener and every connection.
func (t *Target) halt() {
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

// endTasks interrupts the tasks in progress. The caller holds t.mu.
func (t *Target) endTasks() {
	close(t.interrupt)
	t.interrupt = make(chan struct{})
}

// Usage implements platformsim.Worker.
func (t *Target) Usage() httpplatform.UsageAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	lag := time.Duration(t.switches.UsageLagMs) * time.Millisecond
	now := time.Now()
	if t.reported.ReportedAt == 0 || now.Sub(time.UnixMilli(t.reported.ReportedAt)) >= lag {
		t.reported = httpplatform.UsageAnswer{
			BusySlots:  t.busy,
			ReportedAt: now.UnixMilli(),
			BootID:     t.opts.Name + "/" + strconv.Itoa(t.stats.Boots),
			Healthy:    !t.sick,
		}
	}
	return t.reported
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
		t.share = share
	}
}

// Drain implements platformsim.Worker.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Reboot implements platformsim.Worker: connections are refused for a while,
// then the target comes back with a new boot ID.
func (t *Target) Reboot() {
	go func() {
		t.halt()
		s := t.Switches()
		pause := time.Duration(s.RebootMs) * time.Millisecond
		if pause <= 0 {
			pause = defaultReboot
		}
		time.Sleep(pause)
		t.mu.Lock()
		t.sick, t.draining, t.share = s.SickAfterReboot, false, 1
		t.reported = httpplatform.UsageAnswer{}
		t.mu.Unlock()
		for t.boot() != nil {
			time.Sleep(listenRetry)
		}
	}()
}
