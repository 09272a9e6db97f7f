package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/intent"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// paceShare is the share of a wave's time over which its hosts are spread. The
// rest makes up for what failures held up.
const paceShare = 0.9

// planStarts returns the drains that waves want to start in the zone, and why
// a wave that is behind can start none.
func planStarts(p Published, now time.Time, in Inputs) []Step {
	if len(in.Suspects) > 0 {
		return nil
	}
	var steps []Step
	var ledger *pool.Ledger
	for _, w := range activeWaves(p, now) {
		z := zoneOf(p, w, in.Zone)
		want := due(w.Value, z.total, now) - z.done - z.out
		if want <= 0 {
			continue
		}
		if ledger == nil {
			scratch := p.Pools.Clone()
			ledger = scratch.Ledger()
		}
		started, refusal := z.start(p, ledger, w, want)
		steps = append(steps, started...)
		if len(started) == 0 && refusal != "" {
			steps = append(steps, z.blocked(p, w, want, refusal, now, in)...)
		}
	}
	return steps
}

// activeWaves returns the waves that may take hosts now, the most pressing
// first.
func activeWaves(p Published, now time.Time) []catalogue.Versioned[catalogue.Wave] {
	var waves []catalogue.Versioned[catalogue.Wave]
	for name, w := range p.Catalogue.Waves {
		if now.Before(w.Value.Start) || now.After(w.Value.Deadline) || inactive(p, name) != "" {
			continue
		}
		waves = append(waves, w)
	}
	slices.SortFunc(waves, func(a, b catalogue.Versioned[catalogue.Wave]) int {
		return cmp.Or(a.Value.Deadline.Compare(b.Value.Deadline), strings.Compare(a.Value.Name, b.Value.Name))
	})
	return waves
}

// zoneWave is a wave's work in one zone.
type zoneWave struct {
	zone             string
	total, done, out int
	// candidates are the hosts that are left and usable, rack by rack.
	candidates []string
}

func zoneOf(p Published, w catalogue.Versioned[catalogue.Wave], zone string) zoneWave {
	z := zoneWave{zone: zone}
	progress := p.Waves.Progress(w.Value)
	for name, h := range p.Pools.Hosts {
		if h.Zone == zone && pool.Selects(w.Value, h) {
			_, done := progress.Done[name]
			z.add(p.Pools, w.Value.Name, name, h, done)
		}
	}
	slices.SortFunc(z.candidates, func(a, b string) int {
		racks := strings.Compare(p.Pools.Hosts[a].Rack, p.Pools.Hosts[b].Rack)
		return cmp.Or(racks, strings.Compare(a, b))
	})
	return z
}

func (z *zoneWave) add(s *pool.State, wave, name string, h pool.Host, done bool) {
	z.total++
	switch {
	case done:
		z.done++
	case s.Drains[h.Drain].Wave == wave && !h.Failed:
		z.out++
	case h.Usable():
		z.candidates = append(z.candidates, name)
	}
}

// due is how many of a wave's hosts should have been taken by now, for all to be
// done evenly and in time.
func due(w catalogue.Wave, hosts int, now time.Time) int {
	if now.Before(w.Start) {
		return 0
	}
	span := w.Deadline.Sub(w.Start).Seconds() * paceShare
	share := min(now.Sub(w.Start).Seconds()/span, 1)
	return int(math.Ceil(share * float64(hosts)))
}

// start takes up to want hosts for which every budget has room, and returns why
// the last one was not taken.
func (z *zoneWave) start(p Published, ledger *pool.Ledger, w catalogue.Versioned[catalogue.Wave], want int) (steps []Step, refusal string) {
	for _, name := range z.candidates {
		if len(steps) == want {
			break
		}
		h := p.Pools.Hosts[name]
		body := pool.StartDrain{Host: name, Purpose: pool.PurposeMaintenance, From: h.Pool, Wave: w.Value.Name}
		if why := ledger.CheckDrain(p.Catalogue, body); why != "" {
			refusal = why
			continue
		}
		step := z.drainStep(body, h, ledger.Spent(h.Pool), p, w)
		ledger.Begin(pool.Drain{
			ID: step.Intent.Key, Host: name, Purpose: body.Purpose, From: body.From, Wave: body.Wave,
		})
		steps = append(steps, step)
	}
	return steps, refusal
}

func (z *zoneWave) drainStep(body pool.StartDrain, h pool.Host, spent pool.Spent, p Published, w catalogue.Versioned[catalogue.Wave]) Step {
	limit := p.Catalogue.Pools[h.Pool].Value.MaxUnavailable
	reason := fmt.Sprintf("%d of %d hosts of zone %s done, %d out; pool %s has %d unavailable of at most %d; rack %s",
		z.done, z.total, z.zone, z.out, h.Pool, spent.Unavailable, limit, h.Rack)
	return Step{
		Host: body.Host,
		Intent: intent.Intent{
			Key:    fmt.Sprintf("drain/%s/%s", body.Wave, body.Host),
			Shared: true,
			Kind:   pool.KindDrain,
			Cause:  waveCause(w, reason),
			Body:   body,
		},
	}
}

func waveCause(w catalogue.Versioned[catalogue.Wave], reason string) record.Cause {
	return record.Cause{
		Object:  "wave/" + w.Value.Name,
		Owner:   w.Value.Owner,
		Version: w.Version,
		Reason:  reason,
	}
}

// blocked returns the record that says why a wave that is behind takes no host,
// at most one in every BlockedInterval. A wave that only waits for its own
// hosts to come back is not blocked.
func (z *zoneWave) blocked(p Published, w catalogue.Versioned[catalogue.Wave], want int, refusal string, now time.Time, in Inputs) []Step {
	last := p.Waves.Progress(w.Value).Blocked[z.zone].At
	if z.out > 0 || now.Sub(last) < in.Timing.BlockedInterval {
		return nil
	}
	body := WaveBlocked{Wave: w.Value.Name, Zone: z.zone, Reason: refusal}
	reason := fmt.Sprintf("%d hosts of zone %s behind: %s", want, z.zone, refusal)
	return []Step{{Intent: intent.Intent{
		Key:    fmt.Sprintf("blocked/%s/%s", w.Value.Name, z.zone),
		Shared: true,
		Kind:   KindBlocked,
		Cause:  waveCause(w, reason),
		Body:   body,
	}}}
}
