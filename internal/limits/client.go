package limits

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/customer"
	"greengagedeck/internal/duty"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/telemetry"
)

const (
	// exchangeTimeout bounds one call of the allocator.
	exchangeTimeout = 300 * time.Millisecond
	// registerRetryInitial and registerRetryMax bound the wait after a failed call to the log.
	registerRetryInitial = 20 * time.Millisecond
	registerRetryMax     = 400 * time.Millisecond
)

// initialVersion is the version of the grants that a holder takes from the log. It is lower
// than all versions of allocators.
var initialVersion = Version{Number: 1}

// Pool is a pool whose starts are limited. It is implemented by the pool's holder. A limited
// customer has no grant, and starts nothing, before the first call of Apply.
type Pool interface {
	// Demand returns what limited customers use and want, and the version of the configuration
	// that says which customers are limited. A customer that neither uses nor wants anything
	// may be left out.
	//
	// Used must count every run from the moment it is planned until its end is known, also
	// those of earlier holders. The allocator gives away what a request does not show as used,
	// so Demand must be read after Apply has returned: a start that Apply was too late for is
	// then in it.
	Demand() (config int64, demand []Demand)
	// Apply sets the grants, all of them, and reports whether it did. Once it returns, nothing
	// starts beyond them.
	Apply(g Grants) (applied bool)
	// Blocked receives a value when a task begins to wait only for a grant.
	Blocked() <-chan struct{}
}

// Holders returns which daemon holds a duty.
type Holders interface {
	Holder(n duty.Name) (duty.Claim, bool)
}

