// Package logtest provides an in-memory log with injected faults, for tests of
// code that uses a log.
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

// rememberedAppends is how many of a producer's last appends are remembered. A
// repeat of one of them gets the first result again.
const rememberedAppends = 5

// pageSize is the number of records on a page of Newest.
const pageSize = 500

// clientTimeout is how long a client waits for a response, in addition to the wait
// that a read asks for.
const clientTimeout = 1500 * time.Millisecond

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

// Fault is the fault injected into a call. The zero value is no fault.
type Fault struct {
	// Delay is the time before the call is executed, and ResponseDelay the
	// time that its response takes.
	Delay, ResponseDelay time.Duration
	// Rejected calls are not executed and fail with the verdict not-run.
	Rejected bool
	// NoResponse calls get no response. If Executed is set, they are executed
	// nevertheless, once their delay is over or the client has given up.
	NoResponse, Executed bool
	// LooksEarly has a read look for records when it comes, and answer at the end of its
	// wait if there were none.
	LooksEarly bool
}

// Log is the shared in-memory log. Client returns its clients.
type Log struct {
	mu         sync.Mutex
	partitions map[logstore.Partition]*partition
	// fault, if set, returns the fault of a call.
	fault func(Call) Fault
	calls map[Op]int
	// limits is what it takes, and told what its clients think that it takes.
	limits, told logstore.Limits
}

// New returns an empty log.
func New() *Log {
	return &Log{
		partitions: map[logstore.Partition]*partition{}, calls: map[Op]int{},
		limits: logstore.DefaultLimits, told: logstore.DefaultLimits,
	}
}

// SetLimits sets what the log takes, and what its clients are told of that.
func (l *Log) SetLimits(limits, told logstore.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits, l.told = limits, told
}

// SetFault sets the function that returns the fault of each further call.
func (l *Log) SetFault(f func(Call) Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Calls returns the number of calls of a kind so far.
func (l *Log) Calls(o Op) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[o]
}

// Truncate removes the records of a partition before an offset, except for the
// newest of each key.
func (l *Log) Truncate(p logstore.Partition, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partition(p).truncate(before)
}

// Put appends an entry regardless of injected faults.
func (l *Log) Put(p logstore.Partition, e logstore.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// An append without a condition cannot fail.
	_, _ = l.partition(p).append([]logstore.Entry{e}, logstore.Condition{})
}

// Client returns a client of the log.
func (l *Log) Client(name string) logstore.Log { return client{l, name} }

func (l *Log) partition(p logstore.Partition) *partition {
	if l.partitions[p] == nil {
		l.partitions[p] = &partition{
			newest:    map[string]logstore.Record{},
			producers: map[string]*producer{},
			appended:  make(chan struct{}),
		}
	}
	return l.partitions[p]
}

// partition is one sequence of records.
type partition struct {
	// records start at the offset first.
	records   []logstore.Record
	first     int64
	newest    map[string]logstore.Record
	producers map[string]*producer
	// appended is closed by the next append.
	appended chan struct{}
}

// producer is the fencing state of the writers that use one producer name.
type producer struct {
	epoch, sequence int64
	recent          []pastAppend
}

// pastAppend is an append and its result.
type pastAppend struct {
	sequence int64
	result   logstore.AppendResult
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (p *partition) truncate(before int64) {
	n := min(max(0, before-p.first), int64(len(p.records)))
	p.records = slices.Clone(p.records[n:])
	p.first += n
}

func (p *partition) append(entries []logstore.Entry, c logstore.Condition) (logstore.AppendResult, error) {
	if c.ExpectedEnd != nil && *c.ExpectedEnd != p.end() {
		return logstore.AppendResult{}, &logstore.ConflictError{End: p.end()}
	}
	var from *producer
	if c.Fence != nil {
		if p.producers[c.Fence.Producer] == nil {
			p.producers[c.Fence.Producer] = &producer{}
		}
		from = p.producers[c.Fence.Producer]
		previous, err := from.checkFence(*c.Fence, len(entries) > 0)
		if previous != nil || err != nil {
			return zeroIfNil(previous), err
		}
	}
	a := logstore.AppendResult{Offset: p.end()}
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
		from.remember(c.Fence.Sequence, a)
	}
	close(p.appended)
	p.appended = make(chan struct{})
	return a, nil
}

func zeroIfNil(a *logstore.AppendResult) logstore.AppendResult {
	if a == nil {
		return logstore.AppendResult{}
	}
	return *a
}

