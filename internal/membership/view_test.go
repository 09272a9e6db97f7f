package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/platform"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return t0.Add(d) }

func newTestView(self Member, s *State) *View {
	v := NewView(ViewOptions{Self: self, Interval: time.Second, CrossInterval: time.Second, FailAfter: 3 * time.Second})
	v.SetState(s)
	return v
}

func (v *View) answerFrom(id string, epoch uint64, sent time.Duration, mates ...Sighting) {
	v.Answered(id, HeartbeatAnswer{Self: Heartbeat{Epoch: epoch}, Mates: mates}, at(sent), at(sent))
}

func TestUnheardMemberFails(t *testing.T) {
	g := NewWithT(t)
	s := stateOf(member("1", "a"), member("2", "a"))
	v := newTestView(member("1", "a"), s)
	g.Expect(v.Live("2", t0)).To(BeFalse())
	v.Heard("2", Heartbeat{}, t0)
	g.Expect(v.Live("2", at(3*time.Second))).To(BeTrue())
	g.Expect(v.Live("2", at(3*time.Second+1))).To(BeFalse())
	g.Expect(v.Live("unknown", t0)).To(BeFalse())
}

// TestNewMemberGetsTheTimeToBeHeard keeps a daemon that has just joined from
// being suspended before its first heartbeat.
func TestNewMemberGetsTheTimeToBeHeard(t *testing.T) {
	g := NewWithT(t)
	v := newTestView(member("1", "a"), stateOf(member("1", "a"), member("2", "a")))
	g.Expect(v.Unheard("2", at(time.Hour))).To(BeFalse())
	g.Expect(v.Unheard("2", at(time.Hour+2*time.Second))).To(BeFalse())
	g.Expect(v.Unheard("2", at(time.Hour+3*time.Second))).To(BeTrue())
	v.Heard("2", Heartbeat{}, at(time.Hour+4*time.Second))
	g.Expect(v.Unheard("2", at(time.Hour+4*time.Second))).To(BeFalse())
	g.Expect(v.Unheard("2", at(time.Hour+8*time.Second))).To(BeTrue())
}

func TestRelayedSightingKeepsItsAge(t *testing.T) {
	g := NewWithT(t)
	s := stateOf(member("1", "a"), member("2", "b"), member("3", "b"))
	v := newTestView(member("1", "a"), s)
	v.answerFrom("2", 3, 10*time.Second, Sighting{Key: key("3"), Epoch: 3, AgeMillis: 2000})
	g.Expect(v.Live("3", at(11*time.Second))).To(BeTrue())
	g.Expect(v.Live("3", at(11*time.Second+1))).To(BeFalse())
	// An older relay takes nothing back.
	v.answerFrom("2", 3, 11*time.Second, Sighting{Key: key("3"), Epoch: 2, AgeMillis: 9000})
	g.Expect(v.EpochOf("3")).To(Equal(uint64(3)))
	g.Expect(v.Live("3", at(11*time.Second))).To(BeTrue())
}

// TestEpochIsConfirmedByAllButOneZone holds what a lease without the log rests
// on: daemons that were not heard may form no pair across two zones.
func TestEpochIsConfirmedByAllButOneZone(t *testing.T) {
	g := NewWithT(t)
	s := stateOf(member("1", "a"), member("2", "a"), member("3", "b"), member("4", "b"), member("5", "c"))
	v := newTestView(member("1", "a"), s)
	v.answerFrom("2", 5, time.Second)
	v.answerFrom("3", 5, 2*time.Second)
	v.answerFrom("4", 5, 3*time.Second)
	g.Expect(v.EpochConfirmed(at(4*time.Second))).To(Equal(at(time.Second)), "zone c unheard")
	v.answerFrom("5", 4, 4*time.Second)
	g.Expect(v.EpochConfirmed(at(4*time.Second))).To(Equal(at(time.Second)), "zone c in another epoch")
	v.answerFrom("4", 6, 4*time.Second)
	g.Expect(v.EpochConfirmed(at(4*time.Second)).IsZero()).To(BeTrue(), "two zones moved on")
	// A heartbeat that came in proves an epoch, but not when.
	v.answerFrom("5", 5, 5*time.Second)
	v.Heard("2", Heartbeat{Epoch: 5}, at(9*time.Second))
	g.Expect(v.EpochConfirmed(at(9 * time.Second))).To(Equal(at(time.Second)))
}

func TestHeartbeatsGoToMatesAndOneDaemonOfEachOtherZone(t *testing.T) {
	g := NewWithT(t)
	s := stateOf(member("1", "a"), member("2", "a"), member("3", "b"), member("4", "b"), member("5", "c"), member("6", "c"))
	v := newTestView(member("1", "a"), s)
	perZone := map[string]int{}
	for _, m := range v.Targets(t0) {
		perZone[m.Zone]++
	}
	g.Expect(perZone).To(Equal(map[string]int{"a": 1, "b": 1, "c": 1}))
	g.Expect(v.Targets(t0)).To(BeEmpty())
	// While no daemon of a zone answers, all of them are tried in turn.
	tried := map[string]bool{}
	for i := range 4 {
		for _, m := range v.Targets(at(time.Duration(i+1) * time.Second)) {
			tried[m.ID] = true
		}
	}
	g.Expect(tried).To(HaveLen(5))
}

