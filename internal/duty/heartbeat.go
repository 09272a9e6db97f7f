package duty

import (
	"context"
	"time"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

const (
	// holderHeartbeatInterval is the least time between two heartbeats of a
	// daemon that holds duties, and idleHeartbeatInterval that of a daemon
	// without duties.
	holderHeartbeatInterval = 700 * time.Millisecond
	idleHeartbeatInterval   = 3 * time.Second
	// The interval is at least this many times as long as the last heartbeat
	// took, so that a slow log can take the heartbeats of all daemons together.
	holderIntervalFactor = 10
	idleIntervalFactor   = 30
)

// runHeartbeats sends heartbeats until ctx ends.
func (e *Elector) runHeartbeats(ctx context.Context) {
	var timeout logstore.AdaptiveTimeout
	for ctx.Err() == nil {
		took := e.sendHeartbeat(ctx, &timeout)
		pause(ctx, e.heartbeatInterval(took), e.heartbeatNow)
	}
}

// heartbeatInterval returns the time until the next heartbeat. took is how long
// the last one took, or 0 if it failed: a failed one says nothing about how
// long the next will take.
func (e *Elector) heartbeatInterval(took time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.held) > 0 {
		return max(holderHeartbeatInterval, holderIntervalFactor*took)
	}
	return max(idleHeartbeatInterval, idleIntervalFactor*took)
}

// sendHeartbeat appends a heartbeat. It returns how long that took, or 0 if it
// failed.
func (e *Elector) sendHeartbeat(ctx context.Context, timeout *logstore.AdaptiveTimeout) time.Duration {
	e.mu.Lock()
	h := heartbeatRecord{Member: e.opt.Self, Leaving: e.leaving}
	e.mu.Unlock()
	value, err := record.Encode(h)
	if err != nil {
		e.logOutage.Failed("encode heartbeat", err)
		return 0
	}
	start := e.opt.Clock.Now()
	ctx, cancel := timeout.Context(ctx, 0)
	defer cancel()
	_, err = e.opt.Log.Append(ctx, heartbeatPartition, []logstore.Entry{{Key: h.Member.Host, Value: value}}, logstore.Condition{})
	timeout.Observe(err)
	if err != nil {
		e.heartbeatErrors.Inc(1)
		e.logOutage.Failed("heartbeat", err)
		return 0
	}
	e.logOutage.Succeeded()
	return e.opt.Clock.Now() - start
}
