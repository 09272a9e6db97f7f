package policy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
	"greengagedeck/internal/telemetry"
)

// A daemon that does not get through to the log asks others for the configuration, which
// has to be in force on every daemon within 3 s once callers need keys.

// MethodFetch asks a daemon for a configuration that is newer than that of the caller.
const MethodFetch peer.Method = "policy.fetch"

// FetchRequest is the request of MethodFetch.
type FetchRequest struct {
	// HasVersion is set if the caller has a configuration, and Version is its version.
	HasVersion bool  `cbor:"1,keyasint,omitempty"`
	Version    int64 `cbor:"2,keyasint,omitempty"`
}

// FetchResponse is the response to a FetchRequest: the operator's record of the
// configuration, or nothing if it is not newer. It holds keys of customers, which are
// secrets.
type FetchResponse struct {
	Key   string `cbor:"1,keyasint,omitempty"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

const (
	// logSilence is how long the log must not have answered for others to be asked. A
	// blocking read of the configuration is answered within less.
	logSilence = 800 * time.Millisecond
	// fetchInterval is the time between two rounds of requests, maxAsked how many daemons
	// are asked in each, and fetchTimeout how long they have to answer. Within the 3 s that
	// a configuration has, fourteen daemons are asked.
	fetchInterval = 300 * time.Millisecond
	maxAsked      = 2
	fetchTimeout  = 250 * time.Millisecond
)

// Caller sends messages to other daemons by their IDs and addresses.
type Caller interface {
	peer.Caller
	// CallAddress is like Call for a daemon of which only the address is known.
	CallAddress(ctx context.Context, addr string, m peer.Method, req, resp any) error
}

// FetcherOptions configure a Fetcher.
type FetcherOptions struct {
	Current *Current
	// CustomersRequired is set if callers need keys even while the configuration in force
	// lists no customers. Without either, others are not asked.
	CustomersRequired bool
	Caller            Caller
	// Peers returns the IDs of the other live daemons, and Address the address of one.
	Peers   func() []string
	Address func(id string) (string, bool)
	// LogAge returns how long ago the log last answered this daemon.
	LogAge func() time.Duration
	// Apply puts the configuration of a record into force, if it is newer.
	Apply  func(logstore.Record) error
	Clock  clock.Clock
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Fetcher asks other daemons for a newer configuration while the log does not answer this
// one, and answers the same request of others.
type Fetcher struct {
	opt FetcherOptions
	// next is the position of the next daemon to ask. It is random at first, so that
	// daemons that lose the log at the same time do not all ask the same ones.
	next               uint
	requests, received tally.Counter
	unusable           *telemetry.Outage
}

// NewFetcher returns a Fetcher that is idle until Run is called.
func NewFetcher(o FetcherOptions) *Fetcher {
	scope := o.Scope.SubScope("policy")
	return &Fetcher{
		opt:      o,
		next:     rand.Uint(),
		requests: scope.Counter("fetches"),
		received: scope.Counter("fetched"),
		unusable: telemetry.NewOutage(o.Logger, "a configuration from another daemon is unusable", "configurations from other daemons are usable again"),
	}
}

// Register registers the handler for requests of other daemons.
func (f *Fetcher) Register(m peer.Mux) {
	m.Handle(MethodFetch, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var req FetchRequest
		if err := record.Decode(body, &req); err != nil {
			return nil, err
		}
		return f.respond(req), nil
	})
}

func (f *Fetcher) respond(req FetchRequest) FetchResponse {
	p := f.opt.Current.Get()
	if p == nil || req.HasVersion && p.Version <= req.Version {
		return FetchResponse{}
	}
	return FetchResponse{Key: p.Source.Key, Value: p.Source.Value}
}

// Run asks others while the log does not answer, until ctx ends.
func (f *Fetcher) Run(ctx context.Context) {
	for {
		wait := logSilence - f.opt.LogAge()
		switch {
		case wait <= 0 && !f.enabled():
			wait = fetchInterval
		case wait <= 0:
			start := f.opt.Clock.Now()
			f.fetch(ctx)
			wait = fetchInterval - (f.opt.Clock.Now() - start)
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// enabled reports whether others are asked.
func (f *Fetcher) enabled() bool {
	p := f.opt.Current.Get()
	return f.opt.CustomersRequired || p != nil && p.Customers != nil
}

// fetch asks the next daemons and applies what they answer.
func (f *Fetcher) fetch(ctx context.Context) {
	var req FetchRequest
	if p := f.opt.Current.Get(); p != nil {
		req = FetchRequest{HasVersion: true, Version: p.Version}
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, id := range f.nextPeers() {
		f.requests.Inc(1)
		calls.Go(func() {
			var resp FetchResponse
			if f.call(ctx, id, req, &resp) == nil && len(resp.Value) > 0 {
				f.apply(id, resp)
			}
		})
	}
	calls.Wait()
}

// call asks one daemon. The process that replaces a daemon has another ID, of which this
// daemon does not know without the log, and the same address.
func (f *Fetcher) call(ctx context.Context, id string, req FetchRequest, resp *FetchResponse) error {
	err := f.opt.Caller.Call(ctx, id, MethodFetch, req, resp)
	if !eris.Is(err, peer.ErrNotSent) {
		return err
	}
	addr, ok := f.opt.Address(id)
	if !ok {
		return err
	}
	return f.opt.Caller.CallAddress(ctx, addr, MethodFetch, req, resp)
}

// nextPeers returns the daemons to ask now. All live ones take turns, since some may not
// get through to the log either.
func (f *Fetcher) nextPeers() []string {
	peers := f.opt.Peers()
	out := make([]string, 0, maxAsked)
	for range min(maxAsked, len(peers)) {
		out = append(out, peers[f.next%uint(len(peers))])
		f.next++
	}
	return out
}

// apply applies the configuration that another daemon has sent.
func (f *Fetcher) apply(from string, resp FetchResponse) {
	f.received.Inc(1)
	f.opt.Logger.Info().Str("from", from).Dur("log_silent", f.opt.LogAge()).Msg("newer configuration received from another daemon")
	if err := f.opt.Apply(logstore.Record{Key: resp.Key, Value: resp.Value}); err != nil {
		f.unusable.Failed(string(MethodFetch), err)
		return
	}
	f.unusable.Succeeded()
}
