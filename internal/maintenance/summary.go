package maintenance

import (
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/pool"
)

// Summary is the progress of a wave as shown to operators.
type Summary struct {
	Wave string `json:"wave"`
	// Hosts counts the hosts that the wave selects. Of these, Done counts the
	// maintained ones, Out those that are out of service now, and Failed those
	// that failed after reboot and are still out.
	Hosts  int `json:"hosts"`
	Done   int `json:"done"`
	Out    int `json:"out"`
	Failed int `json:"failed"`
	// Due is how many hosts should have been taken out of service by now.
	Due    int    `json:"due"`
	Paused bool   `json:"paused"`
	Halted string `json:"halted,omitempty"`
	// Blocked holds, by zone, why the wave was last blocked.
	Blocked map[string]Blocked `json:"blocked,omitempty"`
}

// Summary returns the progress of a wave at now.
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
	sum.Due = dueHosts(w.Value, sum.Hosts, now)
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
