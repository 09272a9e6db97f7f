package pool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/intent"
	"greengagedeck/internal/platform"
)

// runRounds advances the simulation by n seconds and checks the invariants after
// each.
func (sim *simulation) runRounds(g Gomega, n int) {
	for range n {
		sim.round(time.Second)
		g.Expect(sim.checkInvariants()).To(Succeed())
	}
}

func (sim *simulation) host(name string) Host { return sim.head().pools.Hosts[name] }

// countOutcomes returns how many records of a kind were accepted and rejected.
func (sim *simulation) countOutcomes(kind string) (accepted, rejected int) {
	for _, out := range sim.outcomes {
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

// startRequest starts a request of d and sends it to host.
func (sim *simulation) startRequest(g Gomega, d *daemon, host string) *simRequest {
	r := d.enterAsOwner(host)
	g.Expect(r).NotTo(BeNil())
	sim.hosts[host].sendAll()
	return r
}

func TestMoveWaitsForPausedAuthor(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	author := sim.daemons[0]
	sim.startRequest(g, author, "w0")
	author.proposeMove("w0", "y")
	sim.runRounds(g, 2)
	g.Expect(sim.host("w0").Phase).To(Equal(PhaseDraining))
	sim.setPaused(author, true)
	sim.hosts["w0"].finishOldest()
	sim.runRounds(g, 20)
	g.Expect(sim.host("w0").Pool).To(Equal("x"), "the move waits for its paused author")
	sim.setPaused(author, false)
	sim.runRounds(g, 10)
	g.Expect(sim.host("w0").Pool).To(Equal("y"))
}

func TestMoveFinishesAfterPlatformOutage(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.startRequest(g, sim.daemons[1], "w0")
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 2)
	for _, d := range sim.daemons {
		d.disconnected = true
	}
	sim.hosts["w0"].finishOldest()
	sim.runRounds(g, 120)
	g.Expect(sim.host("w0").Phase).To(Equal(PhaseDraining))
	g.Expect(sim.daemons[1].enterAsOwner("w1")).NotTo(BeNil(), "the disconnected zone still uses its other hosts")
	for _, d := range sim.daemons {
		d.disconnected = false
	}
	sim.runRounds(g, 90)
	g.Expect(sim.host("w0").Phase).To(Equal(PhaseServing))
	g.Expect(sim.head().pools.Drains).To(BeEmpty())
}

func TestMoveWaitsForRequestOfReplacedDaemon(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.startRequest(g, sim.daemons[1], "w0")
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 5)
	sim.killDaemon(sim.daemons[1])
	sim.runRounds(g, 5)
	g.Expect(sim.host("w0").Phase).To(Equal(PhaseDraining))
	sim.startDaemon(1)
	sim.runRounds(g, 20)
	g.Expect(sim.host("w0").Pool).To(Equal("x"), "the request outlives its daemon on the host")
	sim.hosts["w0"].finishOldest()
	sim.runRounds(g, 10)
	g.Expect(sim.host("w0").Pool).To(Equal("y"))
}

func TestMoveWaitsForRequestOfRemovedDaemon(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.startRequest(g, sim.daemons[1], "w0")
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 5)
	sim.removeDaemon(sim.daemons[1])
	sim.runRounds(g, 20)
	g.Expect(sim.host("w0").Pool).To(Equal("x"), "the request outlives its daemon on the host")
	sim.hosts["w0"].finishOldest()
	sim.runRounds(g, 10)
	g.Expect(sim.host("w0").Pool).To(Equal("y"))
}

func TestConcurrentMovesOfOneHost(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	first, second := sim.daemons[0], sim.daemons[1]
	first.proposeMove("w0", "y")
	second.proposeMove("w0", "z")
	first.step()
	// The second daemon has not applied the first one's record, and it has
	// waited long enough to append its own.
	second.step()
	sim.now = sim.now.Add(intent.DefaultRankDelay)
	second.step()
	accepted, rejected := sim.countOutcomes(string(KindDrain))
	g.Expect(accepted).To(Equal(1))
	g.Expect(rejected).To(Equal(1))
	loser := sim.outcomes[len(sim.outcomes)-1]
	g.Expect(loser.Reason).To(ContainSubstring("to y by " + first.id))
	g.Expect(loser.Subjects).To(ContainElements("host/w0", "pool/x", "pool/z"))
	second.proposals = nil
	sim.runRounds(g, 10)
	g.Expect(sim.host("w0").Pool).To(Equal("y"))
}

