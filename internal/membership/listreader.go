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
	// reads it, fetchInterval between looks at the mates' versions.
	listInterval  = time.Second
	fetchInterval = listInterval / 2
	// readerSilence is how long the mate that reads may be unheard before
	// the next one reads too. It is shorter than the time to fail, because
	// a second reader does no harm.
	readerSilence = 1500 * time.Millisecond
	// listTimeout bounds one read of the list.
	listTimeout = 5 * time.Second
	// topicList carries the version of the list in heartbeats.
	topicList = "l"
)

// ListReaderOptions configure a ListReader.
type ListReaderOptions struct {
	Hosts    platform.Hosts
	Detector *Detector
	Caller   peer.Caller
	// OnChange is called after a newer list was taken in. It must not block.
	OnChange func(version uint64)
	Logger   zerolog.Logger
	Scope    tally.Scope
}

// ListReader follows the platform's list. One daemon of the zone reads it; the
// others fetch what changed from the mate that has the newest version.
type ListReader struct {
	opt ListReaderOptions

	reads, readErrors, passedOn tally.Counter
	version                     tally.Gauge

	mu   sync.Mutex
	list *List
}

// NewListReader returns a reader that does nothing until Run. It must be made
// before the detector runs.
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
		passedOn:   s.Counter("list_fetched_from_mate"),
		version:    s.Gauge("list_version"),
		list:       NewList(),
	}
	opt.Detector.Publish(topicList, r.digest)
	return r
}

// Register adds the reader's handlers.
func (r *ListReader) Register(m peer.Mux) { m.Handle(MethodList, r.serve) }

func (r *ListReader) digest() []byte {
	return binary.AppendUvarint(nil, r.Version())
}

// Run follows the list until ctx ends.
func (r *ListReader) Run(ctx context.Context) error {
	t := time.NewTicker(fetchInterval)
	defer t.Stop()
	var last time.Time
	for {
		if time.Since(last) >= listInterval && r.opt.Detector.leadsZoneOf(readerSilence) {
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
	r.changed(func(l *List, now time.Time) bool { return l.Take(hl, now) })
}

// changed applies a change to the list and tells of it.
func (r *ListReader) changed(apply func(*List, time.Time) bool) bool {
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

// fetch asks the mate with the newest version for what changed.
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
	if r.changed(func(l *List, now time.Time) bool { return l.Merge(d, now) }) {
		r.passedOn.Inc(1)
	}
}

func (r *ListReader) serve(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
	var have uint64
	if err := record.Decode(body, &have); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Since(have), nil
}

// Version returns that of the newest list seen, 0 for none.
func (r *ListReader) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Version()
}

// Leaving reports whether the list says that the platform plans to take the
// host, with the version of the list.
func (r *ListReader) Leaving(host string) (leaving bool, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.list.Host(host)
	return ok && h.Leaving, r.list.Version()
}

// Listed reports whether the list names the host, with the version of the
// list.
func (r *ListReader) Listed(host string) (listed bool, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.list.Host(host)
	return ok, r.list.Version()
}

// DroppedFor returns how long ago the list first was without a host that it
// once named.
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
