package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/record"
)

// frameKind says what a frame is for.
type frameKind uint8

const (
	// kindRequest asks for an answer under the frame's ID.
	kindRequest frameKind = iota + 1
	// kindResponse carries the answer to the request with the same ID.
	kindResponse
	// kindOneway wants no answer.
	kindOneway
	// kindError answers with the error that the handler returned.
	kindError
	// kindBusy answers that the request was turned down before its handler
	// was called.
	kindBusy
	// kindCancel says that nobody waits for the answer any more.
	kindCancel
)

// frame is one WebSocket message.
type frame struct {
	ID     uint64    `cbor:"1,keyasint,omitempty"`
	Kind   frameKind `cbor:"2,keyasint"`
	Method Method    `cbor:"3,keyasint,omitempty"`
	// Timeout is what is left of the caller's deadline. A duration and not a
	// time, because clocks of two hosts differ.
	Timeout time.Duration   `cbor:"4,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	Error   string          `cbor:"6,keyasint,omitempty"`
}

// maxFrameBytes bounds one message in either direction.
const maxFrameBytes = 2 << 20

// errFrameTooLarge is returned for a message above maxFrameBytes.
var errFrameTooLarge = eris.New("message exceeds 2 MiB")

// encode returns the bytes of f.
func (f frame) encode() ([]byte, error) {
	data, err := record.Encode(f)
	if err != nil {
		return nil, err
	}
	if len(data) > maxFrameBytes {
		return nil, errFrameTooLarge
	}
	return data, nil
}

// decodeFrame reads one frame from what a peer sent.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := record.Decode(data, &f); err != nil {
		return frame{}, err
	}
	if f.Kind < kindRequest || f.Kind > kindCancel {
		return frame{}, eris.Errorf("unknown frame kind %d", f.Kind)
	}
	return f, nil
}

// wireBytes is the size of a message with its WebSocket header; masked frames,
// which a client sends, carry a 4 byte key.
func wireBytes(payload int, masked bool) int64 {
	n := payload + 2
	if payload > 125 {
		n += 2
	}
	if payload > 0xffff {
		n += 6
	}
	if masked {
		n += 4
	}
	return int64(n)
}
