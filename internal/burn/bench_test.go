package burn

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// busyEntries returns the counts of n entries in a minute with up to 119
// requests for each entry.
func busyEntries(n int) []EntryCounts {
	c := NewCounter(nil)
	rng := rand.New(rand.NewPCG(testSeed, 0))
	for i := range n {
		for range rng.IntN(120) {
			s := Sample{Entry: fmt.Sprintf("team-%03d-entry", i), Pool: fmt.Sprintf("pool-%02d", i%57)}
			s.Duration = time.Duration(rng.ExpFloat64() * float64(30*time.Millisecond))
			if rng.IntN(100) == 0 {
				s.Err = failedSample.Err
			}
			c.Record(s, baseTime)
		}
	}
	return c.TakeAll(baseTime)[0].Entries
}

// BenchmarkSummary measures the encoded size of one summary and the time to
// encode, decode and apply it.
func BenchmarkSummary(b *testing.B) {
	for _, n := range []int{10, 100, 500} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			s := NewStore()
			entries := busyEntries(n)
			for i := range b.N {
				minute := minuteOf(baseTime) - int64(i%400) - 1
				data, err := encodeMessage(Message{Summaries: []Summary{{Daemon: "d", Minute: Minute{minute, entries}}}})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "B/summary")
				if err := s.Apply(uint64(i), data, baseTime); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMonth measures the memory that a month of rollups takes in a Store,
// and the time to build one report.
func BenchmarkMonth(b *testing.B) {
	for _, n := range []int{10, 100, 500} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			entries := busyEntries(n)
			for i := range entries {
				entries[i].Counts.Latency = nil
			}
			before := heapBytes()
			s := NewStore()
			for hour := range int64(30 * 24) {
				r := Rollup{Hour: minuteOf(baseTime)/60 - hour - 1, Covers: map[string]uint64{"d": allMinutes}, Entries: entries}
				data, err := encodeMessage(Message{Rollups: []Rollup{r}})
				if err != nil {
					b.Fatal(err)
				}
				if err := s.Apply(1, data, baseTime); err != nil {
					b.Fatal(err)
				}
			}
			held := float64(heapBytes()-before) / (1 << 20)
			f := fakeSources{}
			r := NewReporter(ReporterOptions{Store: s, Refresher: f, Entries: f, Decisions: f})
			for b.Loop() {
				r.Report(b.Context(), baseTime)
			}
			b.ReportMetric(held, "MiB")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
