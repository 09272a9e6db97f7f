package dispatch_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

const (
	testPool = "bantay-resv"
	hopDelay = 200 * time.Microsecond
)

// network connects the dispatchers of a test.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[peer.Method]peer.Handler
	// unreachable daemons cannot be called; daemons in lostAnswers get
	// messages but their answers are lost.
	unreachable map[string]bool
	lostAnswers map[string]bool
}

func newNetwork() *network {
	return &network{
		handlers:    map[string]map[peer.Method]peer.Handler{},
		unreachable: map[string]bool{},
		lostAnswers: map[string]bool{},
	}
}

func (n *network) mark(m map[string]bool, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m[id] = true
}

// endpoint is one daemon's view of the network.
type endpoint struct {
	net *network
	id  string
}

func (e endpoint) Handle(m peer.Method, h peer.Handler) {
	if e.net.handlers[e.id] == nil {
		e.net.handlers[e.id] = map[peer.Method]peer.Handler{}
	}
	e.net.handlers[e.id][m] = h
}

func (e endpoint) lookup(to string, m peer.Method) (peer.Handler, bool) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	return e.net.handlers[to][m], !e.net.unreachable[to] && !e.net.unreachable[e.id]
}

func (e endpoint) answersLost(to string) bool {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	return e.net.lostAnswers[to]
}

func (e endpoint) Call(ctx context.Context, to string, m peer.Method, req, resp any) error {
	h, ok := e.lookup(to, m)
	if !ok {
		return peer.ErrNotSent
	}
	body, err := record.Encode(req)
	if err != nil {
		return peer.ErrNotSent
	}
	time.Sleep(hopDelay)
	out, err := h(ctx, e.id, cbor.RawMessage(body))
	if err != nil {
		return &peer.RemoteError{Message: err.Error()}
	}
	time.Sleep(hopDelay)
	if e.answersLost(to) || ctx.Err() != nil {
		return peer.ErrLost
	}
	data, err := record.Encode(out)
	if err != nil {
		return peer.ErrLost
	}
	return record.Decode(data, resp)
}

func (e endpoint) Send(_ context.Context, to string, m peer.Method, msg any) error {
	h, ok := e.lookup(to, m)
	if !ok {
		return peer.ErrNotSent
	}
	body, err := record.Encode(msg)
	if err != nil {
		return err
	}
	go func() {
		time.Sleep(hopDelay)
		_, _ = h(context.Background(), e.id, cbor.RawMessage(body))
	}()
	return nil
}

// cluster holds the daemons and hosts of a test. It implements the interfaces
// that a dispatcher needs, the same for all daemons except for their ID and
// zone.
type cluster struct {
	net *network

	mu      sync.Mutex
	zones   map[string][]string // daemons by zone
	targets map[string][]dispatch.Target
	// closedGates holds the hosts whose gate rejects entry.
	closedGates map[string]bool
	// executionCounts counts executions by request ID; attemptErrors holds
	// the error of every attempt at a host.
	executionCounts map[string]int
	attempts        int
	attemptErrors   map[string]error
	entries         map[string]catalogue.Entry
	teams           map[string]catalogue.Team
	daemons         map[string]*dispatch.Dispatcher
	serviceTime     time.Duration
}

func newCluster() *cluster {
	return &cluster{
		net:             newNetwork(),
		zones:           map[string][]string{},
		targets:         map[string][]dispatch.Target{},
		closedGates:     map[string]bool{},
		executionCounts: map[string]int{},
		attemptErrors:   map[string]error{},
		entries: map[string]catalogue.Entry{
			"reserve": {Name: "reserve", Owner: "a", Pool: testPool, Class: request.ClassShort},
			"settle":  {Name: "settle", Owner: "b", Pool: testPool, Class: request.ClassLong},
		},
		teams:       map[string]catalogue.Team{},
		daemons:     map[string]*dispatch.Dispatcher{},
		serviceTime: 20 * time.Millisecond,
	}
}

// member is one daemon of a cluster.
type member struct {
	*cluster
	id, zone string
	budget   *budget
}

type budget struct{ left atomic.Int64 }

func (b *budget) RecordRequest(string) {}

