package decision_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/decision"
	"greengagedeck/internal/record"
)

func addDecision(g *WithT, s *decision.State, offset uint64, subjects ...string) {
	r, err := record.New("pool.drain", "d", time.Time{}, record.Cause{Object: "wave/w", Owner: "ops"}, struct{}{})
	g.Expect(err).NotTo(HaveOccurred())
	s.Add(offset, r, record.Accept(subjects...))
}

func TestCompactionKeepsDecisionsOfRareSubjects(t *testing.T) {
	g := NewWithT(t)
	s := decision.NewState()
	addDecision(g, &s, 1, "host/quiet")
	for i := range 50_000 {
		addDecision(g, &s, uint64(i+2), fmt.Sprintf("host/busy-%d", i%100))
	}
	g.Expect(len(s.Recent)).To(BeNumerically("<", 10_000))
	about := s.BySubject("host/quiet")
	g.Expect(about).To(HaveLen(1))
	g.Expect(about[0].Cause.Owner).To(Equal("ops"))
	for i := 1; i < len(s.Recent); i++ {
		g.Expect(s.Recent[i].Offset).To(BeNumerically(">", s.Recent[i-1].Offset))
	}
}

func TestCloneUnaffectedByLaterDecisions(t *testing.T) {
	g := NewWithT(t)
	s := decision.NewState()
	for i := range 100 {
		addDecision(g, &s, uint64(i+1), "host/h")
	}
	published := s.Clone()
	for i := range 20_000 {
		addDecision(g, &s, uint64(i+101), "host/other")
	}
	g.Expect(published.Recent).To(HaveLen(100))
	g.Expect(published.Recent[99].Offset).To(BeEquivalentTo(100))
}

func TestTraceStoreKeepsNewestTraces(t *testing.T) {
	g := NewWithT(t)
	traces := decision.NewTraceStore()
	for i := range 20_000 {
		traces.Add(decision.Trace{ID: fmt.Sprint(i)})
	}
	traces.Add(decision.Trace{ID: "19999", Reason: "again"})
	_, ok := traces.Get("0")
	g.Expect(ok).To(BeFalse())
	got, ok := traces.Get("19999")
	g.Expect(ok).To(BeTrue())
	g.Expect(got.Reason).To(Equal("again"))
}
