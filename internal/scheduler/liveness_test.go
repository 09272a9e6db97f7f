package scheduler_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

const (
	// scriptTick is the time between two plans of a scriptedPool.
	scriptTick = 250 * time.Millisecond
	// scriptCapacity is the processor capacity of its workers.
	scriptCapacity = 4000
)

// scriptedPool drives a Core in virtual time. Its workers do what the test says.
type scriptedPool struct {
	g       *WithT
	c       *scheduler.Core
	now     scheduler.Times
	workers []string
	// silent workers answer no call, and rejecting ones reject every start.
	silent, rejecting, draining map[string]bool
	running                     map[job.RunID]string
	// ends are the ends that a worker reports with its next answer.
	ends    map[string][]worker.RunEnd
	lastEnd map[string]int64
	// unsent are the runs whose start has to be sent.
	unsent map[job.RunID]string
	// idleSince is since when a task has had no run at a worker that answers.
	idleSince map[job.TaskID]time.Duration
}

func newScriptedPool(g *WithT, workers ...string) *scriptedPool {
	p := &scriptedPool{
		g: g, workers: workers,
		now:    scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000},
		silent: map[string]bool{}, rejecting: map[string]bool{}, draining: map[string]bool{},
		running: map[job.RunID]string{}, ends: map[string][]worker.RunEnd{}, lastEnd: map[string]int64{},
		unsent: map[job.RunID]string{}, idleSince: map[job.TaskID]time.Duration{},
	}
	p.c = scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 1, Lease: simLease, MaxLease: simMaxLease, StopTimeout: simStopTimeout,
		DutyLease: simDutyLease, EarlierHolders: simDutyLease, StatusRetention: time.Minute, Logger: zerolog.Nop(),
	}, p.now.Now)
	p.list()
	p.poll()
	return p
}

// list has the Core read the list of workers.
func (p *scriptedPool) list() {
	var list []worker.Listing
	for _, id := range p.workers {
		list = append(list, worker.Listing{
			Incarnation: job.Incarnation{ID: id, StartedAt: 1}, Address: id, Pool: simPool,
			Capacity: job.Resources{CPU: scriptCapacity}, Draining: p.draining[id],
		})
	}
	p.c.UpdateWorkers(list, nil, p.now)
}

// submit submits a job of one long-running step.
func (p *scriptedPool) submit(id job.ID, st job.Step, approval *job.ApprovalSettings) {
	st.LongRunning, st.MaxUnavailable = true, st.Count
	p.c.Submit(&joblog.Submission{
		Spec:       job.Spec{ID: id, Steps: []job.Step{st}},
		Terms:      job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3, Approval: approval},
		AcceptedAt: p.now.Wall,
	}, p.now)
	for k := range st.Count {
		p.idleSince[job.TaskID{Job: id, Index: k}] = p.now.Now
	}
}

// poll polls every worker.
func (p *scriptedPool) poll() {
	for _, id := range p.workers {
		if _, due := p.c.NextPoll(id, 0); !due {
			continue
		}
		poll := p.c.Poll(id, p.now.Now, simDutyLease)
		if p.silent[id] {
			p.c.PollFailed(poll, noAnswer(), p.now)
			continue
		}
		rep := worker.Report{StartedAt: 1, Clock: (p.now.Now - time.Hour).Milliseconds(), Ended: p.ends[id]}
		for r, at := range p.running {
			if at == id {
				rep.Running = append(rep.Running, worker.RunStatus{Run: r, ProgressPercent: worker.FullSpeed})
			}
		}
		p.ends[id] = nil
		p.c.PollSucceeded(poll, rep, p.now)
	}
}

