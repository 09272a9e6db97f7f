package pool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/intent"
	"greengagedeck/internal/platform"
)

// rounds lets n seconds pass, and fails when two pools use a host meanwhile.
func (w *world) rounds(g Gomega, n int) {
	for range n {
		w.round(time.Second)
		g.Expect(w.violation()).To(Succeed())
	}
}

func (w *world) host(name string) Host { return w.head().pools.Hosts[name] }

// count returns how many records of a kind the fold accepted and turned down.
func (w *world) count(kind string) (accepted, rejected int) {
	for _, out := range w.outcomes {
		switch {
		case string(out.kind) != kind:
		case out.Accepted:
			accepted++
		default:
			rejected++
		}
	}
	return accepted, rejected
}

// startRequest puts a request of d on the wire to host.
func (w *world) startRequest(g Gomega, d *daemon, host string) *run {
	r := d.enterOwned(host)
	g.Expect(r).NotTo(BeNil())
	w.hosts[host].send()
	return r
}

func TestMoverPaused20sInMidMove(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	mover := w.daemons[0]
	w.startRequest(g, mover, "w0")
	mover.propose("w0", "y")
	w.rounds(g, 2)
	g.Expect(w.host("w0").Phase).To(Equal(PhaseDraining))
	w.setPaused(mover, true)
	w.hosts["w0"].finish()
	w.rounds(g, 20)
	g.Expect(w.host("w0").Pool).To(Equal("x"), "the move waits for the paused mover")
	w.setPaused(mover, false)
	w.rounds(g, 10)
	g.Expect(w.host("w0").Pool).To(Equal("y"))
}

func TestZoneCutFromPlatformInMidMove(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.startRequest(g, w.daemons[1], "w0")
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 2)
	for _, d := range w.daemons {
		d.cut = true
	}
	w.hosts["w0"].finish()
	w.rounds(g, 120)
	g.Expect(w.host("w0").Phase).To(Equal(PhaseDraining))
	g.Expect(w.daemons[1].enterOwned("w1")).NotTo(BeNil(), "the cut zone serves its other hosts")
	for _, d := range w.daemons {
		d.cut = false
	}
	w.rounds(g, 90)
	g.Expect(w.host("w0").Phase).To(Equal(PhaseServing))
	g.Expect(w.head().pools.Drains).To(BeEmpty())
}

func TestAcknowledgerReplacedInMidMove(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.startRequest(g, w.daemons[1], "w0")
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 5)
	w.kill(w.daemons[1])
	w.rounds(g, 5)
	g.Expect(w.host("w0").Phase).To(Equal(PhaseDraining))
	w.start(1)
	w.rounds(g, 20)
	g.Expect(w.host("w0").Pool).To(Equal("x"), "the request outlives its daemon on the host")
	w.hosts["w0"].finish()
	w.rounds(g, 10)
	g.Expect(w.host("w0").Pool).To(Equal("y"))
}

func TestAcknowledgerRemovedInMidMove(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.startRequest(g, w.daemons[1], "w0")
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 5)
	w.remove(w.daemons[1])
	w.rounds(g, 20)
	g.Expect(w.host("w0").Pool).To(Equal("x"), "the request outlives its daemon on the host")
	w.hosts["w0"].finish()
	w.rounds(g, 10)
	g.Expect(w.host("w0").Pool).To(Equal("y"))
}

func TestTwoMoversAtOnce(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	first, second := w.daemons[0], w.daemons[1]
	first.propose("w0", "y")
	second.propose("w0", "z")
	first.step()
	// The second mover has not folded the first one's record, and it has
	// waited long enough to act for itself.
	second.step()
	w.now = w.now.Add(intent.DefaultRankDelay)
	second.step()
	accepted, rejected := w.count(string(KindDrain))
	g.Expect(accepted).To(Equal(1))
	g.Expect(rejected).To(Equal(1))
	loser := w.outcomes[len(w.outcomes)-1]
	g.Expect(loser.Reason).To(ContainSubstring("to y by " + first.id))
	g.Expect(loser.Subjects).To(ContainElements("host/w0", "pool/x", "pool/z"))
	second.desired = nil
	w.rounds(g, 10)
	g.Expect(w.host("w0").Pool).To(Equal("y"))
}

