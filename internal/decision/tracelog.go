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

// MethodTrace asks a daemon for the traces of a request.
const MethodTrace peer.Method = "decision.trace"

const (
	// traceFlush is the time between appends of traces.
	traceFlush = 15 * time.Second
	// maxBatch bounds the traces of one append: with the interval it bounds
	// the bytes that tracing costs.
	maxBatch = 100
	// stopFlushTimeout bounds the last append.
	stopFlushTimeout = 2 * time.Second
	// readLimit is how many records one read of the stream asks for.
	readLimit = 256
)

// TraceQuery is the message of MethodTrace.
type TraceQuery struct {
	ID string `cbor:"1,keyasint"`
}

// TraceAnswer is the answer to a TraceQuery.
type TraceAnswer struct {
	Traces []Trace `cbor:"1,keyasint,omitempty"`
}

// Members names the daemons to ask.
type Members interface {
	Self() string
	Mates() []string
	Others() map[string][]string
}

// TraceLog keeps traces beyond the life of the daemon that made them: it
// appends them to the platform's log in batches, and finds them here, at other
// daemons and in the log.
type TraceLog struct {
	traces  *Traces
	log     platform.Log
	caller  peer.Caller
	members Members

	appended tally.Counter
	dropped  tally.Counter

	mu    sync.Mutex
	batch []Trace
}

// NewTraceLog returns a trace log over the traces of this daemon.
func NewTraceLog(t *Traces, log platform.Log, c peer.Caller, m Members, scope tally.Scope) *TraceLog {
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

// Register serves other daemons' queries.
func (l *TraceLog) Register(m peer.Mux) {
	m.Handle(MethodTrace, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q TraceQuery
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return TraceAnswer{Traces: l.own(q.ID)}, nil
	})
}

// Add keeps a trace here and queues it for the log. A full batch drops it from
// the log only.
func (l *TraceLog) Add(t Trace) {
	l.traces.Add(t)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.batch) >= maxBatch {
		l.dropped.Inc(1)
		return
	}
	l.batch = append(l.batch, t)
}

// Run appends batches until ctx ends, and then the last one.
func (l *TraceLog) Run(ctx context.Context) {
	tick := time.NewTicker(traceFlush)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopFlushTimeout)
			defer cancel()
			l.flush(last)
			return
		case <-tick.C:
			l.flush(ctx)
		}
	}
}

// flush appends the batch once. Traces are a sample: one lost with a failed
// append is counted and not repeated.
func (l *TraceLog) flush(ctx context.Context) {
	l.mu.Lock()
	batch := l.batch
	l.batch = nil
	l.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	data, err := record.Encode(TraceAnswer{Traces: batch})
	if err == nil {
		_, err = l.log.Append(ctx, platform.StreamTrace, data)
	}
	if err != nil {
		l.dropped.Inc(int64(len(batch)))
		return
	}
	l.appended.Inc(int64(len(batch)))
}

func (l *TraceLog) own(id string) []Trace {
	t, ok := l.traces.Get(id)
	if !ok {
		return nil
	}
	return []Trace{t}
}

// Trace returns what is known of a request: by this daemon, else by the others
// that live, else by the log.
func (l *TraceLog) Trace(ctx context.Context, id string) []Trace {
	if found := l.own(id); len(found) > 0 {
		return found
	}
	if found := l.askOthers(ctx, id); len(found) > 0 {
		return found
	}
	return l.search(ctx, id)
}

func (l *TraceLog) askOthers(ctx context.Context, id string) []Trace {
	var ids []string
	for _, m := range l.members.Mates() {
		if m != l.members.Self() {
			ids = append(ids, m)
		}
	}
	for _, zone := range l.members.Others() {
		ids = append(ids, zone...)
	}
	answers := make([]TraceAnswer, len(ids))
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

// search reads the stream from its oldest record.
func (l *TraceLog) search(ctx context.Context, id string) []Trace {
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
			found = append(found, matching(r.Data, id)...)
		}
		from = recs[len(recs)-1].Offset + 1
	}
	return found
}

func matching(data []byte, id string) []Trace {
	var batch TraceAnswer
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
