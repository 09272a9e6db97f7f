package dedupe

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/membership"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
	"greengagedeck/internal/request"
)

// rig joins real detectors, services and guards by an in-memory network, under
// the virtual time of a synctest bubble. A test folds the log's records by
// hand; with logUp set, a daemon that has folded all of them reads the log.
type rig struct {
	t     *testing.T
	ctx   context.Context
	state membership.State
	logUp bool

	mu       sync.Mutex
	nodes    map[string]*rigNode
	order    []string
	cut      map[string]int           // daemons on different islands do not hear each other
	stalled  map[string]chan struct{} // daemons that are paused
	executed map[string]int           // starts by request ID
	serve    func(r *request.Request) (*request.Response, error)
}

type rigNode struct {
	rig      *rig
	self     membership.Member
	handlers map[peer.Method]peer.Handler
	detector *membership.Detector
	service  *Service
	guard    *Guard
	folded   atomic.Uint64
}

func newRig(t *testing.T, ctx context.Context, nodes, zones int) *rig {
	r := &rig{
		t: t, ctx: ctx, state: membership.NewState(), nodes: map[string]*rigNode{},
		cut: map[string]int{}, stalled: map[string]chan struct{}{}, executed: map[string]int{},
	}
	r.serve = func(q *request.Request) (*request.Response, error) {
		return &request.Response{Status: 200, Body: []byte("answer to " + q.ID)}, nil
	}
	for i := range nodes {
		r.start(fmt.Sprint("z", i%zones))
	}
	r.foldAll()
	time.Sleep(5 * time.Second)
	return r
}

// inRig runs a test of a fault in a bubble.
func inRig(t *testing.T, nodes, zones int, test func(*rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(20 * time.Second)
			synctest.Wait()
		}()
		test(newRig(t, ctx, nodes, zones))
	})
}

// start runs a daemon and folds its join into the rig's state; no daemon sees
// that state before fold.
func (r *rig) start(zone string) *rigNode {
	id := fmt.Sprintf("n%02d", len(r.order))
	n := &rigNode{rig: r, handlers: map[peer.Method]peer.Handler{}}
	n.self = membership.Member{ID: id, Host: "h" + id, Zone: zone, PeerAddress: "a" + id}
	n.detector = membership.NewDetector(membership.DetectorOptions{Self: n.self, Caller: n})
	n.service = NewService(ServiceOptions{
		Options: Options{Self: id, MaxEntries: 1 << 20}, Caller: n, Members: n.detector,
		LogConfirmed: n.logConfirmed,
	})
	n.detector.Register(n)
	n.service.Register(n)
	n.guard = NewGuard(n.service, request.ServerFunc(n.run))
	r.mu.Lock()
	r.nodes[id] = n
	r.order = append(r.order, id)
	r.mu.Unlock()
	r.change(membership.KindJoin, membership.Join{Member: n.self})
	go func() { _ = n.detector.Run(r.ctx) }()
	go func() { _ = n.service.Run(r.ctx) }()
	return n
}

// change folds a record into the rig's state.
func (r *rig) change(kind record.Kind, body any) {
	rec, err := record.New(kind, "test", time.Time{}, record.Cause{}, body)
	if err != nil {
		r.t.Fatal(err)
	}
	r.state = r.state.Clone()
	r.state.Apply(r.state.Epoch+1, rec)
}

func (r *rig) remove(ids ...string) {
	for _, id := range ids {
		r.change(membership.KindRemove, membership.Remove{ID: id})
	}
}

func (n *rigNode) logConfirmed() time.Time {
	if n.rig.logUp && n.folded.Load() == n.rig.state.Epoch {
		return time.Now()
	}
	return time.Time{}
}

// fold shows daemons the rig's state, the keeper before the heartbeats.
func (r *rig) fold(ids ...string) {
	s := r.state
	for _, id := range ids {
		r.nodes[id].folded.Store(s.Epoch)
		r.nodes[id].service.SetState(&s)
		r.nodes[id].detector.SetState(&s, s.Epoch)
	}
}

func (r *rig) foldAll() { r.fold(r.order...) }

// isolate leaves daemons with nobody but each other.
func (r *rig) isolate(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.cut[id] = len(r.order)
	}
}

// kill cuts each daemon off from everybody for good.
func (r *rig) kill(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.cut[id] = 1000 + len(r.cut)
	}
}

// others returns the daemons that are not in ids.
func (r *rig) others(ids ...string) []string {
	var out []string
	for _, id := range r.order {
		found := false
		for _, o := range ids {
			found = found || o == id
		}
		if !found {
			out = append(out, id)
		}
	}
	return out
}

// run stands for the rest of the request path.
func (n *rigNode) run(_ context.Context, q *request.Request) (*request.Response, error) {
	n.rig.mu.Lock()
	n.rig.executed[q.ID]++
	serve := n.rig.serve
	n.rig.mu.Unlock()
	return serve(q)
}

func (r *rig) starts(id ulid.ULID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executed[id.String()]
}

// send has a daemon serve a request with a caller's ID.
func (n *rigNode) send(id ulid.ULID) (*request.Response, error) {
	return n.guard.Serve(n.rig.ctx, &request.Request{ID: id.String(), Entry: "e", Method: "POST"})
}

// idWhere returns an ID of now whose pair in the daemon's epoch satisfies ok.
func (n *rigNode) idWhere(ok func(Pair) bool) ulid.ULID {
	for {
		id := ulid.Make()
		if t, found := n.service.start(id, 0); found && ok(t.pair) {
			return id
		}
	}
}

// Handle and HandleData implement peer.DataMux.
func (n *rigNode) Handle(m peer.Method, h peer.Handler) { n.handlers[m] = h }

func (n *rigNode) HandleData(m peer.Method, h peer.Handler) { n.handlers[m] = h }

func (n *rigNode) Send(ctx context.Context, to string, m peer.Method, msg any) error {
	return n.Call(ctx, to, m, msg, nil)
}

// Call implements peer.Caller.
func (n *rigNode) Call(ctx context.Context, to string, m peer.Method, req, resp any) error {
	body, err := record.Encode(req)
	if err != nil {
		return err
	}
	n.rig.mu.Lock()
	target, stalled := n.rig.nodes[to], n.rig.stalled[to]
	reachable := target != nil && n.rig.cut[n.self.ID] == n.rig.cut[to]
	n.rig.mu.Unlock()
	if !reachable {
		return peer.ErrNotSent
	}
	type result struct {
		data []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(time.Millisecond)
		if stalled != nil {
			<-stalled // the message waits for the paused process
		}
		out, err := target.handlers[m](context.WithoutCancel(ctx), n.self.ID, cbor.RawMessage(body))
		data, _ := record.Encode(out)
		done <- result{data, err}
	}()
	select {
	case <-ctx.Done():
		return peer.ErrLost
	case d := <-done:
		if d.err != nil {
			return &peer.RemoteError{Message: d.err.Error()}
		}
		if resp == nil {
			return nil
		}
		return record.Decode(d.data, resp)
	}
}
