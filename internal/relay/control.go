package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/duty"
	"greengagedeck/internal/job"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

const (
	// refreshInterval is the time between two looks at which daemons are idle.
	refreshInterval = time.Second
	// silentPeriod is how long a relay that did not answer gets no orders.
	silentPeriod = 3 * time.Second
)

// Options configure a Server and a Control.
type Options struct {
	Self   duty.Member
	Caller peer.Caller
	// Idle returns the other live daemons that hold no duty.
	Idle   func() []duty.Member
	Clock  clock.Clock
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Control sends orders to workers, itself or through relays.
//
// An order whose relay does not answer may have been carried out. A start is then
// reported as one that may have run, since a rejection of its repetition proves
// nothing; every other order is repeated at once by this daemon. Workers take no order
// with a lower token than they have seen, whoever sends it.
type Control struct {
	opt     Options
	local   worker.Control
	metrics controlMetrics

	mu          sync.Mutex
	assignments *assignments
	refreshedAt time.Duration
	sessions    map[string]*session
	lastSession uint64
	// silentUntil is until when relays that did not answer get no orders.
	silentUntil map[string]time.Duration
}

var _ worker.Control = (*Control)(nil)

// NewControl returns a Control that sends the orders which no relay carries by local.
func NewControl(local worker.Control, o Options) *Control {
	return &Control{
		opt:         o,
		local:       local,
		metrics:     newControlMetrics(o.Scope),
		assignments: newAssignments(o.Self),
		sessions:    map[string]*session{},
		lastSession: uint64(o.Clock.Wall().UnixMicro()),
		silentUntil: map[string]time.Duration{},
	}
}

// Start implements worker.Control.
func (c *Control) Start(ctx context.Context, to worker.Target, o worker.StartOrder) (int64, error) {
	a, err := c.relay(to, order{
		Kind: kindStart, Token: o.Token, Run: encodeRun(o.Run), LeaseUntil: o.LeaseUntil, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
	}, o.Payload)
	switch {
	case err == nil:
		return a.Clock, a.err()
	case errors.Is(err, errLost):
		return 0, verdict.NewMayHaveRun(verdict.ReasonPeerLost, "%v", err)
	default:
		return c.local.Start(ctx, to, o)
	}
}

// Stop implements worker.Control.
func (c *Control) Stop(ctx context.Context, to worker.Target, r job.RunID, token int64) (int64, error) {
	a, err := c.relay(to, order{Kind: kindStop, Token: token, Run: encodeRun(r)}, "")
	if err != nil {
		return c.local.Stop(ctx, to, r, token)
	}
	return a.Clock, a.err()
}

// SetSpeed implements worker.Control.
func (c *Control) SetSpeed(ctx context.Context, to worker.Target, r job.RunID, percent int, token int64) error {
	a, err := c.relay(to, order{Kind: kindSpeed, Token: token, Run: encodeRun(r), Percent: percent}, "")
	if err != nil {
		return c.local.SetSpeed(ctx, to, r, percent, token)
	}
	return a.err()
}

// Poll implements worker.Control.
func (c *Control) Poll(ctx context.Context, to worker.Target, r worker.PollRequest) (worker.Report, error) {
	a, err := c.relay(to, order{Kind: kindPoll, Token: r.Token, LeaseUntil: r.LeaseUntil, Acknowledged: r.Acknowledged, Wait: r.Wait}, "")
	if errors.Is(err, errLost) {
		// The worker may have restarted under its ID meanwhile, and numbers its ends anew.
		r.Acknowledged = 0
		rep, err := c.local.Poll(ctx, to, r)
		rep.Unacknowledged = true
		return rep, err
	}
	if err != nil {
		return c.local.Poll(ctx, to, r)
	}
	return a.report(), a.err()
}

// errDirect means that this daemon sends the order itself.
var errDirect = errors.New("no relay carries the worker's orders")

// relay hands an order to the relay of its worker and returns the answer. The error is
// errDirect, errNotHandedOver or errLost.
func (c *Control) relay(to worker.Target, o order, payload string) (answer, error) {
	s := c.sessionFor(to)
	if s == nil {
		return answer{}, errDirect
	}
	o.Worker, o.Address = to.ID, to.Address
	c.metrics.relayed.Inc(1)
	a, err := s.do(o, payload)
	if err != nil {
		c.recordSilent(s, err)
		return answer{}, err
	}
	switch a.Outcome {
	case outcomeDeclined:
		c.metrics.declined.Inc(1)
		return answer{}, errNotHandedOver
	case outcomeNotRun, outcomeUnknown:
		c.bypass(to)
	}
	return a, nil
}

// sessionFor returns the session with the relay that carries a worker's orders, or nil
// if this daemon does.
func (c *Control) sessionFor(to worker.Target) *session {
	now := c.opt.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refreshedAt == 0 || now-c.refreshedAt >= refreshInterval {
		c.refreshedAt = now
		c.assignments.setRelays(c.opt.Idle(), now)
	}
	id := c.assignments.relayOf(to, now)
	if id == direct || now < c.silentUntil[id] {
		return nil
	}
	s := c.sessions[id]
	if s == nil || s.ended() {
		c.lastSession++
		s = newSession(c.opt.Caller, c.opt.Clock, id, c.lastSession)
		c.sessions[id] = s
	}
	return s
}

// bypass has this daemon send the orders of a worker that its relay did not reach.
func (c *Control) bypass(to worker.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.assignments.bypass(to.ID, c.opt.Clock.Now())
}

// recordSilent records that a relay did not answer.
func (c *Control) recordSilent(s *session, err error) {
	c.metrics.lost.Inc(1)
	now := c.opt.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[s.relay] != s {
		return
	}
	delete(c.sessions, s.relay)
	c.silentUntil[s.relay] = now + silentPeriod
	for id, until := range c.silentUntil {
		if now >= until {
			delete(c.silentUntil, id)
		}
	}
	c.opt.Logger.Info().Err(err).Str("relay", s.relay).Dur("for", silentPeriod).Msg("relay does not answer, its orders are sent from here")
}
