package request_test

import (
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/onsi/gomega"

	"greengagedeck/internal/request"
)

func TestNewIDIsUniqueAndHoldsTime(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_796_400_000_123)
	seen := map[ulid.ULID]bool{}
	for range 100_000 {
		id := request.NewID(now)
		g.Expect(id.Time()).To(BeEquivalentTo(now.UnixMilli()))
		seen[id] = true
	}
	g.Expect(seen).To(HaveLen(100_000))
}
