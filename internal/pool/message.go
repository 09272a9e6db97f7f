package pool

import (
	"fmt"
	"slices"
	"time"

	"greengagedeck/internal/record"
)

// The record kinds of this package.
const (
	// KindDrain starts to take a host out of service.
	KindDrain record.Kind = "pool.drain"
	// KindAck is one member's acknowledgement that it no longer uses a draining
	// host.
	KindAck record.Kind = "pool.ack"
	// KindCancel cancels a drain and returns the host to its pool.
	KindCancel record.Kind = "pool.cancel"
	// KindReturn returns a host that is out of service to its pool.
	KindReturn record.Kind = "pool.return"
	// KindBlocked records why a drain that the catalogue requests cannot start.
	KindBlocked record.Kind = "pool.blocked"
	// KindDemand records a zone's demand in one time slot of the day.
	KindDemand record.Kind = "pool.demand"
	// KindHealth marks a host as failed or as healthy again.
	KindHealth record.Kind = "pool.health"
)

// Purpose is the reason for which a host is drained.
type Purpose string

// The purposes of a drain.
const (
	// PurposeMove changes the host's pool.
	PurposeMove Purpose = "move"
	// PurposeMaintenance takes the host out of service until it is returned.
	PurposeMaintenance Purpose = "maintenance"
	// PurposeReplace puts the host back in service at another address, zone or
	// rack, as a new incarnation.
	PurposeReplace Purpose = "replace"
	// PurposeRetire removes a host that is no longer in the catalogue.
	PurposeRetire Purpose = "retire"
)

// StartDrain is the body of a KindDrain record. The drain's ID is the record's.
type StartDrain struct {
	Host    string  `cbor:"1,keyasint"`
	Purpose Purpose `cbor:"2,keyasint"`
	// From is the owning pool in the state that the author planned with.
	From string `cbor:"3,keyasint"`
	// To is the new pool of a move.
	To string `cbor:"4,keyasint,omitempty"`
	// Wave is the wave that a maintenance drain belongs to.
	Wave string `cbor:"5,keyasint,omitempty"`
}

// Ack is the body of a KindAck record. An acknowledgement of an earlier round
// is rejected.
type Ack struct {
	Drain string `cbor:"1,keyasint"`
	Round uint64 `cbor:"2,keyasint"`
}

// DrainRef is the body of KindCancel and KindReturn records.
type DrainRef struct {
	Drain string `cbor:"1,keyasint"`
}

// WantBlocked is the body of a KindBlocked record. It records that the drain of
// Host that the catalogue requests cannot start yet. Version is the version of
// the catalogue object that requests the drain.
//
// The type names of record bodies must not change: decode errors contain them,
// and as the reasons of rejected records they become replicated state.
type WantBlocked struct {
	Host    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Health is the body of a KindHealth record. It records that Host has failed or
// is healthy again.
type Health struct {
	Host   string `cbor:"1,keyasint"`
	Failed bool   `cbor:"2,keyasint"`
}

// Drain takes one host out of service.
type Drain struct {
	ID      string  `cbor:"1,keyasint" json:"id"`
	Host    string  `cbor:"2,keyasint" json:"host"`
	Purpose Purpose `cbor:"3,keyasint" json:"purpose"`
	From    string  `cbor:"4,keyasint" json:"from"`
	To      string  `cbor:"5,keyasint,omitempty" json:"to,omitempty"`
	Wave    string  `cbor:"6,keyasint,omitempty" json:"wave,omitempty"`
	// Author is the member that started the drain, and StartedAt the time on
	// its own clock.
	Author    string    `cbor:"7,keyasint" json:"author"`
	StartedAt time.Time `cbor:"8,keyasint" json:"at"`
	// StartOffset is the offset of the record that started the drain.
	StartOffset uint64 `cbor:"9,keyasint" json:"started"`
	// Zone is the availability zone whose members must acknowledge.
	Zone string `cbor:"10,keyasint" json:"zone"`
	// Round is the offset at which the current round of acknowledgements
	// started. A new round starts when a member leaves without having
	// acknowledged, since its last requests may still run on the host.
	Round uint64 `cbor:"11,keyasint" json:"round"`
	// PendingMembers lists the members that have not acknowledged in this
	// round, sorted. A round starts with all members of the zone. A member that
	// joins later is not included: it starts no request before it has applied
	// its own admission record, and with it the drain.
	PendingMembers []string     `cbor:"12,keyasint,omitempty" json:"waiting,omitempty"`
	Cause          record.Cause `cbor:"13,keyasint" json:"cause"`
}

// awaitsAck reports whether member has not acknowledged in this round.
func (d Drain) awaitsAck(member string) bool {
	_, found := slices.BinarySearch(d.PendingMembers, member)
	return found
}

// Subjects returns the objects that the drain concerns.
func (d Drain) Subjects() []string {
	subjects := []string{"host/" + d.Host, "move/" + d.ID, "pool/" + d.From}
	if d.To != "" {
		subjects = append(subjects, "pool/"+d.To)
	}
	if d.Wave != "" {
		subjects = append(subjects, "wave/"+d.Wave)
	}
	return subjects
}

// String describes the drain. It is part of the reason given to the author of a
// later drain of the same host.
func (d Drain) String() string {
	switch d.Purpose {
	case PurposeMove:
		return fmt.Sprintf("move %s to %s by %s at offset %d", d.ID, d.To, d.Author, d.StartOffset)
	case PurposeMaintenance:
		return fmt.Sprintf("maintenance %s of wave %s by %s at offset %d", d.ID, d.Wave, d.Author, d.StartOffset)
	default:
		return fmt.Sprintf("%s %s by %s at offset %d", d.Purpose, d.ID, d.Author, d.StartOffset)
	}
}
