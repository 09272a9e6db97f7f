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

// Options configure a Keeper.
type Options struct {
	// Self is this daemon's member ID.
	Self string
	// Window is how long an ID is known after its time; 0 is ten minutes.
	Window time.Duration
	// ClockError bounds how far the clock of a daemon is off true time;
	// 0 is 500 ms.
	ClockError time.Duration
	// Lease is how long this daemon may grant after its epoch was last
	// known to be current; 0 is 3 s.
	Lease time.Duration
	// ForcedTakeover is how long to wait, beyond the lease, for daemons that
	// were removed as dead when nobody of their epoch is left to tell;
	// 0 is 30 s.
	ForcedTakeover time.Duration
	// MaxEntries and MaxBytes bound the memory; 0 is 400,000 IDs and 32 MiB
	// of kept answers.
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

// Keeper is the pure core of this slice: the claims that this daemon keeps as
// one of a pair, and the rules under which it grants them. It is not safe for
// concurrent use.
type Keeper struct {
	opt   Options
	table *Table
	fence *Fence
}

// NewKeeper returns a keeper without claims.
func NewKeeper(opt Options) *Keeper {
	opt.setDefaults()
	return &Keeper{
		opt:   opt,
		table: NewTable(opt.Window, opt.MaxEntries, opt.MaxBytes),
		fence: newFence(opt),
	}
}

// SetState shows the keeper a newly folded membership.
func (k *Keeper) SetState(s *membership.State) { k.fence.setState(s) }

// Update takes in what is known of the other members' epochs.
func (k *Keeper) Update(now time.Time, epochOf func(id string) uint64) {
	k.fence.update(now, k.table.Advance(now), epochOf)
}

// Epoch returns the epoch in which the keeper grants.
func (k *Keeper) Epoch() uint64 { return k.fence.state.Epoch }

// Pair returns the pair of an ID in the keeper's epoch.
func (k *Keeper) Pair(id ulid.ULID) (Pair, bool) { return k.fence.pair(id) }

// Claim decides on a claim at now. confirmed is the last moment, by the same
// clock, at which the keeper's epoch is known to have been current.
func (k *Keeper) Claim(now, confirmed time.Time, c Claim) ClaimAnswer {
	wall := k.table.Advance(now)
	a := ClaimAnswer{Epoch: k.fence.state.Epoch}
	if s := k.refusal(now, wall, confirmed, c); s != 0 {
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
		a.Vouched = k.fence.vouches(c.ID)
	}
	return a
}

// refusal returns why a claim cannot even be looked up, 0 if it can.
func (k *Keeper) refusal(now, wall, confirmed time.Time, c Claim) Status {
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

// Abandon takes a claim back.
func (k *Keeper) Abandon(a Abandon) { k.table.Abandon(a) }

// Complete notes that a claimed request ran.
func (k *Keeper) Complete(c Complete) { k.table.Complete(c) }

// elapsed returns the time between two readings of one clock. The monotonic
// clock stands still while a virtual machine is suspended and the wall clock
// may be stepped, so the larger of the two counts.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
