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

var base = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func summary(daemon string, minute int64, n uint64) Summary {
	return Summary{Daemon: daemon, Minute: Minute{Minute: minute, Entries: []EntryCounts{
		{Entry: "quote", Pool: "p", Counts: Counts{Good: n, Bad: []uint64{0, n}}},
	}}}
}

func apply(s *Store, messages []Message, order []int) error {
	for _, i := range order {
		data, err := encodeMessage(messages[i])
		if err != nil {
			return err
		}
		if err := s.Apply(uint64(i+1), data, base); err != nil {
			return err
		}
	}
	return nil
}

func inOrder(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// drawLog draws a log of summaries and of rollups that daemons made of what
// the log held before them.
func drawLog(t *rapid.T) (messages []Message, want uint64) {
	seen := map[minuteKey]bool{}
	now := minuteOf(base)
	for range rapid.IntRange(1, 40).Draw(t, "records") {
		if len(messages) > 0 && rapid.IntRange(0, 3).Draw(t, "roll") == 0 {
			s := NewStore()
			prefix := rapid.IntRange(1, len(messages)).Draw(t, "prefix")
			if err := apply(s, messages, inOrder(prefix)); err != nil {
				t.Fatal(err)
			}
			for _, n := range slices.Sorted(maps.Keys(s.hours)) {
				messages = append(messages, Message{Rollups: []Rollup{s.hours[n].roll(n)}})
			}
			continue
		}
		daemon := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "daemon")
		minute := now - rapid.Int64Range(1, 150).Draw(t, "minute")
		// What a daemon counted in a minute is fixed by the pair.
		n := uint64(minute%7) + 1
		messages = append(messages, Message{Summaries: []Summary{summary(daemon, minute, n)}})
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
		order := inOrder(len(messages))
		for range rapid.IntRange(0, 10).Draw(t, "copies") {
			order = append(order, rapid.IntRange(0, len(messages)-1).Draw(t, "copy"))
		}
		seed := rapid.Uint64().Draw(t, "shuffle")
		rand.New(rand.NewPCG(seed, 0)).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		s, straight := NewStore(), NewStore()
		if err := apply(s, messages, order); err != nil {
			t.Fatal(err)
		}
		if err := apply(straight, messages, inOrder(len(messages))); err != nil {
			t.Fatal(err)
		}
		if got := total(s, base.Add(-24*time.Hour), base); got != want {
			t.Fatalf("%d requests, want %d", got, want)
		}
		for _, w := range []time.Duration{5 * time.Minute, time.Hour, 90 * time.Minute} {
			if a, b := total(s, base.Add(-w), base), total(straight, base.Add(-w), base); a != b {
				t.Fatalf("window %s: %d requests in one order, %d in another", w, a, b)
			}
		}
	})
}

func TestWindowsInsideARolledHourAreExactWhileMinutesAreKept(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	end := minuteOf(base)
	var m Message
	for i := int64(1); i <= 120; i++ {
		m.Summaries = append(m.Summaries, summary("a", end-i, uint64(i)))
	}
	g.Expect(apply(s, []Message{m}, []int{0})).To(Succeed())
	rolled := Message{}
	for _, n := range slices.Sorted(maps.Keys(s.hours)) {
		rolled.Rollups = append(rolled.Rollups, s.hours[n].roll(n))
	}
	g.Expect(apply(s, []Message{rolled}, []int{0})).To(Succeed())
	g.Expect(total(s, base.Add(-5*time.Minute), base)).To(BeEquivalentTo(2 * (1 + 2 + 3 + 4 + 5)))

	onlyRollups := NewStore()
	g.Expect(apply(onlyRollups, []Message{rolled}, []int{0})).To(Succeed())
	g.Expect(total(onlyRollups, base.Add(-time.Hour), base)).To(BeEquivalentTo(60 * 61))
	g.Expect(total(onlyRollups, base.Add(-30*time.Minute), base)).To(BeEquivalentTo(60*61/2), "half of the hour")
}

func TestHoursOutsideTheMonthAreForgotten(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	old := minuteOf(base.Add(-31 * 24 * time.Hour))
	future := minuteOf(base.Add(48 * time.Hour))
	m := Message{Summaries: []Summary{summary("a", old, 1), summary("a", future, 1)}}
	g.Expect(apply(s, []Message{m}, []int{0})).To(Succeed())
	g.Expect(s.hours).To(BeEmpty())
}

func TestMalformedRecordsChangeNothing(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	minute := minuteOf(base) - 1
	huge := summary("a", minute, 1<<41)
	for name, m := range map[string]Message{
		"count out of range": {Summaries: []Summary{huge}},
		"no daemon":          {Summaries: []Summary{summary("", minute, 1)}},
		"negative minute":    {Summaries: []Summary{summary("a", -1, 1)}},
		"covers nothing":     {Rollups: []Rollup{{Hour: minute / 60}}},
		"covers 61 minutes":  {Rollups: []Rollup{{Hour: minute / 60, Covers: map[string]uint64{"a": 1 << 60}}}},
	} {
		g.Expect(apply(s, []Message{m}, []int{0})).NotTo(Succeed(), name)
	}
	g.Expect(s.Apply(1, []byte("junk"), base)).NotTo(Succeed())
	bomb, err := deflate(make([]byte, maxMessageBytes+1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Apply(1, bomb, base)).To(MatchError(ContainSubstring("more than its limit")))
	g.Expect(s.hours).To(BeEmpty())
}

// The minutes themselves are gone: only the rollups tell.
func TestSmallerRollupDoesNotReplaceALargerOne(t *testing.T) {
	g := NewWithT(t)
	hour := minuteOf(base)/60 - 100
	small := Message{Rollups: []Rollup{{Hour: hour, Covers: map[string]uint64{"a": 1}, Entries: summary("a", 0, 1).Minute.Entries}}}
	large := Message{Rollups: []Rollup{{Hour: hour, Covers: map[string]uint64{"a": 3}, Entries: summary("a", 0, 5).Minute.Entries}}}
	for _, order := range [][]int{{0, 1}, {1, 0}, {1, 0, 1, 0}} {
		s := NewStore()
		g.Expect(apply(s, []Message{small, large}, order)).To(Succeed())
		g.Expect(total(s, base.Add(-200*time.Hour), base)).To(BeEquivalentTo(10))
	}
}
