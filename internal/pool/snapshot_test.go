package pool

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/record"
)

// A state restored from a snapshot must apply further records like the original.
func TestRestoredSnapshotAppliesRecords(t *testing.T) {
	g := NewWithT(t)
	empty, err := record.Encode(NewState())
	g.Expect(err).NotTo(HaveOccurred())
	var fresh State
	g.Expect(record.Decode(empty, &fresh)).To(Succeed())
	g.Expect(fresh).To(Equal(NewState()))

	sim := newSimulation(injectedFaults{})
	sim.startRequest(g, sim.daemons[1], "w0")
	sim.daemons[0].proposeMove("w0", "y")
	sim.runRounds(g, 3)
	data, err := record.Encode(sim.head().pools)
	g.Expect(err).NotTo(HaveOccurred())
	restored := *sim.head()
	restored.pools = State{}
	g.Expect(record.Decode(data, &restored.pools)).To(Succeed())
	sim.log[len(sim.log)-1] = &restored
	sim.hosts["w0"].finishOldest()
	sim.runRounds(g, 5)
	g.Expect(sim.host("w0").Pool).To(Equal("y"))
}
