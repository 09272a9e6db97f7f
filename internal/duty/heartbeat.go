package duty

import (
	"context"
	"time"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

const (
	// holderInterval is the time between two heartbeats of a holder, and
	// idleInterval for a daemon without duties.
	holderInterval = 700 * time.Millisecond
	idleInterval   = 3 * time.Second
	// A heartbeat may take no more than one part of these of the time between
	// two, so that those of all daemons together fit into a slow log.
	holderShare = 10
	idleShare   = 30
)

// heartbeats says that this daemon lives until ctx ends.
func (k *Keeper) heartbeats(ctx context.Context) {
	var patience logstore.AdaptiveTimeout
	for ctx.Err() == nil {
		took := k.beat(ctx, &patience)
		pause(ctx, k.interval(took), k.beatNow)
	}
}

// interval returns the time until the next heartbeat, after one that took a
// time. One that was not answered says nothing about the next.
func (k *Keeper) interval(took time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.held) > 0 {
		return max(holderInterval, holderShare*took)
	}
	return max(idleInterval, idleShare*took)
}

// beat appends a heartbeat. It returns how long that took, or 0 if it failed.
func (k *Keeper) beat(ctx context.Context, patience *logstore.AdaptiveTimeout) time.Duration {
	k.mu.Lock()
	h := heartbeat{Member: k.opt.Self, Leaving: k.leaving}
	k.mu.Unlock()
	value, err := record.Encode(h)
	if err != nil {
		k.failed("encode heartbeat", err)
		return 0
	}
	start := k.opt.Clock.Now()
	ctx, cancel := patience.Context(ctx, 0)
	defer cancel()
	_, err = k.opt.Log.Append(ctx, heartbeatPartition, []logstore.Entry{{Key: h.Member.Host, Value: value}}, logstore.Condition{})
	patience.Observe(err)
	if err != nil {
		k.heartbeatErrors.Inc(1)
		k.failed("heartbeat", err)
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.beaten = start
	k.recovered()
	return k.opt.Clock.Now() - start
}
