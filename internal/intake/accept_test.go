package intake

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/verdict"
)

// Guards against an excess job that the holder rejects and that is accepted all the same
// through the intake log, and against a rejection that loses its Retry-After on the way from
// another daemon.
func TestRejectionOfExcessJobIsFinal(t *testing.T) {
	g := NewWithT(t)
	rejection := verdict.NewNotRun(verdict.ReasonQuota, "too many jobs")
	rejection.RetryAfter = 7 * time.Second
	back := responseFor(rejection).toError()
	g.Expect(verdict.Of(back)).To(Equal(verdict.NotRun))
	g.Expect(verdict.ReasonOf(back)).To(Equal(verdict.ReasonQuota))
	g.Expect(verdict.RetryAfter(back)).To(Equal(7 * time.Second))
	g.Expect(newTestService(logtest.New(), true, nil, 0).finallyRejected(back)).To(BeTrue())
}
