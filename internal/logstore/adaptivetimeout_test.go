package logstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

// countTimeouts returns how many of a number of appends time out on a log that
// delays each of them.
func countTimeouts(t *testing.T, appends int, delay time.Duration) int {
	failed := 0
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Delay: delay} })
		client := log.Client("a")
		var timeout logstore.AdaptiveTimeout
		for range appends {
			ctx, cancel := timeout.Context(t.Context(), 0)
			_, err := client.Append(ctx, logstore.Partition{Topic: "t"}, []logstore.Entry{{Key: "k"}}, logstore.Condition{})
			timeout.Observe(err)
			cancel()
			if err != nil {
				failed++
			}
		}
	})
	return failed
}

func TestTimeoutAdaptsToSlowLog(t *testing.T) {
	g := NewWithT(t)
	g.Expect(countTimeouts(t, 20, 100*time.Millisecond)).To(BeZero())
	g.Expect(countTimeouts(t, 20, 900*time.Millisecond)).To(Equal(1))
	g.Expect(countTimeouts(t, 20, 1400*time.Millisecond)).To(Equal(2))
}

func TestTimeoutShrinksWhenLogRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var timeout logstore.AdaptiveTimeout
		left := func() time.Duration {
			ctx, cancel := timeout.Context(t.Context(), 0)
			defer cancel()
			at, _ := ctx.Deadline()
			return time.Until(at)
		}
		short := left()
		time.Sleep(400 * time.Millisecond)
		timeout.Observe(nil)
		g.Expect(left()).To(BeNumerically(">", short))
		timeout.Observe(nil)
		g.Expect(left()).To(Equal(short))
	})
}
