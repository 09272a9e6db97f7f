package catalogue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/record"
)

func mustLoad(t *testing.T, file string) catalogue.Document {
	t.Helper()
	doc, err := catalogue.Load("test.yaml", []byte(file))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return doc
}

func edit(t *testing.T, base uint64, operator string, changes ...catalogue.Change) record.Record {
	t.Helper()
	e := catalogue.Edit{Base: base, Operator: operator, Changes: changes}
	r, err := record.New(catalogue.KindEdit, "d", time.Time{}, record.Cause{}, e)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return r
}

// loaded returns the state after an edit at offset 1 that loads validFile.
func loaded(t *testing.T) (catalogue.State, catalogue.Document) {
	t.Helper()
	g := NewWithT(t)
	doc := mustLoad(t, validFile)
	changes, err := catalogue.Diff(catalogue.Document{}, doc, false)
	g.Expect(err).NotTo(HaveOccurred())
	s := catalogue.NewState()
	g.Expect(s.Apply(1, edit(t, 0, "ana", changes...)).Accepted).To(BeTrue())
	return s, doc
}

// withSlots returns the change that sets the slots of entry e.
func withSlots(t *testing.T, doc catalogue.Document, slots int) catalogue.Change {
	t.Helper()
	to := doc
	to.Entries = []catalogue.Entry{doc.Entries[0]}
	to.Entries[0].Limits.Slots = slots
	changes, err := catalogue.Diff(doc, to, false)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(changes).To(HaveLen(1))
	return changes[0]
}

func TestEditLosingARaceNamesTheWinner(t *testing.T) {
	g := NewWithT(t)
	s, doc := loaded(t)
	g.Expect(s.Apply(2, edit(t, 1, "ana", withSlots(t, doc, 3))).Accepted).To(BeTrue())

	out := s.Apply(3, edit(t, 1, "ben", withSlots(t, doc, 4)))
	g.Expect(out.Accepted).To(BeFalse())
	g.Expect(out.Reason).To(ContainSubstring("entry/e was changed by ana at version 2"))
	g.Expect(s.Entries["e"].Value.Limits.Slots).To(Equal(3))
	g.Expect(s.Version).To(BeEquivalentTo(2))
}

func TestEditOfARemovedObjectIsAConflict(t *testing.T) {
	g := NewWithT(t)
	s, doc := loaded(t)
	remove := catalogue.Change{Key: catalogue.Key{Kind: catalogue.KindEntry, Name: "e"}, Delete: true}
	g.Expect(s.Apply(2, edit(t, 1, "ana", remove)).Accepted).To(BeTrue())
	out := s.Apply(3, edit(t, 1, "ben", withSlots(t, doc, 4)))
	g.Expect(out.Reason).To(ContainSubstring("changed by ana at version 2"))
	g.Expect(s.Apply(4, edit(t, 3, "ben", withSlots(t, doc, 4))).Accepted).To(BeTrue())
}

func TestInvalidEditChangesNothing(t *testing.T) {
	g := NewWithT(t)
	s, _ := loaded(t)
	remove := catalogue.Change{Key: catalogue.Key{Kind: catalogue.KindPool, Name: "p"}, Delete: true}
	out := s.Apply(2, edit(t, 1, "ana", remove))
	g.Expect(out.Accepted).To(BeFalse())
	g.Expect(out.Reason).To(ContainSubstring(`unknown pool "p"`))
	g.Expect(s.Pools).To(HaveKey("p"))
	g.Expect(s.Version).To(BeEquivalentTo(1))
}

func TestDiffPrunesOnlyOnRequest(t *testing.T) {
	g := NewWithT(t)
	doc := mustLoad(t, validFile)
	kept, err := catalogue.Diff(doc, catalogue.Document{}, false)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(kept).To(BeEmpty())
	pruned, err := catalogue.Diff(doc, catalogue.Document{}, true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(pruned).To(HaveLen(4))
}

// TestTwoOperatorsRace lets two operators edit one entry for 200 rounds, each
// from the version it last saw. Exactly one of each pair that shares a base
// wins, and the value is always the last winner's.
func TestTwoOperatorsRace(t *testing.T) {
	g := NewWithT(t)
	const seed = 4
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	s, doc := loaded(t)
	offset := uint64(1)
	for round := range 200 {
		base := s.Version
		first, second := "ana", "ben"
		if rng.IntN(2) == 0 {
			first, second = second, first
		}
		offset++
		won := s.Apply(offset, edit(t, base, first, withSlots(t, doc, 2*round+1)))
		offset++
		lost := s.Apply(offset, edit(t, base, second, withSlots(t, doc, 2*round+2)))
		g.Expect(won.Accepted).To(BeTrue())
		g.Expect(lost.Accepted).To(BeFalse())
		g.Expect(lost.Reason).To(ContainSubstring(first))
		g.Expect(s.Entries["e"].Value.Limits.Slots).To(Equal(2*round + 1))
	}
}

// TestBaseThatIsNotReachedIsRefused gives an edit a base above every version,
// against which no change of another operator would count as later.
func TestBaseThatIsNotReachedIsRefused(t *testing.T) {
	g := NewWithT(t)
	s, doc := loaded(t)
	g.Expect(s.Apply(2, edit(t, 1, "ana", withSlots(t, doc, 3))).Accepted).To(BeTrue())
	for _, base := range []uint64{3, 4, 1 << 60} {
		out := s.Apply(3, edit(t, base, "ben", withSlots(t, doc, 4)))
		g.Expect(out.Accepted).To(BeFalse(), "base %d", base)
		g.Expect(out.Reason).To(ContainSubstring("has not been reached"))
	}
	g.Expect(s.Entries["e"].Value.Limits.Slots).To(Equal(3))
}
