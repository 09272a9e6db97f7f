package scheduler_test

import (
	"fmt"
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

const noRunJob job.ID = "00000000000000aa"

// task returns a step of one task.
func task(cpu int) job.Step {
	return job.Step{Count: 1, Need: job.Resources{CPU: cpu}, Estimate: time.Minute}
}

// lasting returns a step of one task that lasts.
func lasting(cpu int) job.Step {
	return job.Step{Count: 1, Need: job.Resources{CPU: cpu}, LongRunning: true}
}

// earlierHolderRecords are what an earlier holder has logged: a job with a run.
func earlierHolderRecords(spec job.Spec) []joblog.ProgressRecord {
	j := job.New(spec, job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3})
	j.Place(job.TaskID{Job: spec.ID}, job.Location{Worker: job.Incarnation{ID: "a", StartedAt: 1}, Address: "a"})
	return []joblog.ProgressRecord{
		{ID: spec.ID, Progress: &j.Progress},
		{ID: spec.ID, Submission: &joblog.Submission{Spec: spec, Terms: j.Terms}},
	}
}

// noRunCases give a job no run, each for another reason.
var noRunCases = map[scheduler.NoRunReason]func(p *noRunPool){
	scheduler.NoRunTakeover: func(p *noRunPool) {
		p.submit(noRunJob, task(1000))
		p.holder.Phase = scheduler.PhaseLoading
	},
	scheduler.NoRunEnded: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.holder.Phase = scheduler.PhaseEnded
	},
	scheduler.NoRunFenced: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.c.PollFailed(p.c.Poll("a", p.now.Now, simDutyLease), &worker.RejectedError{Reason: worker.ReasonFenced}, p.now)
	},
	scheduler.NoRunLogSilent: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.holder.Phase, p.holder.AppendStarted, p.stuck = scheduler.PhaseAppending, p.now.Now, true
	},
	scheduler.NoRunNotPlanned: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.holder.PlannedAt, p.stuck = p.now.Now, true
	},
	scheduler.NoRunListUnread: func(p *noRunPool) {
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunNoneListed: func(p *noRunPool) {
		p.c.ReplaceWorkers(nil, p.now)
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunUnreachable: func(p *noRunPool) {
		p.add("a")
		p.silence("a")
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunUnreconciled: func(p *noRunPool) {
		p.c.UpdateWorkers([]worker.Listing{noRunListing("a")}, nil, p.now)
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunDraining: func(p *noRunPool) {
		p.add("a")
		l := noRunListing("a")
		l.Draining = true
		p.c.UpdateWorkers([]worker.Listing{l}, nil, p.now)
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunCordoned: func(p *noRunPool) {
		p.add("a")
		p.c.Cordon("a", "test", false)
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunEjected: func(p *noRunPool) {
		p.add("a", "b", "c", "d")
		l := noRunListing("a")
		l.Labels = []string{"fast"}
		p.c.UpdateWorkers([]worker.Listing{l}, nil, p.now)
		st := task(1000)
		st.Label = "fast"
		for n := range 3 {
			p.submit(job.ID(fmt.Sprintf("00000000000000b%d", n)), st)
			s := p.start()[0]
			p.report("a", worker.Report{Ended: []worker.RunEnd{{Number: int64(n + 1), Run: s.Run, Reason: job.EndFailed}}})
			p.c.Cancel(s.Run.Task.Job, p.now)
		}
		p.submit(noRunJob, st)
		p.commit()
	},
	scheduler.NoRunIsolated: func(p *noRunPool) {
		p.add("a")
		p.submit("00000000000000b0", task(1000))
		scheduler.MarkSuspect(p.c, "a", p.start()[0].Run)
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunNoLabel: func(p *noRunPool) {
		p.add("a")
		st := task(1000)
		st.Label = "fast"
		p.submit(noRunJob, st)
		p.commit()
	},
	scheduler.NoRunNotApproved: func(p *noRunPool) {
		p.add("a")
		p.submitSpec(job.Spec{ID: noRunJob, Steps: []job.Step{task(1000)}}, &job.ApprovalSettings{})
		p.commit()
	},
	scheduler.NoRunNodeLimit: func(p *noRunPool) {
		p.add("a")
		st := lasting(1000)
		st.Count, st.MaxPerWorker = 2, 1
		p.submit(noRunJob, st)
		p.start()
		p.commit()
	},
	scheduler.NoRunNoResources: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(scriptCapacity+1))
		p.commit()
	},
	scheduler.NoRunCustomerLimit: func(p *noRunPool) {
		p.add("a")
		p.c.SetCustomers(newDirectory(limitedTo("a", 1000)))
		p.submitFor("a", noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunCustomerShare: func(p *noRunPool) {
		p.add("a")
		p.c.SetCustomers(newDirectory(customer.Customer{ID: "a"}, customer.Customer{ID: "b"}))
		p.submitFor("a", "00000000000000b0", task(scriptCapacity-1000))
		both := task(1000)
		both.Count = 2
		p.submitFor("b", "00000000000000b1", both)
		p.start()
		p.submitFor("a", noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunNotLogged: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.plan()
		p.holder.Phase, p.holder.AppendStarted, p.stuck = scheduler.PhaseAppending, p.now.Now, true
	},
	scheduler.NoRunStartNoDuty: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.commit()
		p.holder.DutyRemaining = 0
	},
	scheduler.NoRunStartUnreachable: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.commit()
		p.silence("a")
	},
	scheduler.NoRunStartOldList: func(p *noRunPool) {
		p.add("a")
		p.now.Now += simLease
		p.answer("a")
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunStartEarlierLease: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.commit()
		scheduler.NameEarlierLease(p.c, "a")
	},
	scheduler.NoRunStartHeld: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		scheduler.MarkSuspect(p.c, "a", p.commit()[0].Run)
	},
	scheduler.NoRunStartNotSent: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.commit()
		p.polled = "a"
	},
	scheduler.NoRunStartUnanswered: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.send(p.commit()[0], errNoAnswer)
	},
	scheduler.NoRunStopping: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		s := p.commit()[0]
		p.send(s, errNoAnswer)
		p.send(s, &worker.RejectedError{Reason: worker.ReasonNoResources})
	},
	scheduler.NoRunLease: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.start()
		p.silence("a")
	},
	scheduler.NoRunEarlierLease: func(p *noRunPool) {
		p.c.Restore(earlierHolderRecords(job.Spec{ID: noRunJob, Steps: []job.Step{task(1000)}}), p.now)
	},
	scheduler.NoRunEarlierSteps: func(p *noRunPool) {
		p.add("a")
		st := lasting(1000)
		st.After = []int{0}
		p.submit(noRunJob, task(1000), st)
		p.start()
	},
	scheduler.NoRunNotReleased: func(p *noRunPool) {
		p.add("a")
		p.submitSpec(job.Spec{ID: noRunJob, Steps: []job.Step{task(1000)}, Repeat: 1, FirstDue: p.now.Wall}, nil)
	},
	scheduler.NoRunNotQueued: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		scheduler.DropFromQueue(p.c, noRunJob)
	},
	scheduler.NoRunUntracked: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		s := p.commit()[0]
		scheduler.DropFromWorker(p.c, s.Worker, s.Run)
	},
	scheduler.NoRunNoTask: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		scheduler.DropTasks(p.c, noRunJob)
	},
}
