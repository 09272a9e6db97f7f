package capacity

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
	"greengagedeck/internal/replica"
)

// editRecord returns the encoded record of the edit that changes document from
// into document to.
func editRecord(tb testing.TB, base uint64, from, to catalogue.Document) []byte {
	tb.Helper()
	g := NewWithT(tb)
	changes, err := catalogue.Diff(from, to, false)
	g.Expect(err).NotTo(HaveOccurred())
	e := catalogue.Edit{Base: base, Operator: "ana", Changes: changes}
	rec, err := record.New(catalogue.KindEdit, "d", time.Now(), record.Cause{Object: "team/admin", Owner: "admin", Reason: "edit by ana"}, e)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := record.Encode(rec)
	g.Expect(err).NotTo(HaveOccurred())
	return data
}

func newLoadedReplica(tb testing.TB, s Size) (*replica.Replica, catalogue.Document) {
	tb.Helper()
	doc := Document(s)
	r := replica.New()
	r.Apply([]platform.LogRecord{{Offset: 1, Data: editRecord(tb, 0, catalogue.Document{}, doc)}})
	NewWithT(tb).Expect(r.State().Pools.Hosts).To(HaveLen(s.Workers))
	return r, doc
}

// withQueue returns a document that sets the queue limit of entry i.
func withQueue(doc catalogue.Document, i, queue int) catalogue.Document {
	e := doc.Entries[i%len(doc.Entries)]
	e.Limits.Queue = queue
	return catalogue.Document{Entries: []catalogue.Entry{e}}
}

func TestDocumentsAreValidAtEverySize(t *testing.T) {
	for _, workers := range []int{1, 50, 250, 1000} {
		doc := Document(scaled(workers))
		NewWithT(t).Expect(doc.Check()).To(BeEmpty())
	}
}

func BenchmarkApplyEdit(b *testing.B) {
	for _, workers := range []int{50, 250, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			r, doc := newLoadedReplica(b, scaled(workers))
			for i := 0; b.Loop(); i++ {
				base := r.State().Offset
				data := editRecord(b, base, catalogue.Document{}, withQueue(doc, i, i+1))
				r.Apply([]platform.LogRecord{{Offset: base + 1, Data: data}})
			}
		})
	}
}

// BenchmarkSnapshot reports the size of a snapshot with an empty and with a full
// history.
func BenchmarkSnapshot(b *testing.B) {
	const history = 8000
	for _, workers := range []int{50, 250, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			r, doc := newLoadedReplica(b, scaled(workers))
			_, empty, err := r.Snapshot()
			NewWithT(b).Expect(err).NotTo(HaveOccurred())
			for i := range history {
				base := r.State().Offset
				r.Apply([]platform.LogRecord{{Offset: base + 1, Data: editRecord(b, base, catalogue.Document{}, withQueue(doc, i, i+1))}})
			}
			var full []byte
			for b.Loop() {
				_, full, err = r.Snapshot()
				NewWithT(b).Expect(err).NotTo(HaveOccurred())
			}
			b.ReportMetric(float64(len(empty)), "B/empty-history")
			b.ReportMetric(float64(len(full)), "B/full-history")
		})
	}
}
