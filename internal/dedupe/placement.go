package dedupe

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/membership"
)

// Pair is the two daemons, in two zones, that record the claims of an ID.
type Pair struct {
	Primary string
	Backup  string
}

// Has reports whether the daemon belongs to the pair.
func (p Pair) Has(id string) bool { return p.Primary == id || p.Backup == id }

// Placement assigns IDs to pairs among the members of one epoch. The primary is
// the first member by rendezvous hashing, the backup the first outside the
// primary's zone. After one join or one removal, every pair still has at least one
// of its previous daemons.
type Placement struct {
	members []membership.Ref
	zones   map[string]string
	all     *rendezvous.Rendezvous
	outside map[string]*rendezvous.Rendezvous
}

// NewPlacement returns the placement among members, which must be sorted by ID.
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

// Pair returns the pair of an ID. ok is false if fewer than two zones have
// members.
func (p *Placement) Pair(id ulid.ULID) (pair Pair, ok bool) {
	k := string(id[:])
	primary := p.all.Lookup(k)
	if primary == "" {
		return Pair{}, false
	}
	backup := p.outside[p.zones[primary]].Lookup(k)
	return Pair{Primary: primary, Backup: backup}, backup != ""
}
