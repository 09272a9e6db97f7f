package joblog

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/verdict"
)

const (
	// commitWindow is how long the first entry of a batch waits for others.
	commitWindow = 2 * time.Millisecond
	// refusedRetry is the wait after an append that certainly had no effect.
	refusedRetry = 30 * time.Millisecond
)

// Committer appends the entries of many requests to the intake partitions, in
// batches: while one append to a partition is under way, further entries wait
// for the next. Appends are repeated until their outcome is known, since an
// entry that is appended twice has the same effect as once.
type Committer struct {
	log     logstore.Log
	appends tally.Counter
	entries tally.Counter
	unknown tally.Counter

	mu     sync.Mutex
	queues map[logstore.Partition]*commitQueue
}

// commitQueue holds what waits for one partition.
type commitQueue struct {
	waiting  []*commit
	running  bool
	patience logstore.Patience
}

// commit is one request's entry.
type commit struct {
	entry logstore.Entry
	ctx   context.Context
	done  chan error
	// maybe is set once an append with it may have taken effect.
	maybe bool
}

// NewCommitter returns a committer over a log.
func NewCommitter(l logstore.Log, scope tally.Scope) *Committer {
	scope = scope.SubScope("intake")
	return &Committer{
		log:     l,
		appends: scope.Counter("appends"),
		entries: scope.Counter("entries"),
		unknown: scope.Counter("unknown_outcomes"),
		queues:  map[logstore.Partition]*commitQueue{},
	}
}

// Append appends an entry. The error carries a verdict: with not-run the entry
// is not in the log and never will be, with may-have-run it may come to be.
func (c *Committer) Append(ctx context.Context, p logstore.Partition, e logstore.Entry) error {
	w := &commit{entry: e, ctx: ctx, done: make(chan error, 1)}
	c.mu.Lock()
	q := c.queues[p]
	if q == nil {
		q = &commitQueue{}
		c.queues[p] = q
	}
	q.waiting = append(q.waiting, w)
	if !q.running {
		q.running = true
		go c.run(p, q)
	}
	c.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return verdict.NewMayHaveRun(verdict.ReasonDeadline, "the log did not answer in time")
	}
}

// run commits what waits until nothing does.
func (c *Committer) run(p logstore.Partition, q *commitQueue) {
	time.Sleep(commitWindow)
	var batch []*commit
	for {
		batch = expired(batch)
		c.mu.Lock()
		batch = append(batch, q.waiting...)
		q.waiting = nil
		if len(batch) == 0 {
			q.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		batch = c.commit(p, q, batch)
	}
}

// expired answers the requests that can wait no longer and returns the others.
func expired(batch []*commit) []*commit {
	kept := batch[:0]
	for _, w := range batch {
		if w.ctx.Err() == nil {
			kept = append(kept, w)
			continue
		}
		w.fail("the log did not answer in time")
	}
	return kept
}

func (w *commit) fail(detail string) {
	if w.maybe {
		w.done <- verdict.NewMayHaveRun(verdict.ReasonDeadline, "%s", detail)
		return
	}
	w.done <- verdict.NewNotRun(verdict.ReasonDeadline, "%s", detail)
}

// commit appends a batch once. It returns the entries to append again.
func (c *Committer) commit(p logstore.Partition, q *commitQueue, batch []*commit) []*commit {
	n, entries := 0, []logstore.Entry(nil)
	for _, w := range batch {
		entries = append(entries, w.entry)
	}
	n = fitting(entries)
	c.appends.Inc(1)
	c.entries.Inc(int64(n))
	ctx, cancel := q.patience.Context(context.Background(), 0)
	defer cancel()
	_, err := c.log.Append(ctx, p, entries[:n], logstore.Condition{})
	q.patience.Note(err)
	if err == nil {
		for _, w := range batch[:n] {
			w.done <- nil
		}
		return batch[n:]
	}
	if verdict.Of(err) == verdict.NotRun {
		return c.refused(batch, n, err)
	}
	c.unknown.Inc(1)
	for _, w := range batch[:n] {
		w.maybe = true
	}
	return batch
}

// refused handles an append that had no effect: requests without a doubt about
// them are refused at once, so that their caller may try elsewhere.
func (c *Committer) refused(batch []*commit, n int, err error) []*commit {
	kept := batch[n:]
	for _, w := range batch[:n] {
		if w.maybe {
			kept = append(kept, w)
			continue
		}
		w.done <- verdict.NewNotRun(verdict.ReasonNotReady, "the log takes nothing: %v", err)
	}
	if len(kept) > 0 {
		time.Sleep(refusedRetry)
	}
	return kept
}
