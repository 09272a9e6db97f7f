package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/intent"
	"greengagedeck/internal/record"
)

// ZoneDemand is the demand of a zone over the last day.
type ZoneDemand struct {
	// Latest is the index of the slot that was recorded last, counted since
	// the Unix epoch.
	Latest int64 `cbor:"1,keyasint"`
	// Pools holds the mean demand of each pool, in hosts, by slot of the day.
	Pools map[string][]float32 `cbor:"2,keyasint"`
}

// SlotDemand is the body of a KindDemand record: the mean demand of each pool
// of a zone, in hosts, in the slot with an index.
type SlotDemand struct {
	Zone  string             `cbor:"1,keyasint"`
	Index int64              `cbor:"2,keyasint"`
	Pools map[string]float32 `cbor:"3,keyasint"`
}

func slotIndex(t time.Time) int64 { return t.Unix() / int64(slotLength/time.Second) }

func (s *State) applyDemand(r record.Record, v View) record.Outcome {
	var body SlotDemand
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	subject := "zone/" + body.Zone
	if !slices.Contains(v.ZoneMembers(body.Zone), r.Author) {
		return record.Reject(r.Author+" is not a member of zone "+body.Zone, subject)
	}
	old := s.Demand[body.Zone]
	if body.Index <= old.Latest {
		return record.Reject("the slot has been recorded", subject)
	}
	s.Demand[body.Zone] = old.with(body, v.Catalogue())
	return record.Accept(subject)
}

// with returns a copy with one more slot, without pools that are gone.
func (z ZoneDemand) with(body SlotDemand, c *catalogue.State) ZoneDemand {
	next := ZoneDemand{Latest: body.Index, Pools: maps.Clone(z.Pools)}
	if next.Pools == nil {
		next.Pools = map[string][]float32{}
	}
	for pool, mean := range body.Pools {
		day := make([]float32, daySlots)
		copy(day, z.Pools[pool])
		day[body.Index%daySlots] = mean
		next.Pools[pool] = day
	}
	maps.DeleteFunc(next.Pools, func(pool string, _ []float32) bool {
		_, ok := c.Pools[pool]
		return !ok
	})
	return next
}

// remembered returns what a policy knows of the last day from the state.
func remembered(z ZoneDemand) SpareMemory {
	m := SpareMemory{}
	for pool, day := range z.Pools {
		var pm PoolMemory
		copy(pm.Day[:], day)
		m[pool] = pm
	}
	return m
}

// planDemand records the slot that has ended, when nobody has.
func planDemand(p Published, in Inputs) []intent.Intent {
	d := in.Demand
	if d == nil || d.Index <= p.Pools.Demand[d.Zone].Latest {
		return nil
	}
	return []intent.Intent{{
		Key:    fmt.Sprintf("demand/%s/%d", d.Zone, d.Index),
		Shared: true,
		Kind:   KindDemand,
		Cause:  record.Cause{Object: "zone/" + d.Zone, Reason: "demand that the spare policy goes by tomorrow"},
		Body:   *d,
	}}
}
