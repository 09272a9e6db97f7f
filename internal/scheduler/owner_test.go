package scheduler

import (
	"maps"
	"slices"
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

// ownedPool is a pool whose holders are replaced, with its progress log.
type ownedPool struct {
	g    *WithT
	core *Core
	now  Times
	log  map[string][]byte
}

func newOwnedPool(t *testing.T) *ownedPool {
	p := &ownedPool{g: NewWithT(t), now: Times{Now: time.Hour, Wall: 1_700_000_000_000}, log: map[string][]byte{}}
	p.takeOver()
	return p
}

// takeOver has another holder read the log.
func (p *ownedPool) takeOver() {
	p.core = NewCore(Options{Pool: "p", StatusRetention: time.Hour, Logger: zerolog.Nop()}, p.now.Now)
	var records []joblog.ProgressRecord
	for _, key := range slices.Sorted(maps.Keys(p.log)) {
		rec, _, err := joblog.DecodeProgress(logstore.Record{Key: key, Value: p.log[key]})
		p.g.Expect(err).NotTo(HaveOccurred())
		records = append(records, rec)
	}
	p.core.Restore(records, p.now)
}

// plan makes a plan and logs it.
func (p *ownedPool) plan() {
	b, err := p.core.Plan(p.now)
	p.g.Expect(err).NotTo(HaveOccurred())
	for _, e := range b.Progress {
		p.log[e.Key] = e.Value
	}
	p.core.Committed(b, p.now)
}

// submissionOf returns the submission of a job by a customer, with its name as payload.
func submissionOf(c job.CustomerID) *joblog.Submission {
	return &joblog.Submission{
		Spec: job.Spec{ID: ownedJob, Payload: string(c), Steps: []job.Step{{Count: 1}}}, Terms: job.Terms{Entry: "e", Pool: "p", MaxAttempts: 1, Customer: c},
	}
}

// submit and cancel have the holder read a record in the intake, which is returned.
func (p *ownedPool) submit(c job.CustomerID) logstore.Entry {
	e, err := joblog.IntakeSubmissionEntry(*submissionOf(c))
	return p.read(e, err)
}

func (p *ownedPool) cancel(by job.Requester) logstore.Entry {
	e, err := joblog.CancelEntry(ownedJob, by)
	return p.read(e, err)
}

func (p *ownedPool) read(e logstore.Entry, err error) logstore.Entry {
	p.g.Expect(err).NotTo(HaveOccurred())
	rec, _, err := joblog.DecodeIntake(logstore.Record{Key: e.Key, Value: e.Value})
	p.g.Expect(err).NotTo(HaveOccurred())
	p.core.ApplyIntake([]joblog.IntakeRecord{rec}, p.now)
	return e
}

// expect expects the job to be that of a customer, and its phase.
func (p *ownedPool) expect(c job.CustomerID, want job.Phase) {
	owner, _ := p.core.Owner(ownedJob)
	p.g.ExpectWithOffset(1, owner.Customer).To(Equal(c))
	if j := p.core.jobs[ownedJob]; j != nil {
		p.g.ExpectWithOffset(1, j.Spec.Payload).To(Equal(string(c)))
	}
	phase, known := p.core.Lookup(ownedJob)
	p.g.ExpectWithOffset(1, known).To(BeTrue())
	p.g.ExpectWithOffset(1, phase).To(Equal(want))
}

var (
	ofA, ofB      = job.Requester{Customer: "a", OwnersChecked: true}, job.Requester{Customer: "b", OwnersChecked: true}
	ofPublicEntry = job.Requester{OwnersChecked: true, PublicEntry: "e"}
)

// Guards against a job without its owner after a takeover, before its submission is read,
// once it has ended, or after a holder of an earlier release has logged its progress, which
// names no owner; and against an owner of a job that an earlier release accepted.
func TestOwnerIsKeptWithTheJob(t *testing.T) {
	for _, c := range []job.CustomerID{"a", ""} {
		p := newOwnedPool(t)
		p.core.Submit(submissionOf(c), p.now)
		p.plan()
		p.takeOver()
		p.expect(c, job.Queued)
		e, err := joblog.ProgressEntry(ownedJob, &job.New(submissionOf("").Spec, job.Terms{}).Progress)
		p.g.Expect(err).NotTo(HaveOccurred())
		p.log[e.Key] = e.Value
		p.takeOver()
		p.expect(c, job.Queued)
		p.cancel(ofA)
		p.plan()
		p.g.Expect(p.core.endedJobs).To(HaveKey(ownedJob))
		p.expect(c, job.Cancelled)
		p.takeOver()
		p.expect(c, job.Cancelled)

		p = newOwnedPool(t)
		p.submit(c)
		p.core.markDirty(p.core.jobs[ownedJob])
		p.plan()
		p.takeOver()
		p.expect(c, job.Queued)
		p.g.Expect(p.core.accessible(ownedJob, ofB)).To(Equal(c == ""))
	}
}

// Guards against a cancel that another customer stored in the intake, where no daemon knew
// the owner: it must have no effect, and the owner's own must have one in any order.
func TestCancelOfAnotherCustomerIsDropped(t *testing.T) {
	for _, foreign := range []job.Requester{ofB, {OwnersChecked: true, PublicEntry: "x"}} {
		for _, own := range []job.Requester{ofA, {}, ofPublicEntry} {
			p := newOwnedPool(t)
			p.cancel(foreign)
			p.submit("a")
			p.cancel(foreign)
			p.expect("a", job.Queued)
			p.cancel(own)
			p.expect("a", job.Cancelled)
			p = newOwnedPool(t)
			p.cancel(own)
			p.cancel(foreign)
			p.submit("a")
			p.expect("a", job.Cancelled)
		}
	}
}

// Guards against a customer that takes over a job by submitting another one under its ID
// while the pool has no holder, and against a job that is lost by that: the first one that
// the log holds counts, and what only the holder has does not.
func TestSubmissionUnderTheIDOfAnotherCustomersJobIsDropped(t *testing.T) {
	p := newOwnedPool(t)
	p.core.Submit(submissionOf("a"), p.now)
	p.plan()
	p.submit("b")
	p.plan()
	p.takeOver()
	p.expect("a", job.Queued)
	p = newOwnedPool(t)
	p.core.Submit(submissionOf("a"), p.now)
	p.submit("b")
	p.plan()
	p.takeOver()
	p.submit("b")
	p.expect("b", job.Queued)
	p = newOwnedPool(t)
	p.submit("a")
	p.submit("b")
	p.plan()
	p.takeOver()
	p.submit("b")
	p.submit("a")
	p.expect("a", job.Queued)
}

// Guards against records of customers that stay in the intake for good once the job has
// ended.
func TestRecordsOfCustomersAreDeletedFromTheIntake(t *testing.T) {
	p := newOwnedPool(t)
	log := logtest.New()
	r := NewRunner(RunnerOptions{Options: Options{Pool: "p"}, Log: log.Client("holder"), Clock: clock.System{}, Logger: zerolog.Nop(), Scope: tally.NoopScope})
	r.core = p.core
	intake := joblog.IntakePartition("p", ownedJob)
	for _, e := range []logstore.Entry{p.submit("a"), p.cancel(ofB), p.cancel(ofA)} {
		log.Put(intake, e)
	}
	p.plan()
	r.deleteLeftovers(t.Context())
	left, _, err := logstore.NewestOfAllKeys(t.Context(), log.Client("reader"), intake)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.g.Expect(left).To(BeEmpty())
	p.g.Expect(r.core.customerKeys).To(BeEmpty())
}
