package request

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"
)

// NewID returns a request ID with timestamp now. Unlike the default source of
// the library it takes no lock shared by all requests, and IDs of the same
// millisecond are not ordered.
func NewID(now time.Time) ulid.ULID {
	var id ulid.ULID
	var entropy [16]byte
	binary.BigEndian.PutUint64(entropy[:8], rand.Uint64())
	binary.BigEndian.PutUint64(entropy[8:], rand.Uint64())
	// Neither call fails: the timestamp stays in range for 8,000 years,
	// and the entropy has the length that an ID needs.
	_ = id.SetTime(ulid.Timestamp(now))
	_ = id.SetEntropy(entropy[:10])
	return id
}
