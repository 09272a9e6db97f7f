package maintenance

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/record"
)

// A state decoded from a snapshot must apply further records as the original does:
// decoded empty maps are not nil, and a wave restored during a reboot completes.
func TestRestoredStateContinuesWave(t *testing.T) {
	g := NewWithT(t)
	empty, err := record.Encode(NewState())
	g.Expect(err).NotTo(HaveOccurred())
	var fresh State
	g.Expect(record.Decode(empty, &fresh)).To(Succeed())
	g.Expect(fresh).To(Equal(NewState()))

	s := newOneZoneSim()
	g.Expect(s.runUntil(600, func() bool { return len(s.state.waves.Reboots) > 0 })).To(BeTrue())
	data, err := record.Encode(s.state.waves)
	g.Expect(err).NotTo(HaveOccurred())
	s.state.waves = State{}
	g.Expect(record.Decode(data, &s.state.waves)).To(Succeed())
	g.Expect(s.runUntil(600, func() bool { return s.doneCount("w") == 12 })).To(BeTrue())
}
