package replica

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/peer"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

// MethodFetch requests the records from an offset on from a peer.
const MethodFetch peer.Method = "replica.fetch"

const (
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 2 * time.Second
	// fetchLimit is the maximum number of records in one response.
	fetchLimit = 1024
	// maxFetchesPerPeer bounds the consecutive fetches from one peer.
	maxFetchesPerPeer = 64
)

// FetchRequest is the request of MethodFetch.
type FetchRequest struct {
	From         uint64 `cbor:"1,keyasint"`
	StateVersion int    `cbor:"2,keyasint"`
}

// FetchResponse holds the records from From on or, if the peer no longer keeps them,
// a snapshot. Offset is the peer's offset.
type FetchResponse struct {
	Offset   uint64               `cbor:"1,keyasint"`
	Records  []platform.LogRecord `cbor:"2,keyasint,omitempty"`
	Snapshot []byte               `cbor:"3,keyasint,omitempty"`
}

// AddressCaller calls a daemon of which only the address is known.
type AddressCaller interface {
	CallAddress(ctx context.Context, addr string, m peer.Method, req, resp any) error
}

// PeerSource fetches log records and snapshots from other daemons and serves them to
// other daemons.
type PeerSource struct {
	replica *Replica
	caller  peer.Caller
	byAddr  AddressCaller

	fetches   tally.Counter
	failed    tally.Counter
	snapshots tally.Counter
}

// NewPeerSource returns a source that applies what it fetches to r.
func NewPeerSource(r *Replica, c peer.Caller, a AddressCaller, scope tally.Scope) *PeerSource {
	scope = scope.SubScope("replica")
	return &PeerSource{
		replica:   r,
		caller:    c,
		byAddr:    a,
		fetches:   scope.Counter("peer_fetches"),
		failed:    scope.Counter("peer_fetch_errors"),
		snapshots: scope.Counter("peer_snapshots"),
	}
}

// Register registers the handler for fetches by other daemons.
func (p *PeerSource) Register(m peer.Mux) { m.Handle(MethodFetch, p.handleFetch) }

func (p *PeerSource) handleFetch(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
	var req FetchRequest
	if err := record.Decode(body, &req); err != nil {
		return nil, err
	}
	recs, ok := p.replica.Tail(req.From, fetchLimit)
	if ok {
		return FetchResponse{Offset: p.replica.State().Offset, Records: recs}, nil
	}
	if req.StateVersion != StateVersion {
		return nil, eris.Wrapf(ErrStateVersion, "%d, not %d", StateVersion, req.StateVersion)
	}
	offset, data, err := p.replica.Snapshot()
	return FetchResponse{Offset: offset, Snapshot: data}, err
}

// Fetch catches up from the member with the given ID and reports whether all its
// responses were received and applied.
func (p *PeerSource) Fetch(ctx context.Context, id string) bool {
	return p.fetch(ctx, func(ctx context.Context, req FetchRequest, resp *FetchResponse) error {
		return p.caller.Call(ctx, id, MethodFetch, req, resp)
	})
}

// FetchAddress catches up from the daemon at an address and reports whether all its
// responses were received and applied.
func (p *PeerSource) FetchAddress(ctx context.Context, addr string) bool {
	return p.fetch(ctx, func(ctx context.Context, req FetchRequest, resp *FetchResponse) error {
		return p.byAddr.CallAddress(ctx, addr, MethodFetch, req, resp)
	})
}

type fetchFunc func(context.Context, FetchRequest, *FetchResponse) error

func (p *PeerSource) fetch(ctx context.Context, call fetchFunc) bool {
	for range maxFetchesPerPeer {
		done, err := p.fetchOnce(ctx, call)
		if err != nil {
			p.failed.Inc(1)
			return false
		}
		if done {
			return true
		}
	}
	return true
}

// fetchOnce applies one response and reports whether the peer has no more records.
func (p *PeerSource) fetchOnce(ctx context.Context, call fetchFunc) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	p.fetches.Inc(1)
	from := p.replica.State().Offset + 1
	var resp FetchResponse
	if err := call(ctx, FetchRequest{From: from, StateVersion: StateVersion}, &resp); err != nil {
		return false, err
	}
	if len(resp.Snapshot) > 0 {
		p.snapshots.Inc(1)
		if err := p.replica.Restore(resp.Snapshot); err != nil {
			return false, err
		}
	}
	reached := p.replica.Apply(resp.Records)
	return reached >= resp.Offset || len(resp.Records) == 0, nil
}
