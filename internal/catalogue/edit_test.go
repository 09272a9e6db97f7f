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

// loadedState returns the state and the document after an edit at offset 1 that
// adds the objects of validFile.
func loadedState(t *testing.T) (catalogue.State, catalogue.Document) {
	t.Helper()
	g := NewWithT(t)
	doc := mustLoad(t, validFile)
	changes, err := catalogue.Diff(catalogue.Document{}, doc, false)
	g.Expect(err).NotTo(HaveOccurred())
	s := catalogue.NewState()
	g.Expect(s.Apply(1, edit(t, 0, "ana", changes...)).Accepted).To(BeTrue())
	return s, doc
}

// withSlots returns a change that sets the slots limit of entry e.
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

func TestConflictNamesTheOtherOperator(t *testing.T) {
	g := NewWithT(t)
	s, doc := loadedState(t)
	g.Expect(s.Apply(2, edit(t, 1, "ana", withSlots(t, doc, 3))).Accepted).To(BeTrue())

	out := s.Apply(3, edit(t, 1, "ben", withSlots(t, doc, 4)))
	g.Expect(out.Accepted).To(BeFalse())
	g.Expect(out.Reason).To(ContainSubstring("entry/e was changed by ana at version 2"))
	g.Expect(s.Entries["e"].Value.Limits.Slots).To(Equal(3))
	g.Expect(s.Version).To(BeEquivalentTo(2))
}

func TestEditOfARemovedObjectIsAConflict(t *testing.T) {
	g := NewWithT(t)
	s, doc := loadedState(t)
	remove := catalogue.Change{Key: catalogue.Key{Kind: catalogue.KindEntry, Name: "e"}, Delete: true}
	g.Expect(s.Apply(2, edit(t, 1, "ana", remove)).Accepted).To(BeTrue())
	out := s.Apply(3, edit(t, 1, "ben", withSlots(t, doc, 4)))
	g.Expect(out.Reason).To(ContainSubstring("changed by ana at version 2"))
	g.Expect(s.Apply(4, edit(t, 3, "ben", withSlots(t, doc, 4))).Accepted).To(BeTrue())
}

func TestInvalidEditChangesNothing(t *testing.T) {
	g := NewWithT(t)
	s, _ := loadedState(t)
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

// TestConcurrentEditsOfTwoOperators makes two operators edit one entry in 200
// rounds, both based on the same version. In each round only the edit that is
// applied first may be accepted, and its value must be kept.
func TestConcurrentEditsOfTwoOperators(t *testing.T) {
	g := NewWithT(t)
	const seed = 4
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	s, doc := loadedState(t)
	offset := uint64(1)
	for round := range 200 {
		base := s.Version
		first, second := "ana", "ben"
		if rng.IntN(2) == 0 {
			first, second = second, first
		}
		offset++
		accepted := s.Apply(offset, edit(t, base, first, withSlots(t, doc, 2*round+1)))
		offset++
		rejected := s.Apply(offset, edit(t, base, second, withSlots(t, doc, 2*round+2)))
		g.Expect(accepted.Accepted).To(BeTrue())
		g.Expect(rejected.Accepted).To(BeFalse())
		g.Expect(rejected.Reason).To(ContainSubstring(first))
		g.Expect(s.Entries["e"].Value.Limits.Slots).To(Equal(2*round + 1))
	}
}

// TestFutureBaseVersionIsRejected applies edits whose base is above every
// existing version. No change by another operator would count as later than such
// a base, so all conflicts would be missed.
func TestFutureBaseVersionIsRejected(t *testing.T) {
	g := NewWithT(t)
	s, doc := loadedState(t)
	g.Expect(s.Apply(2, edit(t, 1, "ana", withSlots(t, doc, 3))).Accepted).To(BeTrue())
	for _, base := range []uint64{3, 4, 1 << 60} {
		out := s.Apply(3, edit(t, base, "ben", withSlots(t, doc, 4)))
		g.Expect(out.Accepted).To(BeFalse(), "base %d", base)
		g.Expect(out.Reason).To(ContainSubstring("has not been reached"))
	}
	g.Expect(s.Entries["e"].Value.Limits.Slots).To(Equal(3))
}
