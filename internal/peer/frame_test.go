package peer

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestWithdrawnFrameIsNotWritten checks that either the writer takes a frame or
// the caller withdraws it, never both. ErrNotSent depends on it.
func TestWithdrawnFrameIsNotWritten(t *testing.T) {
	g := NewWithT(t)
	o := &outgoingFrame{}
	g.Expect(o.withdraw()).To(BeTrue())
	g.Expect(o.take()).To(BeFalse())
	o = &outgoingFrame{}
	g.Expect(o.take()).To(BeTrue())
	g.Expect(undeliveredError(o, errClosed)).To(MatchError(ErrLost))
}

func FuzzDecodeFrame(f *testing.F) {
	data, _ := frame{ID: 1, Kind: kindRequest, Method: "m", Body: []byte{0x01}}.encode()
	f.Add(data)
	f.Add([]byte{0xa1, 0x02, 0x09})
	f.Fuzz(func(t *testing.T, data []byte) {
		fr, err := decodeFrame(data)
		if err != nil {
			return
		}
		if _, err := fr.encode(); err != nil {
			t.Fatalf("decoded frame does not encode: %v", err)
		}
	})
}
