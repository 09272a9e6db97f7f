package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/duty"
)

// Lease tells how long a duty may still be acted on.
type Lease interface {
	Remaining(n duty.Name, t duty.Token) time.Duration
}

// ManagerOptions configure a Manager.
type ManagerOptions struct {
	// New returns the runner of a pool held under a token.
	New    func(pool string, t duty.Token, d Duty) *Runner
	Lease  Lease
	Logger zerolog.Logger
}

// Manager runs a Runner for every pool that this daemon holds. It implements
// the part of duty.Observer that concerns pools.
type Manager struct {
	opt ManagerOptions
	ctx context.Context

	mu      sync.Mutex
	running map[string]*running
	loops   sync.WaitGroup
}

// running is one held pool.
type running struct {
	runner *Runner
	token  duty.Token
	cancel context.CancelFunc
}

// NewManager returns a manager whose runners end with ctx.
func NewManager(ctx context.Context, o ManagerOptions) *Manager {
	return &Manager{opt: o, ctx: ctx, running: map[string]*running{}}
}

// held is a Duty for one pool and token.
type held struct {
	lease Lease
	name  duty.Name
	token duty.Token
}

// Remaining implements Duty.
func (h held) Remaining() time.Duration { return h.lease.Remaining(h.name, h.token) }

// Gained starts to schedule a pool.
func (m *Manager) Gained(g duty.Acquisition) {
	n, t := g.Duty, g.Token
	pool, ok := n.Pool()
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	r := &running{
		runner: m.opt.New(pool, t, held{m.opt.Lease, n, t}),
		token:  t,
		cancel: cancel,
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.running[pool]; old != nil {
		old.cancel()
	}
	m.running[pool] = r
	m.loops.Go(func() {
		if err := r.runner.Run(ctx); err != nil && ctx.Err() == nil {
			m.opt.Logger.Warn().Err(err).Str("pool", pool).Int64("token", int64(t)).Msg("scheduling of the pool ended")
		}
	})
}

// Lost ends the scheduling of a pool.
func (m *Manager) Lost(n duty.Name, t duty.Token) {
	pool, ok := n.Pool()
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.running[pool]; r != nil && r.token == t {
		r.cancel()
		delete(m.running, pool)
	}
}

// Runner returns the runner of a pool that is held here.
func (m *Manager) Runner(pool string) (*Runner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.running[pool]
	if r == nil {
		return nil, false
	}
	return r.runner, true
}

// Pools returns the pools that are held here.
func (m *Manager) Pools() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.running))
	for pool := range m.running {
		out = append(out, pool)
	}
	return out
}
