package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/verdict"
)

// runOnCluster runs a test against a cluster on virtual time.
func runOnCluster(t *testing.T, f *cluster, retries int, test func(g *WithT)) {
	synctest.Test(t, func(t *testing.T) {
		stop := f.start(t, retries)
		defer stop()
		defer time.Sleep(time.Second) // requests in progress finish
		f.warmUp()
		test(NewWithT(t))
	})
}

func TestHandoverToZonePeerWithFreeSlots(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1", "d2")
	runOnCluster(t, f, 0, func(g *WithT) {
		start := time.Now()
		results := f.sendRequests("d1", "r", 16, false)()
		byZonePeer := 0
		for _, r := range results {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(string(r.resp.Body)).To(Equal(r.id), "the answer belongs to the request")
			if r.resp.Daemon == "d2" {
				byZonePeer++
			}
		}
		g.Expect(byZonePeer).To(Equal(8))
		g.Expect(time.Since(start)).To(BeNumerically("<", 2*f.serviceTime), "all 16 slots of the zone run requests at once")
	})
}

func TestFreedZonePeerTakesWaitingRequests(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1", "d2")
	runOnCluster(t, f, 0, func(g *WithT) {
		f.sendRequests("d2", "busy", 8, false)
		time.Sleep(5 * time.Millisecond)
		results := f.sendRequests("d1", "r", 24, false)()
		byZonePeer := 0
		for _, r := range results {
			g.Expect(r.err).NotTo(HaveOccurred())
			if r.resp.Daemon == "d2" {
				byZonePeer++
			}
		}
		g.Expect(byZonePeer).To(BeNumerically(">=", 8))
	})
}

func TestUnreachableZonePeerFallsBackToLocal(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1", "d2")
	runOnCluster(t, f, 0, func(g *WithT) {
		f.net.mark(f.net.unreachable, "d2")
		for _, r := range f.sendRequests("d1", "r", 24, false)() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Daemon).To(Equal("d1"))
			g.Expect(f.executions(r.id)).To(Equal(1))
		}
	})
}

func TestLostHandoverReplyMayHaveRun(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1", "d2")
	runOnCluster(t, f, 100, func(g *WithT) {
		f.net.mark(f.net.lostAnswers, "d2")
		lost := 0
		for _, r := range f.sendRequests("d1", "r", 16, false)() {
			g.Expect(f.executions(r.id)).To(Equal(1), "a request that is not idempotent runs once")
			if r.err != nil {
				lost++
				g.Expect(verdict.Of(r.err)).To(Equal(verdict.MayHaveRun))
			}
		}
		g.Expect(lost).To(Equal(8))
	})
}

func TestLostHandoverReplyRetriedWithinBudget(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1", "d2")
	const retries = 3
	runOnCluster(t, f, retries, func(g *WithT) {
		f.net.mark(f.net.lostAnswers, "d2")
		failed := 0
		for _, r := range f.sendRequests("d1", "r", 16, true)() {
			if r.err != nil {
				failed++
			}
		}
		g.Expect(failed).To(Equal(8-retries), "8 answers are lost, the budget allows 3 retries")
	})
}

func TestHostRemovedBetweenDecisionAndAttempt(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1")
	runOnCluster(t, f, 0, func(g *WithT) {
		f.mu.Lock()
		f.closedGates["z1-w00"] = true
		f.mu.Unlock()
		for _, r := range f.sendRequests("d1", "r", 8, false)() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Host).To(Equal("z1-w01"))
			g.Expect(f.executions(r.id)).To(Equal(1))
		}
	})
}

func TestNotRunAttemptRetriedOnOtherHost(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1")
	runOnCluster(t, f, 100, func(g *WithT) {
		f.mu.Lock()
		f.attemptErrors["z1-w00"] = verdict.NewNotRun(verdict.ReasonConnect, "refused")
		f.mu.Unlock()
		for _, r := range f.sendRequests("d1", "r", 8, false)() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Host).To(Equal("z1-w01"))
		}
	})
}

