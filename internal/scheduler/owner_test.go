package scheduler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

const ownedJob job.ID = "00000000000000aa"

// ownedPool is a pool whose holders are replaced, with its log.
type ownedPool struct {
	g        *WithT
	core     *Core
	now      Times
	progress map[string][]byte
}

func newOwnedPool(t *testing.T) *ownedPool {
	p := &ownedPool{g: NewWithT(t), now: Times{Now: time.Hour, Wall: 1_700_000_000_000}, progress: map[string][]byte{}}
	p.takeOver()
	return p
}

// takeOver has another holder read the progress log.
func (p *ownedPool) takeOver() {
	p.core = NewCore(Options{Pool: "p", StatusRetention: time.Hour, Logger: zerolog.Nop()}, p.now.Now)
	var records []joblog.ProgressRecord
	for key, value := range p.progress {
		rec, ok, err := joblog.DecodeProgress(logstore.Record{Key: key, Value: value})
		p.g.Expect(err).NotTo(HaveOccurred())
		if ok {
			records = append(records, rec)
		}
	}
	p.core.Restore(records, p.now)
}

// plan makes a plan and logs it.
func (p *ownedPool) plan() {
	b, err := p.core.Plan(p.now)
	p.g.Expect(err).NotTo(HaveOccurred())
	for _, e := range b.Progress {
		p.progress[e.Key] = e.Value
	}
	p.core.Committed(b, p.now)
}

// ownedSubmission returns the submission of a job by a customer, with its name as payload.
func ownedSubmission(c job.CustomerID) *joblog.Submission {
	return &joblog.Submission{
		Spec: job.Spec{ID: ownedJob, Payload: string(c), Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}}}}, Terms: job.Terms{Entry: "e", Pool: "p", MaxAttempts: 1, Customer: c},
	}
}

// read has the holder read a submission of a customer in the intake.
func (p *ownedPool) read(c job.CustomerID) {
	e, err := joblog.IntakeSubmissionEntry(*ownedSubmission(c))
	p.apply(e, err)
}

// readCancel has the holder read a cancel in the intake.
func (p *ownedPool) readCancel(by job.Requester) {
	e, err := joblog.CancelEntry(ownedJob, by)
	p.apply(e, err)
}

func (p *ownedPool) apply(e logstore.Entry, err error) {
	p.g.Expect(err).NotTo(HaveOccurred())
	rec, ok, err := joblog.DecodeIntake(logstore.Record{Key: e.Key, Value: e.Value})
	p.g.Expect(err).NotTo(HaveOccurred())
	p.g.Expect(ok).To(BeTrue())
	p.core.ApplyIntake([]joblog.IntakeRecord{rec}, p.now)
}

// expectOwner expects a job to be known, with an owner and a phase.
func (p *ownedPool) expectOwner(c job.CustomerID, want job.Phase, when string) {
	owner, known := p.core.Owner(ownedJob)
	p.g.Expect(known).To(BeTrue(), when)
	entry := ""
	if c != "" {
		entry = "e"
	}
	p.g.Expect(owner).To(Equal(job.Owner{Customer: c, Entry: entry}), when)
	if j := p.core.jobs[ownedJob]; j != nil {
		p.g.Expect(j.Spec.Payload).To(Equal(string(c)), when)
	}
	phase, _ := p.core.Lookup(ownedJob)
	p.g.Expect(phase).To(Equal(want), when)
}

func checked(c job.CustomerID) job.Requester {
	return job.Requester{Customer: c, OwnersChecked: true}
}

// Guards against a job without its owner after a takeover, once it has ended, or after
// both, and against an owner of a job that an earlier release accepted.
func TestOwnerIsKeptWithTheJob(t *testing.T) {
	for _, c := range []job.CustomerID{"a", ""} {
		p := newOwnedPool(t)
		p.core.Submit(ownedSubmission(c), p.now)
		p.expectOwner(c, job.Queued, "submitted")
		p.plan()
		p.takeOver()
		p.expectOwner(c, job.Queued, "taken over")
		p.readCancel(checked("a"))
		p.expectOwner(c, job.Cancelled, "cancelled")
		p.plan()
		p.g.Expect(p.core.endedJobs).To(HaveKey(ownedJob))
		p.expectOwner(c, job.Cancelled, "settled")
		p.takeOver()
		p.expectOwner(c, job.Cancelled, "settled and taken over")
	}
}

