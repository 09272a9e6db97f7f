package pool

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

func gateState(epoch uint64, h Host) *State {
	return &State{Epoch: epoch, Hosts: map[string]Host{"w1": h}}
}

func serving(pool string) Host {
	return Host{Pool: pool, Phase: PhaseServing, Zone: "a"}
}

func TestGateEnterConditions(t *testing.T) {
	tests := []struct {
		name   string
		host   Host
		member bool
		open   bool
		want   bool
	}{
		{"serving host", serving("x"), true, true, true},
		{"not caught up", serving("x"), true, false, false},
		{"not a member", serving("x"), false, true, false},
		{"other pool", serving("y"), true, true, false},
		{"other zone", Host{Pool: "x", Phase: PhaseServing, Zone: "b"}, true, true, false},
		{"draining", Host{Pool: "x", Phase: PhaseDraining, Zone: "a"}, true, true, false},
		{"out", Host{Pool: "x", Phase: PhaseOutOfService, Zone: "a"}, true, true, false},
		{"failed", Host{Pool: "x", Phase: PhaseServing, Zone: "a", Failed: true}, true, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			gate := NewGate("d1", "a")
			gate.Update(gateState(1, tt.host), tt.member)
			if tt.open {
				gate.Open()
			}
			_, ok := gate.Enter("w1", "x")
			g.Expect(ok).To(Equal(tt.want))
			g.Expect(gate.Hosts("x")).To(HaveLen(map[bool]int{true: 1}[tt.want]))
		})
	}
}

func TestGateIdleAfterAllRequestsLeave(t *testing.T) {
	g := NewWithT(t)
	gate := NewGate("d1", "a")
	gate.Update(gateState(1, serving("x")), true)
	gate.Open()
	leave1, _ := gate.Enter("w1", "x")
	leave2, _ := gate.Enter("w1", "x")
	draining := Host{Pool: "x", Phase: PhaseDraining, Zone: "a", DrainID: "m1"}
	gate.Update(gateState(2, draining), true)
	leave1()
	leave1()
	g.Expect(gate.Idle("w1")).To(BeFalse())
	g.Expect(gate.MayAcknowledge("w1", "m1")).To(BeFalse())
	leave2()
	g.Expect(gate.MayAcknowledge("w1", "m1")).To(BeTrue())
	g.Expect(gate.MayAcknowledge("w1", "m2")).To(BeFalse())
}

func TestGateIgnoresOlderState(t *testing.T) {
	g := NewWithT(t)
	gate := NewGate("d1", "a")
	gate.Open()
	gate.Update(gateState(5, serving("y")), true)
	gate.Update(gateState(4, serving("x")), true)
	_, ok := gate.Enter("w1", "x")
	g.Expect(ok).To(BeFalse())
}

// No request may start after MayAcknowledge has reported true, in any order of
// concurrent calls of Enter and Update.
func TestGateConcurrentEnterAndDrain(t *testing.T) {
	g := NewWithT(t)
	for range 200 {
		gate := NewGate("d1", "a")
		gate.Update(gateState(1, serving("x")), true)
		gate.Open()
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				if leave, ok := gate.Enter("w1", "x"); ok {
					leave()
				}
			})
		}
		gate.Update(gateState(2, Host{Pool: "x", Phase: PhaseDraining, Zone: "a", DrainID: "m1"}), true)
		wg.Wait()
		g.Expect(gate.MayAcknowledge("w1", "m1")).To(BeTrue())
	}
}
