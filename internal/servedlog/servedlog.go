// Package servedlog keeps in the platform's log which pools may have accepted jobs through
// which requests. A job stays in the pool that accepted it, also after a configuration has
// sent the requests elsewhere: a daemon that starts, or that has not seen some
// configuration, learns here which pools to ask before it accepts the same job again.
package servedlog

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/record"
	"greengagedeck/internal/telemetry"
	"greengagedeck/internal/verdict"
)

// Partition holds one record for each pool and selector of requests.
var Partition = logstore.Partition{Topic: "served"}

const (
	// followWait is how long a read waits for a record. What a daemon has to know at once it
	// reads anew, see Await.
	followWait = 20 * time.Second
	// followRetry is the delay after a failed read.
	followRetry = 100 * time.Millisecond
)

// servedRecord is the value of a record.
type servedRecord struct {
	Selector job.Selector `cbor:"1,keyasint"`
	Pool     string       `cbor:"2,keyasint"`
}

// keyOf returns the key of a record. A selector is longer than a key may be.
func keyOf(s policy.Served) string {
	parts := []string{s.Selector.Host, s.Selector.PathPrefix, s.Pool}
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(parts, "\x00")))
}

// Options configure a Log.
type Options struct {
	Log logstore.Log
	// Learned is called with what the log holds, as it is read.
	Learned func([]policy.Served)
	Clock   clock.Clock
	Logger  zerolog.Logger
	Scope   tally.Scope
}

// known is a record as it is known here.
type known struct {
	served policy.Served
	offset int64
}

// Log reads and writes the records. Each daemon has one.
type Log struct {
	opt     Options
	log     logstore.Log
	metrics metrics
	// appends makes one append at a time for a key, and reads one read of all records.
	appends, reads singleflight.Group

	mu sync.Mutex
	// records are those that were read or appended here, by key.
	records map[string]known
	// position is up to where the partition has been followed.
	position int64
	// readAt is when the last read began that has ended.
	readAt time.Time
}

// New returns a Log that knows of nothing until Run is called.
func New(o Options) *Log {
	outage := telemetry.NewOutage(o.Logger, "record of serving pools unreachable", "record of serving pools reachable again")
	return &Log{
		opt:     o,
		log:     logstore.Reported(o.Log, outage),
		metrics: newMetrics(o.Scope),
		records: map[string]known{},
	}
}

// Run follows the records until ctx ends.
func (l *Log) Run(ctx context.Context) {
	tail := logstore.NewTail(l.log, Partition)
	for ctx.Err() == nil {
		start := time.Now()
		recs, reset, err := tail.Next(ctx, followWait)
		if err != nil {
			clock.Sleep(ctx, followRetry)
			continue
		}
		l.follow(recs, reset, tail.Position())
		l.apply(recs, start)
	}
}

// follow records up to where the partition was followed. If reset is set, the records are all
// there are.
func (l *Log) follow(recs []logstore.Record, reset bool, position int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.position = position
	if reset {
		l.dropBefore(position)
		l.opt.Logger.Info().Int("records", len(recs)).Msg("record of serving pools loaded")
	}
}

// apply applies records of a read that began at start.
func (l *Log) apply(recs []logstore.Record, start time.Time) {
	var learned []policy.Served
	l.mu.Lock()
	for _, r := range recs {
		if s, ok := l.applyRecord(r); ok {
			learned = append(learned, s)
		}
	}
	l.metrics.records.Update(float64(len(l.records)))
	l.mu.Unlock()
	l.opt.Learned(learned)
	l.mu.Lock()
	defer l.mu.Unlock()
	if start.After(l.readAt) {
		l.readAt = start
	}
}

