package burn

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

func TestClassify(t *testing.T) {
	objective := catalogue.Objective{Latency: time.Second}
	reject := func(r verdict.Reason) error { return fmt.Errorf("x: %w", verdict.NewNotRun(r, "y")) }
	for _, tt := range []struct {
		name        string
		sample      Sample
		maintenance bool
		outcome     outcome
		cause       Cause
	}{
		{"in time", Sample{Duration: time.Second, Objective: objective}, true, outcomeGood, 0},
		{"late", Sample{Duration: time.Second + 1, Objective: objective}, true, outcomeBad, CauseLate},
		{"without a latency objective", Sample{Duration: time.Hour}, false, outcomeGood, 0},
		{"queue full", Sample{Err: reject(verdict.ReasonQueueFull)}, false, outcomeBad, CauseRejected},
		{"queue full in maintenance", Sample{Err: reject(verdict.ReasonQueueFull)}, true, outcomeBad, CauseMaintenance},
		{"connection lost", Sample{Err: verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "x")}, false, outcomeBad, CauseLostHost},
		{"connection lost in maintenance", Sample{Err: verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "x")}, true, outcomeBad, CauseMaintenance},
		{"unproven", Sample{Err: reject(verdict.ReasonUnproven)}, true, outcomeBad, CauseUnproven},
		{"timeout", Sample{Err: verdict.NewMayHaveRun(verdict.ReasonTimeout, "x")}, true, outcomeBad, CauseFailed},
		{"target's own failure", Sample{Err: errors.New("status 500")}, true, outcomeBad, CauseFailed},
		{"bad request", Sample{Err: reject(verdict.ReasonBadRequest)}, true, outcomeExcluded, 0},
		{"over quota", Sample{Err: reject(verdict.ReasonQuota)}, false, outcomeExcluded, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			out, cause := classify(tt.sample, tt.maintenance)
			g.Expect(out).To(Equal(tt.outcome))
			g.Expect(cause).To(Equal(tt.cause))
		})
	}
}

func TestNewSampleFromResponse(t *testing.T) {
	r := &request.Request{Entry: "quote", Pool: "clinic", Class: request.ClassShort}
	for status, want := range map[int]outcome{200: outcomeGood, 404: outcomeGood, 500: outcomeBad, 503: outcomeBad} {
		g := NewWithT(t)
		s := NewSample(r, &request.Response{Status: status, Queued: time.Second}, nil, time.Minute, catalogue.Objective{})
		g.Expect([]any{s.Entry, s.Pool, s.Class, s.Queued}).To(Equal([]any{"quote", "clinic", request.ClassShort, time.Second}))
		out, _ := classify(s, false)
		g.Expect(out).To(Equal(want), "status %d", status)
	}
	g := NewWithT(t)
	g.Expect(NewSample(r, nil, errors.New("x"), 0, catalogue.Objective{}).Err).To(MatchError("x"))
}

// Requests are recorded concurrently with Take. No sample may be lost and no
// minute may be returned twice.
func TestTakeReturnsEverySampleOnce(t *testing.T) {
	g := NewWithT(t)
	c := NewCounter(nil)
	const writers, each = 4, 5000
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for i := range each {
				c.Record(goodSample, baseTime.Add(time.Duration(i)*10*time.Millisecond))
			}
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	seen := map[int64]bool{}
	var sum uint64
	take := func(minutes []Minute) {
		for _, m := range minutes {
			g.Expect(seen[m.Minute]).To(BeFalse(), "minute returned twice")
			seen[m.Minute] = true
			sum += m.Entries[0].Counts.Good
		}
	}
	for i := 0; ; i++ {
		take(c.Take(baseTime.Add(time.Duration(i) * time.Second)))
		select {
		case <-done:
			take(c.TakeAll(baseTime.Add(time.Duration(i)*time.Second + time.Hour)))
			g.Expect(sum).To(BeEquivalentTo(writers * each))
			return
		default:
		}
	}
}

type fakeConditions bool

func (fakeConditions) InMaintenance(string) bool           { return false }
func (l fakeConditions) LongRequestsHoldSlots(string) bool { return bool(l) }

func TestShortRequestsBlockedByLongRequests(t *testing.T) {
	for blocked, want := range map[bool]uint64{true: 30, false: 0} {
		g := NewWithT(t)
		c := NewCounter(fakeConditions(blocked))
		for _, class := range []request.Class{request.ClassUrgent, request.ClassShort, request.ClassLong} {
			s := goodSample
			s.Class, s.Queued = class, 15*time.Millisecond
			c.Record(s, baseTime)
		}
		counts := c.TakeAll(baseTime)[0].Entries[0].Counts
		g.Expect(counts.Short).To(BeEquivalentTo(2))
		g.Expect(counts.ShortQueued).To(BeEquivalentTo(30))
		g.Expect(counts.ShortBlocked).To(Equal(want))
	}
}

func TestEntriesBeyondLimitAreCountedTogether(t *testing.T) {
	g := NewWithT(t)
	c := NewCounter(nil)
	const entries = counterShards*maxEntriesPerShard + 10_000
	for i := range entries {
		c.Record(Sample{Entry: fmt.Sprint("e", i)}, baseTime)
	}
	m := c.TakeAll(baseTime)
	g.Expect(len(m[0].Entries)).To(BeNumerically("<=", counterShards*maxEntriesPerShard+1))
	var n uint64
	for _, e := range m[0].Entries {
		n += e.Counts.Good
	}
	g.Expect(n).To(BeEquivalentTo(entries))
}

func BenchmarkRecord(b *testing.B) {
	c := NewCounter(nil)
	now := time.Now()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Record(goodSample, now)
		}
	})
}
