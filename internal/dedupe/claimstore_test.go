package dedupe

import (
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"greengagedeck/internal/membership"
	"greengagedeck/internal/record"
	"greengagedeck/internal/request"
)

// pairOfTwo returns the store of one of only two daemons, so that it belongs to
// every pair. It has a floor since epochStart.
func pairOfTwo(opt Options) *ClaimStore {
	opt.Self = "a"
	k := NewClaimStore(opt)
	s := membership.NewState()
	for i, id := range []string{"a", "b"} {
		m := membership.Member{ID: id, Host: id, Zone: id, PeerAddress: id}
		r, _ := record.New(membership.KindJoin, id, time.Time{}, record.Cause{}, membership.Join{Member: m})
		s.Apply(uint64(i+1), r)
	}
	k.SetState(&s)
	k.Update(epochStart, func(string) uint64 { return s.Epoch })
	return k
}

func idAt(t time.Time) ulid.ULID { return ulid.MustNew(ulid.Timestamp(t), ulid.DefaultEntropy()) }

func (k *ClaimStore) claimAt(now time.Time, id ulid.ULID) ClaimAnswer {
	return k.Claim(now, now, Claim{Epoch: k.Epoch(), ID: id, Token: ulid.Make()})
}

func TestIDOutsideWindowRejected(t *testing.T) {
	g := NewWithT(t)
	k := pairOfTwo(Options{Window: time.Minute, ClockError: time.Second})
	now := epochStart.Add(time.Hour)
	id := idAt(now)
	g.Expect(k.claimAt(now, id)).To(HaveField("Status", StatusGranted))
	g.Expect(k.claimAt(now.Add(time.Minute), id)).To(HaveField("Status", StatusDuplicate))
	late := now.Add(time.Minute + time.Second)
	g.Expect(k.claimAt(late, id)).To(HaveField("Status", StatusOutOfWindow))
	g.Expect(k.table.Len()).To(BeZero())
	g.Expect(k.claimAt(now, id)).To(HaveField("Status", StatusOutOfWindow), "the clock was stepped back")
	g.Expect(k.claimAt(late, idAt(late.Add(2*time.Second)))).To(HaveField("Status", StatusOutOfWindow), "from the future")
}

func TestGrantNeedsLeaseAndEpoch(t *testing.T) {
	g := NewWithT(t)
	k := pairOfTwo(Options{Lease: time.Second})
	now := epochStart.Add(time.Hour)
	c := Claim{Epoch: k.Epoch(), ID: idAt(now)}
	g.Expect(k.Claim(now, now.Add(-time.Second-1), c)).To(HaveField("Status", StatusNoLease))
	c.Epoch--
	g.Expect(k.Claim(now, now, c)).To(HaveField("Status", StatusOtherEpoch))
	c.Epoch++
	a := k.Claim(now, now.Add(-time.Second), c)
	g.Expect(a.Status).To(Equal(StatusGranted))
	g.Expect(a.HistoryComplete).To(BeTrue())
}

// TestMemoryBounded fills a store beyond its limits and then lets the window pass.
func TestMemoryBounded(t *testing.T) {
	g := NewWithT(t)
	k := pairOfTwo(Options{Window: time.Minute, MaxEntries: 100, MaxBytes: 10_000})
	now := epochStart.Add(time.Hour)
	full := 0
	for range 300 {
		id := idAt(now)
		c := Claim{Epoch: k.Epoch(), ID: id, Token: id}
		if k.Claim(now, now, c).Status == StatusFull {
			full++
		}
		k.Complete(Complete{ID: id, Token: id, Response: &request.Response{Body: make([]byte, 1000)}})
	}
	g.Expect(full).To(Equal(200))
	g.Expect(k.table.Len()).To(Equal(100))
	g.Expect(k.table.Bytes()).To(BeNumerically("<=", 10_000))
	k.table.Advance(now.Add(time.Hour))
	g.Expect(k.table.Len()).To(BeZero())
	g.Expect(k.table.Bytes()).To(BeZero())
	g.Expect(k.table.bySecond).To(BeEmpty())
}

// TestMembershipChangeKeepsOneOfEachPair checks that one join or removal leaves one
// daemon of each pair in place, which historyComplete depends on.
func TestMembershipChangeKeepsOneOfEachPair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []membership.Ref
		for i, zone := range rapid.SliceOfN(rapid.IntRange(0, 3), 2, 12).Draw(t, "zones") {
			members = append(members, membership.Ref{ID: string(rune('a' + i)), Zone: string(rune('0' + zone))})
		}
		i := rapid.IntRange(0, len(members)-1).Draw(t, "changed")
		with := NewPlacement(members)
		without := NewPlacement(append(append([]membership.Ref{}, members[:i]...), members[i+1:]...))
		for range 50 {
			id := ulid.Make()
			p, okp := with.Pair(id)
			q, okq := without.Pair(id)
			if okp && p.Primary == p.Backup {
				t.Fatal("primary and backup are the same daemon")
			}
			if okp && okq && !p.Has(q.Primary) && !p.Has(q.Backup) {
				t.Fatalf("pair %v became %v", p, q)
			}
		}
	})
}