func (b *budget) AllowRetry(string) bool {
	return b.left.Add(-1) >= 0
}

func (f *cluster) addZone(name string, hosts, slots int, daemons ...string) {
	f.zones[name] = daemons
	f.targets[name] = zoneHosts(name, hosts, slots)
}

func zoneHosts(zone string, n, slots int) []dispatch.Target {
	ts := newHosts(n, slots)
	for i := range ts {
		ts[i].Host = zone + "-" + ts[i].Host
		ts[i].Zone = zone
		ts[i].Cores, ts[i].MemoryGB = 32, 64
	}
	return ts
}

// start creates the dispatchers of all zones and runs them until stop is
// called. In a synctest bubble, stop must be called before the bubble ends.
func (f *cluster) start(t testing.TB, retries int) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, zone := range slices.Sorted(maps.Keys(f.zones)) {
		for _, id := range f.zones[zone] {
			m := &member{cluster: f, id: id, zone: zone, budget: &budget{}}
			m.budget.left.Store(int64(retries))
			e := endpoint{net: f.net, id: id}
			f.daemons[id] = dispatch.New(dispatch.Options{
				Targets: m, Gate: m, Executor: m, Policy: m, Membership: m, RetryBudget: m.budget,
				Caller: e, Mux: e, Logger: zerolog.Nop(),
			})
		}
	}
	for _, d := range f.daemons {
		running.Go(func() { _ = d.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (m *member) Targets(string) []dispatch.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.targets[m.zone])
}

func (m *member) Enter(host, _ string) (func(), bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return func() {}, !m.closedGates[host]
}

func (m *member) Do(ctx context.Context, t dispatch.Target, r *request.Request) (*request.Response, error) {
	m.mu.Lock()
	err := m.attemptErrors[t.Host]
	m.attempts++
	if err == nil {
		m.executionCounts[r.ID]++
	}
	m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(m.serviceTime):
		return &request.Response{Status: 200, Host: t.Host, Daemon: m.id, Body: []byte(r.ID)}, nil
	case <-ctx.Done():
		return nil, verdict.NewMayHaveRun(verdict.ReasonTimeout, "cut short")
	}
}

func (m *member) Entry(name string) (catalogue.Entry, bool) {
	e, ok := m.entries[name]
	return e, ok
}

func (m *member) Pool(name string) (catalogue.Pool, bool) {
	return catalogue.Pool{Name: name, LongShare: 0.5}, name == testPool
}

func (m *member) Team(name string) (catalogue.Team, bool) {
	t, ok := m.teams[name]
	return t, ok
}

func (m *member) LargestHost(string) (int, int) { return 32, 64 }

func (m *member) Self() string { return m.id }

func (m *member) ZoneMembers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.zones[m.zone])
}

func (m *member) OtherZoneMembers() map[string][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := maps.Clone(m.zones)
	delete(others, m.zone)
	return others
}

func newRequest(id, entry string, idempotent bool) *request.Request {
	return &request.Request{
		ID: id, Entry: entry, Owner: "a", Pool: testPool, Class: request.ClassShort,
		Idempotent: idempotent, Arrived: time.Now(), Deadline: time.Now().Add(2 * time.Second),
	}
}

// result is how one request ended.
type result struct {
	id   string
	resp *request.Response
	err  error
}

// sendRequests sends n requests to a daemon at once; wait returns their
// results.
func (f *cluster) sendRequests(daemon, prefix string, n int, idempotent bool) (wait func() []result) {
	out := make([]result, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			id := prefix + "-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
			resp, err := f.daemons[daemon].Serve(context.Background(), newRequest(id, "reserve", idempotent))
			out[i] = result{id: id, resp: resp, err: err}
		})
	}
	return func() []result {
		all.Wait()
		return out
	}
}

// warmUp sends requests to every daemon, so that it learns the run time of
// short jobs.
func (f *cluster) warmUp() {
	for id := range f.daemons {
		for range 3 {
			f.sendRequests(id, "warm-"+id, 4, true)()
		}
	}
	time.Sleep(time.Second)
	synctest.Wait()
}

func (f *cluster) executions(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executionCounts[id]
}
