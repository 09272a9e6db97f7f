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

// MethodFetch asks a peer for what follows an offset.
const MethodFetch peer.Method = "replica.fetch"

const (
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 2 * time.Second
	// fetchLimit is how many records one answer carries.
	fetchLimit = 1024
	// fetchRounds bounds the answers taken from one peer in a row.
	fetchRounds = 64
)

// FetchRequest is the message of MethodFetch.
type FetchRequest struct {
	From        uint64 `cbor:"1,keyasint"`
	FoldVersion int    `cbor:"2,keyasint"`
}

// FetchResponse carries records from From on or, when the peer no longer keeps
// them, a snapshot.
type FetchResponse struct {
	Offset   uint64               `cbor:"1,keyasint"`
	Records  []platform.LogRecord `cbor:"2,keyasint,omitempty"`
	Snapshot []byte               `cbor:"3,keyasint,omitempty"`
}

// AddressCaller reaches a daemon known by its address only.
type AddressCaller interface {
	CallAddress(ctx context.Context, addr string, m peer.Method, req, resp any) error
}

// PeerSource passes log records between daemons.
type PeerSource struct {
	replica *Replica
	caller  peer.Caller
	byAddr  AddressCaller

	fetches   tally.Counter
	failed    tally.Counter
	snapshots tally.Counter
}

// NewPeerSource returns a source that folds what it fetches into r.
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

// Register serves fetches of other daemons.
func (p *PeerSource) Register(m peer.Mux) { m.Handle(MethodFetch, p.serve) }

func (p *PeerSource) serve(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
	var req FetchRequest
	if err := record.Decode(body, &req); err != nil {
		return nil, err
	}
	recs, ok := p.replica.Tail(req.From, fetchLimit)
	if ok {
		return FetchResponse{Offset: p.replica.State().Offset, Records: recs}, nil
	}
	if req.FoldVersion != FoldVersion {
		return nil, eris.Wrapf(ErrFoldVersion, "%d, not %d", FoldVersion, req.FoldVersion)
	}
	offset, data, err := p.replica.Snapshot()
	return FetchResponse{Offset: offset, Snapshot: data}, err
}

// Fetch catches up from a member and reports whether it answered.
func (p *PeerSource) Fetch(ctx context.Context, id string) bool {
	return p.fetch(ctx, func(ctx context.Context, req FetchRequest, resp *FetchResponse) error {
		return p.caller.Call(ctx, id, MethodFetch, req, resp)
	})
}

// FetchAddress catches up from the daemon at an address and reports whether it
// answered.
func (p *PeerSource) FetchAddress(ctx context.Context, addr string) bool {
	return p.fetch(ctx, func(ctx context.Context, req FetchRequest, resp *FetchResponse) error {
		return p.byAddr.CallAddress(ctx, addr, MethodFetch, req, resp)
	})
}

type fetchFunc func(context.Context, FetchRequest, *FetchResponse) error

func (p *PeerSource) fetch(ctx context.Context, call fetchFunc) bool {
	for range fetchRounds {
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

// fetchOnce folds one answer and reports whether the peer has no more.
func (p *PeerSource) fetchOnce(ctx context.Context, call fetchFunc) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	p.fetches.Inc(1)
	from := p.replica.State().Offset + 1
	var resp FetchResponse
	if err := call(ctx, FetchRequest{From: from, FoldVersion: FoldVersion}, &resp); err != nil {
		return false, err
	}
	if len(resp.Snapshot) > 0 {
		p.snapshots.Inc(1)
		if err := p.replica.Restore(resp.Snapshot); err != nil {
			return false, err
		}
	}
	reached := p.replica.Fold(resp.Records)
	return reached >= resp.Offset || len(resp.Records) == 0, nil
}
