// Package dedupe ensures that a non-idempotent request runs at most once,
// regardless of which daemons receive its resends.
//
// Before the first byte of a request is sent to a target, its ID is claimed at two
// daemons in different zones, which are selected by rendezvous hashing among the
// members of the current epoch. docs/design/dedupe.md explains why two claims of
// the same ID are never both granted.
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
	// updateInterval is the interval at which the other members' epochs are
	// checked.
	updateInterval = 100 * time.Millisecond
	// catchUpTimeout limits how long a claim waits for this daemon to reach a
	// newer epoch.
	catchUpTimeout = 500 * time.Millisecond
	// readyMargin is added to the age that a floor must have before the service
	// is ready, so that the other daemons have received the floor too.
	readyMargin = time.Second
	// topicFloor is the heartbeat topic that carries the newest floor.
	topicFloor = "f"
)

// Members is the part of the failure detector that this package uses.
type Members interface {
	// Live reports whether a member is considered live.
	Live(id string) bool
	// EpochOf returns the highest epoch that a member has announced.
	EpochOf(id string) uint64
	// EpochConfirmed returns the detector's epoch and the latest time at which
	// every other member, except those of one zone, was in it.
	EpochConfirmed() (uint64, time.Time)
	// LiveMembers returns the live members of all zones.
	LiveMembers() []membership.Member
	// Digest returns a value that a member publishes in its heartbeats.
	Digest(id, topic string) (data []byte, age time.Duration, ok bool)
	// Publish includes a value in every heartbeat of this daemon.
	Publish(topic string, data func() []byte)
}

// ServiceOptions configures a Service.
type ServiceOptions struct {
	Options
	Caller  peer.Caller
	Members Members
	// LogConfirmed returns the last time at which the applied state is known to
	// have included every record of the log, or the zero time.
	LogConfirmed func() time.Time
	// CatchUp fetches control records from a daemon that is in a newer epoch.
	CatchUp func(ctx context.Context, id string) bool
	Logger  zerolog.Logger
	Scope   tally.Scope
}

// Service answers the claims of other daemons and claims IDs for the requests of
// this daemon.
type Service struct {
	opt     ServiceOptions
	metrics *metrics

	mu    sync.Mutex
	store *ClaimStore
}

// NewService returns a service that rejects all claims until SetState is called.
// It must be created before the detector runs.
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
	s := &Service{opt: opt, metrics: newMetrics(opt.Scope), store: NewClaimStore(opt.Options)}
	opt.Members.Publish(topicFloor, s.digest)
	return s
}

// Register adds the service's handlers. They serve callers' requests, so their
// traffic is counted as data.
func (s *Service) Register(m peer.DataMux) {
	m.HandleData(MethodClaim, s.handleClaim)
	m.HandleData(MethodAbandon, s.handleAbandon)
	m.HandleData(MethodComplete, s.handleComplete)
}

// SetState applies a new membership. It must be called before the detector gets
// the same state: by announcing an epoch in its heartbeats, a daemon promises not
// to grant claims in a lower one.
func (s *Service) SetState(st *membership.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.Epoch != s.store.Epoch() {
		s.store.SetState(st)
	}
}

// Ready reports whether claims of new IDs can be granted because an epoch floor
// covers them. It becomes true some seconds after the first daemons of a fleet have
// started. On a daemon that joins later, it becomes true shortly after the first
// heartbeats.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.fence.ready(time.Now().Add(-readyMargin))
}

// Run tracks the epochs of the other members until ctx is done.
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
	s.store.Update(time.Now(), s.opt.Members.EpochOf)
	for _, m := range s.opt.Members.LiveMembers() {
		if data, _, ok := s.opt.Members.Digest(m.ID, topicFloor); ok {
			s.applyDigest(data)
		}
	}
	s.metrics.entries.Update(float64(s.store.table.Len()))
	s.metrics.bytes.Update(float64(s.store.table.Bytes()))
	lag, _ := s.store.fence.state.Epochs(s.store.fence.floor().Epoch)
	s.metrics.unfencedEpochs.Update(float64(len(lag)))
}

// digest encodes the newest floor for the other daemons, so that a daemon that has
// just joined need not establish it itself.
func (s *Service) digest() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	floor := s.store.fence.floor()
	if floor.Epoch == 0 {
		return nil
	}
	data := binary.AppendUvarint(nil, floor.Epoch)
	return binary.AppendVarint(data, floor.Since.UnixMilli())
}

// applyDigest records the floor in a digest of another daemon. Milliseconds are
// rounded up because a later Since is the safe side: it rejects more claims.
func (s *Service) applyDigest(data []byte) {
	epoch, n := binary.Uvarint(data)
	if n <= 0 {
		return
	}
	ms, m := binary.Varint(data[n:])
	if m <= 0 {
		return
	}
	s.store.fence.addFloor(epochFloor{Epoch: epoch, Since: time.UnixMilli(ms + 1)})
}

// epochConfirmedAt returns the last time at which the store's epoch is known to
// have been current. It must be called with mu held.
func (s *Service) epochConfirmedAt() time.Time {
	log := s.opt.LogConfirmed()
	epoch, at := s.opt.Members.EpochConfirmed()
	if epoch == s.store.Epoch() && at.After(log) {
		return at
	}
	return log
}

func (s *Service) claimLocal(c Claim) ClaimAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmed := s.epochConfirmedAt()
	return s.store.Claim(time.Now(), confirmed, c)
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
	s.store.Abandon(a)
	return nil, nil
}

func (s *Service) handleComplete(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
	var c Complete
	if err := record.Decode(body, &c); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Complete(c)
	return nil, nil
}
