package membership

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/option"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
)

// Defaults of DetectorOptions.
const (
	defaultInterval       = 500 * time.Millisecond
	defaultCrossInterval  = time.Second
	defaultFailAfter      = 3 * time.Second
	defaultPauseThreshold = time.Second
	tickInterval          = 100 * time.Millisecond
)

// DetectorOptions configure a Detector.
type DetectorOptions struct {
	Self   Member
	Caller peer.Caller
	// LogConfirmed returns the last moment for which the folded state is
	// known to have held every record of the log, or the zero time.
	LogConfirmed func() time.Time
	// OnPause is called when the process finds that it was paused, OnResume
	// when it has caught up. They must not block.
	OnPause  func(gap time.Duration)
	OnResume func()
	// The intervals are 0 for their defaults: 500 ms between heartbeats in
	// the zone, 1 s to another zone, 3 s until an unheard daemon counts as
	// failed, 1 s between ticks before the process counts as paused.
	Interval, CrossInterval, FailAfter, PauseThreshold time.Duration

	Logger zerolog.Logger
	Scope  tally.Scope
}

func (o *DetectorOptions) setDefaults() {
	option.Default(&o.Interval, defaultInterval)
	option.Default(&o.CrossInterval, defaultCrossInterval)
	option.Default(&o.FailAfter, defaultFailAfter)
	option.Default(&o.PauseThreshold, defaultPauseThreshold)
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.LogConfirmed == nil {
		o.LogConfirmed = func() time.Time { return time.Time{} }
	}
	if o.OnPause == nil {
		o.OnPause = func(time.Duration) {}
	}
	if o.OnResume == nil {
		o.OnResume = func() {}
	}
}

// Detector exchanges heartbeats and tells which daemons are live.
type Detector struct {
	opt     DetectorOptions
	metrics *detectorMetrics
	calls   sync.WaitGroup
	roster  atomic.Pointer[roster]

	mu       sync.Mutex
	view     *View
	pause    pauseWatch
	state    *State
	offset   uint64
	draining bool
	digests  []publisher
	busy     map[string]bool
}

// publisher makes the digest of a topic for each heartbeat.
type publisher struct {
	topic string
	data  func() []byte
}

// NewDetector returns a detector that sends nothing until Run.
func NewDetector(opt DetectorOptions) *Detector {
	opt.setDefaults()
	s := NewState()
	d := &Detector{
		opt:     opt,
		metrics: newDetectorMetrics(opt.Scope),
		pause:   pauseWatch{threshold: opt.PauseThreshold},
		state:   &s,
		busy:    map[string]bool{},
	}
	d.view = NewView(ViewOptions{
		Self:          opt.Self,
		Interval:      opt.Interval,
		CrossInterval: opt.CrossInterval,
		FailAfter:     opt.FailAfter,
	})
	d.refresh(time.Now())
	return d
}

// Register adds the detector's handlers.
func (d *Detector) Register(m peer.Mux) { m.Handle(MethodHeartbeat, d.answer) }

// Publish lets a slice pass a small value on with every heartbeat. The topic
// should be one letter. It must be called before Run.
func (d *Detector) Publish(topic string, data func() []byte) {
	d.digests = append(d.digests, publisher{topic: topic, data: data})
}

// SetState shows the detector a newly folded membership and the offset up to
// which the control stream is folded.
func (d *Detector) SetState(s *State, offset uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.offset = offset
	if s.Epoch == d.state.Epoch && len(s.Members) == len(d.state.Members) {
		return
	}
	d.state = s
	d.view.SetState(s)
	d.refresh(time.Now())
	d.metrics.members.Update(float64(len(s.Members)))
	d.metrics.epoch.Update(float64(s.Epoch))
}

