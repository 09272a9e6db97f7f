package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestOlderListKeepsOrderResult(t *testing.T) {
	g := NewWithT(t)
	old := func() []Host {
		return []Host{{Name: "m1", Pool: "a", State: HostUp, Worker: "w1"}, {Name: "m2", Pool: "a", State: HostUp, Worker: "w2"}}
	}
	h := newHostList()
	h.replace(old(), 10*time.Second)
	h.applyChange("m1", 11*time.Second, func(m *Host) { m.State, m.Worker = HostInMaintenance, "" })
	// The list requested at 10.9 s arrives now and may not show the order's result.
	h.replace(old(), 10900*time.Millisecond)
	g.Expect(h.hosts[0].State).To(Equal(HostInMaintenance))
	g.Expect(h.hosts[1].State).To(Equal(HostUp))
	// A list requested after the order ended shows it, and the host may be up again.
	h.replace(old(), 12*time.Second)
	g.Expect(h.hosts[0].State).To(Equal(HostUp))
	g.Expect(h.changes).To(BeEmpty())
}

func TestHostListFreshness(t *testing.T) {
	g := NewWithT(t)
	h := newHostList()
	g.Expect(h.fresh(0)).To(BeFalse())
	h.replace([]Host{{Name: "m1"}}, time.Second)
	g.Expect(h.fresh(time.Second + maxListAge/2)).To(BeTrue())
	h.stale = true
	g.Expect(h.fresh(time.Second + maxListAge/2)).To(BeFalse())
	h.replace([]Host{{Name: "m1"}}, 2*time.Second)
	g.Expect(h.fresh(2*time.Second + maxListAge)).To(BeFalse())
}

// Guards against a wave that is shown as completed (MIXED) because a list lacks a host
// that is there: the pages of a list are no snapshot.
func TestWaveIsNotCompletedForHostMissingFromOneList(t *testing.T) {
	g := NewWithT(t)
	w := WaveView{Wave: Wave{Number: 1, Hosts: []string{"m1", "m2"}}, Started: map[string]bool{"m1": true}}
	h := newHostList()
	g.Expect(allStarted(w, h.gone)).To(BeFalse(), "nothing is known of the hosts")
	h.replace([]Host{{Name: "m1"}, {Name: "m2"}}, time.Second)
	h.replace([]Host{{Name: "m1"}}, 2*time.Second)
	g.Expect(allStarted(w, h.gone)).To(BeFalse(), "one list lacks m2")
	h.replace([]Host{{Name: "m1"}, {Name: "m2"}}, 3*time.Second)
	h.replace([]Host{{Name: "m1"}}, 4*time.Second)
	g.Expect(allStarted(w, h.gone)).To(BeFalse(), "it was back")
	h.replace([]Host{{Name: "m1"}}, 5*time.Second)
	g.Expect(allStarted(w, h.gone)).To(BeTrue(), "m2 is gone")
}
