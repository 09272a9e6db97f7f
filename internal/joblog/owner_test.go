package joblog

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

// Guards against records that change although the configuration has no customers: daemons
// of an earlier release could not read them.
func TestRecordsWithoutCustomersAreAsBefore(t *testing.T) {
	g := NewWithT(t)
	cancel, err := CancelEntry(id, job.Requester{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cancel).To(Equal(logstore.Entry{Key: "c" + string(id), Value: []byte{1}}))
	s, err := IntakeSubmissionEntry(Submission{Spec: job.Spec{ID: id}, Terms: job.Terms{Entry: "e"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Key).To(Equal("j" + string(id)))
	p, err := ProgressEntry(id, &job.New(job.Spec{ID: id}, job.Terms{Entry: "e"}).Progress)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Value).To(Equal([]byte{0xa2, 2, 0x81, 0x82, 0, 0x80, 3, 1}), "no owner and no entry")
}

// Guards against a job in the log that is shown to another customer, or as cancelled by
// another customer, while its pool has no holder.
func TestJobInTheLogIsHiddenFromOtherCustomers(t *testing.T) {
	ofA, ofB := job.Requester{Customer: "a", OwnersChecked: true}, job.Requester{Customer: "b", OwnersChecked: true}
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		j := job.New(job.Spec{ID: id, Steps: []job.Step{{Count: 1}}}, job.Terms{Entry: "e", Customer: "a"})
		put := func(p logstore.Partition, want job.Phase, e logstore.Entry, err error) {
			g.Expect(err).NotTo(HaveOccurred())
			l.Put(p, e)
			for _, by := range []job.Requester{ofA, {}, {OwnersChecked: true, PublicEntry: "e"}} {
				phase, err := FindPhase(ctx, l.Client("a"), pool, id, by)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(phase).To(Equal(want), "%+v", by)
			}
			for _, by := range []job.Requester{ofB, {OwnersChecked: true, PublicEntry: "x"}} {
				_, err := FindPhase(ctx, l.Client("a"), pool, id, by)
				g.Expect(err).To(MatchError(ErrNotFound), "%s, %+v", want, by)
			}
		}
		progress := func(phase job.Phase) {
			j.Phase, j.Started = phase, true
			e, err := ProgressEntry(id, &j.Progress)
			put(ProgressPartition(pool), phase, e, err)
		}
		intake := IntakePartition(pool, id)
		e, err := IntakeSubmissionEntry(Submission{Spec: j.Spec, Terms: j.Terms})
		put(intake, job.Queued, e, err)
		e, err = CancelEntry(id, ofB)
		put(intake, job.Queued, e, err)
		progress(job.Running)
		e, err = CancelEntry(id, ofA)
		put(intake, job.Cancelled, e, err)
		progress(job.Completed)
	})
}