func noAnswer() error { return verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer") }

// advance reads the list, makes plans, sends orders and polls the workers for d.
func (p *scriptedPool) advance(d time.Duration) {
	for end := p.now.Now + d; p.now.Now < end; {
		p.now.Now += scriptTick
		p.now.Wall += scriptTick.Milliseconds()
		p.list()
		p.poll()
		b, err := p.c.Plan(p.now)
		p.g.Expect(err).NotTo(HaveOccurred())
		at := map[job.RunID]string{}
		for _, s := range scheduler.BatchStarts(b) {
			at[s.Run] = s.Worker
		}
		for _, r := range p.c.Committed(b, p.now) {
			p.unsent[r] = at[r]
		}
		p.sendStarts()
		for _, s := range p.c.StopOrders() {
			p.stop(s)
		}
		for r, id := range p.running {
			if !p.silent[id] {
				p.idleSince[r.Task] = p.now.Now
			}
		}
	}
}

// sendStarts sends the starts, and those without an answer again.
func (p *scriptedPool) sendStarts() {
	for r, id := range p.unsent {
		o, send := p.c.StartOrder(r, id, p.now.Now, simDutyLease)
		if send == scheduler.SendNever {
			delete(p.unsent, r)
		}
		if send != scheduler.SendNow {
			continue
		}
		var err error
		switch {
		case p.silent[id]:
			err = noAnswer()
		case p.rejecting[id]:
			err = &worker.RejectedError{Reason: worker.ReasonUnhealthy}
		default:
			p.running[r] = id
		}
		if !p.c.StartAnswered(o, (p.now.Now - time.Hour).Milliseconds(), err, p.now) {
			delete(p.unsent, r)
		}
	}
}

// stop carries out a stop.
func (p *scriptedPool) stop(s scheduler.StopOrder) {
	if p.silent[s.Worker] {
		p.c.StopAnswered(s, 0, noAnswer(), p.now)
		return
	}
	p.c.StopAnswered(s, (p.now.Now - time.Hour).Milliseconds(), nil, p.now)
	p.end(s.Run, job.EndStopped)
}

// end ends a run at its worker.
func (p *scriptedPool) end(r job.RunID, reason job.EndReason) {
	id, ok := p.running[r]
	if !ok {
		return
	}
	delete(p.running, r)
	p.lastEnd[id]++
	p.ends[id] = append(p.ends[id], worker.RunEnd{Number: p.lastEnd[id], Run: r, Reason: reason})
}

// endAllOn ends all runs on a worker.
func (p *scriptedPool) endAllOn(id string, reason job.EndReason) {
	for _, r := range p.runsOn(id) {
		p.end(r, reason)
	}
}

func (p *scriptedPool) runsOn(id string) []job.RunID {
	var out []job.RunID
	for r, at := range p.running {
		if at == id {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(x, y job.RunID) int { return compareStrings(x.Task.String(), y.Task.String()) })
	return out
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// idle returns how long a task has had no run.
func (p *scriptedPool) idle(t job.TaskID) time.Duration { return p.now.Now - p.idleSince[t] }

const (
	firstJob  job.ID = "00000000000000a1"
	secondJob job.ID = "00000000000000a2"
)

// Guards against: a start that is sent again and again to a silent worker extends the
// worker's lease each time, so that none of its runs is ever given up.
func TestResentStartDoesNotKeepSilentWorkersRuns(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a")
	p.submit(firstJob, job.Step{Count: 1, Need: job.Resources{CPU: 1000}}, nil)
	p.advance(time.Second)
	g.Expect(p.running).To(HaveLen(1))
	p.submit(secondJob, job.Step{Count: 1, Need: job.Resources{CPU: 1000}}, nil)
	b, err := p.c.Plan(p.now)
	g.Expect(err).NotTo(HaveOccurred())
	for _, r := range p.c.Committed(b, p.now) {
		p.unsent[r] = "a"
	}
	p.silent["a"] = true
	p.workers = append(p.workers, "b")
	p.list()
	p.advance(lostAfter)
	g.Expect(p.runsOn("b")).To(HaveLen(2), "the tasks have had no run for %v and b is free", p.idle(job.TaskID{Job: firstJob}))
}

// Guards against: a worker that is ejected gets no task even if the task fits on no
// other worker, for up to 16 s and again after every further failure.
func TestTaskThatFitsOnlyOnEjectedWorkerIsPlacedThere(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b", "c", "d")
	for _, id := range []job.ID{firstJob, secondJob} {
		p.submit(id, job.Step{Count: 4, Need: job.Resources{CPU: 500}, MaxPerWorker: 1}, nil)
	}
	p.advance(time.Second)
	g.Expect(p.running).To(HaveLen(8))
	longest := time.Duration(0)
	for range 120 {
		p.endAllOn("d", job.EndFailed)
		p.advance(time.Second)
		for task := range p.idleSince {
			longest = max(longest, p.idle(task))
		}
	}
	g.Expect(longest).To(BeNumerically("<", lostAfter), "d always has room for the task")
}

// Guards against: a start that its worker rejects is placed on the same worker again
// without end, while other workers have room.
func TestTaskIsPlacedElsewhereAfterRejectedStarts(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b")
	p.rejecting["a"] = true
	p.submit(firstJob, job.Step{Count: 1, Need: job.Resources{CPU: 1000}}, nil)
	p.advance(lostAfter)
	g.Expect(p.runsOn("b")).To(HaveLen(1))
}

// Guards against: workers whose approval is valid but which may take no more tasks of
// the step keep the pool from asking about the others.
func TestApprovalOfWorkersWithoutRoomDoesNotKeepOthersFromBeingAsked(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a")
	p.submit(firstJob, job.Step{Count: 2, Need: job.Resources{CPU: 1000}, MaxPerWorker: 1}, &job.ApprovalSettings{Validity: time.Minute})
	answer := func() {
		for _, req := range p.c.ApprovalRequests() {
			tickets := map[string]string{}
			for _, id := range req.WorkerIDs() {
				tickets[id] = "ticket"
			}
			p.c.ApprovalReceived(req, tickets, 0, nil, p.now)
		}
	}
	for range 4 {
		p.advance(scriptTick)
		answer()
	}
	g.Expect(p.running).To(HaveLen(1), "one task for each worker")
	p.workers = append(p.workers, "b", "c")
	p.list()
	p.poll()
	for range int(lostAfter / scriptTick) {
		p.advance(scriptTick)
		answer()
	}
	g.Expect(p.running).To(HaveLen(2), "b and c are free")
}

// expectBothTasksKeptWhileDraining has both workers drain, adds one with room for one of
// the job's two tasks, and expects both to go on.
func (p *scriptedPool) expectBothTasksKeptWhileDraining() {
	p.advance(time.Second)
	p.g.ExpectWithOffset(1, p.running).To(HaveLen(2))
	p.draining["a"], p.draining["b"] = true, true
	p.workers = append(p.workers, "c")
	p.list()
	p.poll()
	p.advance(2 * time.Second)
	p.g.ExpectWithOffset(1, p.running).To(HaveLen(2), "one task moved to c, the other stays until there is room for it")
}

// Guards against: two tasks of a step are stopped on draining workers although the
// step's limit leaves room for only one of them, so that the other has no place.
func TestEvacuationStopsNoMoreTasksThanTheStepsLimitHasRoomFor(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b")
	p.submit(firstJob, job.Step{Count: 2, Need: job.Resources{CPU: 1000}, MaxPerWorker: 1}, nil)
	p.expectBothTasksKeptWhileDraining()
}

// Guards against: the place that a stopped task is to move to is reserved only until
// the next plan, in which a second task is stopped for the same place.
func TestEvacuationKeepsPlaceReservedUntilTaskHasMoved(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b")
	p.submit(firstJob, job.Step{Count: 2, Need: job.Resources{CPU: 3 * scriptCapacity / 4}}, nil)
	p.expectBothTasksKeptWhileDraining()
}

// Guards against: the workers that are approved for a step are put into a second
// index, which overwrites their places in the first one while that is in use.
func TestPlacementOfApprovedStepLeavesIndexOfOtherStepsIntact(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b")
	p.submit(firstJob, job.Step{Count: 1, Need: job.Resources{CPU: 1800}}, &job.ApprovalSettings{Validity: time.Minute})
	p.advance(scriptTick)
	for _, req := range p.c.ApprovalRequests() {
		p.c.ApprovalReceived(req, map[string]string{"b": "ticket"}, 0, nil, p.now)
	}
	p.submit(secondJob, job.Step{Count: 2, Need: job.Resources{CPU: 1800}}, nil)
	g.Expect(func() { p.advance(time.Second) }).NotTo(Panic())
	g.Expect(p.running).To(HaveLen(3))
}
