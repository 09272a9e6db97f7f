package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/record"
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

// Guards against a stalled job that gets no host because its pool, without workers,
// counts as half used.
func TestReportNeedsHostForStalledJobWithoutWorkers(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
	c := scheduler.NewCore(scheduler.Options{Pool: simPool, Token: 2, StatusRetention: 2 * time.Minute, Logger: zerolog.Nop()}, now.Now)
	c.Restore(nil, now)
	c.Submit(&joblog.Submission{
		Spec:       job.Spec{ID: "00000000000000bb", Steps: []job.Step{{Count: 3, Need: job.Resources{CPU: 1000}}}},
		Terms:      job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3},
		AcceptedAt: now.Wall,
	}, now)
	for range 2 {
		b, err := c.Plan(now)
		g.Expect(err).NotTo(HaveOccurred())
		c.Committed(b, now)
		now.Now += 2100 * time.Millisecond
	}
	rep := c.Report(now.Now, time.Second)
	g.Expect(rep.HostsNeeded).To(Equal(1))
	g.Expect(rep.Unplaced).To(Equal([]scheduler.UnplacedTasks{{Count: 1, Need: job.Resources{CPU: 1000}}}))
}

// submitSpread submits a number of jobs of count long-running tasks each, at most one on
// a worker. The tasks of the i-th job need i times cpuStep more than those of the first.
func submitSpread(r *spreadRig, firstID, jobs, count, cpuStep int) {
	for i := range jobs {
		r.core.Submit(&joblog.Submission{
			Spec: job.Spec{ID: job.ID(fmt.Sprintf("%016x", firstID+i)), Steps: []job.Step{{
				Count: count, Need: job.Resources{CPU: 100 + i*cpuStep}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1,
			}}},
			Terms:      job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3},
			AcceptedAt: r.now.Wall,
		}, r.now)
	}
}

// Guards against a report that grows with the number of tasks that wait.
func TestReportGroupsUnplacedTasks(t *testing.T) {
	r := newSpreadRig(t, 5, 1000)
	submitSpread(r, 0xb000, 200, 5, 0)
	r.plan()
	rep := r.core.Report(r.now.Now, time.Second)
	r.g.Expect(rep.Unplaced).To(ConsistOf(
		scheduler.UnplacedTasks{Count: 5, Need: job.Resources{CPU: 1000}, MaxPerHost: 1},
		scheduler.UnplacedTasks{Count: 1000, Need: job.Resources{CPU: 100}, MaxPerHost: 200},
	))
	r.g.Expect(rep.HostsNeeded).To(Equal(5))

	submitSpread(r, 0xc000, 200, 4, 1)
	r.plan()
	rep = r.core.Report(r.now.Now, time.Second)
	r.g.Expect(len(rep.Unplaced)).To(BeNumerically("<=", 64))
}

// reportBeforeGroups is the part of a Report on unplaced tasks that earlier releases
// send and read.
type reportBeforeGroups struct {
	Waiting     job.Resources `cbor:"2,keyasint"`
	HostsNeeded int           `cbor:"8,keyasint,omitempty"`
}

// Guards against reports that daemons of the earlier release cannot read, or that this
// one cannot read from them.
func TestReportsAreReadByEarlierRelease(t *testing.T) {
	g := NewWithT(t)
	rep := scheduler.Report{
		Waiting: job.Resources{CPU: 3000}, HostsNeeded: 3,
		Unplaced: []scheduler.UnplacedTasks{{Count: 3, Need: job.Resources{CPU: 1000}, MaxPerHost: 1}},
	}
	data, err := record.Encode(rep)
	g.Expect(err).NotTo(HaveOccurred())
	var old reportBeforeGroups
	g.Expect(record.Decode(data, &old)).To(Succeed())
	g.Expect(old).To(Equal(reportBeforeGroups{Waiting: rep.Waiting, HostsNeeded: 3}))

	data, err = record.Encode(old)
	g.Expect(err).NotTo(HaveOccurred())
	var read scheduler.Report
	g.Expect(record.Decode(data, &read)).To(Succeed())
	g.Expect(read).To(Equal(scheduler.Report{Waiting: rep.Waiting, HostsNeeded: 3}))
}
