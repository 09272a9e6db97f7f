package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
)

const (
	// decisionInterval is the time between two decisions. shortDecisionInterval
	// is used after workers were cordoned, since idle workers are empty at once.
	decisionInterval      = 200 * time.Millisecond
	shortDecisionInterval = 50 * time.Millisecond
	// maxListAge is the age at which the list of hosts is requested again.
	maxListAge = 600 * time.Millisecond
	// minOrderLease is the remaining lease of the duty below which no order is
	// sent, so that every call has ended before the lease expires.
	minOrderLease = 650 * time.Millisecond
	// rejectedPause is how long a host gets no orders after one was rejected or
	// not carried out.
	rejectedPause = time.Second
	// maxConcurrentOrders bounds the orders in flight.
	maxConcurrentOrders = 8
	// orderBurst is for how long orders may be saved up: the cloud counts them by
	// the second.
	orderBurst = 100 * time.Millisecond
	// takeoverMargin is added to the time that a new holder waits for the orders
	// of its predecessor to end.
	takeoverMargin = 200 * time.Millisecond
	// loadRetryDelay is the delay after a failed read of the waves' progress.
	loadRetryDelay = 200 * time.Millisecond
	// handoverTimeout bounds the append of the handover record.
	handoverTimeout = 500 * time.Millisecond
)

// Lease is this daemon's lease on the fleet duty.
type Lease interface {
	// Remaining returns how long orders may be sent if the lease is not renewed
	// again, or 0 if none may be sent.
	Remaining() time.Duration
}

// ControllerOptions configures a Controller.
type ControllerOptions struct {
	// Holder is this daemon's host.
	Holder string
	Cloud  Cloud
	Pools  *PoolClient
	Waves  *WaveSet
	Policy *policy.Current
	Log    logstore.Log
	Clock  clock.Clock
	Params Params
	// LeadTime is how long a moved host takes until it runs tasks.
	LeadTime time.Duration
	// OrderSeparation is the minimum time between the orders of two holders for
	// one host.
	OrderSeparation time.Duration
	// OrderRate is how many orders a second the cloud takes.
	OrderRate float64
	// WaveStatus returns the status entry of a wave for operators and the
	// partition to append it to.
	WaveStatus func(wave int, completed bool) (logstore.Partition, logstore.Entry)
	Logger     zerolog.Logger
	Scope      tally.Scope
}

// Controller makes decisions and carries them out while this daemon holds the
// fleet duty.
type Controller struct {
	opt     ControllerOptions
	metrics metrics
}

// NewController returns a controller. Run starts it.
func NewController(o ControllerOptions) *Controller {
	return &Controller{opt: o, metrics: newMetrics(o.Scope)}
}

// session is the state of one period in which this daemon holds the duty.
type session struct {
	*Controller
	issuer Issuer
	lease  Lease

	mu       sync.Mutex
	hostList *hostList
	// pending holds the orders whose outcome is unknown, by host.
	pending map[string]Action
	// inFlight holds the hosts with an order in flight.
	inFlight map[string]bool
	// pausedUntil is when hosts that get no orders for now may get them again.
	pausedUntil map[string]time.Duration
	waveStates  map[int]*waveState
	// lastOrdered is when the last order for each host ended.
	lastOrdered map[string]time.Duration
	// surplusSince is when each pool began to have more hosts than it needs.
	surplusSince map[string]time.Duration
	// busySince is when callers began to submit work, or 0 if they have not.
	busySince time.Duration
	// loggedDemands holds the demand last logged for each pool.
	loggedDemands map[string]Demand
	// cloudDown is set while the list of hosts cannot be read from the cloud.
	cloudDown bool
	// orderSlots limits the concurrent orders, orderLimiter their rate, and
	// orderGroup waits for them.
	orderSlots   chan struct{}
	orderLimiter *rate.Limiter
	orderGroup   sync.WaitGroup
}

// Predecessor describes the previous holder of the duty.
type Predecessor struct {
	// Holder is the host of the previous holder, or "" if there was none or it
	// was this daemon.
	Holder string
	// Released is set if it released the duty.
	Released bool
	// LeaseRemaining is how long its lease may still last. Until then it may send
	// orders.
	LeaseRemaining time.Duration
}

