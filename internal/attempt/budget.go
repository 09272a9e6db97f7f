package attempt

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
	"greengagedeck/internal/option"
)

// The defaults of RetryBudgetOptions.
const (
	defaultRetryRatio = 0.1
	defaultRetryBurst = 10
)

// tokensPerRetry is the cost of one retry. Token counts are fixed-point, so that
// a request can add a fraction of a retry.
const tokensPerRetry = 1_000_000

// RetryBudgetOptions configures a RetryBudget. Zero values take the package's
// defaults.
type RetryBudgetOptions struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Burst is the maximum number of retries that a pool can accumulate.
	Burst int
	// Metrics receives the counters. It may be nil.
	Metrics tally.Scope
}

// RetryBudget limits the retries of each pool to a share of its requests, so
// that retries cannot multiply the load on a failing pool. It is a token bucket
// per pool that starts empty, so the retries of a pool never exceed Ratio times
// its requests. It is safe for concurrent use.
type RetryBudget struct {
	tokensPerRequest int64
	maxTokens        int64
	pools            sync.Map // of string to *atomic.Int64
	allowed          tally.Counter
	denied           tally.Counter
}

// NewRetryBudget returns a budget whose pools have no tokens.
func NewRetryBudget(opts RetryBudgetOptions) *RetryBudget {
	option.Default(&opts.Ratio, defaultRetryRatio)
	option.Default(&opts.Burst, defaultRetryBurst)
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	s := opts.Metrics.SubScope("attempt")
	return &RetryBudget{
		tokensPerRequest: int64(opts.Ratio * tokensPerRetry),
		maxTokens:        int64(opts.Burst) * tokensPerRetry,
		allowed:          s.Counter("retries_allowed"),
		denied:           s.Counter("retries_denied"),
	}
}

// RecordRequest records the first attempt of a request of pool and adds its
// tokens.
func (b *RetryBudget) RecordRequest(pool string) {
	t := b.tokens(pool)
	for {
		old := t.Load()
		if t.CompareAndSwap(old, min(old+b.tokensPerRequest, b.maxTokens)) {
			return
		}
	}
}

// AllowRetry reports whether pool may make one more retry. If so, it takes the
// tokens for it.
func (b *RetryBudget) AllowRetry(pool string) bool {
	t := b.tokens(pool)
	for {
		old := t.Load()
		if old < tokensPerRetry {
			b.denied.Inc(1)
			return false
		}
		if t.CompareAndSwap(old, old-tokensPerRetry) {
			b.allowed.Inc(1)
			return true
		}
	}
}

func (b *RetryBudget) tokens(pool string) *atomic.Int64 {
	if t, ok := b.pools.Load(pool); ok {
		return t.(*atomic.Int64)
	}
	t, _ := b.pools.LoadOrStore(pool, new(atomic.Int64))
	return t.(*atomic.Int64)
}
