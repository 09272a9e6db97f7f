package platformsim

import (
	"math/rand/v2"
	"sync"
)

// Chance draws yes or no from a seeded generator.
type Chance struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewChance returns a generator that gives the same draws for the same seed.
func NewChance(seed uint64) *Chance {
	return &Chance{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Hit reports true with probability p.
func (c *Chance) Hit(p float64) bool {
	if p <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64() < p
}
