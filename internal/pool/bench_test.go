package pool

import (
	"context"
	"fmt"
	"testing"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/record"
)

// newLargeFleet returns a state with n hosts in zones of up to 150, with 18 hosts in
// a pool, four in a rack and two members in a zone.
func newLargeFleet(n int) *fleetState {
	f := &fleetState{0, catalogue.NewState(), membership.NewState(), NewState()}
	for i := range n {
		zone := fmt.Sprintf("z%d", i/150)
		pool := fmt.Sprintf("pool-%02d", i/18)
		f.catalogue.Pools[pool] = versioned(catalogue.Pool{Name: pool, Spare: true, MaxUnavailable: 4})
		h := catalogue.Host{
			Name: fmt.Sprintf("worker-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			Zone: zone, Rack: fmt.Sprintf("rack-%03d", i/4), Pool: pool,
		}
		f.catalogue.Hosts[h.Name] = versioned(h)
		for _, id := range []string{zone + "-a", zone + "-b"} {
			f.members.Members[id] = membership.Member{ID: id, Host: id, Zone: zone}
		}
	}
	f.pools.Reconcile(1, f)
	return f
}

// BenchmarkMove applies the three records of a move: its start and the
// acknowledgements of two members. It also reports the size of the state.
func BenchmarkMove(b *testing.B) {
	for _, n := range []int{50, 250, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newLargeFleet(n)
			data, _ := record.Encode(f.pools)
			pools := [2]string{"pool-00", "pool-01"}
			offset := uint64(1)
			for i := 0; b.Loop(); i++ {
				start := newRecord(KindDrain, "z0-a", time.Time{}, StartDrain{
					Host: "worker-0000", Purpose: PurposeMove, From: pools[i%2], To: pools[(i+1)%2],
				})
				f.pools.Apply(offset, start, f)
				for _, m := range []string{"z0-a", "z0-b"} {
					ack := newRecord(KindAck, m, time.Time{}, Ack{Drain: start.ID.String(), Round: offset})
					if out := f.pools.Apply(offset, ack, f); !out.Accepted {
						b.Fatal(out.Reason)
					}
				}
				offset++
			}
			b.ReportMetric(float64(len(data)), "state-bytes")
			b.ReportMetric(float64(len(data))/float64(n), "bytes/host")
		})
	}
}

// BenchmarkClone copies the state, as the replica does before it applies records.
func BenchmarkClone(b *testing.B) {
	for _, n := range []int{50, 250, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newLargeFleet(n)
			b.ReportAllocs()
			for b.Loop() {
				_ = f.pools.Clone()
			}
		})
	}
}

type nullAppender struct{}

func (nullAppender) Append(context.Context, record.Record) error { return nil }

// BenchmarkStep runs one step of a controller that has nothing to do.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{50, 250, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newLargeFleet(n)
			c := NewController(ControllerOptions{Gate: NewGate("z0-a", "z0"), Appender: nullAppender{}})
			c.Update(PublishedState{Pools: &f.pools, Catalogue: &f.catalogue, Members: f.members.InZone("z0")})
			for b.Loop() {
				c.Step(b.Context(), time.Time{})
			}
		})
	}
}

// BenchmarkLending runs one decision of the spare policy.
func BenchmarkLending(b *testing.B) {
	for _, n := range []int{50, 250, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newLargeFleet(n)
			for name, p := range f.catalogue.Pools {
				p.Value.Spare = name == "pool-00"
				f.catalogue.Pools[name] = p
			}
			l := NewLendingPlanner(LendingPlannerOptions{Zone: "z0", Demand: func() map[string]float64 { return nil }})
			p := PublishedState{Pools: &f.pools, Catalogue: &f.catalogue}
			now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
			for b.Loop() {
				now = now.Add(DefaultDecisionInterval)
				l.Proposals(p, now)
			}
		})
	}
}
