package duty

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

// bubbleClock tells the virtual time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() time.Duration { return time.Since(c.start) }
func (c bubbleClock) Wall() time.Time    { return time.Now() }

// daemon is one life of a keeper with all that it was told.
type daemon struct {
	*Keeper
	self   Member
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	gains []Gain
	at    []time.Duration
	lost  []Token
}

func (d *daemon) Gained(g Gain) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gains = append(d.gains, g)
	d.at = append(d.at, d.opt.Clock.Now())
}

func (d *daemon) Lost(_ Name, t Token) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost = append(d.lost, t)
}

// gained returns the last gain and when it was.
func (d *daemon) gained() (Gain, time.Duration) {
	gains, at, _ := d.told()
	if len(gains) == 0 {
		return Gain{}, 0
	}
	return gains[len(gains)-1], at[len(at)-1]
}

// told returns all gains, when they were, and the tokens lost.
func (d *daemon) told() ([]Gain, []time.Duration, []Token) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.gains), slices.Clone(d.at), slices.Clone(d.lost)
}

func (d *daemon) wins() []Gain {
	gains, _, _ := d.told()
	return gains
}

func (d *daemon) losses() []Token {
	_, _, lost := d.told()
	return lost
}

// group is a number of daemons on one log and one network.
type group struct {
	clock  bubbleClock
	log    *logtest.Log
	wanted []Name
	lives  int64

	mu      sync.Mutex
	daemons map[string]*daemon
	// cut hosts reach no other daemon and are reached by none.
	cut map[string]bool
}

func newGroup(wanted ...Name) *group {
	return &group{
		clock:   bubbleClock{time.Now()},
		log:     logtest.New(),
		wanted:  wanted,
		daemons: map[string]*daemon{},
		cut:     map[string]bool{},
	}
}

// start runs a daemon on a host, until its context ends.
func (n *group) start(ctx context.Context, host string, weight float64) *daemon {
	n.mu.Lock()
	n.lives++
	d := &daemon{self: Member{Host: host, Incarnation: n.lives, Address: host, Weight: weight}, done: make(chan struct{})}
	n.mu.Unlock()
	d.Keeper = NewKeeper(Options{
		Self:     d.self,
		Log:      n.log.Client(host),
		Clock:    n.clock,
		Wanted:   func() []Name { return n.wanted },
		Observer: d,
		Prober:   prober{n, host},
		Logger:   zerolog.Nop(),
	})
	ctx, d.cancel = context.WithCancel(ctx)
	n.mu.Lock()
	n.daemons[host] = d
	n.mu.Unlock()
	go func() {
		defer close(d.done)
		d.Run(ctx)
	}()
	return d
}

// kill ends the process on a host.
func (n *group) kill(d *daemon) {
	n.mu.Lock()
	if n.daemons[d.self.Host] == d {
		delete(n.daemons, d.self.Host)
	}
	n.mu.Unlock()
	d.cancel()
	<-d.done
}

func (n *group) setCut(host string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[host] = cut
}

// prober is the network as one daemon sees it.
type prober struct {
	net  *group
	from string
}

func (p prober) Probe(ctx context.Context, m Member, duty Name) Health {
	p.net.mu.Lock()
	cut := p.net.cut[m.Host] || p.net.cut[p.from]
	d := p.net.daemons[m.Host]
	p.net.mu.Unlock()
	switch {
	case cut:
		pause(ctx, probeTimeout, nil)
		return Silent
	case d == nil:
		return Dead
	}
	if d.self.ID() != m.ID() {
		return Stranger
	}
	return d.probed(ProbeQuery{duty}).health()
}

// inBubble runs a test in virtual time, with daemons that end with it.
func inBubble(t *testing.T, test func(ctx context.Context, g *WithT)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		test(ctx, NewWithT(t))
	})
}

// elapse lets virtual time pass, and all that was due in it happen.
func elapse(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

var pool = OfPool("a")

func TestVacantDutyGoesToTheHostThatCanCarryIt(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		small := []*daemon{n.start(ctx, "s1", 0.1), n.start(ctx, "s2", 0.1)}
		large := n.start(ctx, "l1", 0.8)
		elapse(3 * time.Second)
		got, _ := large.gained()
		g.Expect(got.Token).NotTo(BeZero())
		g.Expect(large.Remaining(pool, got.Token)).To(BeNumerically(">", 0))
		for _, d := range small {
			c, ok := d.Holder(pool)
			g.Expect(ok).To(BeTrue())
			g.Expect(c.Holder.Host).To(Equal("l1"))
			g.Expect(d.wins()).To(BeEmpty())
		}
	})
}

// takeoverBound is how long a duty may be without a holder once its process
// has ended: a probe and the look that follows it.
const takeoverBound = probeInterval + 2*watchInterval

