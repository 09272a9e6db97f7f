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
	// Interval is the time between heartbeats to a zone-mate, CrossInterval
	// to another zone.
	Interval      time.Duration
	CrossInterval time.Duration
	// FailAfter is how long a daemon may be unheard before it counts as
	// failed. It covers a heartbeat to another zone and its relay.
	FailAfter time.Duration
}

// View is the pure core of failure detection: it turns what was heard, and
// when, into who is live. It is not safe for concurrent use.
type View struct {
	opt    ViewOptions
	state  *State
	byKey  map[uint64]string
	seen   map[string]*observation
	tried  map[string]time.Time
	linked map[string]time.Time
	// missed holds when a member that was never heard was first asked about.
	missed  map[string]time.Time
	rounds  map[string]int
	zoneIDs map[string][]string
}

// observation is what is known of another member.
type observation struct {
	// heard is the latest moment at which the member was alive.
	heard time.Time
	// epoch is the highest epoch it named, and confirmed the latest moment
	// at which it is certain that it was in that epoch: the start of an
	// exchange, because an answer can only be younger.
	epoch     uint64
	confirmed time.Time
	offset    uint64
	draining  bool
	digests   []Digest
}

// NewView returns a view without members.
func NewView(opt ViewOptions) *View {
	v := &View{
		opt:    opt,
		seen:   map[string]*observation{},
		tried:  map[string]time.Time{},
		missed: map[string]time.Time{},
		linked: map[string]time.Time{},
		rounds: map[string]int{},
	}
	s := NewState()
	v.SetState(&s)
	return v
}

// SetState shows the view a newly folded membership.
func (v *View) SetState(s *State) {
	v.state = s
	v.byKey = make(map[uint64]string, len(s.Members))
	v.zoneIDs = map[string][]string{}
	for _, m := range s.sorted() {
		v.byKey[key(m.ID)] = m.ID
		v.zoneIDs[m.Zone] = append(v.zoneIDs[m.Zone], m.ID)
	}
	gone := func(id string, _ time.Time) bool { _, ok := s.Members[id]; return !ok }
	maps.DeleteFunc(v.tried, gone)
	maps.DeleteFunc(v.missed, gone)
	maps.DeleteFunc(v.seen, func(id string, _ *observation) bool { return gone(id, time.Time{}) })
}

func (v *View) observe(id string) *observation {
	o, ok := v.seen[id]
	if !ok {
		o = &observation{}
		if _, member := v.state.Members[id]; member {
			v.seen[id] = o
		}
	}
	return o
}

// learn takes in an epoch; an older one than was named before changes nothing.
func (o *observation) learn(epoch uint64, confirmed time.Time, offset uint64) {
	if epoch > o.epoch {
		o.epoch = epoch
		o.confirmed = time.Time{}
	}
	if epoch == o.epoch && confirmed.After(o.confirmed) {
		o.confirmed = confirmed
	}
	o.offset = max(o.offset, offset)
}

// Heard takes in a heartbeat that another daemon sent. When it was sent is not
// known, so it confirms no epoch.
func (v *View) Heard(from string, hb Heartbeat, now time.Time) {
	o := v.observe(from)
	o.heard = now
	o.learn(hb.Epoch, time.Time{}, hb.Offset)
	o.draining = hb.Draining
	o.digests = hb.Digests
}

// Answered takes in the answer to a heartbeat that was sent at sent.
func (v *View) Answered(from string, a HeartbeatAnswer, sent, now time.Time) {
	v.Heard(from, a.Self, now)
	v.observe(from).learn(a.Self.Epoch, sent, a.Self.Offset)
	for _, s := range a.Mates {
		id, ok := v.byKey[s.Key]
		if !ok || id == v.opt.Self.ID {
			continue
		}
		v.relayed(id, s, sent.Add(-s.age()))
	}
}

// relayed takes in what a zone-mate of the member heard at or after at.
func (v *View) relayed(id string, s Sighting, at time.Time) {
	o := v.observe(id)
	if at.After(o.heard) {
		o.heard = at
		o.draining = s.Draining
	}
	o.learn(s.Epoch, at, s.Offset)
}

// Answer returns what to tell a daemon of the given zone.
func (v *View) Answer(self Heartbeat, zone string, now time.Time) HeartbeatAnswer {
	a := HeartbeatAnswer{Self: self}
	if zone == v.opt.Self.Zone {
		return a
	}
	for _, id := range v.zoneIDs[v.opt.Self.Zone] {
		o, ok := v.seen[id]
		if !ok || o.confirmed.IsZero() {
			continue
		}
		a.Mates = append(a.Mates, Sighting{
			Key:       key(id),
			Epoch:     o.epoch,
			Offset:    o.offset,
			AgeMillis: ageMillis(now.Sub(o.confirmed)),
			Draining:  o.draining,
		})
	}
	return a
}

