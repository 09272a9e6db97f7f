// Package request defines the caller's request and its response, in the form
// in which the packages of the request path and the daemons exchange them.
package request

import (
	"context"
	"time"
)

// Class says how long a request is expected to occupy a slot.
type Class string

// The classes, most urgent first.
const (
	// ClassUrgent is short work that must start within a fixed time.
	ClassUrgent Class = "urgent"
	// ClassShort is work that a caller waits for.
	ClassShort Class = "short"
	// ClassLong is work that runs many times longer than short work.
	ClassLong Class = "long"
)

// Classes lists every class, most urgent first.
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

// Request is one caller's request, validated and matched to a catalogue entry.
type Request struct {
	// ID is the caller's request ID, or one generated for it. Two requests
	// with the same ID are the same request.
	ID string `cbor:"1,keyasint"`
	// Entry names the catalogue entry, Owner its team and Pool its pool.
	Entry string `cbor:"2,keyasint"`
	Owner string `cbor:"3,keyasint"`
	Pool  string `cbor:"4,keyasint"`
	// Class is the class that the caller requested, or else that of the entry.
	Class Class `cbor:"5,keyasint"`
	// Idempotent is set if it is safe to run the request twice.
	Idempotent bool `cbor:"6,keyasint"`
	// Deadline is the time after which the caller no longer waits.
	Deadline time.Time `cbor:"7,keyasint"`
	// Arrived is when the first daemon finished reading the request.
	Arrived time.Time `cbor:"8,keyasint"`
	// Method, Path, Header and Body go to the target unchanged.
	Method string  `cbor:"9,keyasint"`
	Path   string  `cbor:"10,keyasint"`
	Header []Field `cbor:"11,keyasint,omitempty"`
	Body   []byte  `cbor:"12,keyasint,omitempty"`
	// Hops counts the daemons that forwarded the request.
	Hops int `cbor:"13,keyasint,omitempty"`
	// IDGenerated is set if the first daemon generated the ID, so that the
	// caller cannot have sent the request before.
	IDGenerated bool `cbor:"14,keyasint,omitempty"`
}

// Response is the complete response of a target.
type Response struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
	Body   []byte  `cbor:"3,keyasint,omitempty"`
	// Host is the target that ran the request, and Daemon the daemon over
	// whose connection the response came.
	Host   string `cbor:"4,keyasint"`
	Daemon string `cbor:"5,keyasint"`
	// Attempts counts the attempts at targets, including the last one.
	Attempts int `cbor:"6,keyasint"`
	// Queued is how long the request waited for a slot.
	Queued time.Duration `cbor:"7,keyasint"`
}

// Server serves requests. Its errors carry a verdict: see verdict.Of.
type Server interface {
	Serve(ctx context.Context, r *Request) (*Response, error)
}

// ServerFunc adapts a function to Server.
type ServerFunc func(ctx context.Context, r *Request) (*Response, error)

// Serve implements Server.
func (f ServerFunc) Serve(ctx context.Context, r *Request) (*Response, error) {
	return f(ctx, r)
}
