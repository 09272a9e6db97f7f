package fleetview

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/router"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/duty"
	"greengagedeck/internal/job"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/record"
	"greengagedeck/internal/scheduler"
)

// secret is the key of the customers in tests.
const secret = "k-3f9a77c1"

// fakeRunner answers for a pool.
type fakeRunner struct {
	customers []scheduler.CustomerStatus
	jobs      map[job.ID]scheduler.JobExplanation
	lag       time.Duration
}

func (r *fakeRunner) Customers() []scheduler.CustomerStatus {
	return append([]scheduler.CustomerStatus{}, r.customers...)
}

func (r *fakeRunner) Explain(id job.ID) (scheduler.JobExplanation, bool) {
	x, ok := r.jobs[id]
	return x, ok
}

func (r *fakeRunner) Lookup(job.ID) (scheduler.JobStatus, bool) {
	return scheduler.JobStatus{Now: time.Hour, KnownUpTo: time.Hour - r.lag}, true
}

// fakeFleet is a fleet whose pools are each held by a daemon of the same name. The daemon
// that is asked holds the pool "here".
type fakeFleet struct {
	runners map[string]*fakeRunner
	// silent daemons do not answer, gone ones are not reached, and released pools have no
	// holder.
	silent, gone, released map[string]bool

	mu    sync.Mutex
	calls int
	// answerBytes are the sizes of the answers.
	answerBytes []int
}

func newFakeFleet(pools ...string) *fakeFleet {
	f := &fakeFleet{runners: map[string]*fakeRunner{}, silent: map[string]bool{}, gone: map[string]bool{}, released: map[string]bool{}}
	for _, pool := range pools {
		f.runners[pool] = &fakeRunner{jobs: map[job.ID]scheduler.JobExplanation{}}
	}
	return f
}

// service returns the service of the daemon that is asked. The configuration has the
// pools and customers.
func (f *fakeFleet) service(customers ...customer.Customer) *Service {
	var pools []policy.Pool
	for pool := range f.runners {
		pools = append(pools, policy.Pool{Name: pool})
	}
	var rows []customer.Row
	for _, c := range customers {
		rows = append(rows, customer.Row{Customer: c, Keys: []string{secret}})
	}
	p := policy.New(1, nil, pools, policy.Limits{})
	p.Customers = customer.NewDirectory(rows)
	current := &policy.Current{}
	current.Set(p)
	return NewService(Options{Self: member("here"), Policy: current, Holders: f, Local: f.local, Caller: f})
}

func member(pool string) duty.Member { return duty.Member{Host: pool, Incarnation: 1} }

func (f *fakeFleet) local(pool string) (Runner, bool) {
	r, ok := f.runners[pool]
	return r, ok && r != nil
}

// Holder implements Holders.
func (f *fakeFleet) Holder(n duty.Name) (duty.Claim, bool) {
	pool, _ := n.Pool()
	return duty.Claim{Duty: n, Holder: member(pool)}, !f.released[pool]
}

// Call implements peer.Caller.
func (f *fakeFleet) Call(ctx context.Context, to string, m peer.Method, req, resp any) error {
	for pool := range f.runners {
		if member(pool).ID() != to {
			continue
		}
		switch {
		case f.silent[pool]:
			<-ctx.Done()
			return eris.Wrap(peer.ErrLost, ctx.Err().Error())
		case f.gone[pool]:
			return eris.Wrap(peer.ErrNotSent, "connection refused")
		}
	}
	return f.answer(m, req, resp)
}

// answer has the handler of a daemon answer.
func (f *fakeFleet) answer(m peer.Method, req, resp any) error {
	mux := fakeMux{}
	NewService(Options{Local: f.local}).Register(mux)
	body, err := record.Encode(req)
	if err != nil {
		return err
	}
	v, err := mux[m](context.Background(), "here#1", body)
	if err != nil {
		return err
	}
	data, err := record.Encode(v)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.calls++
	f.answerBytes = append(f.answerBytes, len(data))
	f.mu.Unlock()
	return record.Decode(data, resp)
}

// Send implements peer.Caller.
func (f *fakeFleet) Send(context.Context, string, peer.Method, any) error { return nil }

type fakeMux map[peer.Method]peer.Handler

func (m fakeMux) Handle(method peer.Method, h peer.Handler) { m[method] = h }

// get returns the response of the administration port.
func get(s *Service, path string) (status int, body string) {
	r := router.New()
	s.Route(r)
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(path)
	r.Handler(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

// getInto reads a response into v.
func getInto(g *WithT, s *Service, path string, v any) {
	status, body := get(s, path)
	g.Expect(status).To(Equal(fasthttp.StatusOK), "%s", body)
	g.Expect(json.Unmarshal([]byte(body), v)).To(Succeed())
}

// status returns what a customer runs and waits for.
func status(id customer.ID, running, waiting int) scheduler.CustomerStatus {
	return scheduler.CustomerStatus{
		Customer: id, JobsRunning: running, JobsWaiting: waiting, TasksRunning: running, TasksWaiting: waiting, Runs: running,
		Used: job.Resources{CPU: 100 * running}, Wanted: job.Resources{CPU: 100 * waiting},
		OldestWait: time.Duration(waiting) * time.Second, Waits: map[scheduler.NoRunReason]int{scheduler.NoRunNoResources: waiting},
	}
}

// numbered returns n customers, and what each runs in a pool.
func numbered(n int) (all []customer.Customer, statuses []scheduler.CustomerStatus) {
	for i := range n {
		id := customer.ID(fmt.Sprintf("customer-%04d", i))
		all = append(all, customer.Customer{ID: id, Weight: float64(1 + i%50), Limit: job.Resources{CPU: 64_000}})
		statuses = append(statuses, status(id, 1+i%7, 1+i%5))
	}
	return all, statuses
}
