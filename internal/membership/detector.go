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
	// LogConfirmed returns the latest time at which the applied state is
	// known to have included every record of the log, or the zero time.
	LogConfirmed func() time.Time
	// OnPause is called when the process detects that it was paused, OnResume
	// when its state is current again. They must not block.
	OnPause  func(gap time.Duration)
	OnResume func()
	// A zero interval selects its default: 500 ms between heartbeats in the
	// zone, 1 s between heartbeats to another zone, 3 s without a heartbeat
	// until a daemon counts as failed, 1 s between ticks before the process
	// counts as paused.
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

// Detector is the failure detector: it exchanges heartbeats with other daemons
// and reports which of them are live.
type Detector struct {
	opt     DetectorOptions
	metrics *detectorMetrics
	calls   sync.WaitGroup
	roster  atomic.Pointer[roster]

	mu       sync.Mutex
	view     *View
	pause    pauseDetector
	state    *State
	offset   uint64
	draining bool
	digests  []digestSource
	inFlight map[string]bool
}

// digestSource produces the digest of a topic for each heartbeat.
type digestSource struct {
	topic string
	data  func() []byte
}

// NewDetector returns a detector that sends nothing until Run.
func NewDetector(opt DetectorOptions) *Detector {
	opt.setDefaults()
	s := NewState()
	d := &Detector{
		opt:      opt,
		metrics:  newDetectorMetrics(opt.Scope),
		pause:    pauseDetector{threshold: opt.PauseThreshold},
		state:    &s,
		inFlight: map[string]bool{},
	}
	d.view = NewView(ViewOptions{
		Self:          opt.Self,
		Interval:      opt.Interval,
		CrossInterval: opt.CrossInterval,
		FailAfter:     opt.FailAfter,
	})
	d.updateRoster(time.Now())
	return d
}

// Register adds the detector's handlers.
func (d *Detector) Register(m peer.Mux) { m.Handle(MethodHeartbeat, d.handleHeartbeat) }

// Publish attaches a small value of another package to every heartbeat. The
// topic should be one letter, since it is sent each time. Publish must be
// called before Run.
func (d *Detector) Publish(topic string, data func() []byte) {
	d.digests = append(d.digests, digestSource{topic: topic, data: data})
}

// SetState sets the membership and the offset up to which the control stream
// has been applied.
func (d *Detector) SetState(s *State, offset uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.offset = offset
	if s.Epoch == d.state.Epoch && len(s.Members) == len(d.state.Members) {
		return
	}
	d.state = s
	d.view.SetState(s)
	d.updateRoster(time.Now())
	d.metrics.members.Update(float64(len(s.Members)))
	d.metrics.epoch.Update(float64(s.Epoch))
}

// SetDraining makes further heartbeats say that this daemon is stopping.
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

// tick checks for a pause and sends the heartbeats that are due.
func (d *Detector) tick(ctx context.Context) {
	now := time.Now()
	logConfirmed := d.opt.LogConfirmed()
	d.mu.Lock()
	gap := d.pause.tick(now)
	resumed := d.pause.endIfCurrent(d.stateConfirmedAt(logConfirmed, now))
	var due []Member
	for _, m := range d.view.Targets(now) {
		if !d.inFlight[m.ID] {
			d.inFlight[m.ID] = true
			due = append(due, m)
		}
	}
	d.updateRoster(now)
	d.metrics.live.Update(float64(len(d.view.LiveMembers(now))))
	d.mu.Unlock()
	d.reportPause(gap, resumed)
	for _, m := range due {
		d.calls.Go(func() { d.sendHeartbeat(ctx, m.ID) })
	}
}

// stateConfirmedAt returns the latest time at which the applied state is known
// to have been current: confirmed by the log, or by the other daemons if none
// of them has applied a higher offset.
func (d *Detector) stateConfirmedAt(logConfirmed, now time.Time) time.Time {
	peers := d.view.EpochConfirmed(now)
	if len(d.view.MembersAhead(d.offset, now)) > 0 || len(d.view.zoneIDs) < 2 {
		peers = time.Time{}
	}
	if peers.After(logConfirmed) {
		return peers
	}
	return logConfirmed
}

func (d *Detector) reportPause(gap time.Duration, resumed bool) {
	if gap > 0 {
		d.metrics.pauses.Inc(1)
		d.opt.Logger.Warn().Dur("gap", gap).Msg("process was paused")
		d.opt.OnPause(gap)
	}
	if resumed {
		d.opt.Logger.Info().Msg("state is current again after a pause")
		d.opt.OnResume()
	}
}

// sendHeartbeat sends one heartbeat and processes the answer.
func (d *Detector) sendHeartbeat(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, d.opt.FailAfter)
	defer cancel()
	hb := d.heartbeat()
	sent := time.Now()
	var a HeartbeatAnswer
	err := d.opt.Caller.Call(ctx, id, MethodHeartbeat, hb, &a)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inFlight, id)
	if err != nil {
		d.metrics.missed.Inc(1)
		return
	}
	d.metrics.answered.Inc(1)
	d.view.HandleAnswer(id, a, sent, now)
}

// heartbeat returns this daemon's own heartbeat. Digests are produced without
// holding the lock, since the code of other packages produces them.
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

func (d *Detector) handleHeartbeat(_ context.Context, from string, body cbor.RawMessage) (any, error) {
	var hb Heartbeat
	if err := record.Decode(body, &hb); err != nil {
		return nil, err
	}
	self := d.heartbeat()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.HandleHeartbeat(from, hb, now)
	zone := d.state.Members[from].Zone
	return d.view.Answer(self, zone, now), nil
}

// Paused reports whether the process was paused and its state is not yet known
// to be current. It also detects a pause that no tick has detected yet.
func (d *Detector) Paused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pause.paused(time.Now())
}

// Live reports whether a member has been heard from within FailAfter.
func (d *Detector) Live(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Live(id, time.Now())
}

// Unresponsive reports whether a member has not been heard from for FailAfter.
// For a member that was never heard from, the time counts from the first call.
func (d *Detector) Unresponsive(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Unresponsive(id, time.Now())
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

// Draining reports whether a member's heartbeat said that it is stopping.
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
	o, ok := d.view.observed[id]
	return ok && o.draining
}

// Digest returns the latest value of a topic that a member sent directly to
// this daemon, and its age.
func (d *Detector) Digest(id, topic string) (data []byte, age time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o, found := d.view.observed[id]
	if !found {
		return nil, 0, false
	}
	for _, g := range o.digests {
		if g.Topic == topic {
			return g.Data, time.Since(o.lastHeard), true
		}
	}
	return nil, 0, false
}

// MembersAhead returns the live members that have applied records beyond offset.
func (d *Detector) MembersAhead(offset uint64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.MembersAhead(offset, time.Now())
}

// EpochOf returns the highest membership epoch that a member has reported.
func (d *Detector) EpochOf(id string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.EpochOf(id)
}

// OffsetOf returns the highest applied offset that a member has reported.
func (d *Detector) OffsetOf(id string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == d.opt.Self.ID {
		return d.offset
	}
	if o, ok := d.view.observed[id]; ok {
		return o.offset
	}
	return 0
}

// EpochConfirmed returns this daemon's epoch and the latest time at which every
// other active member was in it, except for the members of a single zone.
func (d *Detector) EpochConfirmed() (epoch uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Epoch, d.view.EpochConfirmed(time.Now())
}
