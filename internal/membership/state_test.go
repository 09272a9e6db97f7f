package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"greengagedeck/internal/record"
)

func applyRecord(s *State, offset uint64, kind record.Kind, body any) record.Outcome {
	r, err := record.New(kind, "test", time.Time{}, record.Cause{}, body)
	if err != nil {
		panic(err)
	}
	return s.Apply(offset, r)
}

func member(id, zone string) Member {
	return Member{ID: id, Host: "h-" + id, Zone: zone, PeerAddress: "addr-" + id}
}

func stateWith(ms ...Member) *State {
	s := NewState()
	for i, m := range ms {
		applyRecord(&s, uint64(i+1), KindJoin, Join{Member: m})
	}
	return &s
}

// TestMembersAtMatchesHistory compares MembersAt with the members recorded at
// each epoch, also beyond the length of the history.
func TestMembersAtMatchesHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		at := map[uint64][]Ref{}
		steps := rapid.IntRange(1, maxChangeHistory+40).Draw(t, "steps")
		for i := range steps {
			offset := uint64(i + 1)
			host := rapid.IntRange(0, 6).Draw(t, "host")
			ids := s.sortedMembers()
			switch kind := rapid.IntRange(0, 4).Draw(t, "kind"); {
			case kind < 2 || len(ids) == 0:
				m := Member{ID: fmt.Sprint("m", i), Host: fmt.Sprint(host), Zone: fmt.Sprint(host % 3), PeerAddress: fmt.Sprint(host)}
				applyRecord(&s, offset, KindJoin, Join{Member: m})
			case kind == 2:
				applyRecord(&s, offset, KindRemove, Remove{ID: ids[host%len(ids)].ID})
			case kind == 3:
				applyRecord(&s, offset, KindSuspend, Suspend{ID: ids[host%len(ids)].ID})
			case kind == 4:
				applyRecord(&s, offset, KindResume, Resume{ID: ids[host%len(ids)].ID})
			}
			now, ok := s.MembersAt(s.Epoch)
			if !ok {
				t.Fatal("the current epoch is unknown")
			}
			at[s.Epoch] = now
		}
		for epoch, want := range at {
			got, ok := s.MembersAt(epoch)
			if ok != (epoch >= s.TrimmedEpoch) {
				t.Fatalf("epoch %d: known %v, trimmed up to %d", epoch, ok, s.TrimmedEpoch)
			}
			if ok && fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("epoch %d: got %v, want %v", epoch, got, want)
			}
		}
	})
}

func TestJoinReplacesOldIncarnationOfHost(t *testing.T) {
	g := NewWithT(t)
	s := stateWith(member("1", "a"), member("2", "b"))
	next := member("3", "a")
	next.Host = "h-1"
	g.Expect(applyRecord(s, 3, KindJoin, Join{Member: next}).Accepted).To(BeTrue())
	g.Expect(s.Members).To(HaveLen(2))
	g.Expect(s.Members).NotTo(HaveKey("1"))
	g.Expect(ReplacedByNewer(s, member("1", "a"))).To(BeTrue())
	g.Expect(ReplacedByNewer(s, next)).To(BeFalse())
}
