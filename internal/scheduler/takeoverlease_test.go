package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against takeovers that renew the deadline which bounds a run on a worker that
// is gone: each new holder waits anew for the longest lease that an earlier one may
// have granted, though none has reached the worker since the first.
func TestTakeoversDoNotRenewLeaseOfLostWorker(t *testing.T) {
	p := newCrashPool(t)
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	w.crash()
	p.unlist(w, "b")
	between := simDutyLease + simMaxLease - time.Second
	for range 8 {
		p.takeOver()
		for range int(between / crashTick) {
			if started := p.tick(); started != nil {
				return
			}
		}
	}
	t.Fatalf("the task has not run for %v, with another worker free all the while", 8*between)
}
