package scheduler_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a draining worker's task that gets no host until its worker has left, and
// against a host that is asked for although another worker takes the task.
func TestReportNeedsHostForTaskOfDrainingWorkerWithoutPlace(t *testing.T) {
	r := newSpreadRig(t, 2, 1000, "a", "b")
	r.plan()
	r.drain("a")
	r.plan()
	r.g.Expect(r.hostsNeeded()).To(Equal(1))
	r.list("d", 16000)
	r.poll()
	stops := r.plan()
	r.g.Expect(stops).To(HaveLen(1))
	r.g.Expect(r.hostsNeeded()).To(BeZero(), "the task moves to worker d")
	r.end(stops[0])
	r.plan()
	r.g.Expect(r.hostsNeeded()).To(BeZero(), "no task is left on the draining worker")
}

// Guards against a task that waits and one that has to move which count as if one host took
// both, though the step allows one on each worker.
func TestReportNeedsHostForWaitingAndMovingTask(t *testing.T) {
	r := newSpreadRig(t, 3, 1000, "a", "b")
	r.plan()
	r.drain("a")
	r.plan()
	r.g.Expect(r.hostsNeeded()).To(Equal(2))
}

// Guards against a task that counts twice once it has left the draining worker, and against
// a host that is asked for a cancelled task.
func TestReportCountsTaskOfLostDrainingWorkerOnce(t *testing.T) {
	r := newSpreadRig(t, 2, 1000, "a", "b")
	r.plan()
	r.drain("a")
	r.plan()
	r.leave("a")
	r.g.Expect(r.hostsNeeded()).To(BeZero(), "the next plan may place the task")
	r.plan()
	r.g.Expect(r.hostsNeeded()).To(Equal(1))
	r.drain("b")
	r.plan()
	r.core.Cancel(longRunningJob, r.now)
	r.g.Expect(r.hostsNeeded()).To(BeZero(), "the job is cancelled")
}

// Guards against a worker that is cordoned for maintenance and keeps its task for ever, since
// no host is asked for that the task could move to.
func TestReportNeedsHostForTaskOfEvacuatedWorkerWithoutPlace(t *testing.T) {
	r := newSpreadRig(t, 2, 1000, "a", "b")
	r.plan()
	r.core.Cordon("a", "test", false)
	r.plan()
	r.g.Expect(r.hostsNeeded()).To(BeZero(), "the task may stay")
	r.core.Cordon("a", "test", true)
	r.plan()
	r.g.Expect(r.hostsNeeded()).To(Equal(1))
	r.core.Uncordon("a")
	r.plan()
	r.g.Expect(r.hostsNeeded()).To(BeZero(), "the task may stay again")
}
