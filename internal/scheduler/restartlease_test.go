package scheduler_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against restarts that renew the deadline which bounds a run that is confirmed
// on an earlier incarnation: each entry of a next incarnation makes the run wait anew
// for the longest lease, though no start of it is unaccounted for.
func TestRestartsDoNotRenewLeaseOfLostWorker(t *testing.T) {
	p := newCrashPool(t)
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	for range 5 {
		p.tick()
	}
	p.addWorker("b", "b")
	started := false
	for range 8 {
		w.crash()
		p.restart(w)
		// The worker is listed and cannot be reached.
		w.up = false
		for range int(simMaxLease/crashTick) - 1 {
			started = started || p.tick() != nil
		}
	}
	p.g.Expect(started).To(BeTrue(), "the run was confirmed at the first incarnation, and worker b was free for %v", 8*simMaxLease)
}
