package scheduler

import (
	"time"

	"greengagedeck/internal/joblog"
	"greengagedeck/internal/worker"
)

const (
	// earlierLeasesInterval is the time between two records of earlier leases, and
	// from the takeover to the first: most workers answer at once.
	earlierLeasesInterval = time.Second
	// restoredLeasesDelay is the time from the takeover to the first record if the
	// previous holder logged one too.
	restoredLeasesDelay = 300 * time.Millisecond
)

// unreachedWorkers bounds how long workers that have not answered since the pool was
// taken over may hold leases of earlier holders.
//
// The holder logs for how long such a worker may still hold one, and extends no lease
// of a worker that the log's record names: not before the log holds a record without
// the worker. If another holder follows, that append fails, so the leases that the
// record tells of are the last ones. The next holder need not wait for longer.
type unreachedWorkers struct {
	// leasesEnd is when the leases of earlier holders have expired according to the
	// previous holder's record, by worker ID.
	leasesEnd map[string]time.Duration
	// strayLeasesEnd is the same for the workers in its StrayMillis.
	strayLeasesEnd map[string]time.Duration
	// recorded are the workers that this holder's record in the log names, or may
	// name while a batch is being logged.
	recorded map[string]bool
	// recordedStrays are the workers in the StrayMillis of this holder's record.
	recordedStrays map[string]bool
	// strays are the workers that may hold stray leases since they were reached.
	strays map[string]bool
	// recordedAt is when the last record was made, or the pool was taken over.
	recordedAt time.Duration
	// inLog is set while the log holds a record, of this holder or an earlier one.
	inLog bool
}

func newUnreachedWorkers(now time.Duration) unreachedWorkers {
	return unreachedWorkers{
		leasesEnd: map[string]time.Duration{}, strayLeasesEnd: map[string]time.Duration{},
		recorded: map[string]bool{}, strays: map[string]bool{}, recordedAt: now,
	}
}

// restoreEarlierLeases applies the record of earlier leases. It counts if it is that
// of the previous holder: any other may have been followed by leases of a holder that
// logged none.
func (c *Core) restoreEarlierLeases(logged joblog.EarlierLeases, now time.Duration) {
	u := &c.unreached
	u.inLog = true
	if logged.Token == 0 || logged.Token != c.opt.PreviousToken {
		return
	}
	for id, millis := range logged.RemainingMillis {
		u.leasesEnd[id] = min(now+loggedRemaining(millis), c.strayLeasesEnd)
		u.recordedAt = now + restoredLeasesDelay - earlierLeasesInterval
	}
	for id, millis := range logged.StrayMillis {
		u.strayLeasesEnd[id] = now + loggedRemaining(millis)
	}
}

// loggedRemaining returns how long a lease may last at most of which another holder has logged how
// long it lasts: the clock of this daemon may be faster.
func loggedRemaining(millis int64) time.Duration {
	return time.Duration(float64(millis) * holderDriftFactor * float64(time.Millisecond))
}

// earlierLeasesEndAt returns when the last lease has expired that an earlier holder
// may have granted to a worker.
func (c *Core) earlierLeasesEndAt(id string) time.Duration {
	if end, ok := c.unreached.leasesEnd[id]; ok {
		return end
	}
	return c.earlierLeasesEnd
}

// newWorker returns the state of a worker that this holder has not tracked yet.
func (c *Core) newWorker(l worker.Listing, now time.Duration) *worker.State {
	ws := worker.NewState(l, now, c.earlierLeasesEndAt(l.Incarnation.ID), c.leaseBounds())
	ws.AwaitEarlierLeases(c.unreached.strayLeasesEnd[l.Incarnation.ID])
	return ws
}

// mayExtendLease reports whether orders may extend a worker's lease. The next holder
// does not wait for a lease that this one grants to a worker that its record names.
func (c *Core) mayExtendLease(ws *worker.State) bool { return !c.unreached.recorded[ws.Incarnation.ID] }

