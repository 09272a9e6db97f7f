package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/telemetry"
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
	// watchInterval is the time between two reads of the list of hosts while a
	// predecessor may send orders.
	watchInterval = 400 * time.Millisecond
	// listRetryDelay is the delay after a failed read of the list of hosts while
	// the duty is taken over.
	listRetryDelay = 100 * time.Millisecond
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
	// MinOutage is the shortest time for which an order takes a host out of
	// service.
	MinOutage time.Duration
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

	mu sync.Mutex
	// highestToken is the highest fencing token known here. No order is sent
	// under a lower one.
	highestToken int64
	// current is the session that runs, with its end and how to bring it about.
	current *session
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
	// lastOrdered is when the last order for each host ended. For an order of an
	// earlier holder it is when the host was first seen out of service.
	lastOrdered map[string]time.Duration
	// notServingSince is when each host that is up was first seen with a worker
	// that takes no tasks, or without one.
	notServingSince map[string]time.Duration
	// surplusSince is when each pool began to have more hosts than it needs.
	surplusSince map[string]time.Duration
	// busySince is when callers began to submit work, or 0 if they have not.
	busySince time.Duration
	// loggedDemands holds the demand last logged for each pool.
	loggedDemands map[string]Demand
	// cloudOutage reports when the list of hosts cannot be read from the cloud.
	cloudOutage *telemetry.Outage
	// orderSlots limits the concurrent orders, orderLimiter their rate, and
	// orderGroup waits for them.
	orderSlots   chan struct{}
	orderLimiter *rate.Limiter
	orderGroup   sync.WaitGroup
	// takenOver is set once the orders of earlier holders are known.
	takenOver bool
	// cancel ends the session, and ended is closed once no order is in progress.
	cancel context.CancelFunc
	ended  chan struct{}
}

// Predecessor describes the previous holder of the duty.
type Predecessor struct {
	// Holder is the host of the previous holder, or "" if there was none or it
	// was this daemon. ID identifies its process.
	Holder string
	ID     string
	// Token is the token under which it held the duty, or 0 if it is not known.
	Token int64
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
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
		cloudOutage:   telemetry.NewOutage(c.opt.Logger, "cloud unreachable", "cloud reachable again"),
		orderSlots:    make(chan struct{}, maxConcurrentOrders),
		orderLimiter:  rate.NewLimiter(rate.Limit(c.opt.OrderRate), max(1, int(c.opt.OrderRate*orderBurst.Seconds()))),

		notServingSince: map[string]time.Duration{},
	}
	s.cancel, s.ended = cancel, make(chan struct{})
	if !c.begin(s) {
		return
	}
	s.takeOver(ctx, predecessor)
	s.takenOver = ctx.Err() == nil
	for ctx.Err() == nil {
		wait := decisionInterval
		if s.decideAndOrder(ctx) {
			wait = shortDecisionInterval
		}
		clock.Sleep(ctx, wait)
	}
	s.orderGroup.Wait()
	close(s.ended)
	if s.takenOver {
		s.writeHandover()
	}
}

// begin makes a session the current one, unless a higher token is known.
func (c *Controller) begin(s *session) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.issuer.Token < c.highestToken {
		return false
	}
	c.highestToken = s.issuer.Token
	c.current = s
	return true
}

// StepDown ends the current session if its token is lower than that of a new
// holder, and waits until none of its orders is in progress. It returns the ages of
// its recent orders, or an error if it does not know those of the period in question. No order
// is sent under a lower token from then on.
func (c *Controller) StepDown(q StepDownRequest) (map[string]time.Duration, error) {
	c.mu.Lock()
	c.highestToken = max(c.highestToken, q.Token)
	s := c.current
	c.mu.Unlock()
	if q.Held != 0 && (s == nil || s.issuer.Token != q.Held) {
		return nil, errNotTakenOver
	}
	if s == nil || s.issuer.Token >= q.Token {
		return nil, nil
	}
	s.opt.Logger.Info().Int64("token", s.issuer.Token).Int64("newer_token", q.Token).Msg("a newer holder of the fleet duty is known, this daemon stops moving hosts")
	s.cancel()
	<-s.ended
	if !s.takenOver {
		return nil, errNotTakenOver
	}
	return s.orderAges(), nil
}

// errNotTakenOver means that a session ended before it knew the orders of earlier holders.
var errNotTakenOver = eris.New("the orders of earlier holders are not known")