func TestDutyOfAnEndedProcessIsTakenOver(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		first := n.start(ctx, "a", 0.8)
		elapse(2 * time.Second)
		second := n.start(ctx, "b", 0.5)
		elapse(5 * time.Second)
		g.Expect(second.wins()).To(BeEmpty())
		n.kill(first)
		killed := n.clock.Now()
		elapse(takeoverBound)
		got, at := second.gained()
		g.Expect(got.Duty).To(Equal(pool))
		g.Expect(got.ActsFor).To(BeZero())
		g.Expect(got.Before.Holder.Host).To(Equal("a"))
		g.Expect(at - killed).To(BeNumerically("<=", takeoverBound))
	})
}

func TestReturnedHostClaimsItsDutyAtOnce(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		first := n.start(ctx, "a", 0.8)
		elapse(2 * time.Second)
		n.kill(first)
		again := n.start(ctx, "a", 0.8)
		elapse(settleTime + time.Second)
		got, _ := again.gained()
		g.Expect(got.ActsFor).To(BeZero())
		g.Expect(got.Before.Holder.Incarnation).To(Equal(first.self.Incarnation))
	})
}

func TestSlowLogKeepsTheHolder(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		hosts := []*daemon{n.start(ctx, "a", 0.8), n.start(ctx, "b", 0.8), n.start(ctx, "c", 0.8)}
		elapse(3 * time.Second)
		// The heartbeats of all daemons wait for each other.
		n.log.SetFault(func(c logtest.Call) logtest.Fault {
			return logtest.Fault{NoResponse: c.Op == logtest.Append && c.Partition == heartbeatPartition}
		})
		for range 200 {
			elapse(100 * time.Millisecond)
			var acting int
			for _, d := range hosts {
				if got, _ := d.gained(); d.Remaining(pool, got.Token) > 0 {
					acting++
				}
			}
			g.Expect(acting).To(Equal(1), "daemons that may act after %v", n.clock.Now())
		}
		for _, d := range hosts {
			g.Expect(d.losses()).To(BeEmpty())
		}
	})
}

// cutOffBound is how long a duty may be without a holder that can act when the
// log no longer answers the holder but other daemons reach it.
const cutOffBound = ableAge + probeInterval + cutOffFor + 2*watchInterval

func TestHolderThatOnlyTheLogDoesNotAnswerIsReplaced(t *testing.T) {
	for start := range 10 {
		inBubble(t, func(ctx context.Context, g *WithT) {
			n := newGroup(pool)
			old := n.start(ctx, "a", 0.8)
			elapse(2 * time.Second)
			next := n.start(ctx, "b", 0.8)
			elapse(4*time.Second + time.Duration(start)*200*time.Millisecond)
			n.log.SetFault(func(c logtest.Call) logtest.Fault { return logtest.Fault{NoResponse: c.Client == "a"} })
			elapse(cutOffBound)
			g.Expect(next.wins()).To(HaveLen(1))
			g.Expect(next.wins()[0].ActsFor).To(Equal(DefaultLease))
			g.Expect(old.losses()).To(BeEmpty())
		})
	}
}

func TestHoldersStayWhileTheLogAnswersNobody(t *testing.T) {
	for _, fault := range []logtest.Fault{{Rejected: true}, {NoResponse: true}} {
		for length := 3 * time.Second; length < 8*time.Second; length += 230 * time.Millisecond {
			inBubble(t, func(ctx context.Context, g *WithT) {
				n := newGroup(pool)
				old := n.start(ctx, "a", 0.8)
				elapse(2 * time.Second)
				next := n.start(ctx, "b", 0.8)
				elapse(3 * time.Second)
				n.log.SetFault(func(logtest.Call) logtest.Fault { return fault })
				elapse(length)
				n.log.SetFault(nil)
				elapse(10 * time.Second)
				held, _ := old.gained()
				g.Expect(next.wins()).To(BeEmpty(), "%+v for %v", fault, length)
				g.Expect(old.Remaining(pool, held.Token)).To(BeNumerically(">", 0))
			})
		}
	}
}

func TestCutOffHolderStopsBeforeItsSuccessorActs(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		old := n.start(ctx, "a", 0.8)
		elapse(2 * time.Second)
		held, _ := old.gained()
		next := n.start(ctx, "b", 0.8)
		elapse(3 * time.Second)
		n.setCut("a", true)
		n.log.SetFault(func(c logtest.Call) logtest.Fault { return logtest.Fault{NoResponse: c.Client == "a"} })
		for range 100 {
			elapse(100 * time.Millisecond)
			got, at := next.gained()
			if got.Token != 0 && n.clock.Now() >= at+DefaultLease {
				g.Expect(old.Remaining(pool, held.Token)).To(BeZero())
			}
		}
		got, _ := next.gained()
		g.Expect(got.Token).To(BeNumerically(">", held.Token))
		g.Expect(got.ActsFor).To(Equal(DefaultLease))
		// Back on the network, it learns that it has lost the duty.
		n.setCut("a", false)
		n.log.SetFault(nil)
		elapse(5 * time.Second)
		g.Expect(old.losses()).To(ConsistOf(held.Token))
	})
}

