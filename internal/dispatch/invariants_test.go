package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
)

// schedulerModel drives a scheduler through random steps and checks its
// invariants after each.
type schedulerModel struct {
	s       *dispatch.Scheduler
	now     time.Time
	slots   int
	hosts   []dispatch.Target
	waiting []*dispatch.Job
	running map[*dispatch.Job]string
	ended   map[*dispatch.Job]bool
}

func (m *schedulerModel) check(t *rapid.T) {
	byHost := map[string]int{}
	for _, h := range m.running {
		byHost[h]++
	}
	for _, h := range m.hosts {
		if byHost[h.Host] != m.s.UsedSlots(h.Host) {
			t.Fatalf("host %s runs %d, scheduler counts %d", h.Host, byHost[h.Host], m.s.UsedSlots(h.Host))
		}
	}
	for h, n := range byHost {
		if n > m.slots {
			t.Fatalf("host %s runs %d of %d slots", h, n, m.slots)
		}
	}
	waiting := 0
	for _, j := range m.waiting {
		if j.Waiting() {
			waiting++
		}
	}
	if l := m.s.Load(); l.Queued != waiting {
		t.Fatalf("%d wait, scheduler counts %d", waiting, l.Queued)
	}
	if st := m.s.State(); st.Free < 0 || st.FreeLong < 0 || st.Queued < 0 || st.QueuedLong < 0 {
		t.Fatalf("negative state %+v", st)
	}
}

func (m *schedulerModel) applyDecisions(t *rapid.T) {
	for _, st := range decideAll(m.s, m.now) {
		if m.ended[st.Job] || m.running[st.Job] != "" {
			t.Fatalf("a job was decided on twice")
		}
		if st.Rejection != nil {
			m.ended[st.Job] = true
			continue
		}
		m.running[st.Job] = st.Target.Host
	}
}

func (m *schedulerModel) enqueue(t *rapid.T) {
	class := rapid.SampledFrom(request.Classes).Draw(t, "class")
	entry := rapid.IntRange(0, 5).Draw(t, "entry")
	j := &dispatch.Job{
		Entry:    fmt.Sprintf("%s-%d", class, entry),
		Team:     fmt.Sprintf("team-%d", entry%3),
		Class:    class,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(10, 5000).Draw(t, "ms")) * time.Millisecond),
		Limits:   dispatch.JobLimits{Slots: entry, Queue: 20},
	}
	if m.s.Enqueue(m.now, j) == nil {
		m.waiting = append(m.waiting, j)
	}
}

func (m *schedulerModel) finishOne(t *rapid.T) {
	for j := range m.running {
		delete(m.running, j)
		m.ended[j] = true
		m.s.Finish(m.now, j, rapid.Bool().Draw(t, "ran"))
		return
	}
}

func (m *schedulerModel) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	j := rapid.SampledFrom(m.waiting).Draw(t, "cancelled")
	if m.s.Cancel(j) {
		m.ended[j] = true
	}
}

func (m *schedulerModel) takeForHandover(t *rapid.T) {
	if j, ok := m.s.TakeForHandover(rapid.Bool().Draw(t, "long")); ok {
		m.ended[j] = true
	}
}

func (m *schedulerModel) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pass")) * time.Millisecond)
	m.s.Tick(m.now)
}

func (m *schedulerModel) retarget(t *rapid.T) {
	m.s.SetTargets(m.hosts[:rapid.IntRange(1, len(m.hosts)).Draw(t, "hosts")])
}

func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &schedulerModel{
			s: dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5}), now: epoch,
			slots: 4, hosts: newHosts(3, 4),
			running: map[*dispatch.Job]string{}, ended: map[*dispatch.Job]bool{},
		}
		m.s.SetTargets(m.hosts)
		step := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				f(t)
				m.applyDecisions(t)
				m.check(t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": step(m.enqueue), "offer again": step(m.enqueue), "end": step(m.finishOne),
			"cancel": step(m.cancel), "surrender": step(m.takeForHandover),
			"pass": step(m.advanceTime), "retarget": step(m.retarget),
		})
	})
}

