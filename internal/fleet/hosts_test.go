package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestListOlderThanAnOrderKeepsWhatTheOrderDid(t *testing.T) {
	g := NewWithT(t)
	old := func() []Machine {
		return []Machine{{Name: "m1", Pool: "a", State: Up, Worker: "w1"}, {Name: "m2", Pool: "a", State: Up, Worker: "w2"}}
	}
	h := newHosts()
	h.replace(old(), 10*time.Second)
	h.change("m1", 11*time.Second, func(m *Machine) { m.State, m.Worker = Upkeep, "" })
	// The answer to a call of 10.9 s arrives now: it may not know the order.
	h.replace(old(), 10900*time.Millisecond)
	g.Expect(h.list[0].State).To(Equal(Upkeep))
	g.Expect(h.list[1].State).To(Equal(Up))
	// One that was asked for afterwards does, and the host may be back.
	h.replace(old(), 12*time.Second)
	g.Expect(h.list[0].State).To(Equal(Up))
	g.Expect(h.changes).To(BeEmpty())
}

func TestListIsAskedForAgainAfterAnOrder(t *testing.T) {
	g := NewWithT(t)
	h := newHosts()
	g.Expect(h.fresh(0)).To(BeFalse())
	h.replace([]Machine{{Name: "m1"}}, time.Second)
	g.Expect(h.fresh(time.Second + listAge/2)).To(BeTrue())
	h.stale = true
	g.Expect(h.fresh(time.Second + listAge/2)).To(BeFalse())
	h.replace([]Machine{{Name: "m1"}}, 2*time.Second)
	g.Expect(h.fresh(2*time.Second + listAge)).To(BeFalse())
}
