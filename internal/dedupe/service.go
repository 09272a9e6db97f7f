// Package dedupe lets a non-idempotent request run at most once, whichever
// daemons get its resends.
//
// Before the first byte of a request leaves for a target, its ID is claimed at
// two daemons of different zones, which rendezvous hashing finds among the
// members of the current epoch. docs/design/dedupe.md holds the argument why
// no two claims of one ID are ever granted.
package dedupe

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/membership"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
)

const (
	// updateInterval is the time between looks at the others' epochs.
	updateInterval = 100 * time.Millisecond
	// catchUpTimeout bounds how long a claim waits for the newer of two
	// epochs.
	catchUpTimeout = 500 * time.Millisecond
	// readyMargin is what a base must be older than it need be, so that the
	// other daemons have one too.
	readyMargin = time.Second
	// topicBase carries the newest base in heartbeats.
	topicBase = "f"
)

// Members is what this slice uses of the failure detector.
type Members interface {
	// Live reports whether a member has been heard lately.
	Live(id string) bool
	// EpochOf returns the highest epoch that a member has named.
	EpochOf(id string) uint64
	// EpochConfirmed returns the detector's epoch and the latest moment at
	// which every other member, but for those of one zone, was in it.
	EpochConfirmed() (uint64, time.Time)
	// LiveMembers returns the live members of all zones.
	LiveMembers() []membership.Member
	// Digest returns a value that a member passes on with its heartbeats.
	Digest(id, topic string) (data []byte, age time.Duration, ok bool)
	// Publish passes a value on with every heartbeat.
	Publish(topic string, data func() []byte)
}

// ServiceOptions configure a Service.
type ServiceOptions struct {
	Options
	Caller  peer.Caller
	Members Members
	// LogConfirmed returns the last moment for which the folded state is
	// known to have held every record of the log, or the zero time.
	LogConfirmed func() time.Time
	// CatchUp fetches control records from a daemon that is further on.
	CatchUp func(ctx context.Context, id string) bool
	Logger  zerolog.Logger
	Scope   tally.Scope
}

// Service keeps claims as one of a pair and claims IDs for this daemon's own
// requests.
type Service struct {
	opt     ServiceOptions
	metrics *metrics

	mu     sync.Mutex
	keeper *Keeper
}

// NewService returns a service that grants nothing before it was shown a
// membership. It must be made before the detector runs.
func NewService(opt ServiceOptions) *Service {
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	if opt.CatchUp == nil {
		opt.CatchUp = func(context.Context, string) bool { return false }
	}
	if opt.LogConfirmed == nil {
		opt.LogConfirmed = func() time.Time { return time.Time{} }
	}
	s := &Service{opt: opt, metrics: newMetrics(opt.Scope), keeper: NewKeeper(opt.Options)}
	opt.Members.Publish(topicBase, s.digest)
	return s
}

// Register adds the service's handlers. They serve callers' requests, so their
// bytes count as data.
func (s *Service) Register(m peer.DataMux) {
	m.HandleData(MethodClaim, s.handleClaim)
	m.HandleData(MethodAbandon, s.handleAbandon)
	m.HandleData(MethodComplete, s.handleComplete)
}

// SetState shows the service a newly folded membership. It must come before
// the detector is shown the same state: what this daemon's heartbeats name as
// its epoch is taken as a promise to grant in no lower one.
func (s *Service) SetState(st *membership.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.Epoch != s.keeper.Epoch() {
		s.keeper.SetState(st)
	}
}

// Ready reports whether claims of new IDs can be vouched for. It becomes true
// some seconds after the first daemons of all have started, and for one that
// joins others with its first heartbeats.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.fence.ready(time.Now().Add(-readyMargin))
}

// Run follows the epochs of the other members until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	for {
		s.update()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (s *Service) update() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Update(time.Now(), s.opt.Members.EpochOf)
	for _, m := range s.opt.Members.LiveMembers() {
		if data, _, ok := s.opt.Members.Digest(m.ID, topicBase); ok {
			s.learn(data)
		}
	}
	s.metrics.entries.Update(float64(s.keeper.table.Len()))
	s.metrics.bytes.Update(float64(s.keeper.table.Bytes()))
	lag, _ := s.keeper.fence.state.Epochs(s.keeper.fence.base().Epoch)
	s.metrics.baseLag.Update(float64(len(lag)))
}

// digest tells the other daemons the newest base, so that one that has just
// joined need not find it out.
func (s *Service) digest() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.keeper.fence.base()
	if b.Epoch == 0 {
		return nil
	}
	data := binary.AppendUvarint(nil, b.Epoch)
	return binary.AppendVarint(data, b.Since.UnixMilli())
}

// learn takes in a digest. Milliseconds are rounded up: a later base refuses
// more.
func (s *Service) learn(data []byte) {
	epoch, n := binary.Uvarint(data)
	if n <= 0 {
		return
	}
	ms, m := binary.Varint(data[n:])
	if m <= 0 {
		return
	}
	s.keeper.fence.learn(base{Epoch: epoch, Since: time.UnixMilli(ms + 1)})
}

// confirmed returns the last moment at which the keeper's epoch is known to
// have been current. It must be called with mu held.
func (s *Service) confirmed() time.Time {
	log := s.opt.LogConfirmed()
	epoch, at := s.opt.Members.EpochConfirmed()
	if epoch == s.keeper.Epoch() && at.After(log) {
		return at
	}
	return log
}

func (s *Service) claimLocal(c Claim) ClaimAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmed := s.confirmed()
	return s.keeper.Claim(time.Now(), confirmed, c)
}

func (s *Service) handleClaim(ctx context.Context, from string, body cbor.RawMessage) (any, error) {
	var c Claim
	if err := record.Decode(body, &c); err != nil {
		return nil, err
	}
	a := s.claimLocal(c)
	if a.Status == StatusOtherEpoch && c.Epoch > a.Epoch && s.catchUp(ctx, from) {
		a = s.claimLocal(c)
	}
	return a, nil
}

func (s *Service) catchUp(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return s.opt.CatchUp(ctx, id)
}

func (s *Service) handleAbandon(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
	var a Abandon
	if err := record.Decode(body, &a); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Abandon(a)
	return nil, nil
}

func (s *Service) handleComplete(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
	var c Complete
	if err := record.Decode(body, &c); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Complete(c)
	return nil, nil
}
