package limits

import (
	"context"
	"errors"
	"time"

	"greengagedeck/internal/logstore"
)

// exchange answers a request of the holder of a pool. If a raised grant awaits an append, the
// response does so too.
func (x *session) exchange(ctx context.Context, q ExchangeRequest) (ExchangeResponse, error) {
	r, appended, err := x.tryExchange(q)
	if errors.Is(err, ErrNotRegistered) && x.readRegistration(ctx, q.Pool, q.Token) {
		r, appended, err = x.tryExchange(q)
	}
	if err != nil || appended == nil {
		return r, err
	}
	t := time.NewTimer(maxAppendWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-appended:
	case <-t.C:
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.alloc.Answer(q.Pool, q.Applied), nil
}

// tryExchange passes a request to the allocator. It returns a channel that is closed after the
// next append if the response should wait for it.
func (x *session) tryExchange(q ExchangeRequest) (ExchangeResponse, <-chan struct{}, error) {
	now := x.now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if now-x.trackedAt >= trackInterval {
		x.trackedAt = now
		x.alloc.TrackHolders(x.svc.opt.Held, now)
	}
	r, pending, err := x.alloc.Exchange(q, now)
	x.count()
	notify(x.wake)
	if !pending || x.logDown {
		return r, nil, err
	}
	return r, x.appended, err
}

// readRegistration reads the partition until it shows the registration of a pool's holder. It
// reports whether it does.
func (x *session) readRegistration(ctx context.Context, pool string, token int64) bool {
	x.reading.Lock()
	defer x.reading.Unlock()
	if x.registered(pool, token) {
		return true
	}
	if x.read(ctx) != nil {
		return false
	}
	if x.registered(pool, token) {
		return true
	}
	now := x.now()
	x.mu.Lock()
	tooSoon := x.listedAt > 0 && now-x.listedAt < listInterval
	if !tooSoon {
		x.listedAt = now
	}
	x.mu.Unlock()
	return !tooSoon && x.relist(ctx) == nil && x.registered(pool, token)
}

// registered reports whether the holder of a pool is known, and this allocator is the last one.
func (x *session) registered(pool string, token int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.alloc.pools[pool]
	return x.laterAllocator == 0 && p != nil && p.holder >= token
}

// read reads the records since the last read.
func (x *session) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	x.mu.Lock()
	from := x.alloc.Next()
	x.mu.Unlock()
	recs, end, err := readToEnd(ctx, x.log, from)
	var truncated *logstore.TruncatedError
	if errors.As(err, &truncated) {
		return x.relist(ctx)
	}
	if err == nil {
		x.load(recs, end, false)
	}
	return err
}

// relist lists the partition.
func (x *session) relist(ctx context.Context) error {
	recs, end, err := list(ctx, x.log)
	if err == nil {
		x.load(recs, end, true)
	}
	return err
}

func (x *session) load(recs []logstore.Record, end int64, listed bool) {
	now := x.now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.loaded(x.alloc.Load(recs, end, listed, now))
	notify(x.wake)
}

// loaded records what was read. It must be called with mu held.
func (x *session) loaded(l Loaded) {
	for _, err := range l.Errors {
		x.logger().Error().Err(err).Msg("ignoring a malformed record of customers' limits")
	}
	for pool, token := range l.Registered {
		x.logger().Info().Str("pool", pool).Int64("holder", token).Msg("holder of a pool registered for customers' limits")
	}
	x.laterAllocator = max(x.laterAllocator, l.LaterAllocator)
}
