package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
)

// The only host with enough free resources accepts no new tasks. By its total free
// resources the pool needs no further host, so the report must ask for one because
// of the stalled job.
func TestReportNeedsHostForStalledJob(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
	c := newCoreAfterTakeover(now)
	pollWorkers(c, now, 0, 1)
	c.Cordon("b", "test", false)
	c.Submit(&joblog.Submission{
		Spec:       job.Spec{ID: "00000000000000bb", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}}}},
		Terms:      job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3},
		AcceptedAt: now.Wall,
	}, now)
	plan := func() int {
		b, err := c.Plan(now)
		g.Expect(err).NotTo(HaveOccurred())
		c.Committed(b, now)
		return c.Report(now.Now, time.Second).HostsNeeded
	}
	g.Expect(plan()).To(BeZero(), "the job was only just submitted")
	now.Now += 2100 * time.Millisecond
	g.Expect(plan()).To(Equal(1))
	c.Uncordon("b")
	g.Expect(plan()).To(BeZero(), "the job is placed")
}
