package membership

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/option"
	"greengagedeck/internal/record"
)

const (
	// defaultListLag is how far the platform's list may be behind.
	defaultListLag = 30 * time.Second
	// logCurrentWithin is how lately the log's tail must have been read by a
	// daemon that removes others.
	logCurrentWithin = 5 * time.Second
	// settleAfter is how long a daemon listens after its start before it
	// takes others for unheard.
	settleAfter = 10 * time.Second
	// joinInterval is the time between looks at what is left to do.
	joinInterval = time.Second
	// appendTimeout bounds one wait for a record to be decided. The record
	// keeps its ID in the next try.
	appendTimeout = 10 * time.Second
)

// NewMember returns a member with a fresh ID, which names this incarnation.
func NewMember(host, zone, peerAddress string) Member {
	return Member{ID: ulid.Make().String(), Host: host, Zone: zone, PeerAddress: peerAddress}
}

// JoinerOptions configure a Joiner.
type JoinerOptions struct {
	Self Member
	// Append appends a record and returns once the fold has decided it. An
	// error leaves open whether it was added; the same record is then
	// appended again.
	Append func(context.Context, record.Record) error
	// State returns the folded membership.
	State        func() *State
	Detector     *Detector
	List         *ListReader
	LogConfirmed func() time.Time
	// ListLag is how far the platform's list may be behind, 0 for 30 s.
	ListLag time.Duration
	Logger  zerolog.Logger
	Scope   tally.Scope
}

// Joiner keeps this daemon a member, removes the dead and suspends those that
// are not heard.
type Joiner struct {
	opt JoinerOptions
	// pending holds records whose outcome is not known, by member ID, so
	// that they are repeated under their IDs.
	pending map[string]record.Record
	started time.Time

	joins, removals, suspensions, failures tally.Counter
}

// NewJoiner returns a joiner that does nothing until Run.
func NewJoiner(opt JoinerOptions) *Joiner {
	option.Default(&opt.ListLag, defaultListLag)
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	s := opt.Scope.SubScope("membership")
	return &Joiner{
		opt:         opt,
		pending:     map[string]record.Record{},
		started:     time.Now(),
		joins:       s.Counter("joins"),
		removals:    s.Counter("removals"),
		suspensions: s.Counter("suspensions"),
		failures:    s.Counter("append_failures"),
	}
}

// Run joins and then looks after the other members, until ctx ends. It joins again when
// others took this daemon for dead, but not after another incarnation took its
// host or address.
func (j *Joiner) Run(ctx context.Context) error {
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	for {
		j.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (j *Joiner) step(ctx context.Context) {
	s := j.opt.State()
	if _, ok := s.Members[j.opt.Self.ID]; ok {
		j.settle(ctx, s)
		return
	}
	if Replaced(s, j.opt.Self) {
		return
	}
	cause := record.Cause{Reason: "daemon started"}
	if j.append(ctx, KindJoin, j.opt.Self.ID, cause, Join{Member: j.opt.Self}) {
		j.joins.Inc(1)
	}
}

// Replaced reports whether another incarnation holds the member's host or
// address.
func Replaced(s *State, self Member) bool {
	for id, m := range s.Members {
		if id > self.ID && (m.Host == self.Host || m.PeerAddress == self.PeerAddress) {
			return true
		}
	}
	return false
}

// settle removes the dead, suspends the unheard and resumes this daemon.
func (j *Joiner) settle(ctx context.Context, s *State) {
	in := reapInput{
		Self:       j.opt.Self,
		State:      s,
		Live:       j.opt.Detector.Live,
		Unheard:    j.opt.Detector.Unheard,
		DroppedFor: j.opt.List.DroppedFor,
		ListLag:    j.opt.ListLag,
		Paused:     j.opt.Detector.Paused(),
		LogCurrent: time.Since(j.opt.LogConfirmed()) < logCurrentWithin,
	}
	for _, m := range reap(in) {
		j.remove(ctx, m)
	}
	if time.Since(j.started) < settleAfter {
		return
	}
	for _, m := range suspend(in) {
		cause := record.Cause{Reason: "not heard by its zone, or its zone by any other"}
		if j.append(ctx, KindSuspend, m.ID, cause, Suspend{ID: m.ID}) {
			j.suspensions.Inc(1)
			j.opt.Logger.Info().Str("member", m.ID).Str("host", m.Host).Msg("unheard member suspended")
		}
	}
	if resumes(in) {
		j.append(ctx, KindResume, j.opt.Self.ID, record.Cause{Reason: "hears the others again"}, Resume{ID: j.opt.Self.ID})
	}
}

func (j *Joiner) remove(ctx context.Context, m Member) {
	gone, _ := j.opt.List.DroppedFor(m.Host)
	reason := fmt.Sprintf("host %s dropped from the platform's list %s ago, above its lag of %s, and not heard",
		m.Host, gone.Round(time.Second), j.opt.ListLag)
	if j.append(ctx, KindRemove, m.ID, record.Cause{Reason: reason}, Remove{ID: m.ID}) {
		j.removals.Inc(1)
		j.opt.Logger.Info().Str("member", m.ID).Str("host", m.Host).Msg("dead member removed")
	}
}

// Leave removes this daemon from the membership. It is called once its work is
// done, after Run has ended, and returns when that is folded or ctx ends.
func (j *Joiner) Leave(ctx context.Context) error {
	cause := record.Cause{Reason: "daemon stops"}
	pause := backoff.NewExponentialBackOff()
	for {
		if j.append(ctx, KindRemove, j.opt.Self.ID, cause, Remove{ID: j.opt.Self.ID}) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// append appends a record about a member. A record whose outcome was not
// learnt is appended again as it was, so the fold counts it once.
func (j *Joiner) append(ctx context.Context, kind record.Kind, id string, cause record.Cause, body any) bool {
	rec, ok := j.pending[id]
	if !ok || rec.Kind != kind {
		var err error
		rec, err = record.New(kind, j.opt.Self.ID, time.Now(), cause, body)
		if err != nil {
			return false
		}
		j.pending[id] = rec
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := j.opt.Append(ctx, rec); err != nil {
		j.failures.Inc(1)
		return false
	}
	delete(j.pending, id)
	return true
}
