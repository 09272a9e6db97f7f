// Package peer is the transport between daemons: CBOR messages over WebSocket
// connections to IP addresses. It does not interpret message bodies.
package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Method names a message type.
type Method string

// ErrNotSent means that the message did not leave this daemon, or that the peer
// rejected it before calling a handler. The peer has not acted on it.
var ErrNotSent = eris.New("peer message not sent")

// ErrLost means that the message may have been sent but no answer was received.
// The peer may have acted on it.
var ErrLost = eris.New("peer answer lost")

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Message }

// Handler answers one message. from is the sending daemon's ID. The returned
// value is encoded as CBOR; it is discarded for a one-way message.
type Handler func(ctx context.Context, from string, body cbor.RawMessage) (any, error)

// Caller sends messages to other daemons.
type Caller interface {
	// Call sends req and decodes the answer into resp. Errors match
	// ErrNotSent, ErrLost or *RemoteError.
	Call(ctx context.Context, to string, m Method, req, resp any) error
	// Send sends a one-way message and does not wait for it to arrive.
	Send(ctx context.Context, to string, m Method, msg any) error
}

// Mux registers handlers.
type Mux interface {
	Handle(m Method, h Handler)
}