func TestLostAppendAnswerInMidMove(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.mode = logLosesAnswer
	w.daemons[0].propose("w0", "y")
	for range 3 {
		w.daemons[0].step()
		w.now = w.now.Add(time.Second)
	}
	w.rounds(g, 10)
	g.Expect(w.host("w0").Pool).To(Equal("y"))
	accepted, rejected := w.count(string(KindDrain))
	g.Expect(accepted).To(Equal(1), "each retry repeats the record ID")
	g.Expect(rejected).To(Equal(0))
	accepted, rejected = w.count(string(KindAck))
	g.Expect(accepted).To(Equal(worldDaemons))
	g.Expect(rejected).To(Equal(0))
}

func TestLateAcknowledgementOfAnEarlierMove(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.daemons[2].cut = true
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 5)
	drain := w.host("w0").Drain
	w.append(newRecord(KindCancel, w.daemons[0].id, w.now, DrainRef{Drain: drain}))
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 5)
	g.Expect(w.host("w0").Drain).NotTo(Equal(drain))
	w.append(newRecord(KindAck, w.daemons[2].id, w.now, Ack{Drain: drain}))
	w.rounds(g, 5)
	g.Expect(w.host("w0").Pool).To(Equal("x"))
}

func TestLateAcknowledgementOfAnEarlierRound(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	gone, late := w.daemons[1], w.daemons[2]
	w.startRequest(g, gone, "w0")
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 2)
	drain := w.host("w0").Drain
	round := w.head().pools.Drains[drain].Round
	late.cut = true
	w.kill(gone)
	w.start(1)
	w.append(newRecord(KindAck, late.id, w.now, Ack{Drain: drain, Round: round}))
	g.Expect(w.outcomes[len(w.outcomes)-1].Reason).To(ContainSubstring("acknowledges round"))
	g.Expect(w.head().pools.Drains[drain].Waiting).To(ContainElement(late.id))
}

func TestMemberThatJoinsInMidMoveIsNotWaitedFor(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.remove(w.daemons[2])
	w.startRequest(g, w.daemons[1], "w0")
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 2)
	w.start(2)
	joined := w.daemons[2]
	joined.fold(len(w.log))
	joined.paused = true
	g.Expect(joined.gate.mayStart("w0", "x")).To(BeFalse())
	w.hosts["w0"].finish()
	w.rounds(g, 10)
	g.Expect(w.host("w0").Pool).To(Equal("y"))
}

func TestMoveIsNotStartedWhileAMemberIsSuspect(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.daemons[0].ctl.opts.Suspects = func() []string { return []string{w.daemons[1].id} }
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 3)
	g.Expect(w.host("w0").Phase).To(Equal(PhaseServing))
}

func TestMoveWaitsForLongWorkButNotForASilentMember(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.startRequest(g, w.daemons[2], "w0")
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 2)
	w.daemons[0].desired = nil
	w.rounds(g, 120)
	g.Expect(w.host("w0").Phase).To(Equal(PhaseDraining))
	w.setPaused(w.daemons[2], true)
	w.daemons[0].ctl.opts.Suspects = func() []string { return []string{w.daemons[2].id} }
	w.rounds(g, 2)
	g.Expect(w.host("w0").Phase).To(Equal(PhaseServing))
	g.Expect(w.host("w0").Pool).To(Equal("x"))
}

func hostKey(name string) catalogue.Key {
	return catalogue.Key{Kind: catalogue.KindHost, Name: name}
}

func TestEditOfAHostsPoolMovesIt(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	h := w.head().catalogue.Hosts["w0"].Value
	h.Pool = "y"
	w.append(editOf(w.head(), false, map[catalogue.Key]any{hostKey("w0"): h}))
	w.rounds(g, 10)
	g.Expect(w.host("w0").Pool).To(Equal("y"))
	g.Expect(w.host("w0").Wanted).To(BeEmpty())
}

