package logstore_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/logstore"
)

// pagedLog serves pages of a listing, one after the other.
type pagedLog struct {
	logstore.Log
	pages []logstore.Page
}

// Newest implements logstore.Log.
func (l *pagedLog) Newest(context.Context, logstore.Partition, string) (logstore.Page, error) {
	p := l.pages[0]
	if len(l.pages) > 1 {
		l.pages = l.pages[1:]
	}
	return p, nil
}

// Guards against a listing whose rest is taken for gone, or that never ends, because a
// page promises more and does not lead there.
func TestListingThatStopsHalfwayIsAnError(t *testing.T) {
	g := NewWithT(t)
	first := logstore.Page{Records: []logstore.Record{{Key: "a"}}, More: true}
	for _, second := range []logstore.Page{{More: true}, first} {
		_, _, err := logstore.NewestOfAllKeys(t.Context(), &pagedLog{pages: []logstore.Page{first, second}}, logstore.Partition{})
		g.Expect(err).To(HaveOccurred())
	}
	last := logstore.Page{Records: []logstore.Record{{Key: "b"}}}
	recs, _, err := logstore.NewestOfAllKeys(t.Context(), &pagedLog{pages: []logstore.Page{first, last}}, logstore.Partition{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(recs).To(HaveLen(2))
}
