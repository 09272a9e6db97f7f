package worker

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/telemetry"
)

const (
	// registryInterval is the time between reads of the list. Workers write
	// often, so that a blocking read would return each entry on its own.
	registryInterval = 400 * time.Millisecond
	// registryRetry is the delay after a failed read.
	registryRetry = 200 * time.Millisecond
)

// ListChange is the result of a read of the worker list. It may hold no change.
type ListChange struct {
	// Full is set if Listed is the complete list.
	Full    bool
	Listed  []Listing
	Removed []string
}

// RegistryOptions configure a Registry.
type RegistryOptions struct {
	Log       logstore.Log
	Partition logstore.Partition
	// Decode decodes an entry of the list.
	Decode func(logstore.Record) (Listing, error)
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Registry follows the platform's list of workers while it has watchers.
type Registry struct {
	opt RegistryOptions

	entries, unreadable tally.Counter

	mu       sync.Mutex
	current  map[string]Listing
	watchers map[int]func(ListChange)
	nextID   int
	// loaded is set once the complete list has been read.
	loaded bool
	wake   chan struct{}
}

// NewRegistry returns a Registry that is idle until Run is called.
func NewRegistry(o RegistryOptions) *Registry {
	scope := o.Scope.SubScope("registry")
	return &Registry{
		opt:        o,
		entries:    scope.Counter("entries"),
		unreadable: scope.Counter("unreadable_entries"),
		current:    map[string]Listing{},
		watchers:   map[int]func(ListChange){},
		wake:       make(chan struct{}, 1),
	}
}

// Watch calls fn with the complete list and then with the result of every read,
// in order, until the returned function is called. fn must not block.
func (r *Registry) Watch(fn func(ListChange)) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.nextID
	r.nextID++
	r.watchers[id] = fn
	if r.loaded {
		fn(r.fullList())
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watchers, id)
	}
}

func (r *Registry) fullList() ListChange {
	c := ListChange{Full: true}
	for _, l := range r.current {
		c.Listed = append(c.Listed, l)
	}
	return c
}

// Run follows the list until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	log := logstore.Reported(r.opt.Log, telemetry.NewOutage(r.opt.Logger, "list of workers unreadable", "list of workers readable again"))
	var tail *logstore.Tail
	for ctx.Err() == nil {
		if !r.hasWatchers() {
			// Changes made while there are no watchers are part of the complete
			// list that is read for the next one.
			tail = nil
			select {
			case <-ctx.Done():
			case <-r.wake:
			}
			continue
		}
		if tail == nil {
			tail = logstore.NewTail(log, r.opt.Partition)
		}
		recs, reset, err := tail.Next(ctx, 0)
		if err != nil {
			clock.Sleep(ctx, registryRetry)
			continue
		}
		r.apply(recs, reset)
		clock.Sleep(ctx, registryInterval)
	}
}

// hasWatchers reports whether anybody watches the list. If not, the list has to
// be read completely for the next watcher.
func (r *Registry) hasWatchers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.watchers) == 0 {
		r.loaded = false
		return false
	}
	return true
}

func (r *Registry) apply(recs []logstore.Record, reset bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reset {
		clear(r.current)
	}
	listed, removed := map[string]Listing{}, map[string]bool{}
	for _, rec := range recs {
		delete(listed, rec.Key)
		delete(removed, rec.Key)
		if l, ok := r.decode(rec); ok {
			r.current[rec.Key] = l
			listed[rec.Key] = l
		} else {
			delete(r.current, rec.Key)
			removed[rec.Key] = true
		}
	}
	r.entries.Inc(int64(len(recs)))
	c := ListChange{}
	if reset {
		r.loaded = true
		c = r.fullList()
	} else {
		for _, l := range listed {
			c.Listed = append(c.Listed, l)
		}
		for id := range removed {
			c.Removed = append(c.Removed, id)
		}
	}
	for _, fn := range r.watchers {
		fn(c)
	}
}

// decode decodes an entry. An entry that cannot be decoded does not describe a
// worker: other programs write to the list too.
func (r *Registry) decode(rec logstore.Record) (Listing, bool) {
	if len(rec.Value) == 0 {
		return Listing{}, false
	}
	l, err := r.opt.Decode(rec)
	if err != nil {
		r.unreadable.Inc(1)
		r.opt.Logger.Warn().Err(err).Int64("offset", rec.Offset).Msg("ignoring invalid entry of the worker list")
		return Listing{}, false
	}
	return l, true
}
