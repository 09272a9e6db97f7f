package attempt

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
	"greengagedeck/internal/option"
)

// The defaults of BudgetOptions.
const (
	defaultRetryRatio = 0.1
	defaultRetryBurst = 10
)

// tokenUnit is one retry in the fixed-point count of a bucket.
const tokenUnit = 1_000_000

// BudgetOptions configures a Budget. Zero values take the package's defaults.
type BudgetOptions struct {
	// Ratio is how many retries each first try of a request pays for.
	Ratio float64
	// Burst is the most retries that can be saved up in a pool.
	Burst int
	// Metrics receives the counters, or nil.
	Metrics tally.Scope
}

// Budget limits the retries of each pool to a share of its requests, so that
// retries cannot multiply the load of a pool that fails. It starts empty: the
// retries of a pool never exceed Ratio times its requests. It is safe for
// concurrent use.
type Budget struct {
	deposit int64
	limit   int64
	pools   sync.Map // of string to *atomic.Int64
	allowed tally.Counter
	denied  tally.Counter
}

// NewBudget returns a budget without savings.
func NewBudget(opts BudgetOptions) *Budget {
	option.Default(&opts.Ratio, defaultRetryRatio)
	option.Default(&opts.Burst, defaultRetryBurst)
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	s := opts.Metrics.SubScope("attempt")
	return &Budget{
		deposit: int64(opts.Ratio * tokenUnit),
		limit:   int64(opts.Burst) * tokenUnit,
		allowed: s.Counter("retries_allowed"),
		denied:  s.Counter("retries_denied"),
	}
}

// Request notes the first try of a request of pool.
func (b *Budget) Request(pool string) {
	t := b.tokens(pool)
	for {
		old := t.Load()
		if t.CompareAndSwap(old, min(old+b.deposit, b.limit)) {
			return
		}
	}
}

// Retry reports whether pool may make one more retry, and spends it.
func (b *Budget) Retry(pool string) bool {
	t := b.tokens(pool)
	for {
		old := t.Load()
		if old < tokenUnit {
			b.denied.Inc(1)
			return false
		}
		if t.CompareAndSwap(old, old-tokenUnit) {
			b.allowed.Inc(1)
			return true
		}
	}
}

func (b *Budget) tokens(pool string) *atomic.Int64 {
	if t, ok := b.pools.Load(pool); ok {
		return t.(*atomic.Int64)
	}
	t, _ := b.pools.LoadOrStore(pool, new(atomic.Int64))
	return t.(*atomic.Int64)
}
