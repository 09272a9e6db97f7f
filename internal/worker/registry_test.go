package worker

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Guards against a holder that takes the list for one that cannot be read, because no
// worker has written to it.
func TestReadWithoutChangeIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(RegistryOptions{Logger: zerolog.Nop(), Scope: tally.NoopScope})
	var reads []ListChange
	defer r.Watch(func(c ListChange) { reads = append(reads, c) })()
	r.apply(nil, true)
	r.apply(nil, false)
	g.Expect(reads).To(Equal([]ListChange{{Full: true}, {}}))
}
