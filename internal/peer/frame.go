package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/record"
)

// frameKind is the role of a frame in the protocol.
type frameKind uint8

const (
	// kindRequest expects an answer with the same ID.
	kindRequest frameKind = iota + 1
	// kindResponse carries the answer to the request with the same ID.
	kindResponse
	// kindOneway is a message that is not answered.
	kindOneway
	// kindError carries the error that the handler returned.
	kindError
	// kindBusy reports that the request was rejected before its handler was
	// called, because too many were running or the node is closed.
	kindBusy
	// kindCancel reports that the caller no longer waits for the answer.
	kindCancel
)

// frame is one WebSocket message.
type frame struct {
	ID     uint64    `cbor:"1,keyasint,omitempty"`
	Kind   frameKind `cbor:"2,keyasint"`
	Method Method    `cbor:"3,keyasint,omitempty"`
	// Timeout is the time left until the caller's deadline. It is a duration
	// and not a point in time because the clocks of two hosts differ.
	Timeout time.Duration   `cbor:"4,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	Error   string          `cbor:"6,keyasint,omitempty"`
}

// maxFrameBytes limits the size of one message in either direction.
const maxFrameBytes = 2 << 20

// errFrameTooLarge is returned for a message larger than maxFrameBytes.
var errFrameTooLarge = eris.New("message exceeds 2 MiB")

// encode returns the CBOR encoding of f.
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

// decodeFrame decodes and validates one frame that a peer sent.
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

// wireBytes returns the size of a message including its WebSocket header. Frames
// sent by the client are masked and carry a 4-byte key.
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
