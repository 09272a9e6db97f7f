package request

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"
)

// NewID returns a request ID of the time now. Unlike the default source of the
// library it takes no lock that all requests share, and IDs of one millisecond
// are in no order.
func NewID(now time.Time) ulid.ULID {
	var id ulid.ULID
	var entropy [16]byte
	binary.BigEndian.PutUint64(entropy[:8], rand.Uint64())
	binary.BigEndian.PutUint64(entropy[8:], rand.Uint64())
	// Neither call fails: the time is in range for 8,000 years, and the
	// entropy is as long as an ID needs.
	_ = id.SetTime(ulid.Timestamp(now))
	_ = id.SetEntropy(entropy[:10])
	return id
}
