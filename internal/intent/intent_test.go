package intent

import (
	"context"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/onsi/gomega"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

type fakeLog struct {
	err error
	ids []ulid.ULID
}

func (l *fakeLog) Append(_ context.Context, r record.Record) error {
	l.ids = append(l.ids, r.ID)
	return l.err
}

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func TestRetryRepeatsRecordID(t *testing.T) {
	g := NewWithT(t)
	log := &fakeLog{err: platform.ErrUncertain}
	o := NewOutbox(Options{Author: "d1", Appender: log})
	intents := []Intent{{Key: "a", Kind: "pool.ack"}}
	g.Expect(o.Send(t.Context(), intents, 0, start)).To(BeFalse())
	g.Expect(o.Send(t.Context(), intents, 0, start)).To(BeTrue(), "the retry is not due")
	log.err = nil
	g.Expect(o.Send(t.Context(), intents, 0, start.Add(DefaultRetryDelay))).To(BeTrue())
	g.Expect(log.ids).To(HaveLen(2))
	g.Expect(log.ids[0]).To(Equal(log.ids[1]))
}

func TestRejectedRecordIsReplaced(t *testing.T) {
	g := NewWithT(t)
	log := &fakeLog{}
	o := NewOutbox(Options{Author: "d1", Appender: log})
	intents := []Intent{{Key: "a", Kind: "pool.drain"}}
	o.Send(t.Context(), intents, 0, start)
	o.Send(t.Context(), intents, 0, start.Add(DefaultApplyTimeout-1))
	g.Expect(log.ids).To(HaveLen(1))
	o.Send(t.Context(), intents, 0, start.Add(DefaultApplyTimeout))
	g.Expect(log.ids).To(HaveLen(2))
	g.Expect(log.ids[0]).NotTo(Equal(log.ids[1]))
}

func TestSharedIntentWaitsByRank(t *testing.T) {
	g := NewWithT(t)
	log := &fakeLog{}
	o := NewOutbox(Options{Author: "d3", Appender: log})
	intents := []Intent{{Key: "a", Kind: "pool.drain", Shared: true}, {Key: "b", Kind: "pool.ack"}}
	o.Send(t.Context(), intents, 2, start)
	g.Expect(log.ids).To(HaveLen(1), "only the intent that is not shared")
	o.Send(t.Context(), intents, 2, start.Add(2*DefaultRankDelay))
	g.Expect(log.ids).To(HaveLen(3))
	o.Send(t.Context(), nil, 2, start.Add(3*DefaultRankDelay))
	g.Expect(o.pending).To(BeEmpty())
}
