// Package record defines the envelope of every record in the control stream.
//
// The order of the control stream is the only order of changes. Each daemon
// applies the same records to its state with the same deterministic functions, so
// a record carries everything that applying it depends on: these functions read no
// clock, no random numbers and no network.
package record

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
)

// Kind names the type of a record's body.
type Kind string

// Cause names the catalogue object for which a record was made, and its owner.
type Cause struct {
	// Object is the catalogue object that caused the record, as kind/name,
	// for example "entry/kuwenta-settle" or "wave/monthly".
	Object string `cbor:"1,keyasint,omitempty"`
	// Owner is the owner of that object.
	Owner string `cbor:"2,keyasint,omitempty"`
	// Version is the version of that object when the record was made.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// Reason is a sentence that says why the record was made, with the observed
	// values.
	Reason string `cbor:"4,keyasint,omitempty"`
}

// Record is one record of the control stream.
type Record struct {
	// ID identifies the record. A record whose ID was applied before changes
	// nothing, so an append whose answer was lost can be repeated.
	ID ulid.ULID `cbor:"1,keyasint"`
	// Kind selects the component that applies the record.
	Kind Kind `cbor:"2,keyasint"`
	// Author is the ID of the daemon that appended the record.
	Author string `cbor:"3,keyasint"`
	// At is the author's clock, for information only. The order of records does
	// not depend on it.
	At time.Time `cbor:"4,keyasint"`
	// Cause is the object for which the record was made.
	Cause Cause `cbor:"5,keyasint"`
	// Body is the CBOR encoding of the component's message.
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

// Encode returns the deterministic CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	return data, eris.Wrap(err, "encode cbor")
}

// Decode decodes a CBOR value into v.
func Decode(data []byte, v any) error {
	return eris.Wrap(cbor.Unmarshal(data, v), "decode cbor")
}

// New returns a record with a new ID and the encoded body.
func New(kind Kind, author string, at time.Time, cause Cause, body any) (Record, error) {
	data, err := Encode(body)
	if err != nil {
		return Record{}, eris.Wrapf(err, "record %s", kind)
	}
	return Record{ID: ulid.Make(), Kind: kind, Author: author, At: at, Cause: cause, Body: data}, nil
}

// Outcome is the result of applying a record.
type Outcome struct {
	// Accepted is false when the record was rejected and changed nothing.
	Accepted bool `cbor:"1,keyasint"`
	// Reason says why a record was rejected, or is empty.
	Reason string `cbor:"2,keyasint,omitempty"`
	// Subjects are the objects that the decision concerns, as kind/name pairs,
	// for example "host/w-01" or "pool/labada". Decision records are indexed by
	// them.
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