// ClientOptions configure a Client.
type ClientOptions struct {
	// PoolName is the name of the pool, and Token the fencing token under which it is held.
	PoolName string
	Token    int64
	Pool     Pool
	Self     duty.Member
	Holders  Holders
	Caller   peer.Caller
	// Local is the allocator of this daemon. It is called without the network when this daemon
	// holds the fleet duty.
	Local  *Service
	Log    logstore.Log
	Config *Config
	Clock  clock.Clock
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Client gets grants for a pool that this daemon holds.
type Client struct {
	opt     ClientOptions
	metrics clientMetrics
	log     logstore.Log
	outage  *telemetry.Outage
	pace    pace
	// sequence is that of the last request.
	sequence int64
	// grants are the applied ones.
	grants Grants
}

// NewClient returns a client that does nothing until Run is called.
func NewClient(o ClientOptions) *Client {
	return &Client{
		opt:     o,
		metrics: newClientMetrics(o.Scope),
		log:     logstore.Reported(o.Log, telemetry.NewOutage(o.Logger, "holder of a pool cannot register for customers' limits", "holder of a pool can register for customers' limits again")),
		outage:  telemetry.NewOutage(o.Logger, "allocator of customers' limits does not answer", "allocator of customers' limits answers again"),
	}
}

// Run gets grants until ctx ends. It returns an error if a later holder of the pool registered
// first. It must be called once for each token, after the earlier holders' appends to the pool's progress log
// have been fenced off and their runs restored: the registration gives this holder what the
// log allows the pool, and Pool.Demand has to count their runs.
func (c *Client) Run(ctx context.Context) error {
	if !c.awaitLimits(ctx) {
		return nil
	}
	if err := c.register(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	if !c.adopt(ctx) {
		return nil
	}
	for c.awaitLimits(ctx) {
		if !c.awaitTurn(ctx) {
			continue
		}
		c.exchange(ctx)
	}
	return nil
}

// awaitLimits waits until a customer has a limit. It returns false if ctx ended first.
func (c *Client) awaitLimits(ctx context.Context) bool {
	for ctx.Err() == nil {
		limits, changed := c.opt.Config.Get()
		if len(limits.Limits) > 0 {
			return true
		}
		await(ctx, changed)
	}
	return false
}

// register appends the token of this holder, exactly once and only if no later holder has
// registered.
func (c *Client) register(ctx context.Context) error {
	e, err := holderEntry(c.opt.PoolName, c.opt.Token)
	if err != nil {
		return err
	}
	producer := kindHolder + c.opt.PoolName
	for sequence, entries := range [][]logstore.Entry{nil, {e}} {
		fence := &logstore.Fence{Producer: producer, Epoch: c.opt.Token, Sequence: int64(sequence)}
		if err := c.append(ctx, entries, fence); err != nil {
			return eris.Wrapf(err, "register as holder of pool %s", c.opt.PoolName)
		}
	}
	return nil
}

// append makes one append, and retries it until its outcome is known or ctx ends.
func (c *Client) append(ctx context.Context, entries []logstore.Entry, f *logstore.Fence) error {
	var timeout logstore.AdaptiveTimeout
	pause := newBackoff()
	for ctx.Err() == nil {
		callCtx, cancel := timeout.Context(ctx, 0)
		_, err := c.log.Append(callCtx, Partition, entries, logstore.Condition{Fence: f})
		cancel()
		timeout.Observe(err)
		var sequence *logstore.SequenceError
		if err == nil || errors.Is(err, logstore.ErrFenced) || errors.As(err, &sequence) {
			return err
		}
		clock.Sleep(ctx, pause.NextBackOff())
	}
	return nil
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = registerRetryInitial, registerRetryMax
	return b
}

// adopt takes the logged bounds of the pool as its first grants. It returns false if ctx ended
// first.
func (c *Client) adopt(ctx context.Context) bool {
	var timeout logstore.AdaptiveTimeout
	pause := newBackoff()
	for ctx.Err() == nil {
		callCtx, cancel := timeout.Context(ctx, 0)
		recs, _, err := list(callCtx, c.log)
		cancel()
		timeout.Observe(err)
		if err == nil {
			c.apply(c.initialGrants(recs))
			return true
		}
		clock.Sleep(ctx, pause.NextBackOff())
	}
	return false
}

// initialGrants returns the logged bounds of the pool if they are from before the registration: an
// allocator that logs them afterwards has read it, and may lower them again without this holder,
// which it takes for one that acts on the earlier ones. Where the bounds of all pools exceed the
// limit of a customer, they are from before the limit was lowered. In both cases the pool starts
// nothing of the customer before the allocator has answered.
func (c *Client) initialGrants(recs []logstore.Record) Grants {
	limits, _ := c.opt.Config.Get()
	bounds := c.loggedBounds(recs)
	g := Grants{Version: initialVersion, ByCustomer: map[customer.ID]resources{}}
	if !c.registeredAfterBounds(recs) {
		return g
	}
	for id, bound := range bounds[c.opt.PoolName] {
		l, limited := limits.Get(id)
		if !limited {
			continue
		}
		var total amounts
		for _, of := range bounds {
			total = total.plus(of[id].limitedBy(l.Amount))
		}
		if total.fitsIn(l.Amount) {
			g.ByCustomer[id] = bound.limitedBy(l.Amount).resources()
		}
	}
	return g
}

// registeredAfterBounds reports whether the pool's last bounds were logged before this holder
// registered.
func (c *Client) registeredAfterBounds(recs []logstore.Record) bool {
	bounds, registered := int64(-1), int64(-1)
	for _, r := range recs {
		switch r.Key {
		case kindBounds + c.opt.PoolName:
			bounds = max(bounds, r.Offset)
		case kindHolder + c.opt.PoolName:
			if d, err := decode(r); err == nil && d.token == c.opt.Token {
				registered = max(registered, r.Offset)
			}
		}
	}
	return registered > bounds
}

// loggedBounds returns the last bounds of all pools.
func (c *Client) loggedBounds(recs []logstore.Record) map[string]map[customer.ID]amounts {
	out := map[string]map[customer.ID]amounts{}
	for _, r := range recs {
		d, err := decode(r)
		if d.kind != kindBounds {
			continue
		}
		if err != nil && !errors.Is(err, errNoValue) {
			c.opt.Logger.Error().Err(err).Msg("ignoring a malformed record of customers' limits")
		}
		out[d.pool] = d.bounds
	}
	return out
}

// apply applies grants that are newer than the applied ones.
func (c *Client) apply(g Grants) {
	if g.Version.Compare(c.grants.Version) <= 0 || !c.opt.Pool.Apply(g) {
		return
	}
	c.pace.applied(lowers(c.grants, g))
	c.grants = g
}

// lowers reports whether a grant is lower than before.
func lowers(before, after Grants) bool {
	for id, grant := range before.ByCustomer {
		if !grant.FitsIn(after.ByCustomer[id]) {
			return true
		}
	}
	return false
}