func TestMoveRetriesAppendWithLostResponse(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.mode = logLosesResponse
	sim.daemons[0].proposeMove("w0", "y")
	for range 3 {
		sim.daemons[0].step()
		sim.now = sim.now.Add(time.Second)
	}
	sim.runRounds(g, 10)
	g.Expect(sim.host("w0").Pool).To(Equal("y"))
	accepted, rejected := sim.countOutcomes(string(KindDrain))
	g.Expect(accepted).To(Equal(1), "each retry repeats the record ID")
	g.Expect(rejected).To(Equal(0))
	accepted, rejected = sim.countOutcomes(string(KindAck))
	g.Expect(accepted).To(Equal(simDaemonCount))
	g.Expect(rejected).To(Equal(0))
}

func TestLateAckOfEarlierMoveIsIgnored(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.daemons[2].disconnected = true
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 5)
	drain := sim.host("w0").DrainID
	sim.append(newRecord(KindCancel, sim.daemons[0].id, sim.now, DrainRef{Drain: drain}))
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 5)
	g.Expect(sim.host("w0").DrainID).NotTo(Equal(drain))
	sim.append(newRecord(KindAck, sim.daemons[2].id, sim.now, Ack{Drain: drain}))
	sim.runRounds(g, 5)
	g.Expect(sim.host("w0").Pool).To(Equal("x"))
}

func TestLateAckOfEarlierRoundIsRejected(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	killed, late := sim.daemons[1], sim.daemons[2]
	sim.startRequest(g, killed, "w0")
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 2)
	drain := sim.host("w0").DrainID
	round := sim.head().pools.Drains[drain].Round
	late.disconnected = true
	sim.killDaemon(killed)
	sim.startDaemon(1)
	sim.append(newRecord(KindAck, late.id, sim.now, Ack{Drain: drain, Round: round}))
	g.Expect(sim.outcomes[len(sim.outcomes)-1].Reason).To(ContainSubstring("acknowledges round"))
	g.Expect(sim.head().pools.Drains[drain].PendingMembers).To(ContainElement(late.id))
}

func TestMoveDoesNotWaitForMemberThatJoinsLater(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.removeDaemon(sim.daemons[2])
	sim.startRequest(g, sim.daemons[1], "w0")
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 2)
	sim.startDaemon(2)
	joined := sim.daemons[2]
	joined.applyRecords(len(sim.log))
	joined.paused = true
	g.Expect(joined.gate.mayStart("w0", "x")).To(BeFalse())
	sim.hosts["w0"].finishOldest()
	sim.runRounds(g, 10)
	g.Expect(sim.host("w0").Pool).To(Equal("y"))
}

func TestMoveNotStartedWhileMemberIsSuspected(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.daemons[0].controller.opts.Suspects = func() []string { return []string{sim.daemons[1].id} }
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 3)
	g.Expect(sim.host("w0").Phase).To(Equal(PhaseServing))
}

func TestMoveWaitsForLongRequestsButNotForUnresponsiveMembers(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.startRequest(g, sim.daemons[2], "w0")
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 2)
	sim.daemons[0].proposals = nil
	sim.runRounds(g, 120)
	g.Expect(sim.host("w0").Phase).To(Equal(PhaseDraining))
	sim.setPaused(sim.daemons[2], true)
	sim.daemons[0].controller.opts.Suspects = func() []string { return []string{sim.daemons[2].id} }
	sim.runRounds(g, 2)
	g.Expect(sim.host("w0").Phase).To(Equal(PhaseServing))
	g.Expect(sim.host("w0").Pool).To(Equal("x"))
}

func hostKey(name string) catalogue.Key {
	return catalogue.Key{Kind: catalogue.KindHost, Name: name}
}

func TestCatalogueEditMovesHost(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	h := sim.head().catalogue.Hosts["w0"].Value
	h.Pool = "y"
	sim.append(editOf(sim.head(), false, map[catalogue.Key]any{hostKey("w0"): h}))
	sim.runRounds(g, 10)
	g.Expect(sim.host("w0").Pool).To(Equal("y"))
	g.Expect(sim.host("w0").RequestedPool).To(BeEmpty())
}

