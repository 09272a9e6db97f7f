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

// rig connects real detectors, services and guards by an in-memory network in the
// virtual time of a synctest bubble. The test decides which daemons apply the log's
// records; with logAvailable set, a daemon that has applied all of them counts as
// reading the log.
type rig struct {
	t            *testing.T
	ctx          context.Context
	state        membership.State
	logAvailable bool

	mu         sync.Mutex
	nodes      map[string]*rigNode
	order      []string
	partition  map[string]int           // daemons in different partitions cannot reach each other
	paused     map[string]chan struct{} // daemons that are paused
	startsByID map[string]int           // number of starts by request ID
	serve      func(r *request.Request) (*request.Response, error)
}

type rigNode struct {
	rig          *rig
	self         membership.Member
	handlers     map[peer.Method]peer.Handler
	detector     *membership.Detector
	service      *Service
	guard        *Guard
	appliedEpoch atomic.Uint64
}

func newRig(t *testing.T, ctx context.Context, nodes, zones int) *rig {
	r := &rig{
		t: t, ctx: ctx, state: membership.NewState(), nodes: map[string]*rigNode{},
		partition: map[string]int{}, paused: map[string]chan struct{}{}, startsByID: map[string]int{},
	}
	r.serve = func(q *request.Request) (*request.Response, error) {
		return &request.Response{Status: 200, Body: []byte("answer to " + q.ID)}, nil
	}
	for i := range nodes {
		r.startDaemon(fmt.Sprint("z", i%zones))
	}
	r.publishStateToAll()
	time.Sleep(5 * time.Second)
	return r
}

// runInRig runs a test with a new rig in a synctest bubble.
func runInRig(t *testing.T, nodes, zones int, test func(*rig)) {
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

// startDaemon runs a daemon and applies its join to the rig's state. The daemons
// do not see that state before publishState.
func (r *rig) startDaemon(zone string) *rigNode {
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
	n.guard = NewGuard(n.service, request.ServerFunc(n.execute))
	r.mu.Lock()
	r.nodes[id] = n
	r.order = append(r.order, id)
	r.mu.Unlock()
	r.applyRecord(membership.KindJoin, membership.Join{Member: n.self})
	go func() { _ = n.detector.Run(r.ctx) }()
	go func() { _ = n.service.Run(r.ctx) }()
	return n
}

// applyRecord applies a record to the rig's state.
func (r *rig) applyRecord(kind record.Kind, body any) {
	rec, err := record.New(kind, "test", time.Time{}, record.Cause{}, body)
	if err != nil {
		r.t.Fatal(err)
	}
	r.state = r.state.Clone()
	r.state.Apply(r.state.Epoch+1, rec)
}

func (r *rig) remove(ids ...string) {
	for _, id := range ids {
		r.applyRecord(membership.KindRemove, membership.Remove{ID: id})
	}
}

func (n *rigNode) logConfirmed() time.Time {
	if n.rig.logAvailable && n.appliedEpoch.Load() == n.rig.state.Epoch {
		return time.Now()
	}
	return time.Time{}
}

// publishState passes the rig's state to daemons, to the service before the
// detector.
func (r *rig) publishState(ids ...string) {
	s := r.state
	for _, id := range ids {
		r.nodes[id].appliedEpoch.Store(s.Epoch)
		r.nodes[id].service.SetState(&s)
		r.nodes[id].detector.SetState(&s, s.Epoch)
	}
}

func (r *rig) publishStateToAll() { r.publishState(r.order...) }

// isolate puts daemons into a partition of their own.
func (r *rig) isolate(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.partition[id] = len(r.order)
	}
}

// kill permanently cuts each daemon off from all others.
func (r *rig) kill(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.partition[id] = 1000 + len(r.partition)
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

// execute stands in for the rest of the request path and counts the start.
func (n *rigNode) execute(_ context.Context, q *request.Request) (*request.Response, error) {
	n.rig.mu.Lock()
	n.rig.startsByID[q.ID]++
	serve := n.rig.serve
	n.rig.mu.Unlock()
	return serve(q)
}

func (r *rig) starts(id ulid.ULID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startsByID[id.String()]
}

// send serves a request with a caller's ID at the daemon.
func (n *rigNode) send(id ulid.ULID) (*request.Response, error) {
	return n.guard.Serve(n.rig.ctx, &request.Request{ID: id.String(), Entry: "e", Method: "POST"})
}

// idWhere returns a new ID whose pair in the daemon's epoch satisfies ok.
func (n *rigNode) idWhere(ok func(Pair) bool) ulid.ULID {
	for {
		id := ulid.Make()
		if t, found := n.service.newAttempt(id, 0); found && ok(t.pair) {
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
	target, paused := n.rig.nodes[to], n.rig.paused[to]
	reachable := target != nil && n.rig.partition[n.self.ID] == n.rig.partition[to]
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
		if paused != nil {
			<-paused // the message waits for the paused process
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
