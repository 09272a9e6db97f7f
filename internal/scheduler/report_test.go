package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
)

// The pool's only host with room is one that takes no tasks, so by numbers it
// needs none.
func TestJobThatStandsStillAsksForAHost(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
	c := takenOver(now)
	lookAt(c, now, 0, 1)
	c.Close("b", "test", false)
	c.Submit(&joblog.Submission{
		Spec:       job.Spec{ID: "00000000000000bb", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}}}},
		Terms:      job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3},
		AcceptedAt: now.Wall,
	}, now)
	plan := func() int {
		b, err := c.Plan(now)
		g.Expect(err).NotTo(HaveOccurred())
		c.Committed(b, now)
		return c.Report(now.Now, time.Second).Stuck
	}
	g.Expect(plan()).To(BeZero(), "it has only just come")
	now.Now += 2100 * time.Millisecond
	g.Expect(plan()).To(Equal(1))
	c.Open("b")
	g.Expect(plan()).To(BeZero(), "it is placed")
}
