package pool

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/record"
)

// fleetState is the replicated state that moves depend on. Records are applied with
// the real code of each package.
type fleetState struct {
	offset    uint64
	catalogue catalogue.State
	members   membership.State
	pools     State
}

func (f *fleetState) Catalogue() *catalogue.State { return &f.catalogue }

func (f *fleetState) ZoneMembers(zone string) []string { return f.members.InZone(zone) }

func (f *fleetState) apply(r record.Record) (*fleetState, record.Outcome) {
	next := &fleetState{f.offset + 1, f.catalogue.Clone(), f.members.Clone(), f.pools.Clone()}
	var out record.Outcome
	switch r.Kind {
	case catalogue.KindEdit:
		out = next.catalogue.Apply(next.offset, r)
	case membership.KindJoin, membership.KindRemove:
		out = next.members.Apply(next.offset, r)
	default:
		return next, next.pools.Apply(next.offset, r, next)
	}
	if out.Accepted {
		next.pools.Reconcile(next.offset, next)
	}
	return next, out
}

func newRecord(kind record.Kind, author string, at time.Time, body any) record.Record {
	r, err := record.New(kind, author, at, record.Cause{Object: "host/test", Owner: "ops"}, body)
	if err != nil {
		panic(err)
	}
	return r
}

// editOf returns an edit that sets objects, or removes them if del is true.
func editOf(f *fleetState, del bool, objects map[catalogue.Key]any) record.Record {
	e := catalogue.Edit{Base: f.catalogue.Version, Operator: "ops"}
	keys := slices.SortedFunc(maps.Keys(objects), func(a, b catalogue.Key) int {
		return strings.Compare(a.String(), b.String())
	})
	for _, key := range keys {
		ch := catalogue.Change{Key: key, Delete: del}
		if !del {
			spec, err := record.Encode(objects[key])
			if err != nil {
				panic(err)
			}
			ch.Spec = spec
		}
		e.Changes = append(e.Changes, ch)
	}
	return newRecord(catalogue.KindEdit, "ops", time.Time{}, e)
}

// newSmallFleet returns a state with three hosts of zone a on three racks: two in
// pool x, one in z. Pool y starts without hosts. x and z are spare pools, so that
// hosts may move between any two pools.
func newSmallFleet() *fleetState {
	f := &fleetState{0, catalogue.NewState(), membership.NewState(), NewState()}
	objects := map[catalogue.Key]any{
		{Kind: catalogue.KindTeam, Name: "ops"}: catalogue.Team{Name: "ops"},
	}
	for _, name := range simPools {
		p := catalogue.Pool{
			Name: name, Owner: "ops", Spare: name != "y", MaxUnavailable: 2,
			SlotsPerHost: 8, ConnectionsPerHost: 64, LongShare: 0.5,
		}
		objects[catalogue.Key{Kind: catalogue.KindPool, Name: name}] = p
	}
	for i, name := range simHosts {
		pool := "x"
		if i == 2 {
			pool = "z"
		}
		objects[catalogue.Key{Kind: catalogue.KindHost, Name: name}] = catalogue.Host{
			Name: name, Address: fmt.Sprintf("127.0.0.1:2000%d", i), Zone: "a",
			Rack: fmt.Sprintf("r%d", i), Pool: pool, Cores: 1, MemoryGB: 1,
		}
	}
	f, out := f.apply(editOf(f, false, objects))
	if !out.Accepted {
		panic(out.Reason)
	}
	return f
}
