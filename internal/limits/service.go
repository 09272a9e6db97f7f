package limits

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
	"greengagedeck/internal/telemetry"
)

// Lease is this daemon's lease on the fleet duty.
type Lease interface {
	// Remaining returns how long this daemon may act without a further renewal, or 0 if it
	// may not act.
	Remaining() time.Duration
}

// ServiceOptions configure a Service.
type ServiceOptions struct {
	Log    logstore.Log
	Config *Config
	Clock  clock.Clock
	// Held reports whether a live daemon holds a pool.
	Held func(pool string) bool
	// RetireAfter is how long a pool has to be without a holder until all its runs have ended.
	RetireAfter time.Duration
	Logger      zerolog.Logger
	Scope       tally.Scope
}

// Service is the allocator of a daemon. It acts while the daemon holds the fleet duty and a
// customer has a limit.
type Service struct {
	opt       ServiceOptions
	metrics   serviceMetrics
	logOutage *telemetry.Outage

	mu      sync.Mutex
	current *session
	// lastVersion is the highest number of a version that a session has used.
	lastVersion int64
}

// NewService returns a service that answers no request until Run is called.
func NewService(o ServiceOptions) *Service {
	return &Service{
		opt:       o,
		metrics:   newServiceMetrics(o.Scope),
		logOutage: telemetry.NewOutage(o.Logger, "bounds of customers cannot be logged", "bounds of customers can be logged again"),
	}
}

// Register registers the handler of this package's message.
func (s *Service) Register(m peer.Mux) {
	m.Handle(MethodExchange, func(ctx context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q ExchangeRequest
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return s.Exchange(ctx, q)
	})
}

// Exchange answers a request of the holder of a pool.
func (s *Service) Exchange(ctx context.Context, q ExchangeRequest) (ExchangeResponse, error) {
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	r, err := ExchangeResponse{}, ErrNotAllocator
	if current != nil && current.lease.Remaining() > 0 {
		r, err = current.exchange(ctx, q)
	}
	s.metrics.exchanges.Inc(1)
	if err != nil {
		s.metrics.rejected.Inc(1)
	}
	return r, err
}

// Run allocates under a token of the fleet duty until ctx ends.
func (s *Service) Run(ctx context.Context, token int64, lease Lease) {
	for ctx.Err() == nil {
		limits, changed := s.opt.Config.Get()
		if len(limits.Limits) == 0 {
			await(ctx, changed)
			continue
		}
		if superseded := s.hold(ctx, token, lease); superseded {
			<-ctx.Done()
		}
	}
}

// hold allocates until ctx ends, no customer has a limit or a later allocator has taken over.
func (s *Service) hold(ctx context.Context, token int64, lease Lease) (superseded bool) {
	x := newSession(s, token, lease)
	l := s.opt.Logger.With().Int64("token", token).Logger()
	if taken := x.takeOver(ctx); !taken {
		return ctx.Err() == nil
	}
	limits := x.limits()
	l.Info().Int("customers", len(limits.Limits)).Int("pools", len(limits.Pools)).Msg("allocator of customers' limits taken over")
	s.set(x)
	superseded = x.run(ctx)
	s.clear(x)
	l.Info().Bool("superseded", superseded).Msg("allocator of customers' limits lost")
	return superseded
}

func (s *Service) set(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || s.current.token <= x.token {
		s.current = x
	}
}

func (s *Service) clear(x *session) {
	last := x.lastVersion()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == x {
		s.current = nil
	}
	s.lastVersion = max(s.lastVersion, last)
}

// firstVersion returns the number after which those of a new session begin.
func (s *Service) firstVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastVersion
}

// await waits until ctx ends or the channel is closed.
func await(ctx context.Context, closed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-closed:
	}
}

// notify sends to ch unless a value is already waiting there.
func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
