package worker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
)

// usageCounter counts the resources of the runs that it is told of.
type usageCounter struct{ used job.Resources }

func (u *usageCounter) RunAdded(r *Run)   { u.used = u.used.Add(r.Resources) }
func (u *usageCounter) RunRemoved(r *Run) { u.used = u.used.Sub(r.Resources) }

// Guards against runs that are counted twice or not at all: one that is added again, those
// of a worker that restarts, and those of a worker that is not tracked any more.
func TestObserverCountsEveryRunOnce(t *testing.T) {
	g := NewWithT(t)
	s, u := newTestState(), &usageCounter{}
	s.AddRun(newTestRun(1))
	s.ObserveRuns(u)
	g.Expect(u.used).To(Equal(s.Used))
	s.AddRun(newTestRun(2))
	s.AddRun(newTestRun(2))
	g.Expect(s.Used).To(Equal(newTestRun(1).Resources.Times(2)))
	g.Expect(u.used).To(Equal(s.Used))
	s.ReplaceIncarnation(s.Listing, time.Minute)
	g.Expect(u.used).To(Equal(s.Used))
	s.RemoveRun(newTestRun(1).ID)
	s.RemoveRun(newTestRun(1).ID)
	g.Expect(u.used).To(Equal(s.Used))
	s.ObserveRuns(nil)
	g.Expect(u.used).To(Equal(job.Resources{}))
}
