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
	good   = Sample{Entry: "quote", Pool: "clinic-desk"}
	failed = Sample{Entry: "quote", Pool: "clinic-desk", Err: verdict.NewMayHaveRun(verdict.ReasonTimeout, "x")}
)

// The log keeps records for half a day; every day all daemons are replaced.
func TestReplacedFleetKnowsTheMonth(t *testing.T) {
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
					d.counter.Record(good, time.Now())
					recorded++
					if i == 1 {
						d.counter.Record(failed, time.Now())
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
		fresh := NewStore()
		reader := NewReader(ReaderOptions{Store: fresh, Log: log, Lowest: func() bool { return false }})
		g.Expect(reader.Refresh(context.Background())).To(Succeed())

		g.Expect(total(fresh, start, time.Now().Add(time.Minute))).To(Equal(recorded))
		c := fresh.between(start, time.Now().Add(time.Minute))[entryKey{"quote", "clinic-desk"}]
		g.Expect(c.BadBy(CauseFailed)).To(Equal(bad))
	})
}

func TestLogDownThenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(0)
		start := time.Now()
		d := startDaemon(log, "d-1", true, 0)
		recorded := uint64(0)
		for minute := range 300 {
			log.setDown(minute >= 60 && minute < 240)
			d.counter.Record(good, time.Now())
			recorded++
			time.Sleep(time.Minute)
		}
		d.stop()
		g.Expect(d.reader.Refresh(context.Background())).To(Succeed())
		g.Expect(total(d.store, start, time.Now().Add(time.Minute))).To(Equal(recorded))
	})
}

func TestLostAppendAnswersCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(0)
		log.setLoseAnswers(0.3)
		start := time.Now()
		d := startDaemon(log, "d-1", true, 0)
		recorded := uint64(0)
		for range 300 {
			d.counter.Record(good, time.Now())
			recorded++
			time.Sleep(time.Minute)
		}
		log.setLoseAnswers(0)
		d.stop()
		g.Expect(d.reader.Refresh(context.Background())).To(Succeed())
		g.Expect(len(log.records)).To(BeNumerically(">", 330), "no append was repeated")
		g.Expect(total(d.store, start, time.Now().Add(time.Minute))).To(Equal(recorded))
	})
}

func TestLogDownForLongKeepsABoundedNumberOfMinutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(0)
		log.setDown(true)
		start := time.Now()
		d := startDaemon(log, "d-1", false, 60)
		for range 200 {
			d.counter.Record(good, time.Now())
			time.Sleep(time.Minute)
		}
		log.setDown(false)
		time.Sleep(time.Minute)
		d.stop()
		g.Expect(d.reader.Refresh(context.Background())).To(Succeed())
		g.Expect(total(d.store, start, time.Now())).To(BeEquivalentTo(60))
	})
}

func TestRetentionPassingASlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(2 * time.Hour)
		start := time.Now()
		slow := NewReader(ReaderOptions{Store: NewStore(), Log: log, Lowest: func() bool { return false }})
		g.Expect(slow.Refresh(context.Background())).To(Succeed())
		d := startDaemon(log, "d-1", true, 0)
		recorded := uint64(0)
		for range 24 * 60 {
			d.counter.Record(good, time.Now())
			recorded++
			time.Sleep(time.Minute)
		}
		d.stop()
		oldest, _, err := log.Bounds(context.Background(), "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(oldest).To(BeNumerically(">", 1000), "nothing was dropped")
		g.Expect(slow.Refresh(context.Background())).To(Succeed())
		g.Expect(total(slow.opts.Store, start, time.Now().Add(time.Minute))).To(Equal(recorded))
		for n, h := range d.store.hours {
			if n < minuteOf(time.Now())/minutesPerHour-minutesKept {
				g.Expect(h.minutes).To(BeEmpty(), "minutes of an old hour are still held")
			}
		}
	})
}

func TestTwoDaemonsThatBothRollUpDoNoHarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newFakeLog(2 * time.Hour)
		start := time.Now()
		a, b := startDaemon(log, "a", true, 0), startDaemon(log, "b", true, 0)
		recorded := uint64(0)
		for range 12 * 60 {
			a.counter.Record(good, time.Now())
			b.counter.Record(failed, time.Now())
			recorded += 2
			time.Sleep(time.Minute)
		}
		a.stop()
		b.stop()
		for _, d := range []*daemon{a, b} {
			g.Expect(d.reader.Refresh(context.Background())).To(Succeed())
			g.Expect(total(d.store, start, time.Now().Add(time.Minute))).To(Equal(recorded))
		}
	})
}
