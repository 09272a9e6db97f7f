// Package request holds the caller's request and the answer to it, in the
// form that the slices of the request path pass on, also between daemons.
package request

import (
	"context"
	"time"
)

// Class is how long the work of a request is expected to hold a slot.
type Class string

// The classes of work, most pressing first.
const (
	// ClassUrgent is short work that must start within a fixed bound.
	ClassUrgent Class = "urgent"
	// ClassShort is work that a caller waits for.
	ClassShort Class = "short"
	// ClassLong is work that runs many times longer than short work.
	ClassLong Class = "long"
)

// Classes lists every class, most pressing first.
var Classes = []Class{ClassUrgent, ClassShort, ClassLong}

// Valid reports whether c is one of Classes.
func (c Class) Valid() bool {
	return c == ClassUrgent || c == ClassShort || c == ClassLong
}

// Field is one HTTP header field.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is one caller's request, checked and tied to a catalogue entry.
type Request struct {
	// ID is the caller's request ID, or one made for it. Two requests with
	// one ID are the same request.
	ID string `cbor:"1,keyasint"`
	// Entry names the catalogue entry, Owner its team and Pool its pool.
	Entry string `cbor:"2,keyasint"`
	Owner string `cbor:"3,keyasint"`
	Pool  string `cbor:"4,keyasint"`
	// Class is the declared class.
	Class Class `cbor:"5,keyasint"`
	// Idempotent is set when running the request twice does no harm.
	Idempotent bool `cbor:"6,keyasint"`
	// Deadline is when the caller gives up.
	Deadline time.Time `cbor:"7,keyasint"`
	// Arrived is when the first daemon had read the request.
	Arrived time.Time `cbor:"8,keyasint"`
	// Method, Path, Header and Body go to the target unchanged.
	Method string  `cbor:"9,keyasint"`
	Path   string  `cbor:"10,keyasint"`
	Header []Field `cbor:"11,keyasint,omitempty"`
	Body   []byte  `cbor:"12,keyasint,omitempty"`
	// Hops counts the daemons that handed the request on.
	Hops int `cbor:"13,keyasint,omitempty"`
	// Minted is set when the first daemon made the ID, so that no earlier
	// send of the request can exist.
	Minted bool `cbor:"14,keyasint,omitempty"`
}

// Response is the whole answer of a target.
type Response struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
	Body   []byte  `cbor:"3,keyasint,omitempty"`
	// Host is the target that ran the request and Daemon the daemon whose
	// connection it came over.
	Host   string `cbor:"4,keyasint"`
	Daemon string `cbor:"5,keyasint"`
	// Attempts counts the tries at targets, the last one included.
	Attempts int `cbor:"6,keyasint"`
	// Queued is how long the request waited for a slot.
	Queued time.Duration `cbor:"7,keyasint"`
}

// Server answers requests. An error carries a verdict: see verdict.Of.
type Server interface {
	Serve(ctx context.Context, r *Request) (*Response, error)
}

// ServerFunc adapts a function to Server.
type ServerFunc func(ctx context.Context, r *Request) (*Response, error)

// Serve implements Server.
func (f ServerFunc) Serve(ctx context.Context, r *Request) (*Response, error) {
	return f(ctx, r)
}
