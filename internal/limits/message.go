package limits

import (
	"github.com/rotisserie/eris"

	"greengagedeck/internal/peer"
)

// MethodExchange is the message from the holder of a pool to the allocator.
const MethodExchange peer.Method = "limits.exchange"

// ExchangeRequest is the request of MethodExchange.
type ExchangeRequest struct {
	Pool string `cbor:"1,keyasint"`
	// Token is the fencing token of the pool's holder.
	Token int64 `cbor:"2,keyasint"`
	// Sequence rises with every request of the holder. A late one changes nothing.
	Sequence int64 `cbor:"3,keyasint"`
	// Applied is the version of the grants that the holder has applied. Demand was read
	// afterwards.
	Applied Version `cbor:"4,keyasint"`
	// Config is the version of the configuration whose limits the pool applies. Customers
	// that it limits and that Demand does not name use and want nothing.
	Config int64    `cbor:"5,keyasint"`
	Demand []Demand `cbor:"6,keyasint,omitempty"`
}

// ExchangeResponse is the response to an ExchangeRequest.
type ExchangeResponse struct {
	// Grants are all grants of the pool, or nil if the holder has applied them.
	Grants *Grants `cbor:"1,keyasint,omitempty"`
}

var (
	// ErrNotAllocator means that the daemon does not hold the fleet duty, or has not taken
	// the limits over yet.
	ErrNotAllocator = eris.New("not the allocator")
	// ErrNotRegistered means that the allocator has read no registration of the pool's holder.
	ErrNotRegistered = eris.New("the holder of the pool is not registered")
	// ErrSuperseded means that a later holder of the pool has registered.
	ErrSuperseded = eris.New("a later holder of the pool has registered")
)
