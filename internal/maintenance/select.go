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

// scheduleFraction is the share of the time from a wave's start to its deadline
// over which its hosts are spread evenly. The remainder absorbs delays caused by
// failures.
const scheduleFraction = 0.9

// versionedWave is a catalogue wave with the version of its last edit.
type versionedWave = catalogue.Versioned[catalogue.Wave]

// planDrains returns the drains that waves should start now in the zone, and, for
// a wave that is behind schedule but can start none, a record of the reason. It
// returns nothing while a member of the zone is suspected to be down.
func planDrains(p PublishedState, now time.Time, in Inputs) []Step {
	if len(in.Suspects) > 0 {
		return nil
	}
	c := hostSelector{PublishedState: p, Inputs: in, now: now}
	for _, w := range c.activeWaves() {
		z := c.progressInZone(w)
		if behind := dueHosts(w.Value, z.total, now) - z.done - z.out; behind > 0 {
			c.selectHosts(w, z, behind)
		}
	}
	return c.steps
}

// hostSelector selects the hosts of a zone that its waves drain next.
type hostSelector struct {
	PublishedState
	Inputs
	now time.Time
	// budgetUsage counts what is used of every budget, including by the hosts
	// selected in this plan.
	budgetUsage *pool.BudgetUsage
	steps       []Step
}

// activeWaves returns the waves that may drain hosts now, ordered by deadline and
// then by name.
func (c *hostSelector) activeWaves() []versionedWave {
	var waves []versionedWave
	for name, w := range c.Catalogue.Waves {
		early, late := c.now.Before(w.Value.Start), c.now.After(w.Value.Deadline)
		if early || late || inactiveReason(c.PublishedState, name) != "" {
			continue
		}
		waves = append(waves, w)
	}
	slices.SortFunc(waves, func(a, b versionedWave) int {
		return cmp.Or(a.Value.Deadline.Compare(b.Value.Deadline), strings.Compare(a.Value.Name, b.Value.Name))
	})
	return waves
}

// zoneProgress counts the hosts of one wave in one zone. total includes hosts that
// are neither done, out nor candidates, such as failed ones.
type zoneProgress struct {
	total, done, out int
	// candidates holds the remaining usable hosts, sorted by rack and name.
	candidates []string
}

func (c *hostSelector) progressInZone(w versionedWave) zoneProgress {
	var z zoneProgress
	progress := c.Waves.Progress(w.Value)
	for name, h := range c.Pools.Hosts {
		if h.Zone == c.Zone && pool.WaveSelects(w.Value, h) {
			_, done := progress.Done[name]
			z.addHost(c.Pools, w.Value.Name, name, done)
		}
	}
	slices.SortFunc(z.candidates, func(a, b string) int {
		racks := strings.Compare(c.Pools.Hosts[a].Rack, c.Pools.Hosts[b].Rack)
		return cmp.Or(racks, strings.Compare(a, b))
	})
	return z
}

func (z *zoneProgress) addHost(s *pool.State, wave, name string, done bool) {
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

// dueHosts returns the number of a wave's hosts that should have been taken out of
// service by now, so that the wave proceeds evenly and ends by its deadline.
func dueHosts(w catalogue.Wave, hosts int, now time.Time) int {
	if now.Before(w.Start) {
		return 0
	}
	span := w.Deadline.Sub(w.Start).Seconds() * scheduleFraction
	share := min(now.Sub(w.Start).Seconds()/span, 1)
	return int(math.Ceil(share * float64(hosts)))
}

// selectHosts starts the drains of up to limit candidates that fit all budgets. If
// none fits, it records why the last candidate was rejected.
func (c *hostSelector) selectHosts(w versionedWave, z zoneProgress, limit int) {
	if c.budgetUsage == nil {
		scratch := c.Pools.Clone()
		c.budgetUsage = scratch.BudgetUsage()
	}
	taken, rejection := 0, ""
	for _, name := range z.candidates {
		if taken == limit {
			return
		}
		h := c.Pools.Hosts[name]
		body := pool.StartDrain{Host: name, Purpose: pool.PurposeMaintenance, From: h.Pool, Wave: w.Value.Name}
		if reason := c.budgetUsage.CheckDrain(c.Catalogue, body); reason != "" {
			rejection = reason
			continue
		}
		c.startDrain(w, z, body)
		taken++
	}
	// A wave whose own hosts are still out is waiting for them, not blocked.
	if taken == 0 && z.out == 0 && rejection != "" {
		c.reportBlocked(w, limit, rejection)
	}
}

// startDrain adds the step that starts a drain and counts it against the budgets.
func (c *hostSelector) startDrain(w versionedWave, z zoneProgress, body pool.StartDrain) {
	used := c.budgetUsage.Pool(body.From)
	limit := c.Catalogue.Pools[body.From].Value.MaxUnavailable
	reason := fmt.Sprintf("%d of %d hosts of zone %s done, %d out; pool %s has %d unavailable of at most %d; rack %s",
		z.done, z.total, c.Zone, z.out, body.From, used.Unavailable, limit, c.Pools.Hosts[body.Host].Rack)
	key := fmt.Sprintf("drain/%s/%s", body.Wave, body.Host)
	c.budgetUsage.BeginDrain(pool.Drain{
		ID: key, Host: body.Host, Purpose: body.Purpose, From: body.From, Wave: body.Wave,
	})
	c.addStep(key, pool.KindDrain, waveCause(w, reason), body)
}

// reportBlocked records why a wave that is behind schedule starts no drain, at most
// once per BlockedInterval.
func (c *hostSelector) reportBlocked(w versionedWave, behind int, rejection string) {
	last := c.Waves.Progress(w.Value).Blocked[c.Zone].At
	if c.now.Sub(last) < c.Timing.BlockedInterval {
		return
	}
	reason := fmt.Sprintf("%d hosts of zone %s behind: %s", behind, c.Zone, rejection)
	key := fmt.Sprintf("blocked/%s/%s", w.Value.Name, c.Zone)
	c.addStep(key, KindBlocked, waveCause(w, reason), WaveBlocked{Wave: w.Value.Name, Zone: c.Zone, Reason: rejection})
}

func (c *hostSelector) addStep(key string, kind record.Kind, cause record.Cause, body any) {
	c.steps = append(c.steps, Step{
		Intent: intent.Intent{Key: key, Shared: true, Kind: kind, Cause: cause, Body: body},
	})
}

func waveCause(w versionedWave, reason string) record.Cause {
	return record.Cause{
		Object:  "wave/" + w.Value.Name,
		Owner:   w.Value.Owner,
		Version: w.Version,
		Reason:  reason,
	}
}
