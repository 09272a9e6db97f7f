package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SplitSlots returns self's part of a host's slots when the daemons of a zone
// divide them evenly; daemons must be sorted. The remainder is assigned to
// daemons by the host's name alone, so that daemons whose lists of hosts differ
// for a moment still do not use one slot twice.
func SplitSlots(slots int, host string, daemons []string, self string) int {
	n := len(daemons)
	rank, ok := slices.BinarySearch(daemons, self)
	if !ok {
		return 0
	}
	part := slots / n
	first := int(xxhash.Sum64String(host) % uint64(n))
	if (rank+first)%n < slots%n {
		part++
	}
	return part
}
