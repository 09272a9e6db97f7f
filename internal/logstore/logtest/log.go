// Package logtest is a log in memory with faults on demand, for tests of what
// uses one.
package logtest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/verdict"
)

// repeats is how many of a producer's last appends get their first answer
// again.
const repeats = 5

// pageSize is the number of records on a page of Newest.
const pageSize = 500

// patience is how long a client waits for an answer, without the wait that a
// read asks for.
const patience = 1500 * time.Millisecond

// Op is the kind of a call.
type Op uint8

// The kinds of calls.
const (
	Append Op = iota
	Read
	Newest
)

// Call is one call of a client.
type Call struct {
	Client    string
	Op        Op
	Partition logstore.Partition
}

// Fault is what befalls a call. The zero value is none.
type Fault struct {
	// Delay is how long the call is under way before it is carried out, and
	// Back how long its answer is.
	Delay, Back time.Duration
	// Refused calls are not carried out, and the client is told so.
	Refused bool
	// Silent calls get no answer. They are carried out all the same if Late is
	// set, once their delay is over or the client has given up.
	Silent, Late bool
}

// Log is the shared log. Its clients are made by Client.
type Log struct {
	mu         sync.Mutex
	partitions map[logstore.Partition]*partition
	// fault, if set, says what befalls a call.
	fault func(Call) Fault
	calls map[Op]int
}

// New returns an empty log.
func New() *Log {
	return &Log{partitions: map[logstore.Partition]*partition{}, calls: map[Op]int{}}
}

// SetFault sets what befalls calls from now on.
func (l *Log) SetFault(f func(Call) Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Calls returns how many calls of a kind there were.
func (l *Log) Calls(o Op) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[o]
}

// Truncate drops the records of a partition before an offset, but for the
// newest of each key.
func (l *Log) Truncate(p logstore.Partition, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partition(p).truncate(before)
}

// Put appends an entry whatever fault there is.
func (l *Log) Put(p logstore.Partition, e logstore.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Without a condition it cannot fail.
	_, _ = l.partition(p).append([]logstore.Entry{e}, logstore.Condition{})
}

// Client returns the log as one client reaches it.
func (l *Log) Client(name string) logstore.Log { return client{l, name} }

func (l *Log) partition(p logstore.Partition) *partition {
	if l.partitions[p] == nil {
		l.partitions[p] = &partition{
			newest:    map[string]logstore.Record{},
			producers: map[string]*producer{},
			grown:     make(chan struct{}),
		}
	}
	return l.partitions[p]
}

// partition is one sequence of records.
type partition struct {
	// records begin at the offset first.
	records   []logstore.Record
	first     int64
	newest    map[string]logstore.Record
	producers map[string]*producer
	// grown is closed by the next append.
	grown chan struct{}
}

// producer is what a partition knows of the writers of one name.
type producer struct {
	epoch, sequence int64
	last            []answered
}