// SetDraining tells the others that this daemon stops.
func (d *Detector) SetDraining() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// Run sends heartbeats until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	defer d.calls.Wait()
	for {
		d.tick(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// tick looks for a pause and sends the heartbeats that are due.
func (d *Detector) tick(ctx context.Context) {
	now := time.Now()
	logConfirmed := d.opt.LogConfirmed()
	d.mu.Lock()
	gap := d.pause.tick(now)
	resumed := d.pause.caughtUp(d.current(logConfirmed, now))
	var due []Member
	for _, m := range d.view.Targets(now) {
		if !d.busy[m.ID] {
			d.busy[m.ID] = true
			due = append(due, m)
		}
	}
	d.refresh(now)
	d.metrics.live.Update(float64(len(d.view.LiveMembers(now))))
	d.mu.Unlock()
	d.report(gap, resumed)
	for _, m := range due {
		d.calls.Go(func() { d.exchange(ctx, m.ID) })
	}
}

// current returns the last moment at which the folded state is known to have
// been the newest: by the log, or by the others when nobody is further on.
func (d *Detector) current(logConfirmed, now time.Time) time.Time {
	peers := d.view.EpochConfirmed(now)
	if len(d.view.Ahead(d.offset, now)) > 0 || len(d.view.zoneIDs) < 2 {
		peers = time.Time{}
	}
	if peers.After(logConfirmed) {
		return peers
	}
	return logConfirmed
}

func (d *Detector) report(gap time.Duration, resumed bool) {
	if gap > 0 {
		d.metrics.pauses.Inc(1)
		d.opt.Logger.Warn().Dur("gap", gap).Msg("process was paused")
		d.opt.OnPause(gap)
	}
	if resumed {
		d.opt.Logger.Info().Msg("caught up after a pause")
		d.opt.OnResume()
	}
}

// exchange sends one heartbeat and takes in the answer.
func (d *Detector) exchange(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, d.opt.FailAfter)
	defer cancel()
	hb := d.heartbeat()
	sent := time.Now()
	var a HeartbeatAnswer
	err := d.opt.Caller.Call(ctx, id, MethodHeartbeat, hb, &a)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, id)
	if err != nil {
		d.metrics.missed.Inc(1)
		return
	}
	d.metrics.answered.Inc(1)
	d.view.Answered(id, a, sent, now)
}

// heartbeat returns what this daemon tells about itself. Digests are made
// outside the lock, since other slices make them.
func (d *Detector) heartbeat() Heartbeat {
	digests := make([]Digest, 0, len(d.digests))
	for _, p := range d.digests {
		if data := p.data(); len(data) > 0 {
			digests = append(digests, Digest{Topic: p.topic, Data: data})
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return Heartbeat{Epoch: d.state.Epoch, Offset: d.offset, Draining: d.draining, Digests: digests}
}

func (d *Detector) answer(_ context.Context, from string, body cbor.RawMessage) (any, error) {
	var hb Heartbeat
	if err := record.Decode(body, &hb); err != nil {
		return nil, err
	}
	self := d.heartbeat()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.Heard(from, hb, now)
	zone := d.state.Members[from].Zone
	return d.view.Answer(self, zone, now), nil
}

// Paused reports whether the process was paused and has not caught up. It is
// exact at the moment of the call, also before a tick has noticed.
func (d *Detector) Paused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pause.paused(time.Now())
}

// Live reports whether a member has been heard lately.
func (d *Detector) Live(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Live(id, time.Now())
}

// Unheard reports whether a member has not been heard for as long as it takes to
// fail, counted from the first question for one that was never heard.
func (d *Detector) Unheard(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Unheard(id, time.Now())
}

// LiveMembers returns the live members of all zones.
func (d *Detector) LiveMembers() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.LiveMembers(time.Now())
}

// LiveInZone returns the live members of a zone.
func (d *Detector) LiveInZone(zone string) []Member {
	return slices.DeleteFunc(d.LiveMembers(), func(m Member) bool { return m.Zone != zone })
}

// Draining reports whether a member has said that it stops.
func (d *Detector) Draining(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainingLocked(id)
}

// drainingLocked must be called with mu held.
func (d *Detector) drainingLocked(id string) bool {
	if id == d.opt.Self.ID {
		return d.draining
	}
	o, ok := d.view.seen[id]
	return ok && o.draining
}

// Digest returns the last value of a topic that a member passed on to this
// daemon directly, and how long ago.
func (d *Detector) Digest(id, topic string) (data []byte, age time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o, found := d.view.seen[id]
	if !found {
		return nil, 0, false
	}
	for _, g := range o.digests {
		if g.Topic == topic {
			return g.Data, time.Since(o.heard), true
		}
	}
	return nil, 0, false
}

// Ahead returns the live members that have folded further than offset.
func (d *Detector) Ahead(offset uint64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Ahead(offset, time.Now())
}

// EpochOf returns the highest epoch of membership that a member has named.
func (d *Detector) EpochOf(id string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.EpochOf(id)
}

// OffsetOf returns the highest folded offset that a member has named.
func (d *Detector) OffsetOf(id string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == d.opt.Self.ID {
		return d.offset
	}
	if o, ok := d.view.seen[id]; ok {
		return o.offset
	}
	return 0
}

// EpochConfirmed returns this daemon's epoch and the latest moment at which
// every other member, but for those of one single zone, was in it.
func (d *Detector) EpochConfirmed() (epoch uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Epoch, d.view.EpochConfirmed(time.Now())
}
