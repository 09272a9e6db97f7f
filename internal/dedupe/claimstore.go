package dedupe

import (
	"time"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/membership"
	"greengagedeck/internal/option"
)

// Defaults of Options.
const (
	defaultWindow         = 10 * time.Minute
	defaultClockError     = 500 * time.Millisecond
	defaultLease          = 3 * time.Second
	defaultForcedTakeover = 30 * time.Second
	defaultMaxEntries     = 400_000
	defaultMaxBytes       = 32 << 20
)

// Options configures a ClaimStore.
type Options struct {
	// Self is this daemon's member ID.
	Self string
	// Window is how long claims of an ID are kept after the time in the ID;
	// 0 means ten minutes.
	Window time.Duration
	// ClockError is the maximum deviation of a daemon's clock from true time;
	// 0 means 500 ms.
	ClockError time.Duration
	// Lease is how long this daemon may grant claims after its epoch was last
	// known to be current; 0 means 3 s.
	Lease time.Duration
	// ForcedTakeover is the time to wait, in addition to the lease, until
	// daemons that were removed as dead are assumed to grant no more claims. It
	// applies if no member of their epoch is left to confirm that; 0 means 30 s.
	ForcedTakeover time.Duration
	// MaxEntries and MaxBytes limit the memory used; 0 means 400,000 IDs and
	// 32 MiB of stored answers.
	MaxEntries int
	MaxBytes   int
}

func (o *Options) setDefaults() {
	option.Default(&o.Window, defaultWindow)
	option.Default(&o.ClockError, defaultClockError)
	option.Default(&o.Lease, defaultLease)
	option.Default(&o.ForcedTakeover, defaultForcedTakeover)
	option.Default(&o.MaxEntries, defaultMaxEntries)
	option.Default(&o.MaxBytes, defaultMaxBytes)
}

// ClaimStore holds the claims that this daemon records as one of a pair and
// implements the rules for granting them. It does no I/O and does not read the
// clock. It is not safe for concurrent use.
type ClaimStore struct {
	opt   Options
	table *Table
	fence *Fence
}

// NewClaimStore returns an empty store.
func NewClaimStore(opt Options) *ClaimStore {
	opt.setDefaults()
	return &ClaimStore{
		opt:   opt,
		table: NewTable(opt.Window, opt.MaxEntries, opt.MaxBytes),
		fence: newFence(opt),
	}
}

// SetState applies a new membership.
func (k *ClaimStore) SetState(s *membership.State) { k.fence.setState(s) }

// Update advances the time and applies the known epochs of the other members.
func (k *ClaimStore) Update(now time.Time, epochOf func(id string) uint64) {
	k.fence.update(now, k.table.Advance(now), epochOf)
}

// Epoch returns the epoch in which the store grants claims.
func (k *ClaimStore) Epoch() uint64 { return k.fence.state.Epoch }

// Pair returns the pair of an ID in the store's epoch.
func (k *ClaimStore) Pair(id ulid.ULID) (Pair, bool) { return k.fence.pair(id) }

// Claim grants or rejects a claim at now. confirmed is the last time, by the same
// clock, at which the store's epoch is known to have been current.
func (k *ClaimStore) Claim(now, confirmed time.Time, c Claim) ClaimAnswer {
	wall := k.table.Advance(now)
	a := ClaimAnswer{Epoch: k.fence.state.Epoch}
	if s := k.rejectionStatus(now, wall, confirmed, c); s != 0 {
		a.Status = s
		return a
	}
	old, found, full := k.table.Put(c)
	switch {
	case found:
		a.Status = StatusDuplicate
		if old.fingerprint == c.Fingerprint {
			a.Ran, a.Response = old.ran, old.response
		}
	case full:
		a.Status = StatusFull
	default:
		a.Status = StatusGranted
		a.HistoryComplete = k.fence.historyComplete(c.ID)
	}
	return a
}

// rejectionStatus returns why a claim is rejected before it is looked up in the
// table, or 0 if it is not.
func (k *ClaimStore) rejectionStatus(now, wall, confirmed time.Time, c Claim) Status {
	if c.Epoch != k.fence.state.Epoch {
		return StatusOtherEpoch
	}
	if pair, ok := k.fence.pair(c.ID); !ok || !pair.Has(k.opt.Self) {
		return StatusNotPaired
	}
	if k.table.expired(c.ID) || ulid.Time(c.ID.Time()).After(wall.Add(k.opt.ClockError)) {
		return StatusOutOfWindow
	}
	if elapsed(confirmed, now) > k.opt.Lease {
		return StatusNoLease
	}
	return 0
}

// Abandon withdraws a claim.
func (k *ClaimStore) Abandon(a Abandon) { k.table.Abandon(a) }

// Complete records that a claimed request ran.
func (k *ClaimStore) Complete(c Complete) { k.table.Complete(c) }

// elapsed returns the time between two readings of one clock. The monotonic clock
// stops while a virtual machine is suspended and the wall clock may be stepped, so
// it returns the larger of the two differences.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
