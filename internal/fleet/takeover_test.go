package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
)

const (
	testMove       = 1500 * time.Millisecond
	testSeparation = 3 * time.Second
	testLease      = 2500 * time.Millisecond
	testHosts      = 60
)

// bubbleClock reads the virtual time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() time.Duration { return time.Since(c.start) }
func (c bubbleClock) Wall() time.Time    { return time.Now() }

// testCloud is a cloud whose hosts check no fencing tokens. It records every
// breach of the rule that the orders of two holders for one host are separated and
// that no lower token follows a higher one.
type testCloud struct {
	clock bubbleClock

	mu       sync.Mutex
	hosts    map[string]*testHost
	breaches []string
	orders   []testOrder
}

// testHost is a host and its last order.
type testHost struct {
	Host
	movedAt   time.Duration
	moves     int
	lastToken int64
	lastAt    time.Duration
}

type testOrder struct {
	token int64
	at    time.Duration
}

func newTestCloud(c bubbleClock) *testCloud {
	t := &testCloud{clock: c, hosts: map[string]*testHost{}}
	for i := range testHosts {
		name := fmt.Sprintf("m%d", i)
		h := &testHost{Host: Host{Name: name, Pool: standbyPool, State: HostUp, Capacity: testCapacity}, movedAt: -time.Hour, lastAt: -time.Hour}
		t.hosts[name] = h
	}
	return t
}

func (c *testCloud) Hosts(context.Context) ([]Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Host
	for i := range testHosts {
		out = append(out, c.current(c.hosts[fmt.Sprintf("m%d", i)]))
	}
	return out, nil
}

// current returns a host in its present state. The caller holds c.mu.
func (c *testCloud) current(h *testHost) Host {
	out := h.Host
	switch {
	case c.clock.Now() < h.movedAt+testMove:
		out.State, out.Worker = HostMoving, ""
	case h.Pool != standbyPool:
		out.Worker = fmt.Sprintf("%s-%d", h.Name, h.moves)
	}
	return out
}

func (c *testCloud) Move(_ context.Context, issuer Issuer, host, pool string) error {
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	h, now := c.hosts[host], c.clock.Now()
	if h.lastToken != 0 && issuer.Token != h.lastToken && (now < h.lastAt+testSeparation || issuer.Token < h.lastToken) {
		c.breaches = append(c.breaches, fmt.Sprintf("%s: token %d %v after token %d", host, issuer.Token, now-h.lastAt, h.lastToken))
	}
	h.lastToken, h.lastAt = issuer.Token, now
	c.orders = append(c.orders, testOrder{issuer.Token, now})
	if c.current(h).State != HostUp {
		return &RejectedError{Reason: "busy"}
	}
	h.Pool, h.movedAt = pool, now
	h.moves++
	return nil
}

func (c *testCloud) Maintain(context.Context, Issuer, string, int) error { return nil }

// firstOrder returns when the first order under a token came, or false if none did.
func (c *testCloud) firstOrder(token int64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.orders {
		if o.token == token {
			return o.at, true
		}
	}
	return 0, false
}

// testPools answers for the holders of two pools whose demand turns every second.
type testPools struct {
	cloud *testCloud
	// predecessor is reached by StepDown unless it is nil.
	predecessor *Controller
}

func (p *testPools) Holder(n duty.Name) (duty.Claim, bool) {
	return duty.Claim{Duty: n, Holder: duty.Member{Host: "pools", Incarnation: 1}, Token: 1}, true
}

func (p *testPools) Send(context.Context, string, peer.Method, any) error { return nil }

func (p *testPools) Call(ctx context.Context, _ string, _ peer.Method, req, resp any) error {
	time.Sleep(3 * time.Millisecond)
	switch q := req.(type) {
	case ReportRequest:
		*resp.(*ReportResponse) = ReportResponse{Held: true, Report: p.report(q.Pool)}
	case StepDownRequest:
		if p.predecessor == nil {
			<-ctx.Done()
			return eris.New("no answer")
		}
		ages, err := p.predecessor.StepDown(q)
		if err != nil {
			return err
		}
		*resp.(*StepDownResponse) = StepDownResponse{OrderAges: ages}
	}
	return nil
}

