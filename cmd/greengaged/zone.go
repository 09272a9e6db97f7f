package main

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
	"greengagedeck/internal/replica"
)

// topicDemand is the heartbeat topic that carries a daemon's demand.
const topicDemand = "l"

// zoneDemand adds up, over the daemons of a zone, the slots that run work and
// those that refused work would have filled.
type zoneDemand struct {
	self       membership.Member
	dispatcher *dispatch.Dispatcher
	refusals   *pool.RejectedDemand
	detector   *membership.Detector
	logger     zerolog.Logger
}

func newZoneDemand(self membership.Member, d *dispatch.Dispatcher, rf *pool.RejectedDemand, det *membership.Detector, l zerolog.Logger) *zoneDemand {
	z := &zoneDemand{self: self, dispatcher: d, refusals: rf, detector: det, logger: l}
	det.Publish(topicDemand, z.digest)
	return z
}

// own returns this daemon's demand by pool, in slots, without idle pools.
func (z *zoneDemand) own() map[string]int {
	demand := map[string]int{}
	refused := z.refusals.RejectedSlots(time.Now())
	for name, l := range z.dispatcher.Loads() {
		if n := l.Slots - l.Free + int(math.Round(refused[name])); n > 0 {
			demand[name] = n
		}
	}
	return demand
}

func (z *zoneDemand) digest() []byte {
	data, err := record.Encode(z.own())
	if err != nil {
		return nil
	}
	return data
}

// demand returns the zone's demand by pool, in slots.
func (z *zoneDemand) demand() map[string]float64 {
	sum := map[string]float64{}
	add := func(m map[string]int) {
		for name, n := range m {
			sum[name] += float64(n)
		}
	}
	add(z.own())
	for _, id := range z.detector.Mates() {
		var m map[string]int
		data, _, ok := z.detector.Digest(id, topicDemand)
		if !ok || id == z.self.ID || record.Decode(data, &m) != nil {
			continue
		}
		add(m)
	}
	return sum
}

// maxDroppedShare is the share of a zone's hosts that the list may drop at
// once and be believed. A zone that lost more has lost its daemons as well, so
// a daemon that sees more sees a fault of the list.
const maxDroppedShare = 0.5

// failedHosts reads from the platform's list which hosts of the zone are gone
// or leaving.
type failedHosts struct {
	zone    string
	replica *replica.Replica
	list    *membership.ListReader
}

// failed returns the names of those hosts.
func (f failedHosts) failed() map[string]bool {
	out := map[string]bool{}
	total := 0
	for name, h := range f.replica.State().Pools.Hosts {
		if h.Zone != f.zone {
			continue
		}
		total++
		leaving, _ := f.list.Leaving(name)
		if _, dropped := f.list.DroppedFor(name); dropped || leaving {
			out[name] = true
		}
	}
	if float64(len(out)) > maxDroppedShare*float64(total) {
		return nil
	}
	return out
}
