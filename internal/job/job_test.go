package job

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const someID ID = "00000000000000aa"

func terms() Terms { return Terms{Entry: "e", Pool: "p", MaxAttempts: 2} }

// twoStepJob returns a job of two steps, the second depending on the first.
func twoStepJob() *Job {
	return New(Spec{ID: someID, Steps: []Step{
		{Count: 2, Estimate: time.Second},
		{Count: 1, Estimate: 3 * time.Second, After: []int{0}},
	}}, terms())
}

func task(step, index int) TaskID { return TaskID{Job: someID, Step: step, Index: index} }

func TestStepStartsAfterItsDependencies(t *testing.T) {
	g := NewWithT(t)
	j := twoStepJob()
	g.Expect(j.WaitingGroups()).To(Equal([]TaskGroup{{Step: 0, Waiting: []int{0, 1}}}))
	g.Expect(j.RemainingCriticalPath()).To(Equal(4 * time.Second))
	a, b := j.Place(task(0, 0), Location{}), j.Place(task(0, 1), Location{})
	g.Expect(j.WaitingGroups()).To(BeEmpty())
	g.Expect(j.EndRun(a, EndDone, "", 5)).To(BeTrue())
	g.Expect(j.WaitingGroups()).To(BeEmpty())
	g.Expect(j.EndRun(b, EndDone, "", 5)).To(BeTrue())
	g.Expect(j.WaitingGroups()).To(Equal([]TaskGroup{{Step: 1, Waiting: []int{0}}}))
	g.Expect(j.RemainingCriticalPath()).To(Equal(3 * time.Second))
	g.Expect(j.EndRun(j.Place(task(1, 0), Location{}), EndDone, "", 7)).To(BeTrue())
	g.Expect(j.Phase).To(Equal(Completed))
	g.Expect(j.EndedAt).To(Equal(int64(7)))
	g.Expect(j.Finalize()).To(BeTrue())
}

func TestOnlyFailuresCountTowardsMaxAttempts(t *testing.T) {
	g := NewWithT(t)
	j := twoStepJob()
	for _, reason := range []EndReason{EndStopped, EndLeaseExpired, EndWorkerLost, EndFailed, EndWorkerLost} {
		r := j.Place(task(0, 0), Location{})
		j.TaskStarted()
		g.Expect(j.EndRun(r, reason, "", 1)).To(BeTrue())
		g.Expect(j.Phase).To(Equal(Running))
	}
	j.EndRun(j.Place(task(0, 0), Location{}), EndFailed, "", 9)
	g.Expect(j.Phase).To(Equal(Failed))
	g.Expect(j.WaitingGroups()).To(BeEmpty())
}

func TestRunEndIsAppliedOnce(t *testing.T) {
	g := NewWithT(t)
	j := twoStepJob()
	r := j.Place(task(0, 0), Location{})
	g.Expect(j.EndRun(r, EndFailed, "c", 1)).To(BeTrue())
	g.Expect(j.EndRun(r, EndFailed, "c", 1)).To(BeFalse())
	g.Expect(j.DiscardRun(r)).To(BeFalse())
	g.Expect(j.Task(task(0, 0)).Failures).To(Equal(1))
	g.Expect(j.Checkpoint(task(0, 0))).To(Equal("c"))
	g.Expect(j.Place(task(0, 0), Location{}).Number).To(Equal(2))
}

func TestGangStartsAndEndsTogether(t *testing.T) {
	g := NewWithT(t)
	j := New(Spec{ID: someID, Steps: []Step{{Count: 3, Gang: true}}}, terms())
	runs := j.PlaceGang(0, 0, make([]Location, 3))
	for _, r := range runs {
		g.Expect(r.Number).To(Equal(1))
	}
	j.EndRun(runs[0], EndFailed, "", 1)
	g.Expect(j.WaitingGroups()).To(BeEmpty(), "members of the last run are still active")
	j.EndRun(runs[1], EndGangMemberLost, "saved", 1)
	j.EndRun(runs[2], EndGangMemberLost, "", 1)
	g.Expect(j.WaitingGroups()).To(Equal([]TaskGroup{{Waiting: []int{0, 1, 2}}}))
	g.Expect(j.Checkpoint(task(0, 2))).To(Equal("saved"))
	again := j.PlaceGang(0, 0, make([]Location, 3))
	g.Expect(again[0].Number).To(Equal(2))
	for _, r := range again {
		j.EndRun(r, EndFailed, "", 2)
	}
	g.Expect(j.Phase).To(Equal(Failed), "a gang counts one failure per run, not per member")
}

func TestSpeculativeCopyActiveAfterCompletion(t *testing.T) {
	g := NewWithT(t)
	j := New(Spec{ID: someID, Steps: []Step{{Count: 1, Speculative: true}}}, terms())
	first, second := j.Place(task(0, 0), Location{}), j.Place(task(0, 0), Location{})
	j.EndRun(second, EndDone, "", 3)
	g.Expect(j.Phase).To(Equal(Completed))
	g.Expect(j.Redundant(first)).To(BeTrue())
	g.Expect(j.Finalize()).To(BeFalse())
	j.EndRun(first, EndStopped, "", 4)
	g.Expect(j.Finalize()).To(BeTrue())
	g.Expect(j.Phase).To(Equal(Completed))
}