func TestNonIdempotentMayHaveRunNotRetried(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 1, 8, "d1")
	runOnCluster(t, f, 100, func(g *WithT) {
		f.mu.Lock()
		f.attemptErrors["z1-w00"] = verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "reset")
		f.attempts = 0
		f.mu.Unlock()
		for _, r := range f.sendRequests("d1", "r", 4, false)() {
			g.Expect(verdict.Of(r.err)).To(Equal(verdict.MayHaveRun))
		}
		g.Expect(f.attempts).To(Equal(4))
	})
}

func TestRetriesWithinBudget(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1")
	const retries = 5
	runOnCluster(t, f, retries, func(g *WithT) {
		f.mu.Lock()
		f.attemptErrors["z1-w00"] = verdict.NewNotRun(verdict.ReasonConnect, "refused")
		f.attemptErrors["z1-w01"] = f.attemptErrors["z1-w00"]
		f.attempts = 0
		f.mu.Unlock()
		f.sendRequests("d1", "r", 50, true)()
		g.Expect(f.attempts).To(Equal(50 + retries))
	})
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 1, 1, "d1")
	runOnCluster(t, f, 0, func(g *WithT) {
		f.serviceTime = 100 * time.Millisecond
		busy := f.sendRequests("d1", "busy", 1, false)
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		gone := make(chan error)
		go func() {
			_, err := f.daemons["d1"].Serve(ctx, newRequest("gone", "reserve", false))
			gone <- err
		}()
		synctest.Wait()
		cancelled := time.Now()
		cancel()
		err := <-gone
		g.Expect(time.Since(cancelled)).To(BeZero(), "it does not wait for the slot")
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
		busy()
		g.Expect(f.executions("gone")).To(BeZero())
		g.Expect(f.sendRequests("d1", "next", 1, false)()[0].err).NotTo(HaveOccurred())
	})
}

func TestNeverRunnableRejectedWithLimit(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 1, 8, "d1")
	f.entries["huge"] = catalogue.Entry{Name: "huge", Owner: "a", Pool: testPool, Limits: catalogue.Limits{MemoryGB: 65}}
	f.entries["wide"] = catalogue.Entry{Name: "wide", Owner: "a", Pool: testPool, Limits: catalogue.Limits{Cores: 33}}
	runOnCluster(t, f, 0, func(g *WithT) {
		for entry, limit := range map[string]string{"huge": "65 GB", "wide": "33 cores"} {
			_, err := f.daemons["d1"].Serve(context.Background(), newRequest(entry, entry, true))
			g.Expect(err).To(MatchError(ContainSubstring(limit)))
			g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
		}
	})
}

func TestDrainHandsOverWaitingAndFinishesRunning(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1", "d2")
	runOnCluster(t, f, 0, func(g *WithT) {
		f.sendRequests("d2", "busy", 8, false)
		time.Sleep(time.Millisecond)
		wait := f.sendRequests("d1", "r", 30, false)
		time.Sleep(time.Millisecond)
		start := time.Now()
		g.Expect(f.daemons["d1"].Drain(context.Background())).To(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically(">=", f.serviceTime-2*time.Millisecond), "running requests are finished")
		_, err := f.daemons["d1"].Serve(context.Background(), newRequest("late", "reserve", false))
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
		for _, r := range wait() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(f.executions(r.id)).To(Equal(1))
		}
	})
}

func TestFullZoneHandsOverOnce(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 1, 4, "d1")
	f.addZone("z2", 3, 8, "d2")
	runOnCluster(t, f, 0, func(g *WithT) {
		for range 3 {
			f.sendRequests("d1", "first", 60, true)
			time.Sleep(10 * time.Millisecond)
		}
		results := f.sendRequests("d1", "r", 20, false)()
		handedOver := 0
		for _, r := range results {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(f.executions(r.id)).To(Equal(1))
			if r.resp.Daemon == "d2" {
				handedOver++
			}
		}
		g.Expect(handedOver).To(BeNumerically(">", 0))
	})
}

func TestIsolatedZoneServesLocally(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 1, 4, "d1")
	f.addZone("z2", 3, 8, "d2")
	runOnCluster(t, f, 0, func(g *WithT) {
		f.net.mark(f.net.unreachable, "d2")
		f.sendRequests("d1", "first", 40, true)
		time.Sleep(10 * time.Millisecond)
		for _, r := range f.sendRequests("d1", "r", 20, false)() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Daemon).To(Equal("d1"))
		}
	})
}

