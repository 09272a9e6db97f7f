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

// zoneDemand sums, over the daemons of a zone, the slots that run work and those
// that rejected work would have filled.
type zoneDemand struct {
	self           membership.Member
	dispatcher     *dispatch.Dispatcher
	rejectedDemand *pool.RejectedDemand
	detector       *membership.Detector
	logger         zerolog.Logger
}

func newZoneDemand(self membership.Member, d *dispatch.Dispatcher, rejected *pool.RejectedDemand, det *membership.Detector, l zerolog.Logger) *zoneDemand {
	z := &zoneDemand{self: self, dispatcher: d, rejectedDemand: rejected, detector: det, logger: l}
	det.Publish(topicDemand, z.encodeLocalDemand)
	return z
}

// localDemand returns this daemon's demand by pool, in slots, without idle pools.
func (z *zoneDemand) localDemand() map[string]int {
	demand := map[string]int{}
	rejected := z.rejectedDemand.RejectedSlots(time.Now())
	for name, l := range z.dispatcher.Loads() {
		if n := l.Slots - l.Free + int(math.Round(rejected[name])); n > 0 {
			demand[name] = n
		}
	}
	return demand
}

func (z *zoneDemand) encodeLocalDemand() []byte {
	data, err := record.Encode(z.localDemand())
	if err != nil {
		return nil
	}
	return data
}

// totalDemand returns the zone's demand by pool, in slots.
func (z *zoneDemand) totalDemand() map[string]float64 {
	sum := map[string]float64{}
	add := func(m map[string]int) {
		for name, n := range m {
			sum[name] += float64(n)
		}
	}
	add(z.localDemand())
	for _, id := range z.detector.ZoneMembers() {
		var m map[string]int
		data, _, ok := z.detector.Digest(id, topicDemand)
		if !ok || id == z.self.ID || record.Decode(data, &m) != nil {
			continue
		}
		add(m)
	}
	return sum
}

// maxDroppedShare is the largest share of a zone's hosts that the list may drop at
// once and still be trusted. A zone that lost more hosts has lost its daemons as
// well, so a daemon that sees more dropped sees a fault of the list.
const maxDroppedShare = 0.5

// failedHosts reads from the platform's list which hosts of the zone are missing
// or leaving.
type failedHosts struct {
	zone    string
	replica *replica.Replica
	list    *membership.ListReader
}

// names returns the names of the missing and leaving hosts, or nil if they exceed
// maxDroppedShare.
func (f failedHosts) names() map[string]bool {
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
