package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
)

const (
	// tick is the time between two decisions, and quickTick after workers were
	// closed: idle ones are empty at once.
	tick      = 200 * time.Millisecond
	quickTick = 50 * time.Millisecond
	// listAge is how old the list of hosts may be.
	listAge = 600 * time.Millisecond
	// orderMargin is what must be left of the duty's lease for an order to
	// leave: its call has ended by then.
	orderMargin = 650 * time.Millisecond
	// refusedPause is how long a host is left alone after an order was refused.
	refusedPause = time.Second
	// ordersAtOnce bounds the orders under way.
	ordersAtOnce = 8
	// succeedSlack is added to the wait of a new holder for the orders of the
	// one before.
	succeedSlack = 200 * time.Millisecond
	// loadRetry is the wait after the progress of waves could not be read.
	loadRetry = 200 * time.Millisecond
	// handOverTimeout bounds the last append of a holder.
	handOverTimeout = 500 * time.Millisecond
)

// Lease tells how long orders may still be given.
type Lease interface {
	// Remaining returns how long without a further renewal, 0 for not at all.
	Remaining() time.Duration
}

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	Holder string
	Cloud  Cloud
	Pools  *Pools
	Waves  *Waves
	Policy *policy.Current
	Log    logstore.Log
	Clock  clock.Clock
	Rates  Rates
	// Lead is the time that a moved host takes to work.
	Lead time.Duration
	// HolderLease is how long the orders of two holders must be apart.
	HolderLease time.Duration
	// Status returns the entry that tells operators the state of a wave, and
	// the partition it belongs to.
	Status func(wave int, completed bool) (logstore.Partition, logstore.Entry)
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Controller carries out decisions while this daemon holds the fleet duty.
type Controller struct {
	opt     ControllerOptions
	metrics metrics
}

// NewController returns a controller.
func NewController(o ControllerOptions) *Controller {
	return &Controller{opt: o, metrics: newMetrics(o.Scope)}
}

// session is what one holder knows while it holds the duty.
type session struct {
	*Controller
	order Order
	lease Lease

	mu    sync.Mutex
	hosts *hosts
	// pending are the orders whose outcome is not known.
	pending map[string]Action
	// underway names the hosts with a call on the way.
	underway map[string]bool
	// paused are hosts with a refused order, and until when.
	paused map[string]time.Duration
	states map[int]*waveState
	// ordered is when the last order for a host was answered.
	ordered map[string]time.Duration
	// surplusSince is since when a pool has had more hosts than it needs.
	surplusSince map[string]time.Duration
	// busySince is since when callers have handed in work, 0 for not yet.
	busySince time.Duration
	// needs are those that were logged last.
	needs map[string]Need
	// cloudDown is set while the cloud does not answer.
	cloudDown bool
	slots     chan struct{}
	// orders are those under way.
	orders sync.WaitGroup
}

// Predecessor tells how the duty came to this daemon.
type Predecessor struct {
	// Holder is the host that held the duty before, or "" for none or this one.
	Holder string
	// Released is set when it gave the duty up.
	Released bool
	// ActsFor is how long it may still give orders.
	ActsFor time.Duration
}

// Run decides and orders until ctx ends. It returns once no order is under way,
// after it has told the next holder which hosts had orders lately.
func (c *Controller) Run(ctx context.Context, token int64, lease Lease, before Predecessor) {
	s := &session{
		Controller:   c,
		order:        Order{Holder: c.opt.Holder, Token: token},
		lease:        lease,
		hosts:        newHosts(),
		pending:      map[string]Action{},
		underway:     map[string]bool{},
		paused:       map[string]time.Duration{},
		ordered:      map[string]time.Duration{},
		surplusSince: map[string]time.Duration{},
		needs:        map[string]Need{},
		slots:        make(chan struct{}, ordersAtOnce),
	}
	s.takeOver(ctx, before)
	for ctx.Err() == nil {
		wait := tick
		if s.step(ctx) {
			wait = quickTick
		}
		clock.Sleep(ctx, wait)
	}
	s.orders.Wait()
	s.handOver()
}

// takeOver reads how far the holder before came, and waits until its last
// orders are long over: hosts check no tokens. After a planned hand-over only
// the hosts that had orders lately have to wait.
func (s *session) takeOver(ctx context.Context, before Predecessor) {
	var recent *handover
	for ctx.Err() == nil {
		states, last, err := loadProgress(ctx, s.opt.Log)
		if err == nil {
			s.states, recent = states, last
			break
		}
		clock.Sleep(ctx, loadRetry)
	}
	if before.Holder == "" {
		return
	}
	if !before.Released || recent == nil || recent.Holder != before.Holder {
		clock.Sleep(ctx, before.ActsFor+s.opt.HolderLease+succeedSlack)
		return
	}
	now := s.opt.Clock.Now()
	for m, age := range recent.Ages {
		s.paused[m] = now + s.opt.HolderLease + succeedSlack - age
	}
}

// handOver writes down which hosts had orders lately.
func (s *session) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	now := s.opt.Clock.Now()
	h := handover{Holder: s.order.Holder, Ages: map[string]time.Duration{}}
	s.mu.Lock()
	for m, at := range s.ordered {
		if age := now - at; age < s.opt.HolderLease {
			h.Ages[m] = age
		}
	}
	for m := range s.pending {
		h.Ages[m] = 0
	}
	s.mu.Unlock()
	e, err := handoverEntry(h)
	if err == nil {
		_, err = s.opt.Log.Append(ctx, wavePartition, []logstore.Entry{e}, logstore.Condition{})
	}
	if err != nil {
		s.opt.Logger.Info().Err(err).Msg("recent orders not written, the next holder has to wait")
	}
}

// step makes one decision and carries it out. It reports whether the next one
// should follow soon.
func (s *session) step(ctx context.Context) (soon bool) {
	if s.lease.Remaining() < orderMargin || s.opt.Policy.Get() == nil {
		return false
	}
	if !s.refresh(ctx) {
		return false
	}
	v := s.view(ctx)
	s.report(ctx, v)
	s.retry(ctx)
	actions, needs := Decide(v, s.opt.Rates)
	s.logNeeds(v, needs)
	for _, a := range actions {
		if s.carryOut(ctx, a) {
			soon = true
		}
	}
	return soon
}

// logNeeds writes down what the needs of pools rest on when they change.
func (s *session) logNeeds(v View, needs []Need) {
	reports := map[string]scheduler.Report{}
	for _, p := range v.Pools {
		reports[p.Name] = p.Report
	}
	for _, n := range needs {
		if s.needs[n.Pool] == n {
			continue
		}
		s.needs[n.Pool] = n
		r := reports[n.Pool]
		s.opt.Logger.Info().Str("pool", n.Pool).Int("hosts", n.Have).Int("closing", n.Closing).Int("wanted", n.Want).
			Int("used_cpu", r.Used.CPU).Int("waiting_cpu", r.Waiting.CPU).Int("late_cpu", r.Late.CPU).Int("long_cpu", r.Long.CPU).
			Int("rate_cpu", r.Rate.CPU).Int("expected_cpu", r.Expected.CPU).
			Int("used_mb", r.Used.MemoryMB).Int("waiting_mb", r.Waiting.MemoryMB).Int("expected_mb", r.Expected.MemoryMB).
			Int("stuck", r.Stuck).Msg("need of a pool changed")
	}
}