func TestZoneWithoutHostsHandsOver(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 0, 0, "d1")
	f.addZone("z2", 3, 8, "d2")
	runOnCluster(t, f, 0, func(g *WithT) {
		for _, r := range f.sendRequests("d1", "r", 10, false)() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Daemon).To(Equal("d2"))
		}
	})
}

func TestTeamOverQuotaRejected(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1", "d2")
	f.teams["a"] = catalogue.Team{Name: "a", Rate: 100, Burst: 20}
	runOnCluster(t, f, 0, func(g *WithT) {
		time.Sleep(time.Second)
		rejected := 0
		for _, r := range f.sendRequests("d1", "r", 16, true)() {
			if r.err != nil {
				rejected++
				g.Expect(verdict.Of(r.err)).To(Equal(verdict.NotRun))
				g.Expect(r.err).To(MatchError(ContainSubstring(string(verdict.ReasonQuota))))
			}
		}
		g.Expect(rejected).To(Equal(6), "one of two daemons admits half of a burst of 20")
	})
}

func TestQueueLimit(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 1, 1, "d1")
	e := f.entries["reserve"]
	e.Limits = catalogue.Limits{Queue: 10}
	f.entries["reserve"] = e
	runOnCluster(t, f, 0, func(g *WithT) {
		rejected := 0
		for _, r := range f.sendRequests("d1", "r", 50, true)() {
			if r.err != nil {
				rejected++
				g.Expect(verdict.Of(r.err)).To(Equal(verdict.NotRun))
			}
		}
		g.Expect(rejected).To(Equal(39), "one runs, ten wait")
	})
}

func TestNotRunRetryKeepsMayHaveRun(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1")
	runOnCluster(t, f, 100, func(g *WithT) {
		f.mu.Lock()
		f.attemptErrors["z1-w00"] = verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "reset")
		f.attemptErrors["z1-w01"] = verdict.NewNotRun(verdict.ReasonConnect, "refused")
		f.mu.Unlock()
		mayHaveRun := 0
		for _, r := range f.sendRequests("d1", "r", 8, true)() {
			g.Expect(r.err).To(HaveOccurred())
			if verdict.Of(r.err) == verdict.MayHaveRun {
				mayHaveRun++
			}
		}
		g.Expect(mayHaveRun).To(Equal(8), "each request was tried on both hosts")
	})
}

func TestDeadlineAfterLostReplyKeepsMayHaveRun(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1", "d2")
	runOnCluster(t, f, 100, func(g *WithT) {
		f.net.mark(f.net.lostAnswers, "d2")
		f.serviceTime = 1500 * time.Millisecond
		mayHaveRun := 0
		for _, r := range f.sendRequests("d1", "r", 16, true)() {
			if r.err != nil {
				g.Expect(f.executions(r.id)).To(BeNumerically(">", 0))
				g.Expect(verdict.Of(r.err)).To(Equal(verdict.MayHaveRun), r.err.Error())
				mayHaveRun++
			}
		}
		g.Expect(mayHaveRun).To(BeNumerically(">", 0))
	})
}

// TestHostRemovedWhilePoolIdle repeatedly removes a host from the host list
// while nothing runs. The gate stays open, so only the list shows the removal.
func TestHostRemovedWhilePoolIdle(t *testing.T) {
	f := newCluster()
	f.addZone("z1", 2, 8, "d1")
	both := zoneHosts("z1", 2, 8)
	runOnCluster(t, f, 0, func(g *WithT) {
		for round := range 8 {
			time.Sleep(130 * time.Millisecond)
			stays := both[round%2]
			f.mu.Lock()
			f.targets["z1"] = []dispatch.Target{stays}
			f.mu.Unlock()
			time.Sleep(130 * time.Millisecond)
			r := f.sendRequests("d1", fmt.Sprintf("r%d-", round), 1, false)()[0]
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Host).To(Equal(stays.Host), "round %d", round)
		}
	})
}
