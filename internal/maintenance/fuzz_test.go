package maintenance

import (
	"testing"

	"greengagedeck/internal/record"
)

// FuzzApply applies records with arbitrary bodies. Apply must reject a body that it
// cannot decode and never panic: the same record would crash every daemon.
func FuzzApply(f *testing.F) {
	s := newOneZoneSim()
	s.runUntil(600, func() bool { return len(s.state.waves.Reboots) > 0 })
	drain := ""
	for id := range s.state.pools.Drains {
		drain = id
	}
	author := s.state.waves.Executor(s.state.pools.Drains[drain])
	kinds := []record.Kind{KindClaim, KindReboot, KindVerified, KindFailed, KindBlocked}
	bodies := []any{
		Claim{Drain: drain}, Reboot{Drain: drain, BootID: "b"}, Verified{Drain: drain, BootID: "b"},
		Failed{Drain: drain}, WaveBlocked{Wave: "w", Zone: "a"},
	}
	for i, body := range bodies {
		data, err := record.Encode(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), data)
	}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		next := *s.state
		next.pools, next.waves = s.state.pools.Clone(), s.state.waves.Clone()
		k := kinds[int(kind)%len(kinds)]
		next.waves.Apply(next.offset+1, record.Record{Kind: k, Author: author, Body: body}, &next)
		if _, err := record.Encode(next.waves); err != nil {
			t.Fatal(err)
		}
	})
}
