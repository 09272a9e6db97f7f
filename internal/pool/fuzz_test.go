package pool

import (
	"testing"

	"greengagedeck/internal/record"
)

// FuzzApply applies records with arbitrary bodies. An unreadable record must be
// rejected without a panic, since it would make every daemon panic.
func FuzzApply(f *testing.F) {
	kinds := []record.Kind{KindDrain, KindAck, KindCancel, KindReturn, KindBlocked, KindDemand, KindHealth}
	bodies := []any{
		StartDrain{Host: "w0", Purpose: PurposeMove, From: "x", To: "y"},
		Ack{Drain: "d"}, DrainRef{Drain: "d"}, DrainRef{Drain: "d"}, WantBlocked{Host: "w0", Version: 1},
		SlotDemand{Zone: "a", Index: -1, Pools: map[string]float32{"x": 1}}, Health{Host: "w0", Failed: true},
	}
	for i, body := range bodies {
		data, err := record.Encode(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), data)
	}
	head := newSimulation(injectedFaults{}).head()
	member := head.members.InZone("a")[0]
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		next := *head
		next.pools = head.pools.Clone()
		k := kinds[int(kind)%len(kinds)]
		next.pools.Apply(next.offset+1, record.Record{Kind: k, Author: member, Body: body}, &next)
		if _, err := record.Encode(next.pools); err != nil {
			t.Fatal(err)
		}
	})
}
