package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// ViewOptions configure a View.
type ViewOptions struct {
	// Self is this daemon.
	Self Member
	// Interval is the time between heartbeats to a zone peer, CrossInterval
	// the time between heartbeats to another zone.
	Interval      time.Duration
	CrossInterval time.Duration
	// FailAfter is the time without a heartbeat after which a daemon counts
	// as failed. It covers a heartbeat to another zone and its relay.
	FailAfter time.Duration
}

// View is the core of failure detection, without I/O and clock: it derives which
// members are live from the heartbeats received and their times. It is not safe
// for concurrent use.
type View struct {
	opt           ViewOptions
	state         *State
	idByHash      map[uint64]string
	observed      map[string]*observation
	lastSent      map[string]time.Time
	lastCrossZone map[string]time.Time
	// firstQueried holds when Unresponsive was first called for a member
	// that was never heard from.
	firstQueried map[string]time.Time
	retryRounds  map[string]int
	zoneIDs      map[string][]string
}

// observation is the last known status of another member.
type observation struct {
	// lastHeard is the latest time at which the member was alive.
	lastHeard time.Time
	// epoch is the highest epoch that the member reported, and
	// epochConfirmed the latest time at which it was certainly in that
	// epoch: the start of an exchange, because the answer is made after it.
	epoch          uint64
	epochConfirmed time.Time
	offset         uint64
	draining       bool
	digests        []Digest
}

// NewView returns a view without members.
func NewView(opt ViewOptions) *View {
	v := &View{
		opt:           opt,
		observed:      map[string]*observation{},
		lastSent:      map[string]time.Time{},
		firstQueried:  map[string]time.Time{},
		lastCrossZone: map[string]time.Time{},
		retryRounds:   map[string]int{},
	}
	s := NewState()
	v.SetState(&s)
	return v
}

// SetState sets the membership.
func (v *View) SetState(s *State) {
	v.state = s
	v.idByHash = make(map[uint64]string, len(s.Members))
	v.zoneIDs = map[string][]string{}
	for _, m := range s.sortedMembers() {
		v.idByHash[hashID(m.ID)] = m.ID
		v.zoneIDs[m.Zone] = append(v.zoneIDs[m.Zone], m.ID)
	}
	removed := func(id string, _ time.Time) bool { _, ok := s.Members[id]; return !ok }
	maps.DeleteFunc(v.lastSent, removed)
	maps.DeleteFunc(v.firstQueried, removed)
	maps.DeleteFunc(v.observed, func(id string, _ *observation) bool { return removed(id, time.Time{}) })
}

func (v *View) observationOf(id string) *observation {
	o, ok := v.observed[id]
	if !ok {
		o = &observation{}
		if _, member := v.state.Members[id]; member {
			v.observed[id] = o
		}
	}
	return o
}

// update applies a reported epoch and offset. An epoch older than the last one
// reported is ignored.
func (o *observation) update(epoch uint64, confirmed time.Time, offset uint64) {
	if epoch > o.epoch {
		o.epoch = epoch
		o.epochConfirmed = time.Time{}
	}
	if epoch == o.epoch && confirmed.After(o.epochConfirmed) {
		o.epochConfirmed = confirmed
	}
	o.offset = max(o.offset, offset)
}

// HandleHeartbeat processes a heartbeat from another daemon. The time at which
// it was sent is unknown, so it confirms no epoch.
func (v *View) HandleHeartbeat(from string, hb Heartbeat, now time.Time) {
	o := v.observationOf(from)
	o.lastHeard = now
	o.update(hb.Epoch, time.Time{}, hb.Offset)
	o.draining = hb.Draining
	o.digests = hb.Digests
}

// HandleAnswer processes the answer to a heartbeat that was sent at sent.
func (v *View) HandleAnswer(from string, a HeartbeatAnswer, sent, now time.Time) {
	v.HandleHeartbeat(from, a.Self, now)
	v.observationOf(from).update(a.Self.Epoch, sent, a.Self.Offset)
	for _, s := range a.ZonePeers {
		id, ok := v.idByHash[s.IDHash]
		if !ok || id == v.opt.Self.ID {
			continue
		}
		v.handleRelayed(id, s, sent.Add(-s.age()))
	}
}

// handleRelayed processes the status that a zone peer of the member received at
// or after at.
func (v *View) handleRelayed(id string, s PeerStatus, at time.Time) {
	o := v.observationOf(id)
	if at.After(o.lastHeard) {
		o.lastHeard = at
		o.draining = s.Draining
	}
	o.update(s.Epoch, at, s.Offset)
}

// Answer returns the answer to a heartbeat from a daemon of the given zone.
func (v *View) Answer(self Heartbeat, zone string, now time.Time) HeartbeatAnswer {
	a := HeartbeatAnswer{Self: self}
	if zone == v.opt.Self.Zone {
		return a
	}
	for _, id := range v.zoneIDs[v.opt.Self.Zone] {
		o, ok := v.observed[id]
		if !ok || o.epochConfirmed.IsZero() {
			continue
		}
		a.ZonePeers = append(a.ZonePeers, PeerStatus{
			IDHash:    hashID(id),
			Epoch:     o.epoch,
			Offset:    o.offset,
			AgeMillis: ageMillis(now.Sub(o.epochConfirmed)),
			Draining:  o.draining,
		})
	}
	return a
}

