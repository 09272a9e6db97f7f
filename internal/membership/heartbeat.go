package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedeck/internal/peer"
)

// The peer methods of this package.
const (
	// MethodHeartbeat exchanges heartbeats: a Heartbeat is answered by a
	// HeartbeatAnswer.
	MethodHeartbeat peer.Method = "m.hb"
	// MethodList fetches the changes of the platform's host list.
	MethodList peer.Method = "m.list"
)

// Heartbeat is the state that a daemon reports about itself.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the sender's membership epoch, and Offset the offset of the
	// control stream up to which the sender has applied records.
	Epoch  uint64
	Offset uint64
	// Draining is set while the sender is stopping.
	Draining bool
	// Digests are small values of other packages.
	Digests []Digest
}

// Digest is a small value of another package, opaque to this one.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	Data  []byte
}

// HeartbeatAnswer is the receiver's own heartbeat and, if the sender is in
// another zone, the last known status of the daemons in the receiver's zone.
type HeartbeatAnswer struct {
	_         struct{} `cbor:",toarray"`
	Self      Heartbeat
	ZonePeers []PeerStatus
}

// PeerStatus is the status of a daemon as last heard by another one, which relays
// it to a daemon in another zone.
type PeerStatus struct {
	_ struct{} `cbor:",toarray"`
	// IDHash is the hash of the member ID.
	IDHash uint64
	// Epoch is the epoch that the member reported.
	Epoch  uint64
	Offset uint64
	// AgeMillis is the time since the start of the exchange in which the
	// member reported its epoch, in milliseconds.
	AgeMillis uint32
	Draining  bool
}

// hashID returns the hash that stands for a member ID in messages, to save
// bytes.
func hashID(id string) uint64 { return xxhash.Sum64String(id) }

func (s PeerStatus) age() time.Duration {
	return time.Duration(s.AgeMillis) * time.Millisecond
}
