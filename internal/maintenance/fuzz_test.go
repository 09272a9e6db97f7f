package maintenance

import (
	"testing"

	"greengagedeck/internal/record"
)

// FuzzApply folds records with arbitrary bodies: a fold turns down what it
// cannot read and never panics, since it would panic on every daemon alike.
func FuzzApply(f *testing.F) {
	s := oneZone()
	s.until(600, func() bool { return len(s.state.waves.Reboots) > 0 })
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
