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

// bubble runs a test of a fleet on virtual time.
func bubble(t *testing.T, f *fleet, retries int, test func(g *WithT)) {
	synctest.Test(t, func(t *testing.T) {
		stop := f.start(t, retries)
		defer stop()
		defer time.Sleep(time.Second) // what is under way ends
		f.warm()
		test(NewWithT(t))
	})
}

func TestFullDaemonLendsToAMateWithFreeSlots(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1", "d2")
	bubble(t, f, 0, func(g *WithT) {
		began := time.Now()
		results := f.load("d1", "r", 16, false)()
		byMate := 0
		for _, r := range results {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(string(r.resp.Body)).To(Equal(r.id), "the answer belongs to the request")
			if r.resp.Daemon == "d2" {
				byMate++
			}
		}
		g.Expect(byMate).To(Equal(8))
		g.Expect(time.Since(began)).To(BeNumerically("<", 2*f.service), "all 16 slots of the zone work at once")
	})
}

func TestMateThatBecomesFreeTakesWhatWaits(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1", "d2")
	bubble(t, f, 0, func(g *WithT) {
		f.load("d2", "busy", 8, false)
		time.Sleep(5 * time.Millisecond)
		results := f.load("d1", "r", 24, false)()
		byMate := 0
		for _, r := range results {
			g.Expect(r.err).NotTo(HaveOccurred())
			if r.resp.Daemon == "d2" {
				byMate++
			}
		}
		g.Expect(byMate).To(BeNumerically(">=", 8))
	})
}

func TestUnreachableMateLeavesTheRequestNotRunAndHere(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1", "d2")
	bubble(t, f, 0, func(g *WithT) {
		f.net.set(f.net.refused, "d2")
		for _, r := range f.load("d1", "r", 24, false)() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Daemon).To(Equal("d1"))
			g.Expect(f.executions(r.id)).To(Equal(1))
		}
	})
}

func TestLostAnswerOfAMateMayHaveRun(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1", "d2")
	bubble(t, f, 100, func(g *WithT) {
		f.net.set(f.net.mute, "d2")
		lost := 0
		for _, r := range f.load("d1", "r", 16, false)() {
			g.Expect(f.executions(r.id)).To(Equal(1), "a request that is not idempotent runs once")
			if r.err != nil {
				lost++
				g.Expect(verdict.Of(r.err)).To(Equal(verdict.MayHaveRun))
			}
		}
		g.Expect(lost).To(Equal(8))
	})
}

func TestLostAnswerOfAMateIsRetriedWithinTheBudget(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1", "d2")
	const retries = 3
	bubble(t, f, retries, func(g *WithT) {
		f.net.set(f.net.mute, "d2")
		failed := 0
		for _, r := range f.load("d1", "r", 16, true)() {
			if r.err != nil {
				failed++
			}
		}
		g.Expect(failed).To(Equal(8-retries), "8 answers are lost, the budget pays for 3 retries")
	})
}

func TestHostLeavesBetweenGrantAndAttempt(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1")
	bubble(t, f, 0, func(g *WithT) {
		f.mu.Lock()
		f.shut["z1-w00"] = true
		f.mu.Unlock()
		for _, r := range f.load("d1", "r", 8, false)() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Host).To(Equal("z1-w01"))
			g.Expect(f.executions(r.id)).To(Equal(1))
		}
	})
}

func TestAttemptThatDidNotRunGoesToAnotherHost(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1")
	bubble(t, f, 100, func(g *WithT) {
		f.mu.Lock()
		f.fail["z1-w00"] = verdict.NewNotRun(verdict.ReasonConnect, "refused")
		f.mu.Unlock()
		for _, r := range f.load("d1", "r", 8, false)() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Host).To(Equal("z1-w01"))
		}
	})
}

