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
	// defaultListLag is the default of JoinerOptions.ListLag.
	defaultListLag = 30 * time.Second
	// logCurrentWithin bounds the time since this daemon last read the log's
	// tail. A daemon whose last read is older removes and suspends no members.
	logCurrentWithin = 5 * time.Second
	// startupGrace is how long a daemon waits for heartbeats after its start
	// before it may suspend other members as unresponsive.
	startupGrace = 10 * time.Second
	// reconcileInterval is the time between calls of Joiner.reconcile.
	reconcileInterval = time.Second
	// appendTimeout bounds the wait for the outcome of an appended record. A
	// retry appends the record under the same ID.
	appendTimeout = 10 * time.Second
)

// NewMember returns a member with a new ID, which identifies this incarnation
// of the daemon.
func NewMember(host, zone, peerAddress string) Member {
	return Member{ID: ulid.Make().String(), Host: host, Zone: zone, PeerAddress: peerAddress}
}

// JoinerOptions configure a Joiner.
type JoinerOptions struct {
	Self Member
	// Append appends a record and returns once it has been applied. After an
	// error it is unknown whether the record was appended; the same record
	// is then appended again.
	Append func(context.Context, record.Record) error
	// State returns the applied membership.
	State        func() *State
	Detector     *Detector
	List         *ListReader
	LogConfirmed func() time.Time
	// ListLag is the longest time that the platform's host list may lag, 0
	// for 30 s.
	ListLag time.Duration
	Logger  zerolog.Logger
	Scope   tally.Scope
}

// Joiner keeps this daemon in the membership, removes dead members and suspends
// unresponsive ones.
type Joiner struct {
	opt JoinerOptions
	// pending holds the records whose outcome is unknown, by member ID, so
	// that a retry appends them under the same record ID.
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

// Run joins the membership and then maintains it until ctx ends. It joins again
// if other daemons removed this one as dead, but not if a newer incarnation
// uses its host or address.
func (j *Joiner) Run(ctx context.Context) error {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		j.reconcile(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (j *Joiner) reconcile(ctx context.Context) {
	s := j.opt.State()
	if _, ok := s.Members[j.opt.Self.ID]; ok {
		j.reconcileOthers(ctx, s)
		return
	}
	if ReplacedByNewer(s, j.opt.Self) {
		return
	}
	cause := record.Cause{Reason: "daemon started"}
	if j.append(ctx, KindJoin, j.opt.Self.ID, cause, Join{Member: j.opt.Self}) {
		j.joins.Inc(1)
	}
}

// ReplacedByNewer reports whether a newer incarnation uses the member's host or
// address.
func ReplacedByNewer(s *State, self Member) bool {
	for id, m := range s.Members {
		if id > self.ID && (m.Host == self.Host || m.PeerAddress == self.PeerAddress) {
			return true
		}
	}
	return false
}

// reconcileOthers removes dead members, suspends unresponsive ones and resumes
// this daemon if it is suspended.
func (j *Joiner) reconcileOthers(ctx context.Context, s *State) {
	in := reconcileInput{
		Self:         j.opt.Self,
		State:        s,
		Live:         j.opt.Detector.Live,
		Unresponsive: j.opt.Detector.Unresponsive,
		DroppedFor:   j.opt.List.DroppedFor,
		ListLag:      j.opt.ListLag,
		Paused:       j.opt.Detector.Paused(),
		LogCurrent:   time.Since(j.opt.LogConfirmed()) < logCurrentWithin,
	}
	for _, m := range membersToRemove(in) {
		j.remove(ctx, m)
	}
	if time.Since(j.started) < startupGrace {
		return
	}
	for _, m := range membersToSuspend(in) {
		cause := record.Cause{Reason: "not heard by its zone, or its zone by any other"}
		if j.append(ctx, KindSuspend, m.ID, cause, Suspend{ID: m.ID}) {
			j.suspensions.Inc(1)
			j.opt.Logger.Info().Str("member", m.ID).Str("host", m.Host).Msg("unresponsive member suspended")
		}
	}
	if shouldResume(in) {
		j.append(ctx, KindResume, j.opt.Self.ID, record.Cause{Reason: "hears the others again"}, Resume{ID: j.opt.Self.ID})
	}
}

func (j *Joiner) remove(ctx context.Context, m Member) {
	droppedFor, _ := j.opt.List.DroppedFor(m.Host)
	reason := fmt.Sprintf("host %s dropped from the platform's list %s ago, above its lag of %s, and not heard",
		m.Host, droppedFor.Round(time.Second), j.opt.ListLag)
	if j.append(ctx, KindRemove, m.ID, record.Cause{Reason: reason}, Remove{ID: m.ID}) {
		j.removals.Inc(1)
		j.opt.Logger.Info().Str("member", m.ID).Str("host", m.Host).Msg("dead member removed")
	}
}

// Leave removes this daemon from the membership. It is called after Run has
// ended and the daemon has finished its work, and returns once the removal has
// been applied or ctx ends.
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

// append appends a record about a member. A record whose outcome is unknown is
// appended again unchanged, so that it takes effect only once.
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
