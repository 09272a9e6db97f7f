package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fakeOffsets implements MemberOffsets with the offsets that a test sets.
type fakeOffsets map[string]uint64

func (p fakeOffsets) LiveMembers() []Member {
	var out []Member
	for id := range p {
		out = append(out, Member{ID: id})
	}
	return out
}

func (p fakeOffsets) OffsetOf(id string) uint64 { return p[id] }

func TestRolloutEndsWithSlowestLiveMember(t *testing.T) {
	g := NewWithT(t)
	p := fakeOffsets{"a": 10, "b": 9}
	r := NewRollouts(p)
	began := time.Now()
	r.Begin(10, began)
	r.step(began.Add(time.Second))
	g.Expect(r.Rollouts(began)).To(BeEmpty())
	p["b"] = 10
	r.step(began.Add(2 * time.Second))
	g.Expect(r.Rollouts(began)).To(Equal([]time.Duration{2 * time.Second}))
	g.Expect(r.Rollouts(began.Add(3 * time.Second))).To(BeEmpty())
}

func TestRolloutIgnoresDeadMember(t *testing.T) {
	g := NewWithT(t)
	p := fakeOffsets{"a": 10, "dead": 3}
	r := NewRollouts(p)
	began := time.Now()
	r.Begin(10, began)
	delete(p, "dead")
	r.step(began.Add(time.Second))
	g.Expect(r.Rollouts(began)).To(HaveLen(1))
}

func TestOpenRolloutsAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := NewRollouts(fakeOffsets{"a": 0})
	for v := range uint64(10 * maxOpenRollouts) {
		r.Begin(v+1, time.Now())
	}
	g.Expect(r.open).To(HaveLen(maxOpenRollouts))
}
