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
	hop      = 200 * time.Microsecond
)

// network connects the dispatchers of a test.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[peer.Method]peer.Handler
	// refused daemons cannot be reached, mute ones get messages but their
	// answers are lost.
	refused map[string]bool
	mute    map[string]bool
}

func newNetwork() *network {
	return &network{
		handlers: map[string]map[peer.Method]peer.Handler{},
		refused:  map[string]bool{},
		mute:     map[string]bool{},
	}
}

func (n *network) set(m map[string]bool, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m[id] = true
}

// endpoint is one daemon's view of the network.
type endpoint struct {
	n  *network
	id string
}

func (e endpoint) Handle(m peer.Method, h peer.Handler) {
	if e.n.handlers[e.id] == nil {
		e.n.handlers[e.id] = map[peer.Method]peer.Handler{}
	}
	e.n.handlers[e.id][m] = h
}

func (e endpoint) reach(to string, m peer.Method) (peer.Handler, bool) {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	return e.n.handlers[to][m], !e.n.refused[to] && !e.n.refused[e.id]
}

func (e endpoint) muted(to string) bool {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	return e.n.mute[to]
}

func (e endpoint) Call(ctx context.Context, to string, m peer.Method, req, resp any) error {
	h, ok := e.reach(to, m)
	if !ok {
		return peer.ErrNotSent
	}
	body, err := record.Encode(req)
	if err != nil {
		return peer.ErrNotSent
	}
	time.Sleep(hop)
	out, err := h(ctx, e.id, cbor.RawMessage(body))
	if err != nil {
		return &peer.RemoteError{Message: err.Error()}
	}
	time.Sleep(hop)
	if e.muted(to) || ctx.Err() != nil {
		return peer.ErrLost
	}
	data, err := record.Encode(out)
	if err != nil {
		return peer.ErrLost
	}
	return record.Decode(data, resp)
}

func (e endpoint) Send(_ context.Context, to string, m peer.Method, msg any) error {
	h, ok := e.reach(to, m)
	if !ok {
		return peer.ErrNotSent
	}
	body, err := record.Encode(msg)
	if err != nil {
		return err
	}
	go func() {
		time.Sleep(hop)
		_, _ = h(context.Background(), e.id, cbor.RawMessage(body))
	}()
	return nil
}

// fleet is the daemons and hosts of a test. It implements the interfaces that
// a dispatcher needs, the same for all daemons but for their ID and zone.
type fleet struct {
	net *network

	mu      sync.Mutex
	zones   map[string][]string // daemons by zone
	targets map[string][]dispatch.Target
	// shut hosts fail the gate.
	shut map[string]bool
	// runs counts executions by request ID; fail makes attempts at a host
	// end in an error.
	runs     map[string]int
	attempts int
	fail     map[string]error
	entries  map[string]catalogue.Entry
	teams    map[string]catalogue.Team
	daemons  map[string]*dispatch.Dispatcher
	service  time.Duration
}

func newFleet() *fleet {
	return &fleet{
		net:     newNetwork(),
		zones:   map[string][]string{},
		targets: map[string][]dispatch.Target{},
		shut:    map[string]bool{},
		runs:    map[string]int{},
		fail:    map[string]error{},
		entries: map[string]catalogue.Entry{
			"reserve": {Name: "reserve", Owner: "a", Pool: testPool, Class: request.ClassShort},
			"settle":  {Name: "settle", Owner: "b", Pool: testPool, Class: request.ClassLong},
		},
		teams:   map[string]catalogue.Team{},
		daemons: map[string]*dispatch.Dispatcher{},
		service: 20 * time.Millisecond,
	}
}

// member is one daemon of a fleet.
type member struct {
	*fleet
	id, zone string
	budget   *budget
}

type budget struct{ left atomic.Int64 }

func (b *budget) Request(string) {}

func (b *budget) Retry(string) bool {
	return b.left.Add(-1) >= 0
}

func (f *fleet) zone(name string, hosts, slots int, daemons ...string) {
	f.zones[name] = daemons
	f.targets[name] = hostsOf(name, hosts, slots)
}

func hostsOf(zone string, n, slots int) []dispatch.Target {
	ts := hosts(n, slots)
	for i := range ts {
		ts[i].Host = zone + "-" + ts[i].Host
		ts[i].Zone = zone
		ts[i].Cores, ts[i].MemoryGB = 32, 64
	}
	return ts
}

// start makes the dispatchers of all zones and runs them until the test ends.
// It must be called in a synctest bubble, whose stop function ends them.
func (f *fleet) start(t testing.TB, retries int) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, zone := range slices.Sorted(maps.Keys(f.zones)) {
		for _, id := range f.zones[zone] {
			m := &member{fleet: f, id: id, zone: zone, budget: &budget{}}
			m.budget.left.Store(int64(retries))
			e := endpoint{n: f.net, id: id}
			f.daemons[id] = dispatch.New(dispatch.Options{
				Targets: m, Gate: m, Doer: m, Policy: m, Zone: m, Budget: m.budget,
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
	return func() {}, !m.shut[host]
}

func (m *member) Do(ctx context.Context, t dispatch.Target, r *request.Request) (*request.Response, error) {
	m.mu.Lock()
	err := m.fail[t.Host]
	m.attempts++
	if err == nil {
		m.runs[r.ID]++
	}
	m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(m.service):
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

func (m *member) Largest(string) (int, int) { return 32, 64 }

func (m *member) Self() string { return m.id }

func (m *member) Mates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.zones[m.zone])
}

func (m *member) Others() map[string][]string {
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

// load sends requests to a daemon at once; wait returns how they ended.
func (f *fleet) load(daemon, prefix string, n int, idempotent bool) (wait func() []result) {
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

// warm lets every daemon learn the size of short work.
func (f *fleet) warm() {
	for id := range f.daemons {
		for range 3 {
			f.load(id, "warm-"+id, 4, true)()
		}
	}
	time.Sleep(time.Second)
	synctest.Wait()
}

func (f *fleet) executions(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}