// ageMillis rounds up, so that a relayed status never appears newer than it is.
func ageMillis(d time.Duration) uint32 {
	const maxAge = time.Hour
	d = min(max(d, 0), maxAge)
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// Live reports whether a member has been heard from within FailAfter. A daemon
// always counts itself as live.
func (v *View) Live(id string, now time.Time) bool {
	if id == v.opt.Self.ID {
		return true
	}
	if _, ok := v.state.Members[id]; !ok {
		return false
	}
	o, ok := v.observed[id]
	return ok && now.Sub(o.lastHeard) <= v.opt.FailAfter
}

// Unresponsive reports whether a member has not been heard from for FailAfter.
// For a member that was never heard from, the time counts from the first call,
// so that a member that has just joined has time to send its first heartbeat.
func (v *View) Unresponsive(id string, now time.Time) bool {
	if v.Live(id, now) {
		return false
	}
	if o, ok := v.observed[id]; ok && !o.lastHeard.IsZero() {
		return true
	}
	since, ok := v.firstQueried[id]
	if !ok {
		v.firstQueried[id] = now
		return false
	}
	return now.Sub(since) >= v.opt.FailAfter
}

// LiveMembers returns the live members, ordered by ID.
func (v *View) LiveMembers(now time.Time) []Member {
	var out []Member
	for _, m := range v.state.sortedMembers() {
		if v.Live(m.ID, now) {
			out = append(out, m)
		}
	}
	return out
}

// Targets returns the members to send a heartbeat to now: zone peers, and one
// member of each other zone. It records the heartbeats as sent.
func (v *View) Targets(now time.Time) []Member {
	var out []Member
	for _, zone := range slices.Sorted(maps.Keys(v.zoneIDs)) {
		if zone == v.opt.Self.Zone {
			out = v.dueZonePeers(out, now)
			continue
		}
		if last, ok := v.lastCrossZone[zone]; ok && now.Sub(last) < v.opt.CrossInterval {
			continue
		}
		v.lastCrossZone[zone] = now
		out = append(out, v.state.Members[v.crossZoneTarget(zone, now)])
	}
	for _, m := range out {
		v.lastSent[m.ID] = now
	}
	return out
}

func (v *View) dueZonePeers(out []Member, now time.Time) []Member {
	interval := v.zonePeerInterval()
	for _, id := range v.zoneIDs[v.opt.Self.Zone] {
		if id != v.opt.Self.ID && v.heartbeatDue(id, interval, now) {
			out = append(out, v.state.Members[id])
		}
	}
	return out
}

// zonePeerInterval grows with the zone's size, up to the interval between zones,
// so that the traffic of the full mesh grows less than quadratically.
func (v *View) zonePeerInterval() time.Duration {
	peers := len(v.zoneIDs[v.opt.Self.Zone]) - 1
	grown := time.Duration(peers) * v.opt.Interval / 2
	return min(max(v.opt.Interval, grown), max(v.opt.Interval, v.opt.CrossInterval))
}

func (v *View) heartbeatDue(id string, interval time.Duration, now time.Time) bool {
	last, ok := v.lastSent[id]
	return !ok || now.Sub(last) >= interval
}

// crossZoneTarget chooses the member of another zone to exchange heartbeats
// with, by rendezvous hashing of this daemon's ID, so that the exchanges spread
// over the zone's members. If no member there is live, it tries the next one in
// every round.
func (v *View) crossZoneTarget(zone string, now time.Time) string {
	ids := v.zoneIDs[zone]
	var live []string
	for _, id := range ids {
		if v.Live(id, now) {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		v.retryRounds[zone]++
		return ids[v.retryRounds[zone]%len(ids)]
	}
	return rendezvous.New(live, xxhash.Sum64String).Lookup(v.opt.Self.ID)
}

// EpochConfirmed returns the latest time at which every other active member was
// in the current epoch, except for the members of a single zone. It returns the
// zero time if there is none.
func (v *View) EpochConfirmed(now time.Time) time.Time {
	oldest := map[string]time.Time{}
	for zone, ids := range v.zoneIDs {
		if active := v.withoutSuspended(ids); len(active) > 0 {
			oldest[zone] = v.zoneConfirmed(active, now)
		}
	}
	// The zone with the oldest confirmation is the one that may be missing.
	times := slices.SortedFunc(maps.Values(oldest), time.Time.Compare)
	if len(times) < 2 {
		return now
	}
	return times[1]
}

func (v *View) withoutSuspended(ids []string) []string {
	var out []string
	for _, id := range ids {
		if _, suspended := v.state.Suspended[id]; !suspended {
			out = append(out, id)
		}
	}
	return out
}

func (v *View) zoneConfirmed(ids []string, now time.Time) time.Time {
	oldest := now
	for _, id := range ids {
		if id == v.opt.Self.ID {
			continue
		}
		o, ok := v.observed[id]
		if !ok || o.epoch != v.state.Epoch {
			return time.Time{}
		}
		if o.epochConfirmed.Before(oldest) {
			oldest = o.epochConfirmed
		}
	}
	return oldest
}

// EpochOf returns the highest epoch that a member has reported, 0 for none.
func (v *View) EpochOf(id string) uint64 {
	if o, ok := v.observed[id]; ok {
		return o.epoch
	}
	return 0
}

// MembersAhead returns the live members that reported an applied offset above
// offset.
func (v *View) MembersAhead(offset uint64, now time.Time) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(v.observed)) {
		if v.observed[id].offset > offset && v.Live(id, now) {
			out = append(out, id)
		}
	}
	return out
}
