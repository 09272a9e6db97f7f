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
	// LatestSlot is the index of the last recorded time slot, counted from the
	// Unix epoch.
	LatestSlot int64 `cbor:"1,keyasint"`
	// Pools holds the mean demand of each pool, in hosts, by time slot of the
	// day.
	Pools map[string][]float32 `cbor:"2,keyasint"`
}

// SlotDemand is the body of a KindDemand record. It records the mean demand of
// each pool of a zone, in hosts, in the time slot Index, which is counted from
// the Unix epoch.
type SlotDemand struct {
	Zone  string             `cbor:"1,keyasint"`
	Index int64              `cbor:"2,keyasint"`
	Pools map[string]float32 `cbor:"3,keyasint"`
}

func timeSlotIndex(t time.Time) int64 { return t.Unix() / int64(timeSlotLength/time.Second) }

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
	if body.Index <= old.LatestSlot {
		return record.Reject("the slot has been recorded", subject)
	}
	s.Demand[body.Zone] = old.withTimeSlot(body, v.Catalogue())
	return record.Accept(subject)
}

// withTimeSlot returns a copy that includes the demand of one more time slot and
// omits pools that are no longer in the catalogue.
func (z ZoneDemand) withTimeSlot(body SlotDemand, c *catalogue.State) ZoneDemand {
	next := ZoneDemand{LatestSlot: body.Index, Pools: maps.Clone(z.Pools)}
	if next.Pools == nil {
		next.Pools = map[string][]float32{}
	}
	for pool, mean := range body.Pools {
		day := make([]float32, timeSlotsPerDay)
		copy(day, z.Pools[pool])
		day[body.Index%timeSlotsPerDay] = mean
		next.Pools[pool] = day
	}
	maps.DeleteFunc(next.Pools, func(pool string, _ []float32) bool {
		_, ok := c.Pools[pool]
		return !ok
	})
	return next
}

// policyStateFromDemand returns the policy state that the recorded demand of the
// last day gives.
func policyStateFromDemand(z ZoneDemand) SparePolicyState {
	m := SparePolicyState{}
	for pool, day := range z.Pools {
		var pm PoolPolicyState
		copy(pm.DailyDemand[:], day)
		m[pool] = pm
	}
	return m
}

// planDemand records the demand of the last time slot that has ended, unless it
// is recorded already.
func planDemand(p PublishedState, in PlanInputs) []intent.Intent {
	d := in.Demand
	if d == nil || d.Index <= p.Pools.Demand[d.Zone].LatestSlot {
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
