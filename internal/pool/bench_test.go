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

// fleetOf has n hosts in zones of up to 150, 18 to a pool, four to a rack, and
// two members a zone.
func fleetOf(n int) *fleet {
	f := &fleet{0, catalogue.NewState(), membership.NewState(), NewState()}
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

// BenchmarkMove folds the three records of a move: its start and an
// acknowledgement of each of two members. It reports the size of the state.
func BenchmarkMove(b *testing.B) {
	for _, n := range []int{50, 250, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := fleetOf(n)
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

// BenchmarkClone copies the state, as the replica does before each fold.
func BenchmarkClone(b *testing.B) {
	for _, n := range []int{50, 250, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := fleetOf(n)
			b.ReportAllocs()
			for b.Loop() {
				_ = f.pools.Clone()
			}
		})
	}
}

type nullAppender struct{}

func (nullAppender) Append(context.Context, record.Record) error { return nil }

// BenchmarkStep is one interval of a controller with nothing to do, and
// BenchmarkLending one decision of the spare policy.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{50, 250, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := fleetOf(n)
			c := NewController(ControllerOptions{Gate: NewGate("z0-a", "z0"), Appender: nullAppender{}})
			c.Update(Published{Pools: &f.pools, Catalogue: &f.catalogue, Members: f.members.InZone("z0")})
			for b.Loop() {
				c.Step(b.Context(), time.Time{})
			}
		})
	}
}

func BenchmarkLending(b *testing.B) {
	for _, n := range []int{50, 250, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := fleetOf(n)
			for name, p := range f.catalogue.Pools {
				p.Value.Spare = name == "pool-00"
				f.catalogue.Pools[name] = p
			}
			l := NewLending(LendingOptions{Zone: "z0", Demand: func() map[string]float64 { return nil }})
			p := Published{Pools: &f.pools, Catalogue: &f.catalogue}
			now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
			for b.Loop() {
				now = now.Add(DefaultDecideInterval)
				l.Proposals(p, now)
			}
		})
	}
}
