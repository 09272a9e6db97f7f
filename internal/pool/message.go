package pool

import (
	"fmt"
	"slices"
	"time"

	"greengagedeck/internal/record"
)

// The record kinds of this slice.
const (
	// KindDrain starts to take a host out of service.
	KindDrain record.Kind = "pool.drain"
	// KindAck is one member's promise that it uses a draining host no more.
	KindAck record.Kind = "pool.ack"
	// KindCancel gives a draining host back to its pool.
	KindCancel record.Kind = "pool.cancel"
	// KindReturn puts a host that is out back in service.
	KindReturn record.Kind = "pool.return"
	// KindBlocked says why a drain that the catalogue asks for cannot start.
	KindBlocked record.Kind = "pool.blocked"
	// KindDemand keeps a zone's demand of one slot of the day.
	KindDemand record.Kind = "pool.demand"
	// KindHealth marks a host as failed or as healthy again.
	KindHealth record.Kind = "pool.health"
)

// Purpose says what a host is drained for.
type Purpose string

// The purposes of a drain.
const (
	// PurposeMove changes the host's pool.
	PurposeMove Purpose = "move"
	// PurposeMaintenance takes the host out until it is returned.
	PurposeMaintenance Purpose = "maintenance"
	// PurposeReplace puts the host in service at another address, zone or
	// rack, as a new incarnation.
	PurposeReplace Purpose = "replace"
	// PurposeRetire forgets a host that the catalogue no longer names.
	PurposeRetire Purpose = "retire"
)

// StartDrain is the body of a KindDrain record. The drain's ID is the record's.
type StartDrain struct {
	Host    string  `cbor:"1,keyasint"`
	Purpose Purpose `cbor:"2,keyasint"`
	// From is the pool that the author saw as the owner.
	From string `cbor:"3,keyasint"`
	// To is the new pool of a move.
	To string `cbor:"4,keyasint,omitempty"`
	// Wave is the wave that a maintenance is for.
	Wave string `cbor:"5,keyasint,omitempty"`
}

// Ack is the body of a KindAck record. An acknowledgement of an earlier round
// counts for nothing.
type Ack struct {
	Drain string `cbor:"1,keyasint"`
	Round uint64 `cbor:"2,keyasint"`
}

// DrainRef is the body of KindCancel and KindReturn records.
type DrainRef struct {
	Drain string `cbor:"1,keyasint"`
}

// WantBlocked is the body of a KindBlocked record. Version is that of the
// catalogue object that asks.
type WantBlocked struct {
	Host    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Health is the body of a KindHealth record.
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
	// Author is the member that started the drain, at its own clock's At.
	Author string    `cbor:"7,keyasint" json:"author"`
	At     time.Time `cbor:"8,keyasint" json:"at"`
	// Started is the offset of the record that started the drain.
	Started uint64 `cbor:"9,keyasint" json:"started"`
	// Zone is the availability zone whose members must acknowledge.
	Zone string `cbor:"10,keyasint" json:"zone"`
	// Round is the offset at which the members were last asked. They are
	// asked again when one of them is gone without an acknowledgement, since
	// its last requests may outlive it on the host.
	Round uint64 `cbor:"11,keyasint" json:"round"`
	// Waiting names the members that have not acknowledged in this round,
	// sorted. It starts with all members of the zone. A member that joins
	// later starts nothing before it has folded its own admission, and with
	// it the drain.
	Waiting []string     `cbor:"12,keyasint,omitempty" json:"waiting,omitempty"`
	Cause   record.Cause `cbor:"13,keyasint" json:"cause"`
}

// waitsFor reports whether member has yet to acknowledge.
func (d Drain) waitsFor(member string) bool {
	_, found := slices.BinarySearch(d.Waiting, member)
	return found
}

// Subjects names what the drain is about.
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

// String describes the drain to the author of one that came too late.
func (d Drain) String() string {
	switch d.Purpose {
	case PurposeMove:
		return fmt.Sprintf("move %s to %s by %s at offset %d", d.ID, d.To, d.Author, d.Started)
	case PurposeMaintenance:
		return fmt.Sprintf("maintenance %s of wave %s by %s at offset %d", d.ID, d.Wave, d.Author, d.Started)
	default:
		return fmt.Sprintf("%s %s by %s at offset %d", d.Purpose, d.ID, d.Author, d.Started)
	}
}