// ageMillis rounds up, so that a relayed sighting never seems younger.
func ageMillis(d time.Duration) uint32 {
	const most = time.Hour
	d = min(max(d, 0), most)
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// Live reports whether a member has been heard lately. A daemon always holds
// itself live.
func (v *View) Live(id string, now time.Time) bool {
	if id == v.opt.Self.ID {
		return true
	}
	if _, ok := v.state.Members[id]; !ok {
		return false
	}
	o, ok := v.seen[id]
	return ok && now.Sub(o.heard) <= v.opt.FailAfter
}

// Unheard reports whether a member has not been heard for as long as it takes to
// fail. For one that was never heard this counts from the first question about
// it: one that has just joined gets the time to be heard.
func (v *View) Unheard(id string, now time.Time) bool {
	if v.Live(id, now) {
		return false
	}
	if o, ok := v.seen[id]; ok && !o.heard.IsZero() {
		return true
	}
	since, ok := v.missed[id]
	if !ok {
		v.missed[id] = now
		return false
	}
	return now.Sub(since) >= v.opt.FailAfter
}

// LiveMembers returns the live members, in the order of their IDs.
func (v *View) LiveMembers(now time.Time) []Member {
	var out []Member
	for _, m := range v.state.sorted() {
		if v.Live(m.ID, now) {
			out = append(out, m)
		}
	}
	return out
}

// Targets returns the members whose heartbeat is due: every zone-mate, and one
// member of each other zone.
func (v *View) Targets(now time.Time) []Member {
	var out []Member
	for _, zone := range slices.Sorted(maps.Keys(v.zoneIDs)) {
		if zone == v.opt.Self.Zone {
			out = v.dueMates(out, now)
			continue
		}
		if last, ok := v.linked[zone]; ok && now.Sub(last) < v.opt.CrossInterval {
			continue
		}
		v.linked[zone] = now
		out = append(out, v.state.Members[v.linkTo(zone, now)])
	}
	for _, m := range out {
		v.tried[m.ID] = now
	}
	return out
}

func (v *View) dueMates(out []Member, now time.Time) []Member {
	every := v.mateInterval()
	for _, id := range v.zoneIDs[v.opt.Self.Zone] {
		if id != v.opt.Self.ID && v.due(id, every, now) {
			out = append(out, v.state.Members[id])
		}
	}
	return out
}

// mateInterval grows with the zone, up to the interval between zones, so that
// the bytes of a full mesh grow less than with its square.
func (v *View) mateInterval() time.Duration {
	mates := len(v.zoneIDs[v.opt.Self.Zone]) - 1
	grown := time.Duration(mates) * v.opt.Interval / 2
	return min(max(v.opt.Interval, grown), max(v.opt.Interval, v.opt.CrossInterval))
}

func (v *View) due(id string, every time.Duration, now time.Time) bool {
	last, ok := v.tried[id]
	return !ok || now.Sub(last) >= every
}

// linkTo chooses the member of another zone to exchange heartbeats with, by
// rendezvous hashing of this daemon's ID, so that links spread over the zone.
// With no live member there it tries another one in every round.
func (v *View) linkTo(zone string, now time.Time) string {
	ids := v.zoneIDs[zone]
	var live []string
	for _, id := range ids {
		if v.Live(id, now) {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		v.rounds[zone]++
		return ids[v.rounds[zone]%len(ids)]
	}
	return rendezvous.New(live, xxhash.Sum64String).Lookup(v.opt.Self.ID)
}

// EpochConfirmed returns the latest moment at which every other active member was in
// the current epoch, but for members that all lie in one zone. It returns the
// zero time when there is no such moment.
func (v *View) EpochConfirmed(now time.Time) time.Time {
	oldest := map[string]time.Time{}
	for zone, ids := range v.zoneIDs {
		if active := v.active(ids); len(active) > 0 {
			oldest[zone] = v.zoneConfirmed(active, now)
		}
	}
	// The zone heard longest ago is the one that may be missing.
	times := slices.SortedFunc(maps.Values(oldest), time.Time.Compare)
	if len(times) < 2 {
		return now
	}
	return times[1]
}

func (v *View) active(ids []string) []string {
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
		o, ok := v.seen[id]
		if !ok || o.epoch != v.state.Epoch {
			return time.Time{}
		}
		if o.confirmed.Before(oldest) {
			oldest = o.confirmed
		}
	}
	return oldest
}

// EpochOf returns the highest epoch that a member has named, 0 for none.
func (v *View) EpochOf(id string) uint64 {
	if o, ok := v.seen[id]; ok {
		return o.epoch
	}
	return 0
}

// Ahead returns the members whose folded offset was above offset.
func (v *View) Ahead(offset uint64, now time.Time) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(v.seen)) {
		if v.seen[id].offset > offset && v.Live(id, now) {
			out = append(out, id)
		}
	}
	return out
}
