package platformsim

import (
	"math/rand/v2"
	"sync"
)

// Sampler makes random yes-or-no decisions from a seeded generator.
type Sampler struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewSampler returns a sampler. The same seed gives the same sequence of decisions.
func NewSampler(seed uint64) *Sampler {
	return &Sampler{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Draw returns true with probability p.
func (s *Sampler) Draw(p float64) bool {
	if p <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}