// Run makes decisions and sends orders until ctx ends. Before it returns, it
// waits for the orders in flight and writes a handover record that tells the
// next holder which hosts had recent orders.
func (c *Controller) Run(ctx context.Context, token int64, lease Lease, predecessor Predecessor) {
	s := &session{
		Controller:    c,
		issuer:        Issuer{Holder: c.opt.Holder, Token: token},
		lease:         lease,
		hostList:      newHostList(),
		pending:       map[string]Action{},
		inFlight:      map[string]bool{},
		pausedUntil:   map[string]time.Duration{},
		lastOrdered:   map[string]time.Duration{},
		surplusSince:  map[string]time.Duration{},
		loggedDemands: map[string]Demand{},
		orderSlots:    make(chan struct{}, maxConcurrentOrders),
		orderLimiter:  rate.NewLimiter(rate.Limit(c.opt.OrderRate), max(1, int(c.opt.OrderRate*orderBurst.Seconds()))),
	}
	s.takeOver(ctx, predecessor)
	for ctx.Err() == nil {
		wait := decisionInterval
		if s.decideAndOrder(ctx) {
			wait = shortDecisionInterval
		}
		clock.Sleep(ctx, wait)
	}
	s.orderGroup.Wait()
	s.writeHandover()
}

// takeOver loads the progress of the waves and makes sure that no order of the
// predecessor is still being carried out: hosts do not check fencing tokens.
// After a planned handover only the hosts with recent orders are paused;
// otherwise all orders wait.
func (s *session) takeOver(ctx context.Context, predecessor Predecessor) {
	var recent *handoverRecord
	for ctx.Err() == nil {
		states, last, err := loadProgress(ctx, s.opt.Log)
		if err == nil {
			s.waveStates, recent = states, last
			break
		}
		clock.Sleep(ctx, loadRetryDelay)
	}
	if predecessor.Holder == "" {
		return
	}
	if !predecessor.Released || recent == nil || recent.Holder != predecessor.Holder {
		clock.Sleep(ctx, predecessor.LeaseRemaining+s.opt.OrderSeparation+takeoverMargin)
		return
	}
	now := s.opt.Clock.Now()
	for host, age := range recent.OrderAges {
		s.pausedUntil[host] = now + s.opt.OrderSeparation + takeoverMargin - age
	}
}

// writeHandover writes a record of the hosts with recent orders for the next
// holder.
func (s *session) writeHandover() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	now := s.opt.Clock.Now()
	h := handoverRecord{Holder: s.issuer.Holder, OrderAges: map[string]time.Duration{}}
	s.mu.Lock()
	for host, at := range s.lastOrdered {
		if age := now - at; age < s.opt.OrderSeparation {
			h.OrderAges[host] = age
		}
	}
	for host := range s.pending {
		h.OrderAges[host] = 0
	}
	s.mu.Unlock()
	e, err := handoverEntry(h)
	if err == nil {
		_, err = s.opt.Log.Append(ctx, fleetPartition, []logstore.Entry{e}, logstore.Condition{})
	}
	if err != nil {
		s.opt.Logger.Info().Err(err).Msg("failed to write the handover record, the next holder has to wait before it sends orders")
	}
}

// decideAndOrder makes one decision and carries it out. It reports whether the
// next decision should follow after the short interval.
func (s *session) decideAndOrder(ctx context.Context) (soon bool) {
	if s.lease.Remaining() < minOrderLease || s.opt.Policy.Get() == nil {
		return false
	}
	if !s.refreshHosts(ctx) {
		return false
	}
	v := s.buildView(ctx)
	s.reportWaves(ctx, v)
	s.retryPending(ctx)
	d := Decide(v, s.opt.Params)
	s.trackSurplus(d.Surplus)
	s.logDemands(v, d.Demands)
	return s.execute(ctx, d.Actions)
}

// logDemands logs each pool's demand when it changes, with the figures that it
// was computed from.
func (s *session) logDemands(v View, demands []Demand) {
	reports := map[string]scheduler.Report{}
	for _, p := range v.Pools {
		reports[p.Name] = p.Report
	}
	for _, d := range demands {
		if s.loggedDemands[d.Pool] == d {
			continue
		}
		s.loggedDemands[d.Pool] = d
		r := reports[d.Pool]
		s.opt.Logger.Info().Str("pool", d.Pool).Int("hosts", d.Hosts).Int("cordoned", d.Cordoned).Int("wanted", d.Required).
			Int("used_cpu", r.Used.CPU).Int("waiting_cpu", r.Waiting.CPU).Int("late_cpu", r.Late.CPU).Int("long_cpu", r.LongRunning.CPU).
			Int("rate_cpu", r.CurrentDemand.CPU).Int("expected_cpu", r.ExpectedDemand.CPU).
			Int("used_mb", r.Used.MemoryMB).Int("waiting_mb", r.Waiting.MemoryMB).Int("expected_mb", r.ExpectedDemand.MemoryMB).
			Int("stalled", r.HostsNeeded).Msg("pool demand changed")
	}
}
