package limits

import (
	"context"
	"time"

	"greengagedeck/internal/duty"
)

// awaitTurn waits until the next exchange is due, for checkInterval at most, or until something
// changes. It reports whether an exchange is due.
func (c *Client) awaitTurn(ctx context.Context) bool {
	now := c.opt.Clock.Now()
	lookIn, look := c.pace.lookIn(now)
	if look && lookIn == 0 {
		_, demand := c.opt.Pool.Demand()
		c.pace.waits(now, demand)
	}
	at := c.pace.due(now, c.occasion())
	if at <= now {
		return true
	}
	wait := min(checkInterval, at-now)
	if look && lookIn > 0 {
		wait = min(wait, lookIn)
	}
	_, changed := c.opt.Config.Get()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	case <-c.opt.Pool.Blocked():
		c.pace.signalled = true
	}
	return false
}

// occasion returns what the pool has to report on at least once.
func (c *Client) occasion() occasion {
	limits, _ := c.opt.Config.Get()
	claim, _ := c.opt.Holders.Holder(duty.Fleet)
	return occasion{allocator: int64(claim.Token), config: limits.Version}
}

// exchange reports the pool's demand to the allocator and applies what it answers.
func (c *Client) exchange(ctx context.Context) {
	o := c.occasion()
	config, demand := c.opt.Pool.Demand()
	c.pace.began(c.opt.Clock.Now(), demand)
	c.sequence++
	q := ExchangeRequest{
		Pool: c.opt.PoolName, Token: c.opt.Token, Sequence: c.sequence,
		Applied: c.grants.Version, Config: config, Demand: demand,
	}
	c.metrics.calls.Inc(1)
	r, err := c.call(ctx, q)
	if err != nil {
		c.pace.failed = true
		if ctx.Err() == nil {
			c.metrics.unanswered.Inc(1)
			c.outage.Failed("exchange", err)
		}
		return
	}
	c.outage.Succeeded()
	// A report under an older configuration does not cover the limits of the current one.
	o.config = min(o.config, config)
	c.pace.answered(o, r.Grants != nil)
	if r.Grants != nil {
		c.apply(*r.Grants)
	}
	c.pace.granted = len(c.grants.ByCustomer) > 0
}

// call calls the allocator.
func (c *Client) call(ctx context.Context, q ExchangeRequest) (ExchangeResponse, error) {
	claim, ok := c.opt.Holders.Holder(duty.Fleet)
	if !ok {
		return ExchangeResponse{}, ErrNotAllocator
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if claim.Holder == c.opt.Self {
		return c.opt.Local.Exchange(ctx, q)
	}
	var r ExchangeResponse
	err := c.opt.Caller.Call(ctx, claim.Holder.ID(), MethodExchange, q, &r)
	return r, err
}
