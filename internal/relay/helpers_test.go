package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/job"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
	"greengagedeck/internal/worker"
)

// loopsEnd is when the loops of all sessions have ended after the last order, however
// long that takes.
const loopsEnd = 2 * time.Hour

// runInVirtualTime runs a test in a synctest bubble.
func runInVirtualTime(t *testing.T, test func(ctx context.Context, g *WithT)) {
	synctest.Test(t, func(t *testing.T) {
		test(t.Context(), NewWithT(t))
		time.Sleep(loopsEnd)
	})
}

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }
func (bubbleClock) Wall() time.Time    { return time.Now() }

// links is the network between a holder and its relays. Each message takes latency.
type links struct {
	latency time.Duration

	mu       sync.Mutex
	handlers map[string]map[peer.Method]peer.Handler
	// silent relays get messages and answer none; gone ones get none.
	silent, gone map[string]bool
	// messages counts the messages of each method.
	messages map[peer.Method]int
}

func newLinks() *links {
	return &links{
		latency:  time.Millisecond,
		handlers: map[string]map[peer.Method]peer.Handler{},
		silent:   map[string]bool{},
		gone:     map[string]bool{},
		messages: map[peer.Method]int{},
	}
}

// mux registers the handlers of one daemon.
type mux map[peer.Method]peer.Handler

func (m mux) Handle(method peer.Method, h peer.Handler) { m[method] = h }

// set makes a daemon silent or gone, or neither.
func (l *links) set(id string, silent, gone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[id], l.gone[id] = silent, gone
}

// count returns how many messages were sent.
func (l *links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.messages[MethodOrders] + l.messages[MethodCollect]
}

// deliver passes a message to a daemon and returns its response. silent is set if the
// daemon does not respond.
func (l *links) deliver(ctx context.Context, to string, m peer.Method, msg any) (body []byte, silent bool, err error) {
	l.mu.Lock()
	l.messages[m]++
	h, gone, quiet := l.handlers[to][m], l.gone[to], l.silent[to]
	l.mu.Unlock()
	if gone || h == nil {
		return nil, false, peer.ErrNotSent
	}
	data, err := record.Encode(msg)
	if err != nil {
		return nil, false, err
	}
	time.Sleep(l.latency)
	out, err := h(ctx, "holder", cbor.RawMessage(data))
	if err != nil || quiet || out == nil {
		return nil, quiet, err
	}
	body, err = record.Encode(out)
	return body, false, err
}

func (l *links) Call(ctx context.Context, to string, m peer.Method, req, resp any) error {
	body, silent, err := l.deliver(ctx, to, m, req)
	if err != nil {
		return err
	}
	if silent {
		<-ctx.Done()
		return peer.ErrLost
	}
	time.Sleep(l.latency)
	return record.Decode(body, resp)
}

func (l *links) Send(_ context.Context, to string, m peer.Method, msg any) error {
	l.mu.Lock()
	gone := l.gone[to]
	l.mu.Unlock()
	if gone {
		return peer.ErrNotSent
	}
	go func() { _, _, _ = l.deliver(context.Background(), to, m, msg) }()
	return nil
}

// fakeWorkers stands for the workers. It counts the orders that reach them.
type fakeWorkers struct {
	// err is the answer to every order, and takes how long each takes.
	err   error
	takes time.Duration

	mu     sync.Mutex
	starts []worker.StartOrder
	polls  []worker.PollRequest
	stops  int
	speeds int
}

func (f *fakeWorkers) Start(_ context.Context, _ worker.Target, o worker.StartOrder) (int64, error) {
	time.Sleep(f.takes)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, o)
	return 7, f.err
}

func (f *fakeWorkers) Stop(context.Context, worker.Target, job.RunID, int64) (int64, error) {
	time.Sleep(f.takes)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops++
	return 8, f.err
}

func (f *fakeWorkers) SetSpeed(context.Context, worker.Target, job.RunID, int, int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.speeds++
	return f.err
}

func (f *fakeWorkers) Poll(_ context.Context, _ worker.Target, r worker.PollRequest) (worker.Report, error) {
	time.Sleep(f.takes)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls = append(f.polls, r)
	return worker.Report{
		StartedAt: 5, Clock: 9, Partial: true,
		Running: []worker.RunStatus{{Run: testRun(1), Checkpoint: "c", ProgressPercent: 40, Measurement: 3}},
		Ended:   []worker.RunEnd{{Number: 4, Run: testRun(2), Reason: job.EndDone, Checkpoint: "d"}},
	}, f.err
}

// calls returns how many orders have reached the workers.
func (f *fakeWorkers) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts) + len(f.polls) + f.stops + f.speeds
}

func testRun(number int) job.RunID {
	return job.RunID{Task: job.TaskID{Job: "00000000000000aa", Occurrence: 1, Step: 2, Index: 3}, Number: number}
}

// member returns a daemon with a share of a core.
func member(host, zone string, weight float64) duty.Member {
	return duty.Member{Host: host, Incarnation: 1, Zone: zone, Weight: weight}
}

// world is a holder with one relay. Orders that the holder sends itself reach own,
// those that the relay sends reach relayed.
type world struct {
	links        *links
	relay        duty.Member
	own, relayed *fakeWorkers
	control      *Control
	scope        tally.TestScope
}

// newWorld returns a holder that gives all its orders to the relay.
func newWorld() *world {
	w := &world{
		links: newLinks(), relay: member("r", "a", 1), own: &fakeWorkers{}, relayed: &fakeWorkers{},
		scope: tally.NewTestScope("", nil),
	}
	o := Options{
		Self: member("h", "a", 0), Caller: w.links, Clock: bubbleClock{}, Logger: zerolog.Nop(), Scope: w.scope,
		Idle: func() []duty.Member { return []duty.Member{w.relay} },
	}
	handlers := mux{}
	NewServer(w.relayed, o).Register(handlers)
	w.links.handlers[w.relay.ID()] = handlers
	w.control = NewControl(w.own, o)
	return w
}