func TestPausedProcessMustCatchUp(t *testing.T) {
	g := NewWithT(t)
	p := pauseWatch{threshold: time.Second}
	g.Expect(p.tick(t0)).To(BeZero())
	g.Expect(p.paused(at(time.Second))).To(BeFalse())
	g.Expect(p.paused(at(20*time.Second))).To(BeTrue(), "before any tick noticed")
	g.Expect(p.tick(at(20 * time.Second))).To(Equal(20 * time.Second))
	g.Expect(p.caughtUp(at(19*time.Second))).To(BeFalse(), "state known only from before the pause")
	g.Expect(p.paused(at(20 * time.Second))).To(BeTrue())
	g.Expect(p.caughtUp(at(21 * time.Second))).To(BeTrue())
	g.Expect(p.paused(at(20 * time.Second))).To(BeFalse())
}

func TestListLagsFreezesAndComesOutOfOrder(t *testing.T) {
	g := NewWithT(t)
	a, b := NewList(), NewList()
	host := func(id string, leaving bool) platform.HostStatus {
		return platform.HostStatus{ID: id, Leaving: leaving, Entry: true}
	}
	g.Expect(a.Take(platform.HostList{Version: 3, Hosts: []platform.HostStatus{host("x", false), host("y", false)}}, t0)).To(BeTrue())
	g.Expect(b.Merge(a.Since(b.Version()), t0)).To(BeTrue())
	g.Expect(a.Take(platform.HostList{Version: 2}, at(time.Second))).To(BeFalse(), "older list")
	g.Expect(a.Take(platform.HostList{Version: 3}, at(time.Second))).To(BeFalse(), "frozen list")
	g.Expect(a.Take(platform.HostList{Version: 5, Hosts: []platform.HostStatus{host("x", true)}}, at(2*time.Second))).To(BeTrue())
	d := a.Since(b.Version())
	g.Expect(d.Hosts).To(HaveLen(2))
	g.Expect(b.Merge(d, at(4*time.Second))).To(BeTrue())
	g.Expect(b.Merge(d, at(5*time.Second))).To(BeFalse())
	for _, l := range []*List{a, b} {
		x, ok := l.Host("x")
		g.Expect(ok && x.Leaving).To(BeTrue())
		_, ok = l.Host("y")
		g.Expect(ok).To(BeFalse())
		_, ok = l.DroppedFor("never", at(time.Minute))
		g.Expect(ok).To(BeFalse(), "a host that was never listed was not dropped")
	}
	gone, _ := b.DroppedFor("y", at(10*time.Second))
	g.Expect(gone).To(Equal(6 * time.Second))
}

func TestOnlyDroppedAndUnheardMembersAreRemoved(t *testing.T) {
	s := stateOf(member("1", "a"), member("2", "a"), member("3", "b"))
	base := func() reapInput {
		return reapInput{
			Self: member("1", "a"), State: s, ListLag: 30 * time.Second, LogCurrent: true,
			Live:       func(id string) bool { return id != "2" },
			DroppedFor: func(h string) (time.Duration, bool) { return time.Minute, h == "h-2" },
		}
	}
	tests := []struct {
		name   string
		change func(*reapInput)
		want   int
	}{
		{"dead in own zone", func(*reapInput) {}, 1},
		{"still heard", func(in *reapInput) { in.Live = func(string) bool { return true } }, 0},
		{"dropped for less than the lag", func(in *reapInput) {
			in.DroppedFor = func(string) (time.Duration, bool) { return 30 * time.Second, true }
		}, 0},
		{"never listed", func(in *reapInput) {
			in.DroppedFor = func(string) (time.Duration, bool) { return 0, false }
		}, 0},
		{"log not read lately", func(in *reapInput) { in.LogCurrent = false }, 0},
		{"paused", func(in *reapInput) { in.Paused = true }, 0},
		{"zone has another live member", func(in *reapInput) { in.Self = member("3", "b") }, 0},
		{"zone without live member", func(in *reapInput) {
			in.Self = member("3", "b")
			in.Live = func(id string) bool { return id == "3" }
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := base()
			tt.change(&in)
			NewWithT(t).Expect(reap(in)).To(HaveLen(tt.want))
		})
	}
}

func TestUnheardMembersAreSuspendedByAMajorityOnly(t *testing.T) {
	s := stateOf(member("1", "a"), member("2", "a"), member("3", "b"), member("4", "b"), member("5", "c"))
	in := func(self string, live ...string) reapInput {
		heard := map[string]bool{self: true}
		for _, id := range live {
			heard[id] = true
		}
		return reapInput{Self: s.Members[self], State: s, LogCurrent: true,
			Live: func(id string) bool { return heard[id] }, Unheard: func(id string) bool { return !heard[id] }}
	}
	g := NewWithT(t)
	g.Expect(suspend(in("1", "2", "3", "4"))).To(HaveLen(1), "zone c unheard")
	g.Expect(suspend(in("3", "1", "2", "4"))).To(BeEmpty(), "left to the lowest")
	g.Expect(suspend(in("1", "2"))).To(BeEmpty(), "a minority")
	g.Expect(suspend(in("1", "3", "5"))).To(HaveLen(1), "only the mate; b's daemon sees to the rest")
	stale := in("1", "2", "3", "4")
	stale.LogCurrent = false
	g.Expect(suspend(stale)).To(BeEmpty())
	fold(s, 6, KindSuspend, Suspend{ID: "5"})
	members, _ := s.MembersAt(6)
	g.Expect(members).To(HaveLen(4))
	g.Expect(s.Members).To(HaveLen(5), "still a member")
	g.Expect(resumes(in("5", "1"))).To(BeFalse())
	g.Expect(resumes(in("5", "1", "3"))).To(BeTrue())
}