func TestHolderActsNoLongerThanALeaseAfterAClaimThatItReadsLate(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		old := n.start(ctx, "a", 0.8)
		elapse(2 * time.Second)
		held, _ := old.gained()
		next := n.start(ctx, "b", 0.8)
		elapse(2 * time.Second)
		// An answer with another duty's claim is on its way while the duty is
		// claimed.
		var waiting atomic.Bool
		n.log.SetFault(func(c logtest.Call) logtest.Fault {
			if c.Client != "a" || c.Op != logtest.Read || c.Partition != claimPartition {
				return logtest.Fault{}
			}
			waiting.Store(true)
			return logtest.Fault{ResponseDelay: 400 * time.Millisecond}
		})
		for !waiting.Load() {
			elapse(10 * time.Millisecond)
		}
		next.claim(ctx, OfPool("other"), 0, true)
		synctest.Wait()
		n.log.SetFault(func(c logtest.Call) logtest.Fault { return logtest.Fault{NoResponse: c.Client == "a"} })
		next.claim(ctx, pool, held.Token, false)
		elapse(DefaultLease)
		g.Expect(next.wins()).To(HaveLen(2))
		g.Expect(old.losses()).To(BeEmpty())
		g.Expect(old.Remaining(pool, held.Token)).To(BeZero())
	})
}

func TestSuccessorOfAnEndedProcessAwaitsTheHolderBeforeIt(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		first := n.start(ctx, "a", 0.8)
		elapse(2 * time.Second)
		held, _ := first.gained()
		second := n.start(ctx, "b", 0.8)
		third := n.start(ctx, "c", 0.1)
		elapse(2 * time.Second)
		second.claim(ctx, pool, held.Token, false)
		n.log.SetFault(func(c logtest.Call) logtest.Fault { return logtest.Fault{NoResponse: c.Client == "a"} })
		n.setCut("a", true)
		n.kill(second)
		elapse(takeoverBound)
		got, at := third.gained()
		g.Expect(got.Duty).To(Equal(pool))
		g.Expect(got.ActsFor).To(BeNumerically(">", 0))
		elapse(at + got.ActsFor - n.clock.Now())
		g.Expect(first.Remaining(pool, held.Token)).To(BeZero())
	})
}

func TestHolderThatOneDaemonCannotReachKeepsItsDuty(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		old := n.start(ctx, "a", 0.8)
		elapse(2 * time.Second)
		alone := n.start(ctx, "b", 0.8)
		n.setCut("b", true)
		elapse(20 * time.Second)
		g.Expect(alone.wins()).To(BeEmpty())
		g.Expect(old.losses()).To(BeEmpty())
	})
}

func TestReleasedDutyNeedsNoLeaseToEnd(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool, Fleet)
		old := n.start(ctx, "a", 0.8)
		elapse(2 * time.Second)
		next := n.start(ctx, "b", 0.8)
		elapse(2 * time.Second)
		g.Expect(old.Release(ctx)).To(Succeed())
		released := n.clock.Now()
		elapse(time.Second)
		g.Expect(next.wins()).To(HaveLen(2))
		gains, at, _ := next.told()
		for i, got := range gains {
			g.Expect(got.ActsFor).To(BeZero())
			g.Expect(got.Before.Released).To(BeTrue())
			g.Expect(at[i] - released).To(BeNumerically("<", time.Second))
		}
		g.Expect(old.losses()).To(HaveLen(2))
	})
}

func TestReleaseThatTheLogRefusesIsReported(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		d := n.start(ctx, "a", 0.8)
		elapse(2 * time.Second)
		n.log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		g.Expect(d.Release(short)).To(MatchError(ContainSubstring("release pool/a")))
	})
}

func TestOneOfSeveralClaimsAtTheSameMomentWins(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		// Both claims are under way before either is known.
		n.log.SetFault(func(c logtest.Call) logtest.Fault {
			if c.Op == logtest.Append {
				return logtest.Fault{Delay: 100 * time.Millisecond}
			}
			return logtest.Fault{}
		})
		a, b := n.start(ctx, "a", 0.8), n.start(ctx, "b", 0.8)
		go a.claim(ctx, pool, 0, false)
		go b.claim(ctx, pool, 0, false)
		synctest.Wait()
		elapse(5 * time.Second)
		g.Expect(len(a.wins()) + len(b.wins())).To(Equal(1))
	})
}

