package scheduler_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a submission that counts as logged because another submission of the
// same job was withdrawn meanwhile: its job would be accepted and never run.
func TestSubmissionOfWithdrawnJobIsNotLogged(t *testing.T) {
	p := newCrashPool(t)
	sub := *p.sub
	sub.Spec.ID = "00000000000000dd"
	p.core.Submit(&sub, p.now)
	version := p.core.Submit(&sub, p.now)
	p.g.Expect(p.core.Withdraw(sub.Spec.ID)).To(BeTrue())
	p.g.Expect(p.core.Logged(sub.Spec.ID, version)).To(BeFalse(), "after it was withdrawn")

	version = p.core.Submit(&sub, p.now)
	p.plan()
	p.g.Expect(p.core.Logged(sub.Spec.ID, version)).To(BeTrue(), "after it was submitted again")
}
