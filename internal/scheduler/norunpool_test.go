package scheduler_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// noRunPool drives a Core whose log is kept, and does only what the test says.
type noRunPool struct {
	g   *WithT
	c   *scheduler.Core
	now scheduler.Times
	log *bytes.Buffer
	// holder is what the runner knows of its work. Its plans count as made now unless
	// stuck is set.
	holder scheduler.HolderState
	stuck  bool
	// polled is a worker that answers a poll before each check, or empty.
	polled string
	rep    scheduler.NoRunReport
}

func newNoRunPool(g *WithT) *noRunPool {
	log := &bytes.Buffer{}
	p := &noRunPool{g: g, log: log, now: scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}}
	p.c = scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 7, Lease: simLease, MaxLease: simMaxLease, StopTimeout: simStopTimeout,
		DutyLease: simDutyLease, StatusRetention: time.Minute, Logger: zerolog.New(log),
	}, p.now.Now)
	p.holder = scheduler.HolderState{Phase: scheduler.PhaseWaiting, DutyRemaining: simDutyLease}
	return p
}

// noRunListing returns the list's entry of a worker.
func noRunListing(id string) worker.Listing {
	return worker.Listing{
		Incarnation: job.Incarnation{ID: id, StartedAt: 1}, Address: id, Pool: simPool, Capacity: job.Resources{CPU: scriptCapacity},
	}
}

// add adds workers that are listed and answer.
func (p *noRunPool) add(ids ...string) {
	for _, id := range ids {
		p.c.UpdateWorkers([]worker.Listing{noRunListing(id)}, nil, p.now)
		p.answer(id)
	}
}

// answer has a worker answer a poll with what runs there.
func (p *noRunPool) answer(id string, running ...job.RunID) {
	p.report(id, worker.Report{Running: runStatuses(running)})
}

// report has a worker answer a poll.
func (p *noRunPool) report(id string, rep worker.Report) {
	rep.StartedAt, rep.Clock = 1, p.now.Now.Milliseconds()
	p.c.PollSucceeded(p.c.Poll(id, p.now.Now, simDutyLease), rep, p.now)
}

func runStatuses(runs []job.RunID) []worker.RunStatus {
	var out []worker.RunStatus
	for _, r := range runs {
		out = append(out, worker.RunStatus{Run: r, ProgressPercent: worker.FullSpeed})
	}
	return out
}

// silence has a worker leave a poll unanswered.
func (p *noRunPool) silence(id string) {
	p.c.PollFailed(p.c.Poll(id, p.now.Now, simDutyLease), errNoAnswer, p.now)
}

// submit submits a job of steps.
func (p *noRunPool) submit(id job.ID, steps ...job.Step) {
	p.submitSpec(job.Spec{ID: id, Steps: steps}, nil)
}

func (p *noRunPool) submitSpec(s job.Spec, approval *job.ApprovalSettings) {
	p.c.Submit(&joblog.Submission{
		Spec: s, Terms: job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3, Approval: approval}, AcceptedAt: p.now.Wall,
	}, p.now)
}

// plan makes a plan that is not logged.
func (p *noRunPool) plan() *scheduler.Batch {
	b, err := p.c.Plan(p.now)
	p.g.Expect(err).NotTo(HaveOccurred())
	return b
}

// commit makes and logs a plan, and returns its starts.
func (p *noRunPool) commit() []scheduler.PlannedStart {
	b := p.plan()
	p.c.Committed(b, p.now)
	return scheduler.BatchStarts(b)
}

// send sends a start, which err answers.
func (p *noRunPool) send(s scheduler.PlannedStart, err error) {
	o, decision := p.c.StartOrder(s.Run, s.Worker, p.now.Now, simDutyLease)
	if decision == scheduler.SendLater {
		// The worker was idle, and is polled first.
		p.answer(s.Worker)
		o, decision = p.c.StartOrder(s.Run, s.Worker, p.now.Now, simDutyLease)
	}
	p.g.Expect(decision).To(Equal(scheduler.SendNow))
	p.c.StartAnswered(o, 0, err, p.now)
}

// start makes and logs a plan, and starts what it planned.
func (p *noRunPool) start() []scheduler.PlannedStart {
	starts := p.commit()
	for _, s := range starts {
		p.send(s, nil)
	}
	return starts
}

// pass lets time pass, with a check every NoRunInterval.
func (p *noRunPool) pass(d time.Duration) {
	for end := p.now.Now + d; p.now.Now < end; {
		p.now.Now += scheduler.NoRunInterval
		p.now.Wall += scheduler.NoRunInterval.Milliseconds()
		if !p.stuck {
			p.holder.PlannedAt = p.now.Now
		}
		if p.polled != "" {
			p.answer(p.polled)
		}
		p.rep = p.c.CheckRuns(p.now, p.holder)
	}
}

// lines returns the fields of the lines with a message.
func (p *noRunPool) lines(message string) []map[string]any {
	var out []map[string]any
	for text := range strings.Lines(p.log.String()) {
		fields := map[string]any{}
		p.g.Expect(json.Unmarshal([]byte(text), &fields)).To(Succeed())
		if fields["message"] == message {
			out = append(out, fields)
		}
	}
	return out
}

// reasons returns the reasons of the lines with a message.
func (p *noRunPool) reasons(message string) []string {
	var out []string
	for _, l := range p.lines(message) {
		out = append(out, l["reason"].(string))
	}
	return out
}
