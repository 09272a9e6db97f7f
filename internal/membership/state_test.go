package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"greengagedeck/internal/record"
)

func fold(s *State, offset uint64, kind record.Kind, body any) record.Outcome {
	r, err := record.New(kind, "test", time.Time{}, record.Cause{}, body)
	if err != nil {
		panic(err)
	}
	return s.Apply(offset, r)
}

func member(id, zone string) Member {
	return Member{ID: id, Host: "h-" + id, Zone: zone, PeerAddress: "addr-" + id}
}

func stateOf(ms ...Member) *State {
	s := NewState()
	for i, m := range ms {
		fold(&s, uint64(i+1), KindJoin, Join{Member: m})
	}
	return &s
}

// TestMembersAtReturnsWhatTheMembersWere compares the history with copies
// taken at each epoch, also past the bound of the history.
func TestMembersAtReturnsWhatTheMembersWere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		at := map[uint64][]Ref{}
		steps := rapid.IntRange(1, maxChanges+40).Draw(t, "steps")
		for i := range steps {
			offset := uint64(i + 1)
			host := rapid.IntRange(0, 6).Draw(t, "host")
			ids := s.sorted()
			switch kind := rapid.IntRange(0, 4).Draw(t, "kind"); {
			case kind < 2 || len(ids) == 0:
				m := Member{ID: fmt.Sprint("m", i), Host: fmt.Sprint(host), Zone: fmt.Sprint(host % 3), PeerAddress: fmt.Sprint(host)}
				fold(&s, offset, KindJoin, Join{Member: m})
			case kind == 2:
				fold(&s, offset, KindRemove, Remove{ID: ids[host%len(ids)].ID})
			case kind == 3:
				fold(&s, offset, KindSuspend, Suspend{ID: ids[host%len(ids)].ID})
			case kind == 4:
				fold(&s, offset, KindResume, Resume{ID: ids[host%len(ids)].ID})
			}
			now, ok := s.MembersAt(s.Epoch)
			if !ok {
				t.Fatal("the current epoch is not known")
			}
			at[s.Epoch] = now
		}
		for epoch, want := range at {
			got, ok := s.MembersAt(epoch)
			if ok != (epoch >= s.Forgotten) {
				t.Fatalf("epoch %d: known %v, forgotten %d", epoch, ok, s.Forgotten)
			}
			if ok && fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("epoch %d: got %v, want %v", epoch, got, want)
			}
		}
	})
}

func TestNewIncarnationReplacesTheOldOnOneHost(t *testing.T) {
	g := NewWithT(t)
	s := stateOf(member("1", "a"), member("2", "b"))
	next := member("3", "a")
	next.Host = "h-1"
	g.Expect(fold(s, 3, KindJoin, Join{Member: next}).Accepted).To(BeTrue())
	g.Expect(s.Members).To(HaveLen(2))
	g.Expect(s.Members).NotTo(HaveKey("1"))
	g.Expect(Replaced(s, member("1", "a"))).To(BeTrue())
	g.Expect(Replaced(s, next)).To(BeFalse())
}