// checkFence checks the fence of an append, and takes over its epoch if that is
// higher. It returns the first result when the append is a repeat.
func (p *producer) checkFence(f logstore.Fence, appends bool) (*logstore.AppendResult, error) {
	switch {
	case f.Epoch < p.epoch:
		return nil, logstore.ErrFenced
	case f.Epoch > p.epoch:
		p.epoch, p.sequence, p.recent = f.Epoch, f.Sequence, nil
		if appends {
			p.sequence = f.Sequence - 1
		}
	}
	if !appends {
		return nil, nil
	}
	for i := range p.recent {
		if p.recent[i].sequence == f.Sequence {
			return &p.recent[i].result, nil
		}
	}
	if f.Sequence != p.sequence+1 {
		return nil, &logstore.SequenceError{Expected: p.sequence + 1}
	}
	return nil, nil
}

func (p *producer) remember(sequence int64, a logstore.AppendResult) {
	p.sequence = sequence
	p.recent = append(p.recent, pastAppend{sequence, a})
	if len(p.recent) > rememberedAppends {
		p.recent = p.recent[1:]
	}
}

// client is a Log for one client name.
type client struct {
	log  *Log
	name string
}

// applyFault applies the part of a call's fault that precedes its execution. It
// returns an error when the call ends before it is executed.
func (c client) applyFault(ctx context.Context, op Op, p logstore.Partition) (Fault, error) {
	c.log.mu.Lock()
	c.log.calls[op]++
	var f Fault
	if c.log.fault != nil {
		f = c.log.fault(Call{c.name, op, p})
	}
	c.log.mu.Unlock()
	if f.Rejected {
		return f, verdict.NewNotRun(verdict.ReasonNotReady, "the log is down")
	}
	inTime := clock.Sleep(ctx, f.Delay)
	switch {
	case f.NoResponse && f.Executed:
		return f, nil
	case f.NoResponse:
		<-ctx.Done()
		return f, errNoAnswer()
	case !inTime:
		return f, errNoAnswer()
	}
	return f, nil
}

func errNoAnswer() error { return verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer in time") }

// Limits implements logstore.Log.
func (c client) Limits() logstore.Limits {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return c.log.told
}

// Append implements logstore.Log.
func (c client) Append(ctx context.Context, p logstore.Partition, entries []logstore.Entry, cond logstore.Condition) (logstore.AppendResult, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	f, err := c.applyFault(ctx, Append, p)
	if err != nil {
		return logstore.AppendResult{}, err
	}
	a, err := c.log.append(p, entries, cond)
	if f.NoResponse {
		<-ctx.Done()
	}
	if !clock.Sleep(ctx, f.ResponseDelay) {
		return logstore.AppendResult{}, errNoAnswer()
	}
	return a, err
}

// append appends entries if the log takes them.
func (l *Log) append(p logstore.Partition, entries []logstore.Entry, cond logstore.Condition) (logstore.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.limits.Check(entries); err != nil {
		return logstore.AppendResult{}, err
	}
	return l.partition(p).append(entries, cond)
}

// Read implements logstore.Log.
func (c client) Read(ctx context.Context, p logstore.Partition, from int64, wait time.Duration) (logstore.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+clientTimeout)
	defer cancel()
	f, err := c.applyFault(ctx, Read, p)
	if err != nil {
		return logstore.Batch{}, err
	}
	b, err := c.readOrWait(ctx, p, from, wait, f.LooksEarly)
	if !clock.Sleep(ctx, f.ResponseDelay) {
		return logstore.Batch{}, errNoAnswer()
	}
	return b, err
}

// readOrWait does what Log.readOrWait does, or looks for records only once if early is set.
func (c client) readOrWait(ctx context.Context, p logstore.Partition, from int64, wait time.Duration, early bool) (logstore.Batch, error) {
	if !early {
		return c.log.readOrWait(ctx, p, from, wait)
	}
	b, err := c.log.readOrWait(ctx, p, from, 0)
	if err == nil && len(b.Records) == 0 && !clock.Sleep(ctx, wait) {
		return logstore.Batch{}, errNoAnswer()
	}
	return b, err
}

// readOrWait reads records, and waits for up to wait when there are none yet.
func (l *Log) readOrWait(ctx context.Context, p logstore.Partition, from int64, wait time.Duration) (logstore.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		part := l.partition(p)
		appended := part.appended
		b, err := part.read(from)
		l.mu.Unlock()
		if err != nil || len(b.Records) > 0 || wait <= 0 {
			return b, err
		}
		select {
		case <-appended:
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
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	if _, err := c.applyFault(ctx, Newest, p); err != nil {
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
