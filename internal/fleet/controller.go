package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
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
	Policy *policy.InForce
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
		sleep(ctx, wait)
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
		sleep(ctx, loadRetry)
	}
	if before.Holder == "" {
		return
	}
	if !before.Released || recent == nil || recent.Holder != before.Holder {
		sleep(ctx, before.ActsFor+s.opt.HolderLease+succeedSlack)
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

// noteCloud logs when the cloud no longer answers, and when it does again.
func (s *session) noteCloud(err error) {
	switch down := err != nil; {
	case down && !s.cloudDown:
		s.opt.Logger.Warn().Err(err).Msg("cloud unreachable")
	case !down && s.cloudDown:
		s.opt.Logger.Info().Msg("cloud reachable")
	}
	s.cloudDown = err != nil
}

// refresh reads the list of hosts when it is too old.
func (s *session) refresh(ctx context.Context) bool {
	now := s.opt.Clock.Now()
	s.mu.Lock()
	fresh := s.hosts.fresh(now)
	s.mu.Unlock()
	if fresh {
		return true
	}
	list, err := s.opt.Cloud.Machines(ctx)
	s.metrics.list(err)
	s.noteCloud(err)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.replace(list, now)
	return true
}

// view gathers what a decision rests on.
func (s *session) view(ctx context.Context) View {
	pools := s.poolViews(ctx)
	now := s.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := View{
		Machines: slices.Clone(s.hosts.list),
		Pools:    pools,
		Pending:  map[string]bool{},
		Surplus:  map[string]time.Duration{},
	}
	for m := range s.pending {
		v.Pending[m] = true
	}
	for m := range s.underway {
		v.Pending[m] = true
	}
	for m, until := range s.paused {
		if now < until {
			v.Pending[m] = true
		} else {
			delete(s.paused, m)
		}
	}
	for _, w := range s.opt.Waves.all() {
		v.Waves = append(v.Waves, s.waveView(w, now))
	}
	s.noteSurplus(&v, now)
	s.noteBusy(&v, now)
	return v
}

// poolViews asks the holders of all pools.
func (s *session) poolViews(ctx context.Context) []PoolView {
	p := s.opt.Policy.Get()
	var out []PoolView
	for name, pool := range p.Pools {
		out = append(out, PoolView{Name: name, Standby: pool.Standby})
	}
	slices.SortFunc(out, func(a, b PoolView) int { return compareNames(a.Name, b.Name) })
	var wg sync.WaitGroup
	for i := range out {
		if out[i].Standby {
			continue
		}
		wg.Go(func() {
			rep, err := s.opt.Pools.Report(ctx, out[i].Name, s.opt.Lead)
			out[i].Known, out[i].Report = err == nil, rep
		})
	}
	wg.Wait()
	return out
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (s *session) waveView(w wanted, now time.Duration) WaveView {
	st := s.states[w.Number]
	if st == nil {
		st = newWaveState()
		s.states[w.Number] = st
		s.opt.Logger.Info().Int("wave", w.Number).Int("hosts", len(w.Machines)).Int("at_once", w.MaxDown).Dur("duration", w.Duration).Msg("wave begins")
	}
	begun := make(map[string]bool, len(st.begun))
	for m := range st.begun {
		begun[m] = true
	}
	return WaveView{Wave: w.Wave, Left: w.seen + w.Duration - now, Begun: begun, Completed: st.completed}
}

// noteSurplus keeps since when pools have had more hosts than they need.
func (s *session) noteSurplus(v *View, now time.Duration) {
	over := surplus(*v, s.opt.Rates)
	for pool := range s.surplusSince {
		if !over[pool] {
			delete(s.surplusSince, pool)
		}
	}
	for pool := range over {
		since, ok := s.surplusSince[pool]
		if !ok {
			since = now
			s.surplusSince[pool] = now
		}
		v.Surplus[pool] = now - since
	}
}

// noteBusy keeps since when callers have handed in work.
func (s *session) noteBusy(v *View, now time.Duration) {
	for _, p := range v.Pools {
		if s.busySince == 0 && p.Report.Rate.CPU > 0 {
			s.busySince = now
		}
	}
	if s.busySince > 0 {
		v.Busy = now - s.busySince
	}
}

// report tells the log and the operators how far the waves have come.
func (s *session) report(ctx context.Context, v View) {
	for _, w := range v.Waves {
		s.mu.Lock()
		st := s.states[w.Number]
		if !st.completed && over(w, v.Machines) {
			st.completed = true
			s.opt.Logger.Info().Int("wave", w.Number).Dur("left", w.Left).Msg("wave completed")
		}
		p := progress{Number: w.Number, Completed: st.completed}
		for m := range st.begun {
			p.Begun = append(p.Begun, m)
		}
		state := "running"
		if st.completed {
			state = "completed"
		}
		changed := len(p.Begun) != st.logged || state != st.reported
		reported := st.reported
		s.mu.Unlock()
		if changed && s.write(ctx, p, state != reported) {
			s.mu.Lock()
			st.logged, st.reported = len(p.Begun), state
			s.mu.Unlock()
		}
	}
}

// over reports whether every host of a wave that is still there has begun.
func over(w WaveView, machines []Machine) bool {
	for _, m := range machines {
		if slices.Contains(w.Machines, m.Name) && !w.Begun[m.Name] {
			return false
		}
	}
	return true
}

// write logs a wave's progress, and then tells operators its state.
func (s *session) write(ctx context.Context, p progress, tell bool) bool {
	e, err := progressEntry(p)
	if err == nil {
		_, err = s.opt.Log.Append(ctx, wavePartition, []logstore.Entry{e}, logstore.Condition{})
	}
	if err == nil && tell {
		part, status := s.opt.Status(p.Number, p.Completed)
		_, err = s.opt.Log.Append(ctx, part, []logstore.Entry{status}, logstore.Condition{})
	}
	if err != nil {
		s.opt.Logger.Info().Err(err).Int("wave", p.Number).Msg("progress of the wave not written")
	}
	return err == nil
}

// retry repeats the orders whose outcome is unknown: what was carried out
// before is not done again.
func (s *session) retry(ctx context.Context) {
	s.mu.Lock()
	var again []Action
	for m, a := range s.pending {
		if !s.underway[m] {
			again = append(again, a)
		}
	}
	s.mu.Unlock()
	for _, a := range again {
		s.send(ctx, a)
	}
}

// carryOut does what was decided. It reports whether a worker was closed.
func (s *session) carryOut(ctx context.Context, a Action) bool {
	switch a.Kind {
	case Close, Open:
		o := CloseOrder{Pool: a.Pool, Token: s.order.Token, Worker: a.Worker, Open: a.Kind == Open, Reason: a.Reason, Evacuate: a.Evacuate}
		err := s.opt.Pools.Close(ctx, o)
		s.metrics.closed(a.Kind, err)
		if err != nil {
			s.opt.Logger.Info().Err(err).Str("worker", a.Worker).Str("pool", a.Pool).Str("reason", a.Reason).Msg("worker not closed")
		}
		return err == nil && a.Kind == Close
	default:
		s.send(ctx, a)
		return false
	}
}

// send orders a move or a maintenance in the background.
func (s *session) send(ctx context.Context, a Action) {
	s.mu.Lock()
	if s.underway[a.Machine] {
		s.mu.Unlock()
		return
	}
	s.underway[a.Machine] = true
	s.mu.Unlock()
	s.orders.Go(func() {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
		err := s.call(ctx, a)
		s.answered(a, err)
	})
}

// errLeaseShort means that too little is left of the duty's lease.
var errLeaseShort = verdict.Refuse(verdict.ReasonNotReady, "too little is left of the duty's lease")

func (s *session) call(ctx context.Context, a Action) error {
	if ctx.Err() != nil || s.lease.Remaining() < orderMargin {
		return errLeaseShort
	}
	if a.Kind == Maintain {
		return s.opt.Cloud.Upkeep(ctx, s.order, a.Machine, a.Wave)
	}
	return s.opt.Cloud.Move(ctx, s.order, a.Machine, a.To)
}

// answered notes what became of an order.
func (s *session) answered(a Action, err error) {
	s.metrics.ordered(a.Kind, err)
	now := s.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.underway, a.Machine)
	if !errors.Is(err, errLeaseShort) {
		s.ordered[a.Machine] = now
	}
	line := s.opt.Logger.Info()
	if err != nil {
		line = s.opt.Logger.Warn().Err(err)
	}
	line.Str("machine", a.Machine).Str("worker", a.Worker).Str("pool", a.Pool).Str("to", a.To).Int("wave", a.Wave).Str("reason", a.Reason).Msg(orderNames[a.Kind])
	var refusal *Refusal
	switch {
	case err == nil:
		delete(s.pending, a.Machine)
		s.done(a, now)
	case errors.As(err, &refusal) || verdict.Of(err) == verdict.NotRun:
		if _, doubt := s.pending[a.Machine]; !doubt || errors.As(err, &refusal) {
			delete(s.pending, a.Machine)
			s.paused[a.Machine] = now + refusedPause
		}
	default:
		s.pending[a.Machine] = a
	}
	s.hosts.stale = true
}

var orderNames = map[Kind]string{Move: "host moved", Maintain: "host maintained"}

// done notes an order that was carried out, ahead of the next list.
func (s *session) done(a Action, now time.Duration) {
	s.hosts.change(a.Machine, now, func(m *Machine) {
		m.Worker = ""
		if a.Kind == Maintain {
			m.State = Upkeep
			return
		}
		m.State = Moving
		m.Pool = a.To
	})
	if st := s.states[a.Wave]; a.Kind == Maintain && st != nil {
		st.begun[a.Machine] = true
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
