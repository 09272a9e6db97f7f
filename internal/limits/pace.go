package limits

import (
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
)

const (
	// exchangeInterval is the time between two exchanges while the pool has jobs of limited
	// customers, and for recentPeriod afterwards as long as it has grants: load that has moved
	// to another pool needs them soon.
	exchangeInterval = 250 * time.Millisecond
	recentPeriod     = 10 * time.Second
	// idleInterval is the time between two exchanges of a pool without such jobs: it may have
	// grants that other pools need, and gets some before its first job.
	idleInterval = 500 * time.Millisecond
	// blockedInterval is the least time between two exchanges while a task waits only for a
	// grant. It doubles with every one that brings nothing, up to exchangeInterval.
	blockedInterval = 50 * time.Millisecond
	// intervalPerCustomer times the number of customers is the least time between exchanges of
	// a pool with many customers, whose messages are large.
	intervalPerCustomer = time.Millisecond
	// maxFutile bounds the count of exchanges that brought nothing. The interval has reached
	// exchangeInterval by then.
	maxFutile = 8
	// checkInterval is how often a pool without anything to report looks whether there is
	// another allocator, which has to hear once from every pool.
	checkInterval = 250 * time.Millisecond
)

// occasion is what a pool reports on at least once.
type occasion struct {
	// allocator is the token of the allocator, and config the version of the configuration.
	allocator, config int64
}

// pace tells when a pool's next exchange is due.
type pace struct {
	// startedAt is when the last exchange began. reported is the occasion of the last answered
	// one.
	startedAt time.Duration
	reported  occasion
	// least is the least time between two exchanges.
	least time.Duration
	// ack is set if a lowered grant was applied, which the allocator is told at once, ackedAt
	// is when it was last told so, and failed is set if the last exchange was not answered.
	ack     bool
	ackedAt time.Duration
	failed  bool
	// blocked is set once a task waits for a grant, and futile counts the exchanges since that
	// brought nothing.
	blocked bool
	futile  int
	// signalled is set if the demand is to be looked at because a task waits, and lookedAt is
	// when that was last done.
	signalled bool
	lookedAt  time.Duration
	// active is set if the pool had jobs of limited customers at the last exchange, and busyAt
	// is when it last had some. wanting holds those whose tasks waited.
	active  bool
	busyAt  time.Duration
	wanting map[customer.ID]bool
	// granted is set while the pool has grants.
	granted bool
}

// due returns when the next exchange is due.
func (p *pace) due(now time.Duration, o occasion) time.Duration {
	switch {
	case p.startedAt == 0:
		return now
	case p.ack:
		return p.ackedAt + p.least
	case p.blocked && !p.failed:
		return p.startedAt + min(exchangeInterval, p.least<<p.futile)
	case p.failed, p.active, o.config != p.reported.config, p.granted && now-p.busyAt < recentPeriod:
		return p.startedAt + exchangeInterval
	case o.allocator != p.reported.allocator:
		return p.startedAt + blockedInterval
	}
	return p.startedAt + idleInterval
}

// began records that an exchange begins.
func (p *pace) began(now time.Duration, demand []Demand) {
	if p.ack {
		p.ackedAt = now
	}
	p.startedAt, p.ack, p.active = now, false, false
	p.least = min(exchangeInterval, max(blockedInterval, time.Duration(len(demand))*intervalPerCustomer))
	p.wanting = map[customer.ID]bool{}
	for _, d := range demand {
		if d.Wanted != (job.Resources{}) {
			p.wanting[d.Customer] = true
		}
		if d.Used != (job.Resources{}) || d.Wanted != (job.Resources{}) {
			p.active, p.busyAt = true, now
		}
	}
	p.blocked = p.blocked && len(p.wanting) > 0
}

// answered records the answer to an exchange.
func (p *pace) answered(o occasion, changed bool) {
	p.failed, p.reported = false, o
	if changed {
		p.futile = 0
	} else {
		p.futile = min(p.futile+1, maxFutile)
	}
}

// applied records that grants were applied.
func (p *pace) applied(lowered bool) { p.ack = p.ack || lowered }

// lookIn returns how long not to look at the demand, and whether a task has begun to wait.
func (p *pace) lookIn(now time.Duration) (time.Duration, bool) {
	return max(0, p.lookedAt+blockedInterval-now), p.signalled
}

// waits records that a task waits only for a grant. demand is the demand now.
func (p *pace) waits(now time.Duration, demand []Demand) {
	p.blocked, p.signalled, p.lookedAt = true, false, now
	for _, d := range demand {
		if d.Wanted != (job.Resources{}) && !p.wanting[d.Customer] {
			p.futile = 0
		}
	}
}
