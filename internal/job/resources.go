package job

import "github.com/rotisserie/eris"

// Resources is an amount of a worker's processor, memory and GPU capacity.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int `cbor:"1,keyasint,omitempty"`
	MemoryMB int `cbor:"2,keyasint,omitempty"`
	GPU      int `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns the difference of two amounts.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Times returns the amount multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * n, MemoryMB: r.MemoryMB * n, GPU: r.GPU * n}
}

// FitsIn reports whether r is at most o in every resource.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// maxAmount bounds an amount of a resource. Sums over all tasks of a pool do not
// overflow.
const maxAmount = 1 << 40

// Validate returns an error if an amount is negative or too large to count with.
func (r Resources) Validate() error {
	for _, n := range [...]int{r.CPU, r.MemoryMB, r.GPU} {
		switch {
		case n < 0:
			return eris.Errorf("the amount %d is negative", n)
		case n > maxAmount:
			return eris.Errorf("the amount %d is more than %d", n, maxAmount)
		}
	}
	return nil
}
