package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/platform"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func atOffset(d time.Duration) time.Time { return t0.Add(d) }

func newTestView(self Member, s *State) *View {
	v := NewView(ViewOptions{Self: self, Interval: time.Second, CrossInterval: time.Second, FailAfter: 3 * time.Second})
	v.SetState(s)
	return v
}

func (v *View) handleTestAnswer(id string, epoch uint64, sent time.Duration, peers ...PeerStatus) {
	v.HandleAnswer(id, HeartbeatAnswer{Self: Heartbeat{Epoch: epoch}, ZonePeers: peers}, atOffset(sent), atOffset(sent))
}

func TestMemberFailsWithoutHeartbeat(t *testing.T) {
	g := NewWithT(t)
	s := stateWith(member("1", "a"), member("2", "a"))
	v := newTestView(member("1", "a"), s)
	g.Expect(v.Live("2", t0)).To(BeFalse())
	v.HandleHeartbeat("2", Heartbeat{}, t0)
	g.Expect(v.Live("2", atOffset(3*time.Second))).To(BeTrue())
	g.Expect(v.Live("2", atOffset(3*time.Second+1))).To(BeFalse())
	g.Expect(v.Live("unknown", t0)).To(BeFalse())
}

// TestNewMemberIsNotUnresponsiveAtOnce checks that a daemon that has just joined
// is not suspended before its first heartbeat.
func TestNewMemberIsNotUnresponsiveAtOnce(t *testing.T) {
	g := NewWithT(t)
	v := newTestView(member("1", "a"), stateWith(member("1", "a"), member("2", "a")))
	g.Expect(v.Unresponsive("2", atOffset(time.Hour))).To(BeFalse())
	g.Expect(v.Unresponsive("2", atOffset(time.Hour+2*time.Second))).To(BeFalse())
	g.Expect(v.Unresponsive("2", atOffset(time.Hour+3*time.Second))).To(BeTrue())
	v.HandleHeartbeat("2", Heartbeat{}, atOffset(time.Hour+4*time.Second))
	g.Expect(v.Unresponsive("2", atOffset(time.Hour+4*time.Second))).To(BeFalse())
	g.Expect(v.Unresponsive("2", atOffset(time.Hour+8*time.Second))).To(BeTrue())
}

func TestRelayedStatusKeepsAge(t *testing.T) {
	g := NewWithT(t)
	s := stateWith(member("1", "a"), member("2", "b"), member("3", "b"))
	v := newTestView(member("1", "a"), s)
	v.handleTestAnswer("2", 3, 10*time.Second, PeerStatus{IDHash: hashID("3"), Epoch: 3, AgeMillis: 2000})
	g.Expect(v.Live("3", atOffset(11*time.Second))).To(BeTrue())
	g.Expect(v.Live("3", atOffset(11*time.Second+1))).To(BeFalse())
	// An older relayed status changes nothing.
	v.handleTestAnswer("2", 3, 11*time.Second, PeerStatus{IDHash: hashID("3"), Epoch: 2, AgeMillis: 9000})
	g.Expect(v.EpochOf("3")).To(Equal(uint64(3)))
	g.Expect(v.Live("3", atOffset(11*time.Second))).To(BeTrue())
}

