package servedlog

import (
	"context"
	"time"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/policy"
)

// pruneInterval is the time between two searches for records that are not needed any more.
const pruneInterval = 10 * time.Second

// Lease tells for how long this daemon may act under a duty.
type Lease interface {
	// Remaining returns 0 when it may not act.
	Remaining() time.Duration
}

// Prune deletes, until ctx ends, the records of pools to which the policy in force has not
// sent the requests for policy.EarlierKept. The holder of the fleet duty calls it.
func (l *Log) Prune(ctx context.Context, p *policy.Current, lease Lease) {
	unused := map[string]time.Duration{}
	for clock.Sleep(ctx, pruneInterval) {
		if current := p.Get(); current != nil && lease.Remaining() > 0 {
			l.pruneOnce(ctx, current, unused)
		}
	}
}

// pruneOnce deletes the records that are not needed any more. unused holds since when the
// policies in force have not needed each record.
func (l *Log) pruneOnce(ctx context.Context, p *policy.Policy, unused map[string]time.Duration) {
	entries, at := l.expired(p, unused)
	if len(entries) == 0 {
		return
	}
	// A record that was appended since may say that one of the pools serves again.
	_, err := l.log.Append(ctx, Partition, entries, logstore.Condition{ExpectedEnd: &at})
	if err != nil {
		l.opt.Logger.Info().Err(err).Int("records", len(entries)).Msg("records of pools that serve no more not deleted, it is repeated")
		return
	}
	l.metrics.deletes.Inc(int64(len(entries)))
	l.opt.Logger.Info().Int("records", len(entries)).Msg("records of pools that serve no more deleted")
}

// expired returns the deletions of the records that are not needed any more, and the offset
// up to which the records are known.
func (l *Log) expired(p *policy.Policy, unused map[string]time.Duration) ([]logstore.Entry, int64) {
	now := l.opt.Clock.Now()
	var out []logstore.Entry
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, k := range l.records {
		if e, ok := p.Serving(k.served.Selector); ok && e.Pool == k.served.Pool {
			delete(unused, key)
			continue
		}
		since, seen := unused[key]
		if !seen {
			unused[key] = now
		} else if now-since >= policy.EarlierKept {
			out = append(out, logstore.Entry{Key: key})
		}
	}
	return out, l.position
}
