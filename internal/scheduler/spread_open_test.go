package scheduler_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a task that waits for a host larger than those that its pool has left, and
// for which no host is asked for.
func TestReportNeedsHostForTaskLargerThanWorkers(t *testing.T) {
	r := newSpreadRig(t, 2, 8000, "a", "b")
	r.plan()
	r.list("small", 4000)
	r.leave("a")
	r.poll()
	r.plan()
	r.leave("b")
	r.plan()
	r.g.Expect(r.hostsNeeded()).To(BeNumerically(">", 0))
}

// Guards against a host that is asked for although a free worker takes the task with the next
// plan.
func TestReportNeedsNoHostForTaskAboutToBePlaced(t *testing.T) {
	r := newSpreadRig(t, 1, 1000, "a")
	r.g.Expect(r.hostsNeeded()).To(BeZero())
}
