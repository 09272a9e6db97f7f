// Package record defines the envelope of every record in the control stream.
//
// The order of the control stream is the only order of changes. Each daemon
// folds the same records with the same deterministic functions, so a record
// carries everything its fold may look at: no fold reads a clock, a random
// number or the network.
package record

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
)

// Kind names the type of a record's body.
type Kind string

// Cause ties a record to the catalogue entry and owner it was made for.
type Cause struct {
	// Object is the catalogue object that caused the record, as kind/name,
	// for example "entry/kuwenta-settle" or "wave/monthly".
	Object string `cbor:"1,keyasint,omitempty"`
	// Owner is the owner of that object.
	Owner string `cbor:"2,keyasint,omitempty"`
	// Version is the version of that object when the record was made.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// Reason says in a sentence why, with the figures that were seen.
	Reason string `cbor:"4,keyasint,omitempty"`
}

// Record is one record of the control stream.
type Record struct {
	// ID identifies the record. A record whose ID has been folded before
	// changes nothing, so an append whose answer was lost may be repeated.
	ID ulid.ULID `cbor:"1,keyasint"`
	// Kind selects the slice that folds the record.
	Kind Kind `cbor:"2,keyasint"`
	// Author is the ID of the daemon that appended the record.
	Author string `cbor:"3,keyasint"`
	// At is the author's clock, for people to read. No fold depends on it
	// for order.
	At time.Time `cbor:"4,keyasint"`
	// Cause says what the record was made for.
	Cause Cause `cbor:"5,keyasint"`
	// Body is the CBOR form of the slice's message.
	Body cbor.RawMessage `cbor:"6,keyasint"`
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	m, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the deterministic CBOR form of v.
func Encode(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	return data, eris.Wrap(err, "encode cbor")
}

// Decode reads the CBOR form of a value into v.
func Decode(data []byte, v any) error {
	return eris.Wrap(cbor.Unmarshal(data, v), "decode cbor")
}

// New returns a record with a fresh ID around body.
func New(kind Kind, author string, at time.Time, cause Cause, body any) (Record, error) {
	data, err := Encode(body)
	if err != nil {
		return Record{}, eris.Wrapf(err, "record %s", kind)
	}
	return Record{ID: ulid.Make(), Kind: kind, Author: author, At: at, Cause: cause, Body: data}, nil
}

// Outcome is what folding a record did.
type Outcome struct {
	// Accepted is false when the record changed nothing.
	Accepted bool `cbor:"1,keyasint"`
	// Reason says why a record was turned down, or is empty.
	Reason string `cbor:"2,keyasint,omitempty"`
	// Subjects are the things the decision is about, as kind/name pairs, for
	// example "host/w-01" or "pool/labada". They index decision records.
	Subjects []string `cbor:"3,keyasint,omitempty"`
}

// Accept returns the outcome of a record that took effect.
func Accept(subjects ...string) Outcome {
	return Outcome{Accepted: true, Subjects: subjects}
}

// Reject returns the outcome of a record that changed nothing.
func Reject(reason string, subjects ...string) Outcome {
	return Outcome{Reason: reason, Subjects: subjects}
}
