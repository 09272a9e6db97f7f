package burn

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var baseTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newSummary(daemon string, minute int64, n uint64) Summary {
	return Summary{Daemon: daemon, Minute: Minute{Minute: minute, Entries: []EntryCounts{
		{Entry: "quote", Pool: "p", Counts: Counts{Good: n, Bad: []uint64{0, n}}},
	}}}
}

func applyMessages(s *Store, messages []Message, order []int) error {
	for _, i := range order {
		data, err := encodeMessage(messages[i])
		if err != nil {
			return err
		}
		if err := s.Apply(uint64(i+1), data, baseTime); err != nil {
			return err
		}
	}
	return nil
}

func sequentialOrder(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// drawLog draws a log of summaries and of rollups. Each rollup is built from a
// prefix of the log before it.
func drawLog(t *rapid.T) (messages []Message, want uint64) {
	seen := map[minuteKey]bool{}
	now := minuteOf(baseTime)
	for range rapid.IntRange(1, 40).Draw(t, "records") {
		if len(messages) > 0 && rapid.IntRange(0, 3).Draw(t, "roll") == 0 {
			s := NewStore()
			prefix := rapid.IntRange(1, len(messages)).Draw(t, "prefix")
			if err := applyMessages(s, messages, sequentialOrder(prefix)); err != nil {
				t.Fatal(err)
			}
			for _, n := range slices.Sorted(maps.Keys(s.hours)) {
				messages = append(messages, Message{Rollups: []Rollup{s.hours[n].buildRollup(n)}})
			}
			continue
		}
		daemon := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "daemon")
		minute := now - rapid.Int64Range(1, 150).Draw(t, "minute")
		// The count depends only on the minute, because summaries of the same
		// daemon and minute must be copies.
		n := uint64(minute%7) + 1
		messages = append(messages, Message{Summaries: []Summary{newSummary(daemon, minute, n)}})
		if key := (minuteKey{daemon, minute}); !seen[key] {
			seen[key] = true
			want += 2 * n
		}
	}
	return messages, want
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages, want := drawLog(t)
		order := sequentialOrder(len(messages))
		for range rapid.IntRange(0, 10).Draw(t, "copies") {
			order = append(order, rapid.IntRange(0, len(messages)-1).Draw(t, "copy"))
		}
		seed := rapid.Uint64().Draw(t, "shuffle")
		rand.New(rand.NewPCG(seed, 0)).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		s, inLogOrder := NewStore(), NewStore()
		if err := applyMessages(s, messages, order); err != nil {
			t.Fatal(err)
		}
		if err := applyMessages(inLogOrder, messages, sequentialOrder(len(messages))); err != nil {
			t.Fatal(err)
		}
		if got := totalRequests(s, baseTime.Add(-24*time.Hour), baseTime); got != want {
			t.Fatalf("%d requests, want %d", got, want)
		}
		for _, w := range []time.Duration{5 * time.Minute, time.Hour, 90 * time.Minute} {
			if a, b := totalRequests(s, baseTime.Add(-w), baseTime), totalRequests(inLogOrder, baseTime.Add(-w), baseTime); a != b {
				t.Fatalf("window %s: %d requests in one order, %d in another", w, a, b)
			}
		}
	})
}

func TestWindowsWithinRolledUpHour(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	end := minuteOf(baseTime)
	var m Message
	for i := int64(1); i <= 120; i++ {
		m.Summaries = append(m.Summaries, newSummary("a", end-i, uint64(i)))
	}
	g.Expect(applyMessages(s, []Message{m}, []int{0})).To(Succeed())
	rolled := Message{}
	for _, n := range slices.Sorted(maps.Keys(s.hours)) {
		rolled.Rollups = append(rolled.Rollups, s.hours[n].buildRollup(n))
	}
	g.Expect(applyMessages(s, []Message{rolled}, []int{0})).To(Succeed())
	g.Expect(totalRequests(s, baseTime.Add(-5*time.Minute), baseTime)).To(BeEquivalentTo(2 * (1 + 2 + 3 + 4 + 5)))

	onlyRollups := NewStore()
	g.Expect(applyMessages(onlyRollups, []Message{rolled}, []int{0})).To(Succeed())
	g.Expect(totalRequests(onlyRollups, baseTime.Add(-time.Hour), baseTime)).To(BeEquivalentTo(60 * 61))
	g.Expect(totalRequests(onlyRollups, baseTime.Add(-30*time.Minute), baseTime)).To(BeEquivalentTo(60*61/2), "half of the hour")
}

func TestHoursOutsideMonthAreDropped(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	old := minuteOf(baseTime.Add(-31 * 24 * time.Hour))
	future := minuteOf(baseTime.Add(48 * time.Hour))
	m := Message{Summaries: []Summary{newSummary("a", old, 1), newSummary("a", future, 1)}}
	g.Expect(applyMessages(s, []Message{m}, []int{0})).To(Succeed())
	g.Expect(s.hours).To(BeEmpty())
}

func TestMalformedRecordsChangeNothing(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	minute := minuteOf(baseTime) - 1
	huge := newSummary("a", minute, 1<<41)
	for name, m := range map[string]Message{
		"count out of range": {Summaries: []Summary{huge}},
		"no daemon":          {Summaries: []Summary{newSummary("", minute, 1)}},
		"negative minute":    {Summaries: []Summary{newSummary("a", -1, 1)}},
		"covers nothing":     {Rollups: []Rollup{{Hour: minute / 60}}},
		"covers 61 minutes":  {Rollups: []Rollup{{Hour: minute / 60, Covers: map[string]uint64{"a": 1 << 60}}}},
	} {
		g.Expect(applyMessages(s, []Message{m}, []int{0})).NotTo(Succeed(), name)
	}
	g.Expect(s.Apply(1, []byte("junk"), baseTime)).NotTo(Succeed())
	bomb, err := deflate(make([]byte, maxMessageBytes+1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Apply(1, bomb, baseTime)).To(MatchError(ContainSubstring("more than its limit")))
	g.Expect(s.hours).To(BeEmpty())
}

// The summaries themselves are no longer in the log, only the rollups.
func TestSmallerRollupDoesNotReplaceLarger(t *testing.T) {
	g := NewWithT(t)
	hour := minuteOf(baseTime)/60 - 100
	small := Message{Rollups: []Rollup{{Hour: hour, Covers: map[string]uint64{"a": 1}, Entries: newSummary("a", 0, 1).Minute.Entries}}}
	large := Message{Rollups: []Rollup{{Hour: hour, Covers: map[string]uint64{"a": 3}, Entries: newSummary("a", 0, 5).Minute.Entries}}}
	for _, order := range [][]int{{0, 1}, {1, 0}, {1, 0, 1, 0}} {
		s := NewStore()
		g.Expect(applyMessages(s, []Message{small, large}, order)).To(Succeed())
		g.Expect(totalRequests(s, baseTime.Add(-200*time.Hour), baseTime)).To(BeEquivalentTo(10))
	}
}
