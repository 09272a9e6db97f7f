package job

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a job whose occurrences are all due at once, so many that its holder
// runs out of memory, and the next holder after it.
func TestOccurrencesAreReleasedAsFarAsAJobMayHaveTasks(t *testing.T) {
	g := NewWithT(t)
	spec := Spec{ID: someID, Steps: []Step{{Count: MaxTasks / 4}}, Repeat: maxRepeat}
	g.Expect(spec.Validate()).To(Succeed())
	j := New(spec, terms())
	g.Expect(j.Release(1)).To(BeTrue())
	g.Expect(j.Occurrences).To(HaveLen(4))
	_, due := j.NextDue()
	g.Expect(due).To(BeFalse(), "none can be released now")
	g.Expect(j.Release(1)).To(BeFalse())
	for k := range MaxTasks / 4 {
		r := j.Place(TaskID{Job: someID, Index: k}, Location{})
		g.Expect(j.EndRun(r, EndDone, "", 1)).To(BeTrue())
	}
	g.Expect(j.Release(1)).To(BeTrue())
	g.Expect(j.Occurrences).To(HaveLen(4))
	g.Expect(j.NextOccurrence).To(Equal(5))
}

// Guards against progress from the log that makes its reader index out of range.
func TestProgressOfAnotherJobDoesNotFit(t *testing.T) {
	g := NewWithT(t)
	spec := Spec{ID: someID, Steps: []Step{{Count: 2}, {Count: 1, After: []int{0}}}}
	p := New(spec, terms()).Progress
	g.Expect(p.Fits(&spec)).To(BeTrue())
	g.Expect(p.Fits(&Spec{Steps: []Step{{Count: 2}}})).To(BeFalse())
	g.Expect(p.Fits(&Spec{Steps: []Step{{Count: 2}, {Count: 2}}})).To(BeFalse())
	g.Expect((&Progress{Occurrences: []*Occurrence{nil}}).Fits(&spec)).To(BeFalse())
}