// Await returns once the records have been read since a moment, or at all. A daemon that has not
// seen some configurations does not know what was recorded under them: it has to read it
// after it has learned of the one in force. The error has the verdict not-run.
func (l *Log) Await(ctx context.Context, since time.Time) error {
	for !l.readSince(since) {
		read := l.reads.DoChan("", func() (any, error) { return nil, l.readAll() })
		var err error
		select {
		case r := <-read:
			err = r.Err
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil && !clock.Sleep(ctx, followRetry) {
			return verdict.NewNotRun(verdict.ReasonNotReady, "the log has not told yet which pools served the requests before: %v", err)
		}
	}
	return nil
}

// readSince reports whether the records have been read since a moment, or at all.
func (l *Log) readSince(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.readAt.IsZero() && !l.readAt.Before(since)
}

// readAll reads all records.
func (l *Log) readAll() error {
	var timeout logstore.AdaptiveTimeout
	ctx, cancel := timeout.Context(context.Background(), 0)
	defer cancel()
	start := time.Now()
	recs, _, err := logstore.NewestOfAllKeys(ctx, l.log, Partition)
	l.metrics.reads.Inc(1)
	if err == nil {
		l.apply(recs, start)
	}
	return err
}

// dropBefore forgets the records from before an offset. It must be called with mu held.
func (l *Log) dropBefore(offset int64) {
	for key, k := range l.records {
		if k.offset < offset {
			delete(l.records, key)
		}
	}
}

// applyRecord applies a record unless a newer one of its key is known. It returns false for
// a deletion. It must be called with mu held.
func (l *Log) applyRecord(r logstore.Record) (policy.Served, bool) {
	k, have := l.records[r.Key]
	if have && k.offset >= r.Offset {
		return k.served, true
	}
	if len(r.Value) == 0 {
		delete(l.records, r.Key)
		return policy.Served{}, false
	}
	var v servedRecord
	if err := record.Decode(r.Value, &v); err != nil {
		l.opt.Logger.Error().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("ignoring a malformed record of a serving pool")
		return policy.Served{}, false
	}
	s := policy.Served{Selector: v.Selector, Pool: v.Pool}
	l.records[r.Key] = known{served: s, offset: r.Offset}
	return s, true
}

func (l *Log) has(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, have := l.records[key]
	return have
}

// Ensure returns once the log holds that a pool may have accepted jobs through some
// requests. It must be called before the pool accepts the first one. Its error has the
// verdict not-run.
func (l *Log) Ensure(ctx context.Context, s policy.Served) error {
	key := keyOf(s)
	if s.Selector == (job.Selector{}) || l.has(key) {
		return nil
	}
	appended := l.appends.DoChan(key, func() (any, error) { return nil, l.append(key, s) })
	select {
	case a := <-appended:
		if a.Err != nil {
			return verdict.NewNotRun(verdict.ReasonNotReady, "recording that pool %s serves %s%s: %v", s.Pool, s.Selector.Host, s.Selector.PathPrefix, a.Err)
		}
		return nil
	case <-ctx.Done():
		return verdict.NewNotRun(verdict.ReasonDeadline, "recording that pool %s serves %s%s took too long", s.Pool, s.Selector.Host, s.Selector.PathPrefix)
	}
}

// append appends a record. It may be appended twice, which changes nothing.
func (l *Log) append(key string, s policy.Served) error {
	value, err := record.Encode(servedRecord{s.Selector, s.Pool})
	if err != nil {
		return err
	}
	var timeout logstore.AdaptiveTimeout
	ctx, cancel := timeout.Context(context.Background(), 0)
	defer cancel()
	a, err := l.log.Append(ctx, Partition, []logstore.Entry{{Key: key, Value: value}}, logstore.Condition{})
	l.metrics.appended(err)
	if err != nil {
		return eris.Wrap(err, "append")
	}
	l.opt.Logger.Info().Str("host", s.Selector.Host).Str("path", s.Selector.PathPrefix).Str("pool", s.Pool).Int64("offset", a.Offset).Msg("pool recorded as one that serves these requests")
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Offset >= l.position {
		l.records[key] = known{served: s, offset: a.Offset}
	}
	return nil
}
