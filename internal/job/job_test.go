package job

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const someID ID = "00000000000000aa"

func terms() Terms { return Terms{Entry: "e", Pool: "p", MaxAttempts: 2} }

// chain returns a job of two steps, the second after the first.
func chain() *Job {
	return New(Spec{ID: someID, Steps: []Step{
		{Count: 2, Estimate: time.Second},
		{Count: 1, Estimate: 3 * time.Second, After: []int{0}},
	}}, terms())
}

func task(step, index int) TaskID { return TaskID{Job: someID, Step: step, Index: index} }

func TestStepsWaitForTheirTurn(t *testing.T) {
	g := NewWithT(t)
	j := chain()
	g.Expect(j.Waiting()).To(Equal([]Group{{Step: 0, Waiting: []int{0, 1}}}))
	g.Expect(j.Chain()).To(Equal(4 * time.Second))
	a, b := j.Place(task(0, 0), Location{}), j.Place(task(0, 1), Location{})
	g.Expect(j.Waiting()).To(BeEmpty())
	g.Expect(j.End(a, EndDone, "", 5)).To(BeTrue())
	g.Expect(j.Waiting()).To(BeEmpty())
	g.Expect(j.End(b, EndDone, "", 5)).To(BeTrue())
	g.Expect(j.Waiting()).To(Equal([]Group{{Step: 1, Waiting: []int{0}}}))
	g.Expect(j.Chain()).To(Equal(3 * time.Second))
	g.Expect(j.End(j.Place(task(1, 0), Location{}), EndDone, "", 7)).To(BeTrue())
	g.Expect(j.Phase).To(Equal(Completed))
	g.Expect(j.Ended).To(Equal(int64(7)))
	g.Expect(j.Settle()).To(BeTrue())
}

func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	g := NewWithT(t)
	j := chain()
	for _, how := range []How{EndStopped, EndLapsed, EndLost, EndFailed, EndLost} {
		g.Expect(j.End(j.Place(task(0, 0), Location{}), how, "", 1)).To(BeTrue())
		g.Expect(j.Phase).To(Equal(Running))
	}
	j.End(j.Place(task(0, 0), Location{}), EndFailed, "", 9)
	g.Expect(j.Phase).To(Equal(Failed))
	g.Expect(j.Waiting()).To(BeEmpty())
}

func TestEndIsTakenOnce(t *testing.T) {
	g := NewWithT(t)
	j := chain()
	r := j.Place(task(0, 0), Location{})
	g.Expect(j.End(r, EndFailed, "c", 1)).To(BeTrue())
	g.Expect(j.End(r, EndFailed, "c", 1)).To(BeFalse())
	g.Expect(j.Void(r)).To(BeFalse())
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
	j.End(runs[0], EndFailed, "", 1)
	g.Expect(j.Waiting()).To(BeEmpty(), "members of the last run are still at work")
	j.End(runs[1], EndBroken, "saved", 1)
	j.End(runs[2], EndBroken, "", 1)
	g.Expect(j.Waiting()).To(Equal([]Group{{Waiting: []int{0, 1, 2}}}))
	g.Expect(j.Checkpoint(task(0, 2))).To(Equal("saved"))
	again := j.PlaceGang(0, 0, make([]Location, 3))
	g.Expect(again[0].Number).To(Equal(2))
	for _, r := range again {
		j.End(r, EndFailed, "", 2)
	}
	g.Expect(j.Phase).To(Equal(Failed), "one failure a run, not one a member")
}

func TestSpeculativeCopyOutlivesItsTask(t *testing.T) {
	g := NewWithT(t)
	j := New(Spec{ID: someID, Steps: []Step{{Count: 1, Speculative: true}}}, terms())
	first, second := j.Place(task(0, 0), Location{}), j.Place(task(0, 0), Location{})
	j.End(second, EndDone, "", 3)
	g.Expect(j.Phase).To(Equal(Completed))
	g.Expect(j.Needless(first)).To(BeTrue())
	g.Expect(j.Settle()).To(BeFalse())
	j.End(first, EndStopped, "", 4)
	g.Expect(j.Settle()).To(BeTrue())
	g.Expect(j.Phase).To(Equal(Completed))
}

func TestRepeatedJobIsReleasedByTheTimeOfDay(t *testing.T) {
	g := NewWithT(t)
	j := New(Spec{ID: someID, Steps: []Step{{Count: 1}}, Repeat: 3, First: 1000, Interval: time.Second}, terms())
	g.Expect(j.Release(999)).To(BeFalse())
	g.Expect(j.Release(2500)).To(BeTrue())
	g.Expect(j.Occurrences).To(HaveLen(2))
	// A time of day that jumps back releases nothing twice.
	g.Expect(j.Release(1000)).To(BeFalse())
	g.Expect(j.Next).To(Equal(2))
	due, ok := j.Due()
	g.Expect(ok).To(BeTrue())
	g.Expect(due).To(Equal(int64(3000)))
}

func TestLongRunningTaskStartsAgainHoweverItEnds(t *testing.T) {
	g := NewWithT(t)
	j := New(Spec{ID: someID, Steps: []Step{{Count: 1, LongRunning: true}}}, terms())
	for _, how := range []How{EndDone, EndFailed, EndFailed, EndFailed, EndLost} {
		j.End(j.Place(task(0, 0), Location{}), how, "", 1)
		g.Expect(j.Waiting()).To(HaveLen(1))
	}
	g.Expect(j.Cancel(5)).To(BeTrue())
	g.Expect(j.Cancel(6)).To(BeFalse())
	g.Expect(j.Phase).To(Equal(Cancelled))
	g.Expect(j.Ended).To(Equal(int64(5)))
}

func TestSpecThatCannotRunIsRefused(t *testing.T) {
	ok := Step{Count: 1}
	for want, s := range map[string]Spec{
		"hexadecimal":     {ID: "x", Steps: []Step{ok}},
		"at least one":    {ID: someID},
		"less than 1":     {ID: someID, Steps: []Step{{}}},
		"not an earlier":  {ID: someID, Steps: []Step{{Count: 1, After: []int{0}}}},
		"negative":        {ID: someID, Steps: []Step{{Count: 1, Need: Resources{CPU: -1}}}},
		"more than 10000": {ID: someID, Steps: []Step{{Count: MaxTasks}, ok}},
		"repetitions":     {ID: someID, Steps: []Step{ok}, Repeat: -1},
		"bytes":           {ID: someID, Text: string(make([]byte, MaxTextBytes+1)), Steps: []Step{ok}},
	} {
		g := NewWithT(t)
		g.Expect(s.Check()).To(MatchError(ContainSubstring(want)))
	}
}

func TestTaskIDIsReadAsItIsWritten(t *testing.T) {
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

// Whatever happens to a job, a task has no more runs than copies allow, its
// run numbers rise, and a final phase stays.
func TestAnyHistoryKeepsTheJobConsistent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		j := chain()
		last := map[TaskID]int{}
		var final Phase
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			active := j.Active()
			waiting := j.Waiting()
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
				how := rapid.SampledFrom([]How{EndDone, EndFailed, EndStopped, EndLost, EndLapsed}).Draw(rt, "how")
				if !j.End(rapid.SampledFrom(active).Draw(rt, "run"), how, "", 1) {
					rt.Fatal("the end of an active run was not taken")
				}
			}
			if final.Final() && j.Phase != final {
				rt.Fatalf("%v became %v", final, j.Phase)
			}
			final = j.Phase
			for _, r := range j.Active() {
				if len(j.Task(r.Task).Runs) > 1 {
					rt.Fatalf("%v has two runs", r.Task)
				}
			}
		}
	})
}