// TestCancellationCost checks that the cost of cancelling is bounded by the
// number of cancelled jobs: a constant times the height of the heap for each,
// however many other jobs wait.
func TestCancellationCost(t *testing.T) {
	g := NewWithT(t)
	const waiting = 20000
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(1, 1))
	buildHistory(s, "reserve", "a", request.ClassShort, time.Microsecond)
	var jobs []*dispatch.Job
	for i := range waiting {
		j := newJob("reserve", "a", request.ClassShort, time.Hour+time.Duration(i*7919%waiting)*time.Millisecond)
		g.Expect(s.Enqueue(epoch, j)).To(BeNil())
		jobs = append(jobs, j)
	}
	height := int(math.Ceil(math.Log2(waiting)))
	for _, n := range []int{waiting / 100, waiting / 2} {
		before := s.HeapSwaps()
		for _, j := range jobs[:n] {
			g.Expect(s.Cancel(j)).To(BeTrue())
		}
		g.Expect(s.HeapSwaps() - before).To(BeNumerically("<=", n*(height+1)))
		jobs = jobs[n:]
	}
	g.Expect(s.Load().Queued).To(Equal(len(jobs)))
}

func TestFairShareUnderFlood(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(1, 8))
	for _, team := range []string{"flood", "heavy", "light"} {
		buildHistory(s, team, team, request.ClassShort, 20*time.Millisecond)
	}
	for range 200 {
		g.Expect(s.Enqueue(epoch, newJob("flood", "flood", request.ClassShort, time.Hour))).To(BeNil())
	}
	for range 100 {
		heavy := newJob("heavy", "heavy", request.ClassShort, time.Hour)
		heavy.Limits.Weight = 2
		g.Expect(s.Enqueue(epoch, heavy)).To(BeNil())
		g.Expect(s.Enqueue(epoch, newJob("light", "light", request.ClassShort, time.Hour))).To(BeNil())
	}
	started := map[string]int{}
	for range 80 {
		st, ok := s.Next(epoch)
		g.Expect(ok).To(BeTrue())
		started[st.Job.Team]++
		s.Finish(epoch, st.Job, false)
	}
	g.Expect(started["flood"]).To(BeNumerically("~", started["light"], 4))
	g.Expect(started["heavy"]).To(BeNumerically("~", 2*started["light"], 4))
}

func TestEntrySlotLimit(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(3, 8))
	buildHistory(s, "reserve", "a", request.ClassShort, time.Millisecond)
	for range 10 {
		j := newJob("reserve", "a", request.ClassShort, time.Hour)
		j.Limits.Slots = 3
		g.Expect(s.Enqueue(epoch, j)).To(BeNil())
	}
	g.Expect(decideAll(s, epoch)).To(HaveLen(3))
}

func TestUnknownEntrySlotLimit(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(3, 8))
	for range 24 {
		g.Expect(s.Enqueue(epoch, newJob("new", "a", request.ClassShort, time.Hour))).To(BeNil())
	}
	starts := decideAll(s, epoch)
	g.Expect(len(starts)).To(BeNumerically("<=", 4))
	for _, st := range starts {
		s.Finish(epoch.Add(20*time.Millisecond), st.Job, true)
	}
	g.Expect(decideAll(s, epoch.Add(20*time.Millisecond))).To(HaveLen(20))
}

func TestUrgentJobStartsFirst(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(1, 1))
	buildHistory(s, "reserve", "a", request.ClassShort, time.Millisecond)
	buildHistory(s, "alarm", "b", request.ClassUrgent, time.Millisecond)
	g.Expect(s.Enqueue(epoch, newJob("reserve", "a", request.ClassShort, time.Second))).To(BeNil())
	urgent := newJob("alarm", "b", request.ClassUrgent, time.Hour)
	g.Expect(s.Enqueue(epoch, urgent)).To(BeNil())
	g.Expect(decideAll(s, epoch)[0].Job).To(BeIdenticalTo(urgent))
}

