package logstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

// timeouts returns how many of a number of appends time out on a log that takes
// a time for each.
func timeouts(t *testing.T, appends int, delay time.Duration) int {
	failed := 0
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Delay: delay} })
		client := log.Client("a")
		var p logstore.Patience
		for range appends {
			ctx, cancel := p.Context(t.Context(), 0)
			_, err := client.Append(ctx, logstore.Partition{Topic: "t"}, []logstore.Entry{{Key: "k"}}, logstore.Condition{})
			p.Note(err)
			cancel()
			if err != nil {
				failed++
			}
		}
	})
	return failed
}

func TestSlowLogIsAskedAgainOnlyUntilItsPaceIsKnown(t *testing.T) {
	g := NewWithT(t)
	g.Expect(timeouts(t, 20, 100*time.Millisecond)).To(BeZero())
	g.Expect(timeouts(t, 20, 900*time.Millisecond)).To(Equal(1))
	g.Expect(timeouts(t, 20, 1400*time.Millisecond)).To(Equal(2))
}

func TestPatienceIsShortAgainOnceTheLogIsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var p logstore.Patience
		left := func() time.Duration {
			ctx, cancel := p.Context(t.Context(), 0)
			defer cancel()
			at, _ := ctx.Deadline()
			return time.Until(at)
		}
		short := left()
		time.Sleep(400 * time.Millisecond)
		p.Note(nil)
		g.Expect(left()).To(BeNumerically(">", short))
		p.Note(nil)
		g.Expect(left()).To(Equal(short))
	})
}
