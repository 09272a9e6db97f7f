package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/duty"
	"greengagedeck/internal/limits"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
	"greengagedeck/platform"
)

// customerLimits keeps customers within their limits: it allocates grants while this daemon
// holds the fleet duty, and gets them for the pools that it holds.
type customerLimits struct {
	config  *limits.Config
	service *limits.Service
	self    duty.Member
	node    *peer.Node
	log     logstore.Log
	clock   clock.Clock
	logger  zerolog.Logger
	metrics metrics
	// resolver knows the elector, which is created later.
	resolver *memberResolver
}

// maxOrphanedRun returns how long a pool has to be without a holder until all its runs have
// ended: the last holder may act for as long as its duty's lease, and grant the longest lease
// of a worker.
func maxOrphanedRun(settings platform.Settings) time.Duration {
	b := worker.LeaseBounds{KillTime: settings.StopTime}
	return duty.DefaultLease + b.LongestRun(settings.MaxLease)
}

func newCustomerLimits(settings platform.Settings, self duty.Member, p *policy.Current, n *peer.Node, dir *memberResolver, log logstore.Log, cl clock.Clock, l zerolog.Logger, m metrics) *customerLimits {
	c := &customerLimits{config: limits.NewConfig(p), self: self, node: n, log: log, clock: cl, logger: l, metrics: m, resolver: dir}
	c.service = limits.NewService(limits.ServiceOptions{
		Log:    log,
		Config: c.config,
		Clock:  cl,
		Held: func(pool string) bool {
			_, held := dir.elector.Holder(duty.OfPool(pool))
			return held
		},
		RetireAfter: maxOrphanedRun(settings),
		Logger:      l,
		Scope:       m.scope,
	})
	c.service.Register(n)
	return c
}

// grantsOf returns how the holder of a pool gets grants.
func (c *customerLimits) grantsOf(pool string, token duty.Token, p *policy.Current) scheduler.GrantOptions {
	return scheduler.GrantOptions{
		Follow: func(ctx context.Context, held limits.Pool) error { return c.client(pool, token, held).Run(ctx) },
		Version: func() int64 {
			if current := p.Get(); current != nil {
				return current.Version
			}
			return 0
		},
	}
}

func (c *customerLimits) client(pool string, token duty.Token, held limits.Pool) *limits.Client {
	return limits.NewClient(limits.ClientOptions{
		PoolName: pool,
		Token:    int64(token),
		Pool:     held,
		Self:     c.self,
		Holders:  c.resolver.elector,
		Caller:   c.node,
		Local:    c.service,
		Log:      c.log,
		Config:   c.config,
		Clock:    c.clock,
		Logger:   c.logger.With().Str("pool", pool).Logger(),
		Scope:    c.metrics.scope,
	})
}