func TestClaimDecidedBeforeAnotherOneIsDropped(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		old := n.start(ctx, "a", 0.8)
		elapse(2 * time.Second)
		late := n.start(ctx, "b", 0.8)
		elapse(2 * time.Second)
		// It found that nobody held the duty and knows better by now.
		late.claim(ctx, pool, 0, true)
		g.Expect(late.append(ctx, pool, 0, claim{Holder: late.self, Released: true})).To(BeFalse())
		elapse(2 * time.Second)
		g.Expect(late.wins()).To(BeEmpty())
		g.Expect(old.losses()).To(BeEmpty())
	})
}

func TestClaimThatTakesEffectLateIsNoticed(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		n.log.SetFault(func(c logtest.Call) logtest.Fault {
			if c.Op != logtest.Append || c.Partition != claimPartition {
				return logtest.Fault{}
			}
			return logtest.Fault{NoResponse: true, Executed: true, Delay: time.Second}
		})
		d := n.start(ctx, "a", 0.8)
		elapse(settleTime + 6*time.Second)
		got, _ := d.gained()
		g.Expect(got.Duty).To(Equal(pool))
		g.Expect(d.Remaining(pool, got.Token)).To(BeNumerically(">", 0))
	})
}

// A claim is exclusive once a lease is over, whatever the log and the network
// do meanwhile.
func TestNoTwoDaemonsActUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) { exclusive(rt) })
	})
}

func exclusive(rt *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer synctest.Wait()
	defer cancel()
	n := newGroup(pool, Fleet)
	hosts := []string{"a", "b", "c"}
	for _, h := range hosts {
		n.start(ctx, h, 0.8)
	}
	for range rapid.IntRange(3, 12).Draw(rt, "events") {
		h := rapid.SampledFrom(hosts).Draw(rt, "host")
		switch rapid.IntRange(0, 4).Draw(rt, "event") {
		case 0:
			n.setCut(h, true)
		case 1:
			n.setCut(h, false)
		case 2:
			delay := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "delay_ms")) * time.Millisecond
			back := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "back_ms")) * time.Millisecond
			silent, late := rapid.Bool().Draw(rt, "silent"), rapid.Bool().Draw(rt, "late")
			n.log.SetFault(func(c logtest.Call) logtest.Fault {
				if c.Client != h {
					return logtest.Fault{}
				}
				return logtest.Fault{Delay: delay, ResponseDelay: back, NoResponse: silent, Executed: late}
			})
		case 3:
			n.log.SetFault(nil)
		case 4:
			if d := n.daemons[h]; d != nil {
				n.kill(d)
			}
			n.start(ctx, h, 0.8)
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			elapse(100 * time.Millisecond)
			n.checkExclusive(rt)
		}
	}
}

// checkExclusive fails if a daemon may act for a duty although another one
// gained it so long ago that it counts on being alone.
func (n *group) checkExclusive(rt *rapid.T) {
	now := n.clock.Now()
	for host, d := range n.daemons {
		gains, at, _ := d.told()
		for i, got := range gains {
			if now < at[i]+got.ActsFor {
				continue
			}
			for other, o := range n.daemons {
				for _, theirs := range o.wins() {
					if other != host && theirs.Duty == got.Duty && theirs.Token < got.Token && o.Remaining(got.Duty, theirs.Token) > 0 {
						rt.Fatalf("%s may act for %s under token %d, %v after %s gained it under %d", other, got.Duty, theirs.Token, now-at[i], host, got.Token)
					}
				}
			}
		}
	}
}

func TestIncarnationRisesWhateverTheTimeOfDay(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		n.lives = 1_000_000
		n.start(ctx, "a", 0.8)
		elapse(time.Second)
		next, err := NextIncarnation(ctx, n.log.Client("a"), "a", time.UnixMilli(5))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(next).To(Equal(n.lives + 1))
	})
}

func TestRecordsOfOthersAreIgnored(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newGroup(pool)
		stranger := n.log.Client("x")
		for _, p := range []logstore.Partition{claimPartition, heartbeatPartition} {
			for i, v := range []string{"", "\xff\x00", "{}", "text"} {
				_, err := stranger.Append(ctx, p, []logstore.Entry{{Key: fmt.Sprintf("k%d", i), Value: []byte(v)}, {Key: string(pool), Value: []byte(v)}}, logstore.Condition{})
				g.Expect(err).NotTo(HaveOccurred())
			}
		}
		d := n.start(ctx, "a", 0.8)
		elapse(3 * time.Second)
		got, _ := d.gained()
		g.Expect(got.Duty).To(Equal(pool))
	})
}
