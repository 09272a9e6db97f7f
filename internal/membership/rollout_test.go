package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fixedProgress is a progress that a test sets.
type fixedProgress map[string]uint64

func (p fixedProgress) LiveMembers() []Member {
	var out []Member
	for id := range p {
		out = append(out, Member{ID: id})
	}
	return out
}

func (p fixedProgress) OffsetOf(id string) uint64 { return p[id] }

func TestRolloutEndsWithTheSlowestLiveMember(t *testing.T) {
	g := NewWithT(t)
	p := fixedProgress{"a": 10, "b": 9}
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

func TestRolloutDoesNotWaitForADeadMember(t *testing.T) {
	g := NewWithT(t)
	p := fixedProgress{"a": 10, "dead": 3}
	r := NewRollouts(p)
	began := time.Now()
	r.Begin(10, began)
	delete(p, "dead")
	r.step(began.Add(time.Second))
	g.Expect(r.Rollouts(began)).To(HaveLen(1))
}

func TestRolloutsAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := NewRollouts(fixedProgress{"a": 0})
	for v := range uint64(10 * maxOpenRollouts) {
		r.Begin(v+1, time.Now())
	}
	g.Expect(r.open).To(HaveLen(maxOpenRollouts))
}
