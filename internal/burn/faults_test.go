package burn

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/verdict"
)

var (
	goodSample   = Sample{Entry: "quote", Pool: "clinic-desk"}
	failedSample = Sample{Entry: "quote", Pool: "clinic-desk", Err: verdict.NewMayHaveRun(verdict.ReasonTimeout, "x")}
)

// The log keeps records for half a day, and all daemons are replaced every day.
// Counts of the month are lost unless rollups are appended again before the log
// drops them.
func TestMonthSurvivesFleetReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(12 * time.Hour)
		start := time.Now()
		var recorded, bad uint64
		for day := range 30 {
			var fleet []*daemon
			for i := range 3 {
				fleet = append(fleet, startDaemon(log, fmt.Sprintf("d-%d-%d", day, i), i == 0, 0))
			}
			for range 24 {
				for i, d := range fleet {
					d.counter.Record(goodSample, time.Now())
					recorded++
					if i == 1 {
						d.counter.Record(failedSample, time.Now())
						recorded++
						bad++
					}
				}
				time.Sleep(time.Hour)
			}
			for _, d := range fleet {
				d.stop()
			}
		}
		store := NewStore()
		reader := NewReader(ReaderOptions{Store: store, Log: log, IsLeader: func() bool { return false }})
		g.Expect(reader.Refresh(context.Background())).To(Succeed())

		g.Expect(totalRequests(store, start, time.Now().Add(time.Minute))).To(Equal(recorded))
		c := store.between(start, time.Now().Add(time.Minute))[entryKey{"quote", "clinic-desk"}]
		g.Expect(c.BadBy(CauseFailed)).To(Equal(bad))
	})
}

func TestSummariesSurviveLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(0)
		start := time.Now()
		d := startDaemon(log, "d-1", true, 0)
		recorded := uint64(0)
		for minute := range 300 {
			log.setDown(minute >= 60 && minute < 240)
			d.counter.Record(goodSample, time.Now())
			recorded++
			time.Sleep(time.Minute)
		}
		d.stop()
		g.Expect(d.reader.Refresh(context.Background())).To(Succeed())
		g.Expect(totalRequests(d.store, start, time.Now().Add(time.Minute))).To(Equal(recorded))
	})
}

func TestRetriedAppendsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(0)
		log.setLoseResponses(0.3)
		start := time.Now()
		d := startDaemon(log, "d-1", true, 0)
		recorded := uint64(0)
		for range 300 {
			d.counter.Record(goodSample, time.Now())
			recorded++
			time.Sleep(time.Minute)
		}
		log.setLoseResponses(0)
		d.stop()
		g.Expect(d.reader.Refresh(context.Background())).To(Succeed())
		g.Expect(len(log.records)).To(BeNumerically(">", 330), "no append was repeated")
		g.Expect(totalRequests(d.store, start, time.Now().Add(time.Minute))).To(Equal(recorded))
	})
}

func TestPendingSummariesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(0)
		log.setDown(true)
		start := time.Now()
		d := startDaemon(log, "d-1", false, 60)
		for range 200 {
			d.counter.Record(goodSample, time.Now())
			time.Sleep(time.Minute)
		}
		log.setDown(false)
		time.Sleep(time.Minute)
		d.stop()
		g.Expect(d.reader.Refresh(context.Background())).To(Succeed())
		g.Expect(totalRequests(d.store, start, time.Now())).To(BeEquivalentTo(60))
	})
}

func TestReaderBehindLogRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(2 * time.Hour)
		start := time.Now()
		slow := NewReader(ReaderOptions{Store: NewStore(), Log: log, IsLeader: func() bool { return false }})
		g.Expect(slow.Refresh(context.Background())).To(Succeed())
		d := startDaemon(log, "d-1", true, 0)
		recorded := uint64(0)
		for range 24 * 60 {
			d.counter.Record(goodSample, time.Now())
			recorded++
			time.Sleep(time.Minute)
		}
		d.stop()
		oldest, _, err := log.Bounds(context.Background(), "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(oldest).To(BeNumerically(">", 1000), "nothing was dropped")
		g.Expect(slow.Refresh(context.Background())).To(Succeed())
		g.Expect(totalRequests(slow.opts.Store, start, time.Now().Add(time.Minute))).To(Equal(recorded))
		for n, h := range d.store.hours {
			if n < minuteOf(time.Now())/minutesPerHour-summaryRetentionHours {
				g.Expect(h.minutes).To(BeEmpty(), "summaries of an old hour are still kept")
			}
		}
	})
}

func TestConcurrentRollupsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(2 * time.Hour)
		start := time.Now()
		a, b := startDaemon(log, "a", true, 0), startDaemon(log, "b", true, 0)
		recorded := uint64(0)
		for range 12 * 60 {
			a.counter.Record(goodSample, time.Now())
			b.counter.Record(failedSample, time.Now())
			recorded += 2
			time.Sleep(time.Minute)
		}
		a.stop()
		b.stop()
		for _, d := range []*daemon{a, b} {
			g.Expect(d.reader.Refresh(context.Background())).To(Succeed())
			g.Expect(totalRequests(d.store, start, time.Now().Add(time.Minute))).To(Equal(recorded))
		}
	})
}