func TestBlockedEditIsRecordedOnceAndCarriedOutLater(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	objects := map[catalogue.Key]any{}
	for _, name := range worldHosts {
		h := w.head().catalogue.Hosts[name].Value
		h.Pool = "y"
		objects[hostKey(name)] = h
	}
	x := w.head().catalogue.Pools["x"].Value
	x.MinHosts = 1
	objects[catalogue.Key{Kind: catalogue.KindPool, Name: "x"}] = x
	w.append(editOf(w.head(), false, objects))
	w.rounds(g, 30)
	accepted, rejected := w.count(string(KindBlocked))
	g.Expect(accepted).To(Equal(1))
	g.Expect(rejected).To(Equal(0))
	g.Expect(w.head().pools.Spent("x").Owned).To(Equal(1))
	x.MinHosts = 0
	w.append(editOf(w.head(), false, map[catalogue.Key]any{{Kind: catalogue.KindPool, Name: "x"}: x}))
	w.rounds(g, 30)
	g.Expect(w.head().pools.Spent("y").Owned).To(Equal(3))
}

func TestLendingThatWaitsTooLongGivesTheHostBack(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.startRequest(g, w.daemons[2], "w0")
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 2)
	w.daemons[0].desired = nil
	w.now = w.now.Add(DefaultLendingTimeout)
	w.rounds(g, 2)
	g.Expect(w.host("w0").Phase).To(Equal(PhaseServing))
}

func TestMoveOfAnEditWaitsHoweverLong(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.startRequest(g, w.daemons[2], "w0")
	h := w.head().catalogue.Hosts["w0"].Value
	h.Pool = "y"
	w.append(editOf(w.head(), false, map[catalogue.Key]any{hostKey("w0"): h}))
	w.rounds(g, 2)
	w.now = w.now.Add(2 * DefaultLendingTimeout)
	w.rounds(g, 2)
	g.Expect(w.host("w0").Phase).To(Equal(PhaseDraining))
}

func TestLentHostOfARemovedPoolGoesBack(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 10)
	g.Expect(w.host("w0").Pool).To(Equal("y"))
	w.daemons[0].desired = nil
	w.append(editOf(w.head(), true, map[catalogue.Key]any{{Kind: catalogue.KindPool, Name: "y"}: nil}))
	w.rounds(g, 10)
	g.Expect(w.host("w0").Pool).To(Equal("x"))
}

func TestRemovedHostIsDrainedThenRetired(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.startRequest(g, w.daemons[1], "w0")
	w.append(editOf(w.head(), true, map[catalogue.Key]any{hostKey("w0"): nil}))
	w.rounds(g, 5)
	g.Expect(w.host("w0").Phase).To(Equal(PhaseDraining))
	w.hosts["w0"].finish()
	w.daemons[1].gate.busy = map[string]int{}
	w.rounds(g, 5)
	g.Expect(w.head().pools.Hosts).NotTo(HaveKey("w0"))
}

func TestHostWithAnotherAddressIsANewIncarnation(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	r := w.startRequest(g, w.daemons[1], "w0")
	h := w.head().catalogue.Hosts["w0"].Value
	old := h.Address
	h.Address = "127.0.0.1:29999"
	w.append(editOf(w.head(), false, map[catalogue.Key]any{hostKey("w0"): h}))
	w.rounds(g, 5)
	g.Expect(w.host("w0").Address).To(Equal(old), "the old incarnation still runs a request")
	r.leave()
	w.rounds(g, 5)
	g.Expect(w.host("w0").Address).To(Equal(h.Address))
	g.Expect(w.host("w0").Pool).To(Equal("x"))
}

func TestGateOfARemovedMemberStaysShut(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	d := w.daemons[1]
	w.remove(d)
	d.dead = false
	d.fold(len(w.log))
	g.Expect(d.enterOwned("w0")).To(BeNil())
}

func TestUsageUnavailableHoldsAMoveUp(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(variant{})
	w.daemons[0].propose("w0", "y")
	w.daemons[0].step()
	for range 5 {
		w.now = w.now.Add(time.Second)
		w.hosts["w0"].report = platform.HostUsage{}
		for _, d := range w.daemons {
			d.fold(len(w.log))
			d.step()
		}
	}
	g.Expect(w.host("w0").Pool).To(Equal("x"))
}