// encodeEarlierLeases adds the record of earlier leases to a batch when it is due, as soon as a
// worker that the last one names has been reached, and before a start goes to a worker that may hold
// a stray lease.
func (c *Core) encodeEarlierLeases(b *Batch, now time.Duration) error {
	u := &c.unreached
	remaining, strays := c.earlierLeasesRemaining(now), c.strayLeasesRemaining(now)
	if len(remaining) == 0 && len(strays) == 0 {
		// The record of another holder is deleted with what is logged anyway.
		if len(u.recorded) > 0 || u.inLog && len(b.Progress) > 0 {
			u.inLog = false
			u.recordedStrays = nil
			b.earlierLeases = &joblog.EarlierLeases{}
			b.Progress = append(b.Progress, joblog.DeleteEarlierLeases())
		}
		return nil
	}
	due := len(remaining) > 0 && now >= u.recordedAt+earlierLeasesInterval
	if !due && !u.namesOther(remaining) && !u.lacksStray(strays) {
		return nil
	}
	b.earlierLeases = &joblog.EarlierLeases{Token: c.opt.Token, RemainingMillis: remaining, StrayMillis: strays}
	e, err := joblog.EarlierLeasesEntry(*b.earlierLeases)
	if err != nil {
		return err
	}
	b.Progress = append(b.Progress, e)
	u.inLog = true
	u.recordedAt = now
	for id := range remaining {
		u.recorded[id] = true
	}
	u.recordedStrays = map[string]bool{}
	for id := range strays {
		u.recordedStrays[id] = true
	}
	return nil
}

// lacksStray reports whether the record in the log does not name one of the workers in strays.
func (u *unreachedWorkers) lacksStray(strays map[string]int64) bool {
	for id := range strays {
		if !u.recordedStrays[id] {
			return true
		}
	}
	return false
}

// strayLeasesRemaining returns, by worker ID, for how many milliseconds workers that this holder has
// reached may hold stray leases, if the next holder would not wait for that long anyway.
func (c *Core) strayLeasesRemaining(now time.Duration) map[string]int64 {
	bounds := c.leaseBounds()
	if bounds.Allowed <= bounds.Granted {
		return nil
	}
	awaited := bounds.LongestRun(bounds.Granted)
	var out map[string]int64
	for id := range c.unreached.strays {
		ws := c.workers[id]
		if ws == nil || ws.StrayLeaseRemaining(now) <= awaited {
			delete(c.unreached.strays, id)
			continue
		}
		if len(ws.Runs) > 0 {
			out = setMillis(out, id, ws.StrayLeaseRemaining(now))
		}
	}
	return out
}

// setMillis sets a time in a map that may be nil, rounded up to milliseconds.
func setMillis(m map[string]int64, id string, d time.Duration) map[string]int64 {
	if m == nil {
		m = map[string]int64{}
	}
	m[id] = d.Milliseconds() + 1
	return m
}

// namesOther reports whether the record in the log names workers other than those in
// remaining.
func (u *unreachedWorkers) namesOther(remaining map[string]int64) bool {
	for id := range u.recorded {
		if _, ok := remaining[id]; !ok {
			return true
		}
	}
	return false
}

// earlierLeasesRemaining returns, by worker ID, for how many milliseconds workers
// that have runs and do not answer may still hold leases of earlier holders.
func (c *Core) earlierLeasesRemaining(now time.Duration) map[string]int64 {
	if now >= c.strayLeasesEnd {
		return nil
	}
	out := map[string]int64{}
	for id, ws := range c.workers {
		_, restored := c.unreached.leasesEnd[id]
		if len(ws.Runs) == 0 || !ws.OnlyEarlierLeases() || ws.UnansweredCalls == 0 && !restored {
			continue
		}
		if remaining := ws.PriorLeaseRemaining(now); remaining > 0 {
			out[id] = remaining.Milliseconds() + 1
		}
	}
	return out
}

// earlierLeasesLogged records that a batch is logged. The leases of workers that its
// record of earlier leases does not name may be extended from now on.
func (c *Core) earlierLeasesLogged(b *Batch) {
	if b.earlierLeases == nil {
		return
	}
	for id := range c.unreached.recorded {
		if _, ok := b.earlierLeases.RemainingMillis[id]; !ok {
			delete(c.unreached.recorded, id)
		}
	}
}
