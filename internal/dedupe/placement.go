package dedupe

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/membership"
)

// Pair is the two daemons that keep the claims of an ID, in two zones.
type Pair struct {
	Home   string
	Backup string
}

// Has reports whether the daemon is one of the pair.
func (p Pair) Has(id string) bool { return p.Home == id || p.Backup == id }

// Placement finds the pair of each ID among the members of one epoch. The home
// is the first by rendezvous hashing, the backup the first outside the home's
// zone. One join or one removal leaves at least one daemon of every pair in
// its place.
type Placement struct {
	members []membership.Ref
	zones   map[string]string
	all     *rendezvous.Rendezvous
	outside map[string]*rendezvous.Rendezvous
}

// NewPlacement returns the placement among members, which are in the order of
// their IDs.
func NewPlacement(members []membership.Ref) *Placement {
	p := &Placement{members: members, zones: map[string]string{}, outside: map[string]*rendezvous.Rendezvous{}}
	all := make([]string, 0, len(members))
	for _, m := range members {
		p.zones[m.ID] = m.Zone
		all = append(all, m.ID)
	}
	p.all = rendezvous.New(all, xxhash.Sum64String)
	for _, m := range members {
		if _, ok := p.outside[m.Zone]; !ok {
			p.outside[m.Zone] = rendezvous.New(outside(members, m.Zone), xxhash.Sum64String)
		}
	}
	return p
}

func outside(members []membership.Ref, zone string) []string {
	var ids []string
	for _, m := range members {
		if m.Zone != zone {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Pair returns the pair of an ID. ok is false while fewer than two zones have
// members.
func (p *Placement) Pair(id ulid.ULID) (pair Pair, ok bool) {
	k := string(id[:])
	home := p.all.Lookup(k)
	if home == "" {
		return Pair{}, false
	}
	backup := p.outside[p.zones[home]].Lookup(k)
	return Pair{Home: home, Backup: backup}, backup != ""
}
