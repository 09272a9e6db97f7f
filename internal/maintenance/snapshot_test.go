package maintenance

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

	s := oneZone()
	g.Expect(s.until(600, func() bool { return len(s.state.waves.Reboots) > 0 })).To(BeTrue())
	data, err := record.Encode(s.state.waves)
	g.Expect(err).NotTo(HaveOccurred())
	s.state.waves = State{}
	g.Expect(record.Decode(data, &s.state.waves)).To(Succeed())
	g.Expect(s.until(600, func() bool { return s.done("w") == 12 })).To(BeTrue())
}
