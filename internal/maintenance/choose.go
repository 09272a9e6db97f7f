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

// wave is a wave with its version.
type wave = catalogue.Versioned[catalogue.Wave]

// planStarts returns the drains that waves want to start in the zone, and why
// a wave that is behind can start none.
func planStarts(p Published, now time.Time, in Inputs) []Step {
	if len(in.Suspects) > 0 {
		return nil
	}
	c := chooser{Published: p, Inputs: in, now: now}
	for _, w := range c.activeWaves() {
		z := c.zoneOf(w)
		if want := due(w.Value, z.total, now) - z.done - z.out; want > 0 {
			c.choose(w, z, want)
		}
	}
	return c.steps
}

// chooser picks the hosts that the waves of a zone take next.
type chooser struct {
	Published
	Inputs
	now time.Time
	// ledger counts what is spent of the budgets, chosen hosts included.
	ledger *pool.BudgetUsage
	steps  []Step
}

// activeWaves returns the waves that may take hosts now, the most pressing
// first.
func (c *chooser) activeWaves() []wave {
	var waves []wave
	for name, w := range c.Catalogue.Waves {
		early, late := c.now.Before(w.Value.Start), c.now.After(w.Value.Deadline)
		if early || late || inactive(c.Published, name) != "" {
			continue
		}
		waves = append(waves, w)
	}
	slices.SortFunc(waves, func(a, b wave) int {
		return cmp.Or(a.Value.Deadline.Compare(b.Value.Deadline), strings.Compare(a.Value.Name, b.Value.Name))
	})
	return waves
}

// zoneWave is a wave's work in one zone.
type zoneWave struct {
	total, done, out int
	// candidates are the hosts that are left and usable, rack by rack.
	candidates []string
}

func (c *chooser) zoneOf(w wave) zoneWave {
	var z zoneWave
	progress := c.Waves.Progress(w.Value)
	for name, h := range c.Pools.Hosts {
		if h.Zone == c.Zone && pool.WaveSelects(w.Value, h) {
			_, done := progress.Done[name]
			z.add(c.Pools, w.Value.Name, name, done)
		}
	}
	slices.SortFunc(z.candidates, func(a, b string) int {
		racks := strings.Compare(c.Pools.Hosts[a].Rack, c.Pools.Hosts[b].Rack)
		return cmp.Or(racks, strings.Compare(a, b))
	})
	return z
}

func (z *zoneWave) add(s *pool.State, wave, name string, done bool) {
	h := s.Hosts[name]
	z.total++
	switch {
	case done:
		z.done++
	case s.Drains[h.DrainID].Wave == wave && !h.Failed:
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

// choose takes up to want hosts for which every budget has room. When there is
// room for none, it says why the last one was not taken.
func (c *chooser) choose(w wave, z zoneWave, want int) {
	if c.ledger == nil {
		scratch := c.Pools.Clone()
		c.ledger = scratch.BudgetUsage()
	}
	taken, refusal := 0, ""
	for _, name := range z.candidates {
		if taken == want {
			return
		}
		h := c.Pools.Hosts[name]
		body := pool.StartDrain{Host: name, Purpose: pool.PurposeMaintenance, From: h.Pool, Wave: w.Value.Name}
		if why := c.ledger.CheckDrain(c.Catalogue, body); why != "" {
			refusal = why
			continue
		}
		c.take(w, z, body)
		taken++
	}
	// A wave that only waits for its own hosts to come back is not blocked.
	if taken == 0 && z.out == 0 && refusal != "" {
		c.blocked(w, want, refusal)
	}
}

func (c *chooser) take(w wave, z zoneWave, body pool.StartDrain) {
	spent := c.ledger.Pool(body.From)
	limit := c.Catalogue.Pools[body.From].Value.MaxUnavailable
	reason := fmt.Sprintf("%d of %d hosts of zone %s done, %d out; pool %s has %d unavailable of at most %d; rack %s",
		z.done, z.total, c.Zone, z.out, body.From, spent.Unavailable, limit, c.Pools.Hosts[body.Host].Rack)
	key := fmt.Sprintf("drain/%s/%s", body.Wave, body.Host)
	c.ledger.BeginDrain(pool.Drain{
		ID: key, Host: body.Host, Purpose: body.Purpose, From: body.From, Wave: body.Wave,
	})
	c.add(key, pool.KindDrain, waveCause(w, reason), body)
}

// blocked records why a wave that is behind takes no host, at most once in every
// BlockedInterval.
func (c *chooser) blocked(w wave, want int, refusal string) {
	last := c.Waves.Progress(w.Value).Blocked[c.Zone].At
	if c.now.Sub(last) < c.Timing.BlockedInterval {
		return
	}
	reason := fmt.Sprintf("%d hosts of zone %s behind: %s", want, c.Zone, refusal)
	key := fmt.Sprintf("blocked/%s/%s", w.Value.Name, c.Zone)
	c.add(key, KindBlocked, waveCause(w, reason), WaveBlocked{Wave: w.Value.Name, Zone: c.Zone, Reason: refusal})
}

func (c *chooser) add(key string, kind record.Kind, cause record.Cause, body any) {
	c.steps = append(c.steps, Step{
		Intent: intent.Intent{Key: key, Shared: true, Kind: kind, Cause: cause, Body: body},
	})
}

func waveCause(w wave, reason string) record.Cause {
	return record.Cause{
		Object:  "wave/" + w.Value.Name,
		Owner:   w.Value.Owner,
		Version: w.Version,
		Reason:  reason,
	}
}