// report describes a pool that needs many hosts in every other second. Its workers
// are empty as soon as it needs few.
func (p *testPools) report(pool string) scheduler.Report {
	turn := int(p.cloud.clock.Now()/time.Second)%2 == 0
	needed := turn == (pool == "a")
	rep := scheduler.Report{CurrentDemand: job.Resources{CPU: 1}}
	if needed {
		rep.Waiting = capacityOf(testHosts / 5)
	}
	p.cloud.mu.Lock()
	defer p.cloud.mu.Unlock()
	for _, h := range p.cloud.hosts {
		if host := p.cloud.current(h); host.Pool == pool && host.Worker != "" {
			rep.Workers = append(rep.Workers, scheduler.WorkerLoad{ID: host.Worker, Host: host.Name, Capacity: testCapacity, Schedulable: needed, Cordoned: !needed, Empty: !needed})
		}
	}
	return rep
}

// testLeaseUntil is a lease that ends at a time.
type testLeaseUntil struct {
	clock bubbleClock
	end   time.Duration
}

func (l testLeaseUntil) Remaining() time.Duration { return max(0, l.end-l.clock.Now()) }

func newTestController(name string, cloud *testCloud, pools *testPools, log *logtest.Log) *Controller {
	p := &policy.Current{}
	p.Set(policy.New(1, nil, []policy.Pool{{Name: "a"}, {Name: "b"}, {Name: standbyPool, Standby: true}}, policy.Limits{}))
	return NewController(ControllerOptions{
		Holder: name,
		Cloud:  cloud,
		Pools:  &PoolClient{Self: duty.Member{Host: name}, Holders: pools, Caller: pools},
		Waves:  NewWaveSet(), Policy: p, Log: log.Client(name), Clock: cloud.clock, Params: DefaultParams,
		LeadTime: testMove, MinOutage: testMove, OrderSeparation: testSeparation, OrderRate: 1000,
		Logger: zerolog.Nop(), Scope: tally.NoopScope,
	})
}

// takeOverFleet runs a holder for some seconds, has another one take the duty over
// while the first may act until its lease expires, and returns how long no order
// could be sent and the breaches of the rule on orders.
func takeOverFleet(t *testing.T, phase time.Duration, reachable bool) (gap time.Duration, breaches []string) {
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleClock{time.Now()}
		cloud, log := newTestCloud(clock), logtest.New()
		oldPools, newPools := &testPools{cloud: cloud}, &testPools{cloud: cloud}
		before := newTestController("old", cloud, oldPools, log)
		after := newTestController("new", cloud, newPools, log)
		if reachable {
			newPools.predecessor = before
		}
		claimed := 6*time.Second + phase
		ctx, cancel := context.WithCancel(t.Context())
		var runs sync.WaitGroup
		runs.Go(func() { before.Run(ctx, 1, testLeaseUntil{clock, claimed + testLease}, Predecessor{}) })
		time.Sleep(claimed)
		runs.Go(func() {
			after.Run(ctx, 2, testLeaseUntil{clock, time.Hour}, Predecessor{Holder: "old", ID: "old#1", LeaseRemaining: testLease})
		})
		time.Sleep(15 * time.Second)
		cancel()
		runs.Wait()
		at, ordered := cloud.firstOrder(2)
		NewWithT(t).Expect(ordered).To(BeTrue(), "the new holder moves hosts")
		gap, breaches = at-claimed, cloud.breaches
	})
	return gap, breaches
}

// turnOfDemand is the longest time until the demand in these tests gives a reason
// for an order.
const turnOfDemand = 1500 * time.Millisecond

func TestFleetTakenOverAtOnceFromHolderThatStepsDown(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 130 * time.Millisecond {
		g := NewWithT(t)
		gap, breaches := takeOverFleet(t, phase, true)
		g.Expect(breaches).To(BeEmpty())
		g.Expect(gap).To(BeNumerically("<", turnOfDemand))
	}
}

func TestFleetTakenOverFromUnreachableHolderAfterItsLease(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 130 * time.Millisecond {
		g := NewWithT(t)
		gap, breaches := takeOverFleet(t, phase, false)
		g.Expect(breaches).To(BeEmpty())
		g.Expect(gap).To(BeNumerically(">=", testLease))
		g.Expect(gap).To(BeNumerically("<", testLease+stepDownTimeout+turnOfDemand))
	}
}

// Once an earlier holder has stepped down, it starts no session under its old token
// again.
func TestControllerThatSteppedDownSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		clock := bubbleClock{time.Now()}
		cloud := newTestCloud(clock)
		c := newTestController("old", cloud, &testPools{cloud: cloud}, logtest.New())
		ages, err := c.StepDown(StepDownRequest{Token: 2})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ages).To(BeEmpty())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		c.Run(ctx, 1, testLeaseUntil{clock, time.Hour}, Predecessor{})
		g.Expect(cloud.orders).To(BeEmpty())
	})
}
