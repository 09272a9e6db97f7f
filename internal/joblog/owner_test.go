package joblog

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

// ofCustomer returns a requester whose access to jobs is checked.
func ofCustomer(c job.CustomerID) job.Requester {
	return job.Requester{Customer: c, OwnersChecked: true}
}

// submissionOf returns the intake entry of a customer's job.
func submissionOf(g *WithT, c job.CustomerID) logstore.Entry {
	e, err := IntakeSubmissionEntry(Submission{
		Spec: job.Spec{ID: id, Steps: []job.Step{{Count: 1}}}, Terms: job.Terms{Entry: "e", Customer: c},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return e
}

// cancelBy returns the intake entry of a cancel.
func cancelBy(g *WithT, by job.Requester) logstore.Entry {
	e, err := CancelEntry(id, by)
	g.Expect(err).NotTo(HaveOccurred())
	return e
}

// Guards against a submission or cancel of one customer that replaces that of another one
// under the same key: an acknowledged cancel would be lost, or a job swapped for another.
func TestRecordsOfCustomersDoNotReplaceEachOther(t *testing.T) {
	g := NewWithT(t)
	keys := map[string]bool{}
	for _, by := range []job.Requester{{}, ofCustomer("a"), ofCustomer("b"), {OwnersChecked: true, PublicEntry: "e"}} {
		e := cancelBy(g, by)
		keys[e.Key] = true
		rec, ok, err := DecodeIntake(logstore.Record{Key: e.Key, Value: e.Value})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ok).To(BeTrue())
		g.Expect(rec.ID).To(Equal(id))
		g.Expect(rec.Cancelled).To(BeTrue())
		g.Expect(rec.By).To(Equal(by))
		g.Expect(rec.CustomerKey != "").To(Equal(by != job.Requester{}))
	}
	for _, c := range []job.CustomerID{"", "a", "b"} {
		e := submissionOf(g, c)
		keys[e.Key] = true
		rec, ok, err := DecodeIntake(logstore.Record{Key: e.Key, Value: e.Value})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ok).To(BeTrue())
		g.Expect(rec.ID).To(Equal(id))
		g.Expect(rec.Submission.Terms.Customer).To(Equal(c))
	}
	g.Expect(keys).To(HaveLen(7))
}

// Guards against records that change although the configuration has no customers: daemons
// of an earlier release could not read them.
func TestRecordsWithoutCustomersAreAsBefore(t *testing.T) {
	g := NewWithT(t)
	g.Expect(cancelBy(g, job.Requester{})).To(Equal(logstore.Entry{Key: "c" + string(id), Value: []byte{1}}))
	g.Expect(submissionOf(g, "").Key).To(Equal("j" + string(id)))
	e, err := ProgressEntry(id, &job.New(job.Spec{ID: id}, job.Terms{Entry: "e"}).Progress)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Value).To(Equal([]byte{0xa2, 2, 0x81, 0x82, 0, 0x80, 3, 1}), "no owner and no entry")
}

// Guards against a job in the log that is shown to another customer, or as cancelled by
// another customer, while its pool has no holder.
func TestJobInTheLogIsHiddenFromOtherCustomers(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		c := l.Client("a")
		intake := IntakePartition(pool, id)
		expect := func(want job.Phase) {
			for _, by := range []job.Requester{ofCustomer("a"), {}, {OwnersChecked: true, PublicEntry: "e"}} {
				phase, err := FindPhase(ctx, c, pool, id, by)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(phase).To(Equal(want), "%+v", by)
			}
			for _, by := range []job.Requester{ofCustomer("b"), {OwnersChecked: true, PublicEntry: "other"}} {
				_, err := FindPhase(ctx, c, pool, id, by)
				g.Expect(err).To(MatchError(ErrNotFound), "%s, %+v", want, by)
			}
		}
		l.Put(intake, submissionOf(g, "a"))
		expect(job.Queued)
		l.Put(intake, cancelBy(g, ofCustomer("b")))
		expect(job.Queued)
		j := job.New(job.Spec{ID: id, Steps: []job.Step{{Count: 1}}}, job.Terms{Entry: "e", Customer: "a"})
		j.Phase = job.Running
		e, err := ProgressEntry(id, &j.Progress)
		g.Expect(err).NotTo(HaveOccurred())
		l.Put(ProgressPartition(pool), e)
		expect(job.Running)
		l.Put(intake, cancelBy(g, ofCustomer("a")))
		expect(job.Cancelled)
		j.Phase = job.Completed
		e, err = ProgressEntry(id, &j.Progress)
		g.Expect(err).NotTo(HaveOccurred())
		l.Put(ProgressPartition(pool), e)
		expect(job.Completed)
	})
}

// Guards against a cancel that an earlier release stored and that has no effect.
func TestCancelOfAnEarlierReleaseCancelsAnyJob(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		l.Put(IntakePartition(pool, id), submissionOf(g, "a"))
		l.Put(IntakePartition(pool, id), logstore.Entry{Key: "c" + string(id), Value: []byte{1}})
		g.Expect(FindPhase(ctx, l.Client("a"), pool, id, ofCustomer("a"))).To(Equal(job.Cancelled))
	})
}