type answered struct {
	sequence int64
	answer   logstore.Appended
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (p *partition) truncate(before int64) {
	n := min(max(0, before-p.first), int64(len(p.records)))
	p.records = slices.Clone(p.records[n:])
	p.first += n
}

func (p *partition) append(entries []logstore.Entry, c logstore.Condition) (logstore.Appended, error) {
	if c.At != nil && *c.At != p.end() {
		return logstore.Appended{}, &logstore.ConflictError{End: p.end()}
	}
	var from *producer
	if c.Fence != nil {
		if p.producers[c.Fence.Producer] == nil {
			p.producers[c.Fence.Producer] = &producer{}
		}
		from = p.producers[c.Fence.Producer]
		again, err := from.admit(*c.Fence, len(entries) > 0)
		if again != nil || err != nil {
			return zeroIfNil(again), err
		}
	}
	a := logstore.Appended{Offset: p.end()}
	for _, e := range entries {
		r := logstore.Record{Offset: p.end(), Key: e.Key, Value: slices.Clone(e.Value)}
		p.records = append(p.records, r)
		p.newest[e.Key] = r
		if len(e.Value) == 0 {
			delete(p.newest, e.Key)
		}
	}
	a.End = p.end()
	if from != nil && len(entries) > 0 {
		from.note(c.Fence.Sequence, a)
	}
	close(p.grown)
	p.grown = make(chan struct{})
	return a, nil
}

func zeroIfNil(a *logstore.Appended) logstore.Appended {
	if a == nil {
		return logstore.Appended{}
	}
	return *a
}

// admit checks a fence. It returns the first answer when the append is a
// repeat.
func (p *producer) admit(f logstore.Fence, appends bool) (*logstore.Appended, error) {
	switch {
	case f.Epoch < p.epoch:
		return nil, logstore.ErrFenced
	case f.Epoch > p.epoch:
		p.epoch, p.sequence, p.last = f.Epoch, f.Sequence, nil
		if appends {
			p.sequence = f.Sequence - 1
		}
	}
	if !appends {
		return nil, nil
	}
	for i := range p.last {
		if p.last[i].sequence == f.Sequence {
			return &p.last[i].answer, nil
		}
	}
	if f.Sequence != p.sequence+1 {
		return nil, &logstore.SequenceError{Expected: p.sequence + 1}
	}
	return nil, nil
}

func (p *producer) note(sequence int64, a logstore.Appended) {
	p.sequence = sequence
	p.last = append(p.last, answered{sequence, a})
	if len(p.last) > repeats {
		p.last = p.last[1:]
	}
}

// client is a Log for one caller.
type client struct {
	log  *Log
	name string
}

// begin applies the fault of a call up to where it is carried out. It returns an
// error when the call ends before.
func (c client) begin(ctx context.Context, op Op, p logstore.Partition) (Fault, error) {
	c.log.mu.Lock()
	c.log.calls[op]++
	var f Fault
	if c.log.fault != nil {
		f = c.log.fault(Call{c.name, op, p})
	}
	c.log.mu.Unlock()
	if f.Refused {
		return f, verdict.NewNotRun(verdict.ReasonNotReady, "the log is down")
	}
	inTime := clock.Sleep(ctx, f.Delay)
	switch {
	case f.Silent && f.Late:
		return f, nil
	case f.Silent:
		<-ctx.Done()
		return f, errNoAnswer()
	case !inTime:
		return f, errNoAnswer()
	}
	return f, nil
}

func errNoAnswer() error { return verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer in time") }

// Append implements logstore.Log.
func (c client) Append(ctx context.Context, p logstore.Partition, entries []logstore.Entry, cond logstore.Condition) (logstore.Appended, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	f, err := c.begin(ctx, Append, p)
	if err != nil {
		return logstore.Appended{}, err
	}
	c.log.mu.Lock()
	a, err := c.log.partition(p).append(entries, cond)
	c.log.mu.Unlock()
	if f.Silent {
		<-ctx.Done()
	}
	if !clock.Sleep(ctx, f.Back) {
		return logstore.Appended{}, errNoAnswer()
	}
	return a, err
}

// Read implements logstore.Log.
func (c client) Read(ctx context.Context, p logstore.Partition, from int64, wait time.Duration) (logstore.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	f, err := c.begin(ctx, Read, p)
	if err != nil {
		return logstore.Batch{}, err
	}
	b, err := c.log.await(ctx, p, from, wait)
	if !clock.Sleep(ctx, f.Back) {
		return logstore.Batch{}, errNoAnswer()
	}
	return b, err
}

// await reads, and waits up to wait for a first record.
func (l *Log) await(ctx context.Context, p logstore.Partition, from int64, wait time.Duration) (logstore.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		part := l.partition(p)
		grown := part.grown
		b, err := part.read(from)
		l.mu.Unlock()
		if err != nil || len(b.Records) > 0 || wait <= 0 {
			return b, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return logstore.Batch{}, errNoAnswer()
		}
	}
}

func (p *partition) read(from int64) (logstore.Batch, error) {
	b := logstore.Batch{End: p.end()}
	if from < p.first {
		return b, &logstore.TruncatedError{First: p.first}
	}
	if at := from - p.first; at < int64(len(p.records)) {
		b.Records = slices.Clone(p.records[at:])
	}
	return b, nil
}

// Newest implements logstore.Log.
func (c client) Newest(ctx context.Context, p logstore.Partition, after string) (logstore.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if _, err := c.begin(ctx, Newest, p); err != nil {
		return logstore.Page{}, err
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	part := c.log.partition(p)
	page := logstore.Page{End: part.end()}
	for _, r := range part.newest {
		if r.Key > after || after == "" {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b logstore.Record) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Records) > pageSize {
		page.Records = page.Records[:pageSize]
		page.More = true
	}
	return page, nil
}
