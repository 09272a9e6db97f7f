package pool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"greengagedeck/internal/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingAppender collects the kinds of the appended records.
type recordingAppender struct {
	mu    sync.Mutex
	kinds []record.Kind
}

func (r *recordingAppender) Append(_ context.Context, rec record.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds = append(r.kinds, rec.Kind)
	return nil
}

func (r *recordingAppender) recordedKinds() []record.Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]record.Kind(nil), r.kinds...)
}

func TestRunAcknowledgesWhenGateIsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newSmallFleet()
		gate := NewGate("d1", "a")
		gate.Open()
		log := &recordingAppender{}
		c := NewController(ControllerOptions{Gate: gate, Appender: log})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()

		publish := func() {
			c.Update(PublishedState{Pools: &f.pools, Catalogue: &f.catalogue, Members: []string{"d1"}})
		}
		publish()
		leave, ok := gate.Enter("w0", "x")
		g.Expect(ok).To(BeTrue())
		pools := f.pools.Clone()
		pools.BeginDrain(Drain{ID: "m", Host: "w0", Purpose: PurposeMaintenance, From: "x", Zone: "a", PendingMembers: []string{"d1"}})
		pools.Epoch++
		f.pools = pools
		publish()
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(log.recordedKinds()).To(BeEmpty())
		leave()
		time.Sleep(DefaultInterval)
		synctest.Wait()
		g.Expect(log.recordedKinds()).To(ConsistOf(KindAck))
		cancel()
		g.Expect(<-ended).To(Succeed())
	})
}
