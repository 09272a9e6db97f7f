package membership

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/peer"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

const (
	// listInterval is the time between reads of the list by the daemon that
	// reads it, fetchInterval the time between checks of the zone peers'
	// versions.
	listInterval  = time.Second
	fetchInterval = listInterval / 2
	// readerTimeout is the time without a heartbeat from the zone peer that
	// reads the list after which the next one reads it too. It is shorter
	// than FailAfter, because a second reader does no harm.
	readerTimeout = 1500 * time.Millisecond
	// listTimeout bounds one read of the list.
	listTimeout = 5 * time.Second
	// topicList is the digest topic of the list's version.
	topicList = "l"
)

// ListReaderOptions configure a ListReader.
type ListReaderOptions struct {
	Hosts    platform.Hosts
	Detector *Detector
	Caller   peer.Caller
	// OnChange is called after a newer list has been applied. It must not
	// block.
	OnChange func(version uint64)
	Logger   zerolog.Logger
	Scope    tally.Scope
}

// ListReader follows the platform's host list. One daemon of the zone reads it;
// the others fetch the changes from the zone peer with the newest version.
type ListReader struct {
	opt ListReaderOptions

	reads, readErrors, fetches tally.Counter
	version                    tally.Gauge

	mu   sync.Mutex
	list *List
}

// NewListReader returns a reader that does nothing until Run. It must be called
// before Detector.Run.
func NewListReader(opt ListReaderOptions) *ListReader {
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	if opt.OnChange == nil {
		opt.OnChange = func(uint64) {}
	}
	s := opt.Scope.SubScope("membership")
	r := &ListReader{
		opt:        opt,
		reads:      s.Counter("list_reads"),
		readErrors: s.Counter("list_read_errors"),
		fetches:    s.Counter("list_fetched_from_mate"),
		version:    s.Gauge("list_version"),
		list:       NewList(),
	}
	opt.Detector.Publish(topicList, r.digest)
	return r
}

// Register adds the reader's handlers.
func (r *ListReader) Register(m peer.Mux) { m.Handle(MethodList, r.handleFetch) }

func (r *ListReader) digest() []byte {
	return binary.AppendUvarint(nil, r.Version())
}

// Run follows the list until ctx ends.
func (r *ListReader) Run(ctx context.Context) error {
	t := time.NewTicker(fetchInterval)
	defer t.Stop()
	var last time.Time
	for {
		if time.Since(last) >= listInterval && r.opt.Detector.isLowestHeardInZone(readerTimeout) {
			last = time.Now()
			r.read(ctx)
		}
		r.fetch(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (r *ListReader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	r.reads.Inc(1)
	hl, err := r.opt.Hosts.List(ctx)
	if err != nil {
		r.readErrors.Inc(1)
		return
	}
	r.applyChange(func(l *List, now time.Time) bool { return l.Update(hl, now) })
}

// applyChange applies a change to the list and calls OnChange if the list is
// newer.
func (r *ListReader) applyChange(apply func(*List, time.Time) bool) bool {
	r.mu.Lock()
	newer := apply(r.list, time.Now())
	version := r.list.Version()
	r.mu.Unlock()
	if newer {
		r.version.Update(float64(version))
		r.opt.OnChange(version)
	}
	return newer
}

// fetch fetches the changes from the zone peer with the newest version.
func (r *ListReader) fetch(ctx context.Context) {
	have := r.Version()
	best, id := have, ""
	for _, m := range r.opt.Detector.LiveInZone(r.opt.Detector.opt.Self.Zone) {
		data, _, ok := r.opt.Detector.Digest(m.ID, topicList)
		if v, n := binary.Uvarint(data); ok && n > 0 && v > best {
			best, id = v, m.ID
		}
	}
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var d ListDelta
	if err := r.opt.Caller.Call(ctx, id, MethodList, have, &d); err != nil {
		return
	}
	if r.applyChange(func(l *List, now time.Time) bool { return l.Merge(d, now) }) {
		r.fetches.Inc(1)
	}
}

func (r *ListReader) handleFetch(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
	var have uint64
	if err := record.Decode(body, &have); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Since(have), nil
}

// Version returns the version of the newest list, 0 for none.
func (r *ListReader) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Version()
}

// Leaving reports whether the platform plans to take the host away, according
// to the list, and returns the list's version.
func (r *ListReader) Leaving(host string) (leaving bool, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.list.Host(host)
	return ok && h.Leaving, r.list.Version()
}

// Listed reports whether the host is on the list, and returns the list's
// version.
func (r *ListReader) Listed(host string) (listed bool, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.list.Host(host)
	return ok, r.list.Version()
}

// DroppedFor returns the time since the list was first read without a host that
// it had contained before.
func (r *ListReader) DroppedFor(host string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.DroppedFor(host, time.Now())
}

// EntryHosts returns the listed hosts that run the daemon.
func (r *ListReader) EntryHosts() []platform.HostStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.EntryHosts()
}