func TestAttemptThatMayHaveRunIsNotRepeated(t *testing.T) {
	f := newFleet()
	f.zone("z1", 1, 8, "d1")
	bubble(t, f, 100, func(g *WithT) {
		f.mu.Lock()
		f.fail["z1-w00"] = verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "reset")
		f.attempts = 0
		f.mu.Unlock()
		for _, r := range f.load("d1", "r", 4, false)() {
			g.Expect(verdict.Of(r.err)).To(Equal(verdict.MayHaveRun))
		}
		g.Expect(f.attempts).To(Equal(4))
	})
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1")
	const retries = 5
	bubble(t, f, retries, func(g *WithT) {
		f.mu.Lock()
		f.fail["z1-w00"] = verdict.NewNotRun(verdict.ReasonConnect, "refused")
		f.fail["z1-w01"] = f.fail["z1-w00"]
		f.attempts = 0
		f.mu.Unlock()
		f.load("d1", "r", 50, true)()
		g.Expect(f.attempts).To(Equal(50 + retries))
	})
}

func TestCallerThatGoesAwayFreesItsPlace(t *testing.T) {
	f := newFleet()
	f.zone("z1", 1, 1, "d1")
	bubble(t, f, 0, func(g *WithT) {
		f.service = 100 * time.Millisecond
		busy := f.load("d1", "busy", 1, false)
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
		g.Expect(f.load("d1", "next", 1, false)()[0].err).NotTo(HaveOccurred())
	})
}

func TestWorkThatCanNeverRunIsRefusedWithItsLimit(t *testing.T) {
	f := newFleet()
	f.zone("z1", 1, 8, "d1")
	f.entries["huge"] = catalogue.Entry{Name: "huge", Owner: "a", Pool: testPool, Limits: catalogue.Limits{MemoryGB: 65}}
	f.entries["wide"] = catalogue.Entry{Name: "wide", Owner: "a", Pool: testPool, Limits: catalogue.Limits{Cores: 33}}
	bubble(t, f, 0, func(g *WithT) {
		for entry, limit := range map[string]string{"huge": "65 GB", "wide": "33 cores"} {
			_, err := f.daemons["d1"].Serve(context.Background(), newRequest(entry, entry, true))
			g.Expect(err).To(MatchError(ContainSubstring(limit)))
			g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
		}
	})
}

func TestDrainHandsWaitingRequestsOnAndFinishesTheRest(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1", "d2")
	bubble(t, f, 0, func(g *WithT) {
		f.load("d2", "busy", 8, false)
		time.Sleep(time.Millisecond)
		wait := f.load("d1", "r", 30, false)
		time.Sleep(time.Millisecond)
		began := time.Now()
		g.Expect(f.daemons["d1"].Drain(context.Background())).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically(">=", f.service-2*time.Millisecond), "what runs is finished")
		_, err := f.daemons["d1"].Serve(context.Background(), newRequest("late", "reserve", false))
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
		for _, r := range wait() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(f.executions(r.id)).To(Equal(1))
		}
	})
}

func TestFullZoneHandsRequestsOnOnce(t *testing.T) {
	f := newFleet()
	f.zone("z1", 1, 4, "d1")
	f.zone("z2", 3, 8, "d2")
	bubble(t, f, 0, func(g *WithT) {
		for range 3 {
			f.load("d1", "first", 60, true)
			time.Sleep(10 * time.Millisecond)
		}
		results := f.load("d1", "r", 20, false)()
		away := 0
		for _, r := range results {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(f.executions(r.id)).To(Equal(1))
			if r.resp.Daemon == "d2" {
				away++
			}
		}
		g.Expect(away).To(BeNumerically(">", 0))
	})
}

func TestZoneThatIsCutOffServesItsOwn(t *testing.T) {
	f := newFleet()
	f.zone("z1", 1, 4, "d1")
	f.zone("z2", 3, 8, "d2")
	bubble(t, f, 0, func(g *WithT) {
		f.net.set(f.net.refused, "d2")
		f.load("d1", "first", 40, true)
		time.Sleep(10 * time.Millisecond)
		for _, r := range f.load("d1", "r", 20, false)() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Daemon).To(Equal("d1"))
		}
	})
}

