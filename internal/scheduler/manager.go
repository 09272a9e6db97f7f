package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/duty"
)

// minHoldTime is the least time for which a pool is held. An error that any daemon would
// meet with the pool must not have its duty change hands all the time.
const minHoldTime = 2 * time.Second

// Lease tells how long a duty may still be acted on.
type Lease interface {
	Remaining(n duty.Name, t duty.Token) time.Duration
}

// ManagerOptions configure a Manager.
type ManagerOptions struct {
	// NewRunner returns the runner of a pool that was acquired.
	NewRunner func(pool string, a duty.Acquisition, d Duty) *Runner
	// GiveUp gives a duty up that is held under a token, so that it is claimed anew. It
	// tries until the duty is lost or ctx ends.
	GiveUp func(ctx context.Context, n duty.Name, t duty.Token)
	Lease  Lease
	Logger zerolog.Logger
}

// Manager runs a Runner for every pool that this daemon holds. It implements
// the part of duty.Observer that concerns pools.
type Manager struct {
	opt ManagerOptions
	ctx context.Context

	mu        sync.Mutex
	heldPools map[string]*heldPool
	loops     sync.WaitGroup
}

// heldPool is a pool that this daemon holds.
type heldPool struct {
	runner *Runner
	token  duty.Token
	cancel context.CancelFunc
}

// NewManager returns a manager whose runners stop when ctx ends.
func NewManager(ctx context.Context, o ManagerOptions) *Manager {
	return &Manager{opt: o, ctx: ctx, heldPools: map[string]*heldPool{}}
}

// poolDuty implements Duty for one pool and token.
type poolDuty struct {
	lease Lease
	name  duty.Name
	token duty.Token
}

// Remaining implements Duty.
func (d poolDuty) Remaining() time.Duration { return d.lease.Remaining(d.name, d.token) }

// Acquired starts scheduling a pool.
func (m *Manager) Acquired(a duty.Acquisition) {
	n, t := a.Duty, a.Token
	pool, ok := n.Pool()
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	p := &heldPool{
		runner: m.opt.NewRunner(pool, a, poolDuty{m.opt.Lease, n, t}),
		token:  t,
		cancel: cancel,
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.heldPools[pool]; old != nil {
		old.cancel()
	}
	m.heldPools[pool] = p
	m.loops.Go(func() { p.runner.Watch(ctx) })
	m.loops.Go(func() { m.schedule(ctx, p, n) })
}

// schedule schedules a pool until ctx ends. If it cannot, it gives the pool's duty up.
func (m *Manager) schedule(ctx context.Context, p *heldPool, n duty.Name) {
	started := time.Now()
	err := p.runner.Run(ctx)
	if ctx.Err() != nil {
		return
	}
	m.opt.Logger.Warn().Err(err).Str("duty", string(n)).Int64("token", int64(p.token)).Dur("remaining", m.opt.Lease.Remaining(n, p.token)).Msg("scheduling the pool stopped on an error, giving up its duty")
	if clock.Sleep(ctx, minHoldTime-time.Since(started)) {
		m.opt.GiveUp(ctx, n, p.token)
	}
}

// Lost stops scheduling a pool.
func (m *Manager) Lost(n duty.Name, t duty.Token) {
	pool, ok := n.Pool()
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.heldPools[pool]; p != nil && p.token == t {
		p.cancel()
		delete(m.heldPools, pool)
	}
}

// Runner returns the runner of a pool that this daemon holds.
func (m *Manager) Runner(pool string) (*Runner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.heldPools[pool]
	if p == nil {
		return nil, false
	}
	return p.runner, true
}

// Pools returns the pools that this daemon holds.
func (m *Manager) Pools() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.heldPools))
	for pool := range m.heldPools {
		out = append(out, pool)
	}
	return out
}
