package maintenance

import (
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/pool"
)

// Summary is how far a wave is, for people to read.
type Summary struct {
	Wave string `json:"wave"`
	// Hosts counts what the wave selects; Done, Out and Failed those that
	// were maintained, are out now, or failed after reboot and are still out.
	Hosts  int `json:"hosts"`
	Done   int `json:"done"`
	Out    int `json:"out"`
	Failed int `json:"failed"`
	// Due is how many should have been taken by now.
	Due    int    `json:"due"`
	Paused bool   `json:"paused"`
	Halted string `json:"halted,omitempty"`
	// Blocked says by zone why the wave last fell behind.
	Blocked map[string]Blocked `json:"blocked,omitempty"`
}

// Summary returns how far a wave is at now.
func (s *State) Summary(w catalogue.Versioned[catalogue.Wave], p *pool.State, now time.Time) Summary {
	progress := s.Progress(w.Value)
	sum := Summary{
		Wave:    w.Value.Name,
		Paused:  w.Value.Paused,
		Halted:  s.Halted(w),
		Blocked: progress.Blocked,
	}
	for name, h := range p.Hosts {
		if pool.WaveSelects(w.Value, h) {
			_, done := progress.Done[name]
			sum.add(w.Value.Name, p, h, done)
		}
	}
	sum.Due = due(w.Value, sum.Hosts, now)
	return sum
}

func (sum *Summary) add(wave string, p *pool.State, h pool.Host, done bool) {
	sum.Hosts++
	switch {
	case done:
		sum.Done++
	case p.Drains[h.DrainID].Wave != wave:
	case h.Failed:
		sum.Failed++
	default:
		sum.Out++
	}
}
