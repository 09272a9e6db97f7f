package pool

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/record"
)

// A state read back from a snapshot folds on like the one it was taken of.
func TestSnapshotFoldsOnAlike(t *testing.T) {
	g := NewWithT(t)
	empty, err := record.Encode(NewState())
	g.Expect(err).NotTo(HaveOccurred())
	var fresh State
	g.Expect(record.Decode(empty, &fresh)).To(Succeed())
	g.Expect(fresh).To(Equal(NewState()))

	w := newWorld(variant{})
	w.startRequest(g, w.daemons[1], "w0")
	w.daemons[0].propose("w0", "y")
	w.rounds(g, 3)
	data, err := record.Encode(w.head().pools)
	g.Expect(err).NotTo(HaveOccurred())
	restored := *w.head()
	restored.pools = State{}
	g.Expect(record.Decode(data, &restored.pools)).To(Succeed())
	w.log[len(w.log)-1] = &restored
	w.hosts["w0"].finish()
	w.rounds(g, 5)
	g.Expect(w.host("w0").Pool).To(Equal("y"))
}
