package decision

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/peer"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

// MethodTrace requests the traces of a request from a daemon.
const MethodTrace peer.Method = "decision.trace"

const (
	// flushInterval is the time between appends of traces.
	flushInterval = 15 * time.Second
	// maxBatchTraces bounds the traces of one append. Together with
	// flushInterval it bounds the amount of data that tracing writes.
	maxBatchTraces = 100
	// finalFlushTimeout bounds the last append on shutdown.
	finalFlushTimeout = 2 * time.Second
	// readLimit is how many records one read of the stream asks for.
	readLimit = 256
)

// TraceQuery is the request of MethodTrace.
type TraceQuery struct {
	ID string `cbor:"1,keyasint"`
}

// TraceBatch is the response to a TraceQuery and the body of a record of the trace
// stream.
type TraceBatch struct {
	Traces []Trace `cbor:"1,keyasint,omitempty"`
}

// Members lists the daemons to query.
type Members interface {
	Self() string
	ZoneMembers() []string
	OtherZoneMembers() map[string][]string
}

// TraceLog keeps traces beyond the lifetime of the daemon that recorded them: it
// appends them to the platform's log in batches, and looks them up locally, on other
// daemons and in the log.
type TraceLog struct {
	traces  *TraceStore
	log     platform.Log
	caller  peer.Caller
	members Members

	appended tally.Counter
	dropped  tally.Counter

	mu    sync.Mutex
	batch []Trace
}

// NewTraceLog returns a trace log over the traces of this daemon.
func NewTraceLog(t *TraceStore, log platform.Log, c peer.Caller, m Members, scope tally.Scope) *TraceLog {
	scope = scope.SubScope("decision")
	return &TraceLog{
		traces:   t,
		log:      log,
		caller:   c,
		members:  m,
		appended: scope.Counter("traces_appended"),
		dropped:  scope.Counter("traces_dropped"),
	}
}

// Register registers the handler for queries from other daemons.
func (l *TraceLog) Register(m peer.Mux) {
	m.Handle(MethodTrace, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q TraceQuery
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return TraceBatch{Traces: l.localTraces(q.ID)}, nil
	})
}

// Add stores a trace locally and adds it to the next batch for the log. If the batch
// is full, the trace is only stored locally.
func (l *TraceLog) Add(t Trace) {
	l.traces.Add(t)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.batch) >= maxBatchTraces {
		l.dropped.Inc(1)
		return
	}
	l.batch = append(l.batch, t)
}

// Run appends a batch once per flushInterval until ctx ends, and then the last one.
func (l *TraceLog) Run(ctx context.Context) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
			defer cancel()
			l.flush(last)
			return
		case <-tick.C:
			l.flush(ctx)
		}
	}
}

// flush appends the batch once. A failed append is not repeated, since traces are
// only a sample: its traces are counted as dropped.
func (l *TraceLog) flush(ctx context.Context) {
	l.mu.Lock()
	batch := l.batch
	l.batch = nil
	l.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	data, err := record.Encode(TraceBatch{Traces: batch})
	if err == nil {
		_, err = l.log.Append(ctx, platform.StreamTrace, data)
	}
	if err != nil {
		l.dropped.Inc(int64(len(batch)))
		return
	}
	l.appended.Inc(int64(len(batch)))
}

func (l *TraceLog) localTraces(id string) []Trace {
	t, ok := l.traces.Get(id)
	if !ok {
		return nil
	}
	return []Trace{t}
}

// Trace returns the traces of a request from the first source that has any: this
// daemon, the other live daemons, the log.
func (l *TraceLog) Trace(ctx context.Context, id string) []Trace {
	if found := l.localTraces(id); len(found) > 0 {
		return found
	}
	if found := l.queryOtherDaemons(ctx, id); len(found) > 0 {
		return found
	}
	return l.searchLog(ctx, id)
}

func (l *TraceLog) queryOtherDaemons(ctx context.Context, id string) []Trace {
	var ids []string
	for _, m := range l.members.ZoneMembers() {
		if m != l.members.Self() {
			ids = append(ids, m)
		}
	}
	for _, zone := range l.members.OtherZoneMembers() {
		ids = append(ids, zone...)
	}
	answers := make([]TraceBatch, len(ids))
	var wg sync.WaitGroup
	for i, m := range ids {
		wg.Go(func() { _ = l.caller.Call(ctx, m, MethodTrace, TraceQuery{ID: id}, &answers[i]) })
	}
	wg.Wait()
	var found []Trace
	for _, a := range answers {
		found = append(found, a.Traces...)
	}
	return found
}

// searchLog reads the trace stream from its oldest record on.
func (l *TraceLog) searchLog(ctx context.Context, id string) []Trace {
	from, next, err := l.log.Bounds(ctx, platform.StreamTrace)
	if err != nil {
		return nil
	}
	var found []Trace
	for from < next && ctx.Err() == nil {
		recs, err := l.log.Read(ctx, platform.StreamTrace, from, readLimit, 0)
		if err != nil || len(recs) == 0 {
			break
		}
		for _, r := range recs {
			found = append(found, tracesWithID(r.Data, id)...)
		}
		from = recs[len(recs)-1].Offset + 1
	}
	return found
}

// tracesWithID returns the traces of a request in an encoded TraceBatch.
func tracesWithID(data []byte, id string) []Trace {
	var batch TraceBatch
	if record.Decode(data, &batch) != nil {
		return nil
	}
	var found []Trace
	for _, t := range batch.Traces {
		if t.ID == id {
			found = append(found, t)
		}
	}
	return found
}
