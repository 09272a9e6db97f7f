package joblog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/verdict"
)

const (
	// commitWindow is how long a batch waits for further entries after its
	// first.
	commitWindow = 2 * time.Millisecond
	// rejectedRetry is the wait after an append that is known to have had no
	// effect.
	rejectedRetry = 30 * time.Millisecond
)

// Committer appends the entries of many requests to the intake partitions, in
// batches: while one append to a partition is in progress, further entries wait
// for the next. It retries appends until their outcome is known. This is safe
// because intake entries are idempotent.
type Committer struct {
	log             logstore.Log
	appends         tally.Counter
	entries         tally.Counter
	unknownOutcomes tally.Counter

	mu     sync.Mutex
	queues map[logstore.Partition]*commitQueue
}

// commitQueue holds the entries that wait for one partition.
type commitQueue struct {
	waiting []*pendingEntry
	running bool
	timeout logstore.AdaptiveTimeout
	// oneByOne is how many of the next entries are appended alone.
	oneByOne int
}

// pendingEntry is the entry of one request.
type pendingEntry struct {
	entry logstore.Entry
	ctx   context.Context
	done  chan error
	// mayBeStored is set once an append of the entry may have taken effect.
	mayBeStored bool
}

// NewCommitter returns a committer that appends to a log.
func NewCommitter(l logstore.Log, scope tally.Scope) *Committer {
	scope = scope.SubScope("intake")
	return &Committer{
		log:             l,
		appends:         scope.Counter("appends"),
		entries:         scope.Counter("entries"),
		unknownOutcomes: scope.Counter("unknown_outcomes"),
		queues:          map[logstore.Partition]*commitQueue{},
	}
}

// Append appends an entry. The error carries a verdict: not-run means that the
// entry is not in the log and never will be, may-have-run that it is in the log
// or may still get there.
func (c *Committer) Append(ctx context.Context, p logstore.Partition, e logstore.Entry) error {
	w := &pendingEntry{entry: e, ctx: ctx, done: make(chan error, 1)}
	c.mu.Lock()
	q := c.queues[p]
	if q == nil {
		q = &commitQueue{}
		c.queues[p] = q
	}
	q.waiting = append(q.waiting, w)
	if !q.running {
		q.running = true
		go c.commitLoop(p, q)
	}
	c.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return verdict.NewMayHaveRun(verdict.ReasonDeadline, "the log did not answer in time")
	}
}

// commitLoop commits batches until no entry waits.
func (c *Committer) commitLoop(p logstore.Partition, q *commitQueue) {
	time.Sleep(commitWindow)
	var batch []*pendingEntry
	for {
		batch = dropExpired(batch)
		c.mu.Lock()
		batch = append(batch, q.waiting...)
		q.waiting = nil
		if len(batch) == 0 {
			q.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		batch = c.commitBatch(p, q, batch)
	}
}

// dropExpired fails the requests whose deadline has passed and returns the
// others.
func dropExpired(batch []*pendingEntry) []*pendingEntry {
	kept := batch[:0]
	for _, w := range batch {
		if w.ctx.Err() == nil {
			kept = append(kept, w)
			continue
		}
		w.expire("the log did not answer in time")
	}
	return kept
}

// expire fails a request whose deadline has passed.
func (w *pendingEntry) expire(detail string) {
	if w.mayBeStored {
		w.done <- verdict.NewMayHaveRun(verdict.ReasonDeadline, "%s", detail)
		return
	}
	w.done <- verdict.NewNotRun(verdict.ReasonDeadline, "%s", detail)
}

// commitBatch makes one append with as much of a batch as fits. It returns the
// entries that must be appended next.
func (c *Committer) commitBatch(p logstore.Partition, q *commitQueue, batch []*pendingEntry) []*pendingEntry {
	entries := make([]logstore.Entry, 0, len(batch))
	for _, w := range batch {
		entries = append(entries, w.entry)
	}
	n := countFitting(entries, c.log.Limits())
	if q.oneByOne > 0 {
		n = 1
	}
	c.appends.Inc(1)
	c.entries.Inc(int64(n))
	ctx, cancel := q.timeout.Context(context.Background(), 0)
	defer cancel()
	_, err := c.log.Append(ctx, p, entries[:n], logstore.Condition{})
	q.timeout.Observe(err)
	if err == nil {
		q.oneByOne = max(0, q.oneByOne-n)
		for _, w := range batch[:n] {
			w.done <- nil
		}
		return batch[n:]
	}
	var refused *logstore.RefusedError
	if errors.As(err, &refused) {
		return q.handleRefused(batch, n, err)
	}
	if verdict.Of(err) == verdict.NotRun {
		return c.handleRejected(batch, n, err)
	}
	c.unknownOutcomes.Inc(1)
	for _, w := range batch[:n] {
		w.mayBeStored = true
	}
	return batch
}

// handleRefused handles an append that the log does not take, however often it is
// repeated. An entry that was alone in it fails. Several are appended one by one, so that
// one request does not cost the others of its batch.
func (q *commitQueue) handleRefused(batch []*pendingEntry, n int, err error) []*pendingEntry {
	if n > 1 {
		q.oneByOne = n
		return batch
	}
	q.oneByOne = max(0, q.oneByOne-1)
	batch[0].done <- verdict.NewNotRun(verdict.ReasonBadRequest, "%v", err)
	return batch[1:]
}

// handleRejected handles an append that had no effect. It rejects at once the
// requests whose entries cannot be in the log, so that their callers can try
// another daemon, and returns the entries that must be appended next.
func (c *Committer) handleRejected(batch []*pendingEntry, n int, err error) []*pendingEntry {
	kept := batch[n:]
	for _, w := range batch[:n] {
		if w.mayBeStored {
			kept = append(kept, w)
			continue
		}
		w.done <- verdict.NewNotRun(verdict.ReasonNotReady, "the log takes nothing: %v", err)
	}
	if len(kept) > 0 {
		time.Sleep(rejectedRetry)
	}
	return kept
}