// TestEpochConfirmedByAllButOneZone checks what a lease without the log relies
// on: the daemons not heard from cannot form a pair across two zones.
func TestEpochConfirmedByAllButOneZone(t *testing.T) {
	g := NewWithT(t)
	s := stateWith(member("1", "a"), member("2", "a"), member("3", "b"), member("4", "b"), member("5", "c"))
	v := newTestView(member("1", "a"), s)
	v.handleTestAnswer("2", 5, time.Second)
	v.handleTestAnswer("3", 5, 2*time.Second)
	v.handleTestAnswer("4", 5, 3*time.Second)
	g.Expect(v.EpochConfirmed(atOffset(4*time.Second))).To(Equal(atOffset(time.Second)), "zone c not heard from")
	v.handleTestAnswer("5", 4, 4*time.Second)
	g.Expect(v.EpochConfirmed(atOffset(4*time.Second))).To(Equal(atOffset(time.Second)), "zone c in another epoch")
	v.handleTestAnswer("4", 6, 4*time.Second)
	g.Expect(v.EpochConfirmed(atOffset(4*time.Second)).IsZero()).To(BeTrue(), "two zones in other epochs")
	// A received heartbeat proves an epoch, but not the time at which the
	// sender was in it.
	v.handleTestAnswer("5", 5, 5*time.Second)
	v.HandleHeartbeat("2", Heartbeat{Epoch: 5}, atOffset(9*time.Second))
	g.Expect(v.EpochConfirmed(atOffset(9 * time.Second))).To(Equal(atOffset(time.Second)))
}

func TestHeartbeatTargets(t *testing.T) {
	g := NewWithT(t)
	s := stateWith(member("1", "a"), member("2", "a"), member("3", "b"), member("4", "b"), member("5", "c"), member("6", "c"))
	v := newTestView(member("1", "a"), s)
	perZone := map[string]int{}
	for _, m := range v.Targets(t0) {
		perZone[m.Zone]++
	}
	g.Expect(perZone).To(Equal(map[string]int{"a": 1, "b": 1, "c": 1}))
	g.Expect(v.Targets(t0)).To(BeEmpty())
	// While no daemon of a zone is live, its members are tried in turn.
	tried := map[string]bool{}
	for i := range 4 {
		for _, m := range v.Targets(atOffset(time.Duration(i+1) * time.Second)) {
			tried[m.ID] = true
		}
	}
	g.Expect(tried).To(HaveLen(5))
}

func TestPauseLastsUntilStateIsCurrent(t *testing.T) {
	g := NewWithT(t)
	p := pauseDetector{threshold: time.Second}
	g.Expect(p.tick(t0)).To(BeZero())
	g.Expect(p.paused(atOffset(time.Second))).To(BeFalse())
	g.Expect(p.paused(atOffset(20*time.Second))).To(BeTrue(), "before a tick detects it")
	g.Expect(p.tick(atOffset(20 * time.Second))).To(Equal(20 * time.Second))
	g.Expect(p.endIfCurrent(atOffset(19*time.Second))).To(BeFalse(), "state known to be current only before the pause was detected")
	g.Expect(p.paused(atOffset(20 * time.Second))).To(BeTrue())
	g.Expect(p.endIfCurrent(atOffset(21 * time.Second))).To(BeTrue())
	g.Expect(p.paused(atOffset(20 * time.Second))).To(BeFalse())
}

func TestListIgnoresOlderVersions(t *testing.T) {
	g := NewWithT(t)
	a, b := NewList(), NewList()
	host := func(id string, leaving bool) platform.HostStatus {
		return platform.HostStatus{ID: id, Leaving: leaving, Entry: true}
	}
	g.Expect(a.Update(platform.HostList{Version: 3, Hosts: []platform.HostStatus{host("x", false), host("y", false)}}, t0)).To(BeTrue())
	g.Expect(b.Merge(a.Since(b.Version()), t0)).To(BeTrue())
	g.Expect(a.Update(platform.HostList{Version: 2}, atOffset(time.Second))).To(BeFalse(), "older list")
	g.Expect(a.Update(platform.HostList{Version: 3}, atOffset(time.Second))).To(BeFalse(), "unchanged version")
	g.Expect(a.Update(platform.HostList{Version: 5, Hosts: []platform.HostStatus{host("x", true)}}, atOffset(2*time.Second))).To(BeTrue())
	d := a.Since(b.Version())
	g.Expect(d.Hosts).To(HaveLen(2))
	g.Expect(b.Merge(d, atOffset(4*time.Second))).To(BeTrue())
	g.Expect(b.Merge(d, atOffset(5*time.Second))).To(BeFalse())
	for _, l := range []*List{a, b} {
		x, ok := l.Host("x")
		g.Expect(ok && x.Leaving).To(BeTrue())
		_, ok = l.Host("y")
		g.Expect(ok).To(BeFalse())
		_, ok = l.DroppedFor("never", atOffset(time.Minute))
		g.Expect(ok).To(BeFalse(), "a host that was never listed was not dropped")
	}
	gone, _ := b.DroppedFor("y", atOffset(10*time.Second))
	g.Expect(gone).To(Equal(6 * time.Second))
}