// takeOver loads the progress of the waves and makes sure that no order of the
// predecessor is still being carried out: hosts do not check fencing tokens.
// Only the hosts with recent orders are paused, if the predecessor has left a
// record of them or answers.
func (s *session) takeOver(ctx context.Context, predecessor Predecessor) {
	claimed := s.opt.Clock.Now()
	var recent *handoverRecord
	log := logstore.Reported(s.opt.Log, telemetry.NewOutage(s.opt.Logger, "progress of waves unreadable", "progress of waves readable again"))
	for ctx.Err() == nil {
		states, last, err := loadProgress(ctx, log)
		if err == nil {
			s.waveStates, recent = states, last
			break
		}
		clock.Sleep(ctx, loadRetryDelay)
	}
	if predecessor.Holder == "" {
		return
	}
	if predecessor.Released && recent != nil && recent.Holder == predecessor.Holder && recent.Token == predecessor.Token {
		s.pauseOrdered(recent.OrderAges)
		return
	}
	ages, err := s.opt.Pools.StepDown(ctx, predecessor.ID, StepDownRequest{Token: s.issuer.Token, Held: predecessor.Token})
	if err == nil {
		s.opt.Logger.Info().Str("holder", predecessor.Holder).Int("recent_orders", len(ages)).Msg("the previous holder of the fleet duty has stopped")
		s.pauseOrdered(ages)
		return
	}
	s.opt.Logger.Info().Err(err).Str("holder", predecessor.Holder).Dur("lease", predecessor.LeaseRemaining).Msg("the previous holder of the fleet duty does not answer, waiting for its lease to expire")
	s.awaitPredecessor(ctx, claimed+predecessor.LeaseRemaining)
}

// pauseOrdered pauses the hosts with recent orders of the predecessor, by the ages
// of these orders.
func (s *session) pauseOrdered(ages map[string]time.Duration) {
	now := s.opt.Clock.Now()
	for host, age := range ages {
		s.pausedUntil[host] = now + s.opt.OrderSeparation + takeoverMargin - age
	}
}

// awaitPredecessor waits until a predecessor that does not answer can send no
// further order, and pauses the hosts that may have had a recent one. leaseEnd is
// when the predecessor's lease has expired.
func (s *session) awaitPredecessor(ctx context.Context, leaseEnd time.Duration) {
	start := s.opt.Clock.Now()
	// A host that is up with the same worker in two lists had no order between
	// them, nor in the last MinOutage before the first.
	end := max(leaseEnd, start+s.opt.OrderSeparation-s.opt.MinOutage) + takeoverMargin
	list := s.listHosts(ctx)
	changedAt := map[string]time.Duration{}
	for requested := start; requested < end && ctx.Err() == nil; {
		clock.Sleep(ctx, min(watchInterval, end-requested))
		requested = s.opt.Clock.Now()
		next := s.listHosts(ctx)
		noteChanges(changedAt, list, next, s.opt.Clock.Now())
		list = next
	}
	for host, at := range changedAt {
		s.pausedUntil[host] = at + s.opt.OrderSeparation + takeoverMargin
	}
	s.opt.Logger.Info().Int("hosts", len(list)).Int("changed", len(changedAt)).Msg("the lease of the previous holder of the fleet duty has expired")
}

// noteChanges records in changedAt the time now for each host that is not up with
// the same worker in two lists.
func noteChanges(changedAt map[string]time.Duration, before, after []Host, now time.Duration) {
	old := make(map[string]Host, len(before))
	for _, h := range before {
		old[h.Name] = h
	}
	for _, h := range after {
		b, listed := old[h.Name]
		if !listed || h.State != HostUp || b.State != HostUp || b.Pool != h.Pool || b.Worker != h.Worker {
			changedAt[h.Name] = now
		}
	}
}

// listHosts reads the list of hosts, and retries until it succeeds or ctx ends.
func (s *session) listHosts(ctx context.Context) []Host {
	for {
		list, err := s.opt.Cloud.Hosts(ctx)
		s.metrics.countList(err)
		s.trackCloud(err)
		if err == nil || !clock.Sleep(ctx, listRetryDelay) {
			return list
		}
	}
}

// writeHandover writes a record of the hosts with recent orders for the next
// holder.
func (s *session) writeHandover() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	e, err := handoverEntry(handoverRecord{Holder: s.issuer.Holder, Token: s.issuer.Token, OrderAges: s.orderAges()})
	if err == nil {
		_, err = s.opt.Log.Append(ctx, fleetPartition, []logstore.Entry{e}, logstore.Condition{})
	}
	if err != nil {
		s.opt.Logger.Info().Err(err).Msg("failed to write the handover record, the next holder has to wait before it sends orders")
	}
}

// orderAges returns how long ago the last order for each host ended, for hosts
// with a recent order. It is 0 if the outcome of the order is unknown.
func (s *session) orderAges() map[string]time.Duration {
	now := s.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]time.Duration{}
	for host, at := range s.lastOrdered {
		if age := now - at; age < s.opt.OrderSeparation {
			out[host] = age
		}
	}
	for host := range s.pending {
		out[host] = 0
	}
	for host, until := range s.pausedUntil {
		// The order of an earlier holder.
		age := s.opt.OrderSeparation + takeoverMargin - (until - now)
		if other, known := out[host]; until > now && (!known || age < other) {
			out[host] = age
		}
	}
	return out
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
	s.retryPending(ctx, v)
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
