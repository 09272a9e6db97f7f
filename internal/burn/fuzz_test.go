package burn

import (
	"bytes"
	"testing"
	"time"

	"greengagedeck/internal/record"
)

// FuzzMessage decodes arbitrary records of the burn stream. An accepted record
// must keep the same counts when it is applied twice, rolled up and encoded
// again.
func FuzzMessage(f *testing.F) {
	minute := minuteOf(baseTime) - 1
	for _, m := range []Message{
		{Summaries: []Summary{newSummary("a", minute, 3)}},
		{At: minute, Rollups: []Rollup{{Hour: minute / 60, Covers: map[string]uint64{"a": 3}, Entries: newSummary("a", 0, 2).Minute.Entries}}},
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
		if err := s.Apply(1, data, baseTime); err != nil {
			if len(s.hours) > 0 {
				t.Fatalf("record rejected with %v but applied", err)
			}
			return
		}
		before := totalRequests(s, baseTime.Add(-24*time.Hour), baseTime)
		if err := s.Apply(2, data, baseTime); err != nil {
			t.Fatal(err)
		}
		rolled := NewStore()
		for n, h := range s.hours {
			r := h.buildRollup(n)
			if len(r.Covers) == 0 {
				continue
			}
			again, err := encodeMessage(Message{Rollups: []Rollup{r}})
			if err != nil {
				t.Fatal(err)
			}
			if err := rolled.Apply(1, again, baseTime); err != nil {
				t.Fatal(err)
			}
			if copied := rolled.hours[n].buildRollup(n); !bytes.Equal(mustEncode(&r), mustEncode(&copied)) {
				t.Fatal("rollup changed by encoding and applying it")
			}
		}
		if after := totalRequests(s, baseTime.Add(-24*time.Hour), baseTime); after != before {
			t.Fatalf("%d requests before and %d after applying the record twice", before, after)
		}
		if _, err := record.Encode(s.dueRollups(logBounds{2, 3}, baseTime)); err != nil {
			t.Fatal(err)
		}
	})
}