func TestMembersToRemove(t *testing.T) {
	s := stateWith(member("1", "a"), member("2", "a"), member("3", "b"))
	base := func() reconcileInput {
		return reconcileInput{
			Self: member("1", "a"), State: s, ListLag: 30 * time.Second, LogCurrent: true,
			Live:       func(id string) bool { return id != "2" },
			DroppedFor: func(h string) (time.Duration, bool) { return time.Minute, h == "h-2" },
		}
	}
	tests := []struct {
		name   string
		change func(*reconcileInput)
		want   int
	}{
		{"dead in own zone", func(*reconcileInput) {}, 1},
		{"still live", func(in *reconcileInput) { in.Live = func(string) bool { return true } }, 0},
		{"dropped for no longer than the lag", func(in *reconcileInput) {
			in.DroppedFor = func(string) (time.Duration, bool) { return 30 * time.Second, true }
		}, 0},
		{"never listed", func(in *reconcileInput) {
			in.DroppedFor = func(string) (time.Duration, bool) { return 0, false }
		}, 0},
		{"log not read lately", func(in *reconcileInput) { in.LogCurrent = false }, 0},
		{"paused", func(in *reconcileInput) { in.Paused = true }, 0},
		{"zone has another live member", func(in *reconcileInput) { in.Self = member("3", "b") }, 0},
		{"zone without live member", func(in *reconcileInput) {
			in.Self = member("3", "b")
			in.Live = func(id string) bool { return id == "3" }
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := base()
			tt.change(&in)
			NewWithT(t).Expect(membersToRemove(in)).To(HaveLen(tt.want))
		})
	}
}

func TestMembersToSuspendNeedsMajority(t *testing.T) {
	s := stateWith(member("1", "a"), member("2", "a"), member("3", "b"), member("4", "b"), member("5", "c"))
	in := func(self string, live ...string) reconcileInput {
		heard := map[string]bool{self: true}
		for _, id := range live {
			heard[id] = true
		}
		return reconcileInput{Self: s.Members[self], State: s, LogCurrent: true,
			Live: func(id string) bool { return heard[id] }, Unresponsive: func(id string) bool { return !heard[id] }}
	}
	g := NewWithT(t)
	g.Expect(membersToSuspend(in("1", "2", "3", "4"))).To(HaveLen(1), "zone c unresponsive")
	g.Expect(membersToSuspend(in("3", "1", "2", "4"))).To(BeEmpty(), "the member with the lowest ID is responsible")
	g.Expect(membersToSuspend(in("1", "2"))).To(BeEmpty(), "a minority")
	g.Expect(membersToSuspend(in("1", "3", "5"))).To(HaveLen(1), "only the zone peer; the live member of zone b is responsible for the other")
	stale := in("1", "2", "3", "4")
	stale.LogCurrent = false
	g.Expect(membersToSuspend(stale)).To(BeEmpty())
	applyRecord(s, 6, KindSuspend, Suspend{ID: "5"})
	members, _ := s.MembersAt(6)
	g.Expect(members).To(HaveLen(4))
	g.Expect(s.Members).To(HaveLen(5), "still a member")
	g.Expect(shouldResume(in("5", "1"))).To(BeFalse())
	g.Expect(shouldResume(in("5", "1", "3"))).To(BeTrue())
}