func TestBlockedEditIsRecordedOnceAndAppliedLater(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	objects := map[catalogue.Key]any{}
	for _, name := range simHosts {
		h := sim.head().catalogue.Hosts[name].Value
		h.Pool = "y"
		objects[hostKey(name)] = h
	}
	x := sim.head().catalogue.Pools["x"].Value
	x.MinHosts = 1
	objects[catalogue.Key{Kind: catalogue.KindPool, Name: "x"}] = x
	sim.append(editOf(sim.head(), false, objects))
	sim.runRounds(g, 30)
	accepted, rejected := sim.countOutcomes(string(KindBlocked))
	g.Expect(accepted).To(Equal(1))
	g.Expect(rejected).To(Equal(0))
	g.Expect(sim.head().pools.PoolUsage("x").Owned).To(Equal(1))
	x.MinHosts = 0
	sim.append(editOf(sim.head(), false, map[catalogue.Key]any{{Kind: catalogue.KindPool, Name: "x"}: x}))
	sim.runRounds(g, 30)
	g.Expect(sim.head().pools.PoolUsage("y").Owned).To(Equal(3))
}

func TestLendingMoveIsCancelledAfterTimeout(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.startRequest(g, sim.daemons[2], "w0")
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 2)
	sim.daemons[0].proposals = nil
	sim.now = sim.now.Add(DefaultLendingTimeout)
	sim.runRounds(g, 2)
	g.Expect(sim.host("w0").Phase).To(Equal(PhaseServing))
}

func TestMoveOfCatalogueEditHasNoTimeout(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.startRequest(g, sim.daemons[2], "w0")
	h := sim.head().catalogue.Hosts["w0"].Value
	h.Pool = "y"
	sim.append(editOf(sim.head(), false, map[catalogue.Key]any{hostKey("w0"): h}))
	sim.runRounds(g, 2)
	sim.now = sim.now.Add(2 * DefaultLendingTimeout)
	sim.runRounds(g, 2)
	g.Expect(sim.host("w0").Phase).To(Equal(PhaseDraining))
}

func TestLentHostReturnsWhenPoolIsRemoved(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 10)
	g.Expect(sim.host("w0").Pool).To(Equal("y"))
	sim.daemons[0].proposals = nil
	sim.append(editOf(sim.head(), true, map[catalogue.Key]any{{Kind: catalogue.KindPool, Name: "y"}: nil}))
	sim.runRounds(g, 10)
	g.Expect(sim.host("w0").Pool).To(Equal("x"))
}

func TestRemovedHostIsDrainedThenRetired(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.startRequest(g, sim.daemons[1], "w0")
	sim.append(editOf(sim.head(), true, map[catalogue.Key]any{hostKey("w0"): nil}))
	sim.runRounds(g, 5)
	g.Expect(sim.host("w0").Phase).To(Equal(PhaseDraining))
	sim.hosts["w0"].finishOldest()
	sim.daemons[1].gate.inProgress = map[string]int{}
	sim.runRounds(g, 5)
	g.Expect(sim.head().pools.Hosts).NotTo(HaveKey("w0"))
}

func TestAddressChangeWaitsForRunningRequests(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	r := sim.startRequest(g, sim.daemons[1], "w0")
	h := sim.head().catalogue.Hosts["w0"].Value
	old := h.Address
	h.Address = "127.0.0.1:29999"
	sim.append(editOf(sim.head(), false, map[catalogue.Key]any{hostKey("w0"): h}))
	sim.runRounds(g, 5)
	g.Expect(sim.host("w0").Address).To(Equal(old), "the old incarnation still runs a request")
	r.leave()
	sim.runRounds(g, 5)
	g.Expect(sim.host("w0").Address).To(Equal(h.Address))
	g.Expect(sim.host("w0").Pool).To(Equal("x"))
}

func TestGateOfRemovedMemberRejectsRequests(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	d := sim.daemons[1]
	sim.removeDaemon(d)
	d.dead = false
	d.applyRecords(len(sim.log))
	g.Expect(d.enterAsOwner("w0")).To(BeNil())
}

func TestMoveWaitsForHostUsageReport(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(injectedFaults{})
	sim.daemons[0].proposeMove("w0", "y")
	sim.daemons[0].step()
	for range 5 {
		sim.now = sim.now.Add(time.Second)
		sim.hosts["w0"].report = platform.HostUsage{}
		for _, d := range sim.daemons {
			d.applyRecords(len(sim.log))
			d.step()
		}
	}
	g.Expect(sim.host("w0").Pool).To(Equal("x"))
}
