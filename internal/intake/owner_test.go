package intake

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/record"
	"greengagedeck/internal/verdict"
)

var (
	customerA = job.Requester{Customer: "a", OwnersChecked: true}
	customerB = job.Requester{Customer: "b", OwnersChecked: true}
)

// intakeRecords returns what the intake of the entry's pool has of the job.
func intakeRecords(t *testing.T, log *logtest.Log) []joblog.IntakeRecord {
	g := NewWithT(t)
	b, err := log.Client("reader").Read(t.Context(), joblog.IntakePartition(entry.Pool, id), 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	var out []joblog.IntakeRecord
	for _, r := range b.Records {
		rec, ok, err := joblog.DecodeIntake(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ok).To(BeTrue())
		out = append(out, rec)
	}
	return out
}

// Guards against a cancel or a submission that is stored in the intake although the holder
// says that the job belongs to another customer.
func TestRequestForAnotherCustomersJobIsNotStored(t *testing.T) {
	g := NewWithT(t)
	log := logtest.New()
	s := newTestService(log, true, respondOutcome(OutcomeOtherCustomer), 0)
	g.Expect(s.Cancel(t.Context(), entry, customerB, id)).To(MatchError(ErrUnknownJob))
	err := s.Submit(t.Context(), entry, customerB, 1, spec)
	g.Expect(err).To(MatchError(ErrOtherCustomer))
	g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	g.Expect(intakeRecords(t, log)).To(BeEmpty())
}

// Guards against a cancel that tells whether another customer has a job: one of a job that
// nobody knows is answered alike. It is stored, since the submission may be on its way.
func TestCancelOfUnknownJobIsAnsweredLikeThatOfAnotherCustomer(t *testing.T) {
	g := NewWithT(t)
	log := logtest.New()
	s := newTestService(log, true, respondOutcome(OutcomeUnknownJob), 0)
	g.Expect(s.Cancel(t.Context(), entry, customerB, id)).To(MatchError(ErrUnknownJob))
	g.Expect(intakeRecords(t, log)).To(HaveExactElements(HaveField("By", customerB)))
}

// Guards against a cancel or a job in the intake without the customer, for which no
// daemon but the holder can check the owner.
func TestIntakeRecordsNameTheCustomer(t *testing.T) {
	g := NewWithT(t)
	log := logtest.New()
	s := newTestService(log, false, nil, 0)
	public := job.Requester{OwnersChecked: true, PublicEntry: "e"}
	for _, by := range []job.Requester{customerA, public, anyone} {
		g.Expect(s.Submit(t.Context(), entry, by, 1, spec)).To(Succeed())
		g.Expect(s.Cancel(t.Context(), entry, by, id)).To(Succeed())
	}
	records := intakeRecords(t, log)
	g.Expect(records).To(HaveLen(6))
	for i, by := range []job.Requester{customerA, public, anyone} {
		g.Expect(records[2*i].Submission.Terms.Customer).To(Equal(by.Customer))
		g.Expect(records[2*i+1].By).To(Equal(by))
	}
}

// Guards against a job whose owner is lost when a configuration sends its entry to another
// pool, and against another customer that reads, cancels or submits it there.
func TestOwnerIsCheckedAfterItsEntryMoved(t *testing.T) {
	g := NewWithT(t)
	m := newMovingEntry()
	g.Expect(m.s.Submit(t.Context(), m.entry, customerA, m.version, spec)).To(Succeed())
	m.moveTo("q")
	_, err := m.s.State(t.Context(), m.entry, customerB, id)
	g.Expect(err).To(MatchError(ErrUnknownJob))
	g.Expect(m.s.Submit(t.Context(), m.entry, customerB, m.version, spec)).To(MatchError(ErrOtherCustomer))
	g.Expect(m.s.Cancel(t.Context(), m.entry, customerB, id)).To(MatchError(ErrUnknownJob))
	m.readIntake("q")
	g.Expect(m.pools["q"].jobs).To(BeEmpty())
	g.Expect(m.pools["q"].early).To(BeEmpty(), "no cancel is stored")
	g.Expect(m.pools["p"].jobs).To(HaveKeyWithValue(id, false))

	phase, err := m.s.State(t.Context(), m.entry, customerA, id)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(phase).To(Equal(job.Queued))
	g.Expect(m.s.Submit(t.Context(), m.entry, customerA, m.version, spec)).To(Succeed(), "accepted before")
	g.Expect(m.pools["q"].jobs).To(BeEmpty())
	g.Expect(m.s.Cancel(t.Context(), m.entry, customerA, id)).To(Succeed())
	g.Expect(m.pools["p"].jobs).To(HaveKeyWithValue(id, true))
}

// Guards against a job that is dropped from the intake because another pool has a job of
// another customer under the same ID.
func TestJobOfAnotherCustomerElsewhereDropsNoSubmission(t *testing.T) {
	g := NewWithT(t)
	m := newMovingEntry()
	g.Expect(m.s.Submit(t.Context(), m.entry, customerB, m.version, spec)).To(Succeed())
	sub := joblog.Submission{Spec: spec, Terms: m.entry.Terms(m.version)}
	sub.Terms.Pool, sub.Terms.Customer = "r", "a"
	m.moveTo("q")
	g.Expect(m.s.AcceptedElsewhere(t.Context(), &sub)).To(BeFalse())
	sub.Terms.Customer = "b"
	g.Expect(m.s.AcceptedElsewhere(t.Context(), &sub)).To(BeTrue())
}

// Guards against messages that change although the configuration has no customers.
func TestMessagesWithoutCustomersAreAsBefore(t *testing.T) {
	g := NewWithT(t)
	type earlierRequest struct {
		Pool string `cbor:"1,keyasint"`
		ID   job.ID `cbor:"2,keyasint"`
	}
	want, err := record.Encode(earlierRequest{"p", id})
	g.Expect(err).NotTo(HaveOccurred())
	for _, req := range []any{CancelRequest{Pool: "p", ID: id}, StateRequest{Pool: "p", ID: id}} {
		g.Expect(record.Encode(req)).To(Equal(want))
	}
	terms, err := record.Encode(policy.Entry{Name: "e", Pool: "p"}.Terms(1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(terms).To(Equal([]byte("\xa4\x01ae\x02ap\x04\x00\x07\x01")))
}
