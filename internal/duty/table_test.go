package duty

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

// claimInTurns lets the first in rank claim each duty in turn, and returns how
// many each host then holds.
func claimInTurns(live []Peer, duties int) map[string]int {
	t := newTable()
	held := map[string]int{}
	for i := range duties {
		n := OfPool(fmt.Sprintf("p%d", i))
		for _, p := range live {
			if t.rank(n, p.Member, live) == 0 {
				t.claims[n] = Claim{Duty: n, Holder: p.Member, Token: Token(i + 1)}
				held[p.Host]++
				break
			}
		}
	}
	return held
}

func TestDutiesGoToHostsThatCanCarryThem(t *testing.T) {
	g := NewWithT(t)
	var live []Peer
	for i := range 30 {
		live = append(live, Peer{Member: Member{Host: fmt.Sprintf("small-%d", i), Weight: 0.1}})
	}
	for i := range 6 {
		live = append(live, Peer{Member: Member{Host: fmt.Sprintf("large-%d", i), Weight: 0.8}})
	}
	held := claimInTurns(live, 6)
	for i := range 6 {
		g.Expect(held[fmt.Sprintf("large-%d", i)]).To(Equal(1))
	}
	// With more duties than the large hosts should carry, small ones take some.
	held = claimInTurns(live, 57)
	g.Expect(held["small-0"] + held["small-1"] + held["small-2"]).To(BeNumerically(">", 0))
	g.Expect(held["large-0"]).To(BeNumerically(">", 3))
}

func TestLastHolderAndLeavingDaemonsAreNoCandidates(t *testing.T) {
	g := NewWithT(t)
	live := []Peer{
		{Member: Member{Host: "a", Weight: 1}},
		{Member: Member{Host: "b", Weight: 1}, Leaving: true},
		{Member: Member{Host: "c", Weight: 0.1}, HeartbeatSeen: time.Second},
	}
	tab := newTable()
	n := OfPool("p")
	tab.claims[n] = Claim{Duty: n, Holder: live[0].Member, Token: 1}
	g.Expect(tab.rank(n, live[2].Member, live)).To(Equal(0))
	g.Expect(tab.rank(n, live[0].Member, live)).To(Equal(1))
	g.Expect(tab.rank(n, live[1].Member, live)).To(Equal(1))
}

func TestLateHeartbeatOfAnEarlierLifeIsIgnored(t *testing.T) {
	g := NewWithT(t)
	tab := newTable()
	n := OfPool("p")
	old, reborn := Member{Host: "a", Incarnation: 1}, Member{Host: "a", Incarnation: 2}
	tab.claims[n] = Claim{Duty: n, Holder: old, Token: 1}
	for i, m := range []Member{old, reborn, old} {
		value, err := record.Encode(heartbeat{Member: m})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(tab.foldHeartbeat(logstore.Record{Offset: int64(i), Key: m.Host, Value: value}, time.Second)).To(Succeed())
	}
	g.Expect(tab.peers["a"].Incarnation).To(Equal(int64(2)))
	g.Expect(tab.vacant(n)).To(BeTrue())
}