func TestOccurrencesReleasedWhenDue(t *testing.T) {
	g := NewWithT(t)
	j := New(Spec{ID: someID, Steps: []Step{{Count: 1}}, Repeat: 3, FirstDue: 1000, Interval: time.Second}, terms())
	g.Expect(j.Release(999)).To(BeFalse())
	g.Expect(j.Release(2500)).To(BeTrue())
	g.Expect(j.Occurrences).To(HaveLen(2))
	// A clock that jumps back releases no occurrence twice.
	g.Expect(j.Release(1000)).To(BeFalse())
	g.Expect(j.NextOccurrence).To(Equal(2))
	due, ok := j.NextDue()
	g.Expect(ok).To(BeTrue())
	g.Expect(due).To(Equal(int64(3000)))
}

func TestLongRunningTaskRestarts(t *testing.T) {
	g := NewWithT(t)
	j := New(Spec{ID: someID, Steps: []Step{{Count: 1, LongRunning: true}}}, terms())
	for _, reason := range []EndReason{EndDone, EndFailed, EndFailed, EndFailed, EndWorkerLost} {
		j.EndRun(j.Place(task(0, 0), Location{}), reason, "", 1)
		g.Expect(j.WaitingGroups()).To(HaveLen(1))
	}
	g.Expect(j.Cancel(5)).To(BeTrue())
	g.Expect(j.Cancel(6)).To(BeFalse())
	g.Expect(j.Phase).To(Equal(Cancelled))
	g.Expect(j.EndedAt).To(Equal(int64(5)))
}

func TestInvalidSpecRejected(t *testing.T) {
	ok := Step{Count: 1}
	for want, s := range map[string]Spec{
		"hexadecimal":    {ID: "x", Steps: []Step{ok}},
		"at least one":   {ID: someID},
		"less than 1":    {ID: someID, Steps: []Step{{}}},
		"not an earlier": {ID: someID, Steps: []Step{{Count: 1, After: []int{0}}}},
		"negative":       {ID: someID, Steps: []Step{{Count: 1, Need: Resources{CPU: -1}}}},
		"more than 2000": {ID: someID, Steps: []Step{{Count: MaxTasks}, ok}},
		"repetitions":    {ID: someID, Steps: []Step{ok}, Repeat: -1},
		"bytes":          {ID: someID, Payload: string(make([]byte, MaxPayloadBytes+1)), Steps: []Step{ok}},
	} {
		g := NewWithT(t)
		g.Expect(s.Validate()).To(MatchError(ContainSubstring(want)))
	}
}

func TestTaskIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		n := rapid.IntRange(0, 1_000_000)
		want := TaskID{Job: someID, Occurrence: n.Draw(rt, "occurrence"), Step: n.Draw(rt, "step"), Index: n.Draw(rt, "index")}
		got, err := ParseTaskID(want.String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
	})
	g := NewWithT(t)
	for _, s := range []string{"", "a.1.2", "a.1.2.x", "a.-1.0.0", "a.1.2.3.4"} {
		_, err := ParseTaskID(s)
		g.Expect(err).To(HaveOccurred(), s)
	}
}

// TestJobInvariants applies random events to a job and checks that a task that is
// not speculative has at most one active run, that its run numbers rise, and that
// a final phase never changes.
func TestJobInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		j := twoStepJob()
		last := map[TaskID]int{}
		var final Phase
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			active := j.ActiveRuns()
			waiting := j.WaitingGroups()
			switch {
			case rapid.IntRange(0, 30).Draw(rt, "cancel") == 0:
				j.Cancel(1)
			case len(waiting) > 0 && (len(active) == 0 || rapid.Bool().Draw(rt, "place")):
				id := task(waiting[0].Step, waiting[0].Waiting[0])
				r := j.Place(id, Location{})
				if r.Number <= last[id] {
					rt.Fatalf("run %d of %v after %d", r.Number, id, last[id])
				}
				last[id] = r.Number
			case len(active) > 0:
				reason := rapid.SampledFrom([]EndReason{EndDone, EndFailed, EndStopped, EndWorkerLost, EndLeaseExpired}).Draw(rt, "reason")
				if !j.EndRun(rapid.SampledFrom(active).Draw(rt, "run"), reason, "", 1) {
					rt.Fatal("the end of an active run was not applied")
				}
			}
			if final.Final() && j.Phase != final {
				rt.Fatalf("%v became %v", final, j.Phase)
			}
			final = j.Phase
			for _, r := range j.ActiveRuns() {
				if len(j.Task(r.Task).Runs) > 1 {
					rt.Fatalf("%v has more than one active run", r.Task)
				}
			}
		}
	})
}