// Guards against a job that is lost, or loses its owner, when a holder of an earlier
// release has logged its progress, which names no owner.
func TestOwnerSurvivesAHolderOfAnEarlierRelease(t *testing.T) {
	p := newOwnedPool(t)
	p.core.Submit(ownedSubmission("a"), p.now)
	p.plan()
	e, err := joblog.ProgressEntry(ownedJob, &job.New(ownedSubmission("").Spec, job.Terms{}).Progress)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.progress[e.Key] = e.Value
	p.takeOver()
	p.expectOwner("a", job.Queued, "taken over")
}

// Guards against a job whose progress is known before its submission and whose owner is
// not: another customer could cancel it meanwhile.
func TestOwnerIsKnownBeforeTheSubmissionIsRead(t *testing.T) {
	p := newOwnedPool(t)
	p.read("a")
	p.core.markDirty(p.core.jobs[ownedJob])
	p.plan()
	p.takeOver()
	p.expectOwner("a", job.Queued, "only the progress is read")
	p.g.Expect(p.core.accessible(ownedJob, checked("b"))).To(BeFalse())
}

// Guards against a cancel that another customer stored in the intake, where no daemon knew
// the owner: it must have no effect, and the owner's own must have one in either order.
func TestCancelOfAnotherCustomerIsDropped(t *testing.T) {
	for name, order := range map[string]func(p *ownedPool, read func(job.Requester)){
		"known job":   func(p *ownedPool, read func(job.Requester)) { p.read("a"); read(checked("b")) },
		"unknown job": func(p *ownedPool, read func(job.Requester)) { read(checked("b")); p.read("a") },
		"public entry": func(p *ownedPool, read func(job.Requester)) {
			read(job.Requester{OwnersChecked: true, PublicEntry: "x"})
			p.read("a")
		},
	} {
		for _, by := range []job.Requester{checked("a"), {}, {OwnersChecked: true, PublicEntry: "e"}} {
			p := newOwnedPool(t)
			order(p, p.readCancel)
			p.expectOwner("a", job.Queued, name)
			p.readCancel(by)
			p.expectOwner("a", job.Cancelled, name)
			p = newOwnedPool(t)
			p.readCancel(by)
			order(p, p.readCancel)
			p.expectOwner("a", job.Cancelled, name)
		}
	}
}

// Guards against a customer that takes over a job by submitting another one under its ID
// while the pool has no holder, and against a job that is lost by that.
func TestSubmissionUnderTheIDOfAnotherCustomersJobIsDropped(t *testing.T) {
	p := newOwnedPool(t)
	p.core.Submit(ownedSubmission("a"), p.now)
	p.read("b")
	p.expectOwner("a", job.Queued, "submitted to the holder, not logged yet")
	p.plan()
	p.takeOver()
	p.expectOwner("a", job.Queued, "it was logged")

	p = newOwnedPool(t)
	p.read("a")
	p.read("b")
	p.expectOwner("a", job.Queued, "the first counts")
	p.plan()
	p.takeOver()
	p.read("b")
	p.read("a")
	p.expectOwner("a", job.Queued, "the next holder decides alike")
}

// Guards against records of customers that stay in the intake for good once the job has
// ended.
func TestRecordsOfCustomersAreDeletedFromTheIntake(t *testing.T) {
	g := NewWithT(t)
	log := logtest.New()
	r := NewRunner(RunnerOptions{Options: Options{Pool: "p", StatusRetention: time.Hour}, Log: log.Client("holder"), Clock: clock.System{}, Logger: zerolog.Nop(), Scope: tally.NoopScope})
	p := &ownedPool{g: g, core: r.core, now: r.times(), progress: map[string][]byte{}}
	partition := joblog.IntakePartition("p", ownedJob)
	put := func(e logstore.Entry, err error) {
		g.Expect(err).NotTo(HaveOccurred())
		log.Put(partition, e)
		p.apply(e, nil)
	}
	put(joblog.IntakeSubmissionEntry(*ownedSubmission("a")))
	put(joblog.CancelEntry(ownedJob, checked("b")))
	put(joblog.CancelEntry(ownedJob, checked("a")))
	p.plan()
	r.deleteLeftovers(t.Context())
	left, _, err := logstore.NewestOfAllKeys(t.Context(), log.Client("reader"), partition)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(BeEmpty())
	g.Expect(r.core.customerKeys).To(BeEmpty())
}