func TestReportsWithinControlBudget(t *testing.T) {
	g := NewWithT(t)
	const perSecond, burst = 800, 800
	l := dispatch.NewPeerBalancer(rate.NewLimiter(perSecond, burst))
	l.SetZonePeers([]string{"d2", "d3", "d4"})
	sent := 0
	for ms := range 10000 {
		own := dispatch.PoolState{Free: ms % 2}
		if send, _ := l.ReportDue(epoch.Add(time.Duration(ms)*time.Millisecond), own); send {
			sent++
		}
	}
	const reportBytes = 40
	g.Expect(sent * 3 * reportBytes).To(BeNumerically("<=", 10*perSecond+burst))
	g.Expect(sent).To(BeNumerically(">", 0))
}

func TestReportSentToNewZonePeer(t *testing.T) {
	g := NewWithT(t)
	l := dispatch.NewPeerBalancer(rate.NewLimiter(4000, 4000))
	free := dispatch.PoolState{Free: 8}
	l.SetZonePeers([]string{"d2"})
	send, _ := l.ReportDue(epoch, free)
	g.Expect(send).To(BeTrue())
	send, _ = l.ReportDue(epoch.Add(time.Second), free)
	g.Expect(send).To(BeFalse())
	l.SetZonePeers([]string{"d2", "d3"})
	send, _ = l.ReportDue(epoch.Add(time.Second), free)
	g.Expect(send).To(BeTrue())
}

func TestZoneQueriedOnlyIfAnswerInTime(t *testing.T) {
	g := NewWithT(t)
	z := dispatch.NewZoneSelector(rate.NewLimiter(4000, 4000))
	z.SetZones([]string{"near", "far"})
	z.Observe(epoch, "near", dispatch.Load{Slots: 24}, 2*time.Millisecond)
	z.Observe(epoch, "far", dispatch.Load{Slots: 24}, 80*time.Millisecond)
	g.Expect(z.DueQueries(epoch, time.Millisecond)).To(BeEmpty())
	g.Expect(z.DueQueries(epoch, 10*time.Millisecond)).To(Equal([]string{"near"}))
	g.Expect(z.DueQueries(epoch, 100*time.Millisecond)).To(Equal([]string{"far"}), "near was asked just now")
}

func TestZoneChosenOnlyIfClearlySooner(t *testing.T) {
	g := NewWithT(t)
	z := dispatch.NewZoneSelector(rate.NewLimiter(4000, 4000))
	z.SetZones([]string{"z2"})
	z.Observe(epoch, "z2", dispatch.Load{Slots: 24, Wait: 80 * time.Millisecond}, 2*time.Millisecond)
	_, ok := z.Choose(epoch, 100*time.Millisecond, 20*time.Millisecond, nil)
	g.Expect(ok).To(BeFalse())
	to, ok := z.Choose(epoch, 400*time.Millisecond, 20*time.Millisecond, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(to).To(Equal("z2"))
	_, ok = z.Choose(epoch.Add(time.Second), 400*time.Millisecond, 20*time.Millisecond, nil)
	g.Expect(ok).To(BeFalse(), "the answer is too old")
}

func TestSplitSlotsUsesEachSlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		n := rapid.IntRange(1, 9).Draw(t, "daemons")
		host := rapid.StringN(1, 12, -1).Draw(t, "host")
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("d%d", i))
		}
		sum := 0
		for _, id := range ids {
			part := dispatch.SplitSlots(slots, host, ids, id)
			if part < slots/n || part > slots/n+1 {
				t.Fatalf("%s gets %d of %d slots between %d", id, part, slots, n)
			}
			sum += part
		}
		if sum != slots {
			t.Fatalf("%d of %d slots given out", sum, slots)
		}
	})
}
