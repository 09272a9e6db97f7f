package scheduler

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore/logtest"
)

// Guards against a holder that says of a pool which it has not taken over that nobody uses
// it, and against one that has and says nothing.
func TestRunnerTellsOfCustomersOncePoolIsTakenOver(t *testing.T) {
	g := NewWithT(t)
	log := logtest.New()
	log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
	r, ctx, release := startRunner(g, log.Client("self"), newSilencedWorkers(), Options{Token: 1, MaxLease: shortMaxLease})
	defer release()
	g.Expect(r.Customers()).To(BeNil())
	log.SetFault(nil)
	g.Eventually(r.Customers, agentPatience).ShouldNot(BeNil())

	const id job.ID = "00000000000000aa"
	g.Expect(r.Submit(ctx, &joblog.Submission{
		Spec: job.Spec{ID: id, Steps: []job.Step{{Count: 3}}}, Terms: job.Terms{Entry: "e", Pool: "p", Customer: "labada"},
	})).To(Succeed())
	g.Expect(r.Customers()).To(ContainElement(HaveField("Customer", customer.ID("labada"))))
	x, ok := r.Explain(id)
	g.Expect(ok).To(BeTrue())
	g.Expect(x.Steps[0].Waiting).To(Equal(3))
}
