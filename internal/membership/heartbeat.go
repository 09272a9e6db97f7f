package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedeck/internal/peer"
)

// The methods of this slice.
const (
	// MethodHeartbeat exchanges heartbeats: a Heartbeat is answered by a
	// HeartbeatAnswer.
	MethodHeartbeat peer.Method = "m.hb"
	// MethodList fetches what changed in the platform's list.
	MethodList peer.Method = "m.list"
)

// Heartbeat is what one daemon tells another about itself.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the sender's folded epoch of membership and Offset its folded
	// offset of the control stream.
	Epoch  uint64
	Offset uint64
	// Draining is set while the sender stops.
	Draining bool
	// Digests are small values that other slices pass on.
	Digests []Digest
}

// Digest is a small value of another slice, opaque to this one.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	Data  []byte
}

// HeartbeatAnswer is the receiver's own heartbeat and, for another zone, what
// it last heard from the daemons of its zone.
type HeartbeatAnswer struct {
	_     struct{} `cbor:",toarray"`
	Self  Heartbeat
	Mates []Sighting
}

// Sighting is what a daemon last heard from another.
type Sighting struct {
	_ struct{} `cbor:",toarray"`
	// Key is the hash of the member ID.
	Key uint64
	// Epoch is the epoch that the member named.
	Epoch  uint64
	Offset uint64
	// AgeMillis is how long ago the exchange began in which the member named
	// its epoch, in milliseconds.
	AgeMillis uint32
	Draining  bool
}

// key shortens a member ID for messages.
func key(id string) uint64 { return xxhash.Sum64String(id) }

func (s Sighting) age() time.Duration {
	return time.Duration(s.AgeMillis) * time.Millisecond
}