func TestZoneWithoutHostsHandsRequestsOn(t *testing.T) {
	f := newFleet()
	f.zone("z1", 0, 0, "d1")
	f.zone("z2", 3, 8, "d2")
	bubble(t, f, 0, func(g *WithT) {
		for _, r := range f.load("d1", "r", 10, false)() {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Daemon).To(Equal("d2"))
		}
	})
}

func TestTeamOverItsQuotaIsRefused(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1", "d2")
	f.teams["a"] = catalogue.Team{Name: "a", Rate: 100, Burst: 20}
	bubble(t, f, 0, func(g *WithT) {
		time.Sleep(time.Second)
		refused := 0
		for _, r := range f.load("d1", "r", 16, true)() {
			if r.err != nil {
				refused++
				g.Expect(verdict.Of(r.err)).To(Equal(verdict.NotRun))
				g.Expect(r.err).To(MatchError(ContainSubstring(string(verdict.ReasonQuota))))
			}
		}
		g.Expect(refused).To(Equal(6), "one of two daemons admits half of a burst of 20")
	})
}

func TestQueueIsBounded(t *testing.T) {
	f := newFleet()
	f.zone("z1", 1, 1, "d1")
	e := f.entries["reserve"]
	e.Limits = catalogue.Limits{Queue: 10}
	f.entries["reserve"] = e
	bubble(t, f, 0, func(g *WithT) {
		refused := 0
		for _, r := range f.load("d1", "r", 50, true)() {
			if r.err != nil {
				refused++
				g.Expect(verdict.Of(r.err)).To(Equal(verdict.NotRun))
			}
		}
		g.Expect(refused).To(Equal(39), "one runs, ten wait")
	})
}

func TestTryThatDidNotRunDoesNotHideAnEarlierOneThatMayHave(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1")
	bubble(t, f, 100, func(g *WithT) {
		f.mu.Lock()
		f.fail["z1-w00"] = verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "reset")
		f.fail["z1-w01"] = verdict.NewNotRun(verdict.ReasonConnect, "refused")
		f.mu.Unlock()
		unsure := 0
		for _, r := range f.load("d1", "r", 8, true)() {
			g.Expect(r.err).To(HaveOccurred())
			if verdict.Of(r.err) == verdict.MayHaveRun {
				unsure++
			}
		}
		g.Expect(unsure).To(Equal(8), "each was tried on both hosts")
	})
}

func TestDeadlineAfterALostAnswerDoesNotHideIt(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1", "d2")
	bubble(t, f, 100, func(g *WithT) {
		f.net.set(f.net.mute, "d2")
		f.service = 1500 * time.Millisecond
		unsure := 0
		for _, r := range f.load("d1", "r", 16, true)() {
			if r.err != nil {
				g.Expect(f.executions(r.id)).To(BeNumerically(">", 0))
				g.Expect(verdict.Of(r.err)).To(Equal(verdict.MayHaveRun), r.err.Error())
				unsure++
			}
		}
		g.Expect(unsure).To(BeNumerically(">", 0))
	})
}

// TestHostLeavesWhileThePoolIsIdle takes hosts from the list again and again
// while nothing runs. The gate stays open: only the list tells.
func TestHostLeavesWhileThePoolIsIdle(t *testing.T) {
	f := newFleet()
	f.zone("z1", 2, 8, "d1")
	both := hostsOf("z1", 2, 8)
	bubble(t, f, 0, func(g *WithT) {
		for round := range 8 {
			time.Sleep(130 * time.Millisecond)
			stays := both[round%2]
			f.mu.Lock()
			f.targets["z1"] = []dispatch.Target{stays}
			f.mu.Unlock()
			time.Sleep(130 * time.Millisecond)
			r := f.load("d1", fmt.Sprintf("r%d-", round), 1, false)()[0]
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.resp.Host).To(Equal(stays.Host), "round %d", round)
		}
	})
}
