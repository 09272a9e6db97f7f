package burn

import (
	"bytes"
	"testing"
	"time"

	"greengagedeck/internal/record"
)

// FuzzMessage feeds records of the burn stream. What is accepted can be
// applied twice, rolled up and written again with the same counts.
func FuzzMessage(f *testing.F) {
	minute := minuteOf(base) - 1
	for _, m := range []Message{
		{Summaries: []Summary{summary("a", minute, 3)}},
		{At: minute, Rollups: []Rollup{{Hour: minute / 60, Covers: map[string]uint64{"a": 3}, Entries: summary("a", 0, 2).Minute.Entries}}},
	} {
		m.Version = messageVersion
		data, err := record.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = inflate(data)
		s := NewStore()
		data, err := deflate(data)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Apply(1, data, base); err != nil {
			if len(s.hours) > 0 {
				t.Fatalf("refused with %v, yet applied", err)
			}
			return
		}
		before := total(s, base.Add(-24*time.Hour), base)
		if err := s.Apply(2, data, base); err != nil {
			t.Fatal(err)
		}
		rolled := NewStore()
		for n, h := range s.hours {
			r := h.roll(n)
			if len(r.Covers) == 0 {
				continue
			}
			again, err := encodeMessage(Message{Rollups: []Rollup{r}})
			if err != nil {
				t.Fatal(err)
			}
			if err := rolled.Apply(1, again, base); err != nil {
				t.Fatal(err)
			}
			if copied := rolled.hours[n].roll(n); !bytes.Equal(mustEncode(&r), mustEncode(&copied)) {
				t.Fatal("rollup changed on its way")
			}
		}
		if after := total(s, base.Add(-24*time.Hour), base); after != before {
			t.Fatalf("%d requests, %d after a copy", before, after)
		}
		if _, err := record.Encode(s.due(logBounds{2, 3}, base)); err != nil {
			t.Fatal(err)
		}
	})
}
