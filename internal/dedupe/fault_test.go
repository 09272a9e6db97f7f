package dedupe

import (
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/onsi/gomega"

	"greengagedeck/internal/membership"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// awaitOrTimeout waits for done. The timeout lets the goroutine end if a failed
// test does not close done.
func awaitOrTimeout(done chan struct{}) {
	select {
	case <-done:
	case <-time.After(10 * time.Minute):
	}
}

func TestResendGetsStoredAnswer(t *testing.T) {
	runInRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		id := ulid.Make()
		_, err := r.nodes["n00"].send(id)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		resp, err := r.nodes["n07"].send(id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(resp.Body)).To(Equal("answer to " + id.String()))
		g.Expect(r.starts(id)).To(Equal(1))
		other := &request.Request{ID: id.String(), Entry: "another", Method: "POST"}
		_, err = r.nodes["n07"].guard.Serve(r.ctx, other)
		g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun), "another request gets no stored answer")
	})
}

func TestRejectedRequestMayBeResent(t *testing.T) {
	runInRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		id := ulid.Make()
		answer := r.serve
		r.serve = func(*request.Request) (*request.Response, error) {
			return nil, verdict.NewNotRun(verdict.ReasonQueueFull, "full")
		}
		_, err := r.nodes["n00"].send(id)
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
		r.serve = answer
		_, err = r.nodes["n03"].send(id)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

func TestConcurrentResendsStartOnce(t *testing.T) {
	runInRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		for range 50 {
			id := ulid.Make()
			var wg sync.WaitGroup
			for _, n := range r.nodes {
				wg.Go(func() { _, _ = n.send(id) })
			}
			wg.Wait()
			g.Expect(r.starts(id)).To(Equal(1))
		}
	})
}

func TestPrimaryLostDuringRequest(t *testing.T) {
	runInRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		r.logAvailable = true
		n := r.nodes["n00"]
		id := n.idWhere(func(p Pair) bool { return !p.Has("n00") && !p.Has("n01") })
		attempt, _ := n.service.newAttempt(id, 0)
		answered := make(chan struct{})
		r.serve = func(*request.Request) (*request.Response, error) {
			awaitOrTimeout(answered)
			return &request.Response{Status: 200}, nil
		}
		go func() { _, _ = n.send(id) }()
		time.Sleep(time.Second)
		r.kill(attempt.pair.Primary)
		_, err := r.nodes["n01"].send(id)
		g.Expect(err).To(HaveField("Reason", verdict.ReasonUnproven), "primary unreachable")
		r.remove(attempt.pair.Primary)
		r.publishStateToAll()
		_, err = r.nodes["n01"].send(id)
		g.Expect(err).To(HaveField("Reason", verdict.ReasonDuplicate), "the backup has the claim")
		close(answered)
		time.Sleep(time.Second)
		_, _ = r.nodes["n01"].send(id)
		g.Expect(r.starts(id)).To(Equal(1))
	})
}

func TestIsolatedZone(t *testing.T) {
	runInRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		inside := r.state.InZone("z1")
		outside := r.others(inside...)
		in, out := r.nodes[inside[0]], r.nodes[outside[0]]
		r.isolate(inside...)
		for range 100 {
			id := ulid.Make()
			_, err := in.send(id)
			g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun), "every pair spans two zones")
			_, _ = out.send(id)
			g.Expect(r.starts(id)).To(BeNumerically("<=", 1))
		}
		time.Sleep(10 * time.Second)
		for _, id := range inside {
			r.applyRecord(membership.KindSuspend, membership.Suspend{ID: id})
		}
		r.publishState(outside...)
		time.Sleep(10 * time.Second)
		for range 100 {
			id := ulid.Make()
			_, err := in.send(id)
			g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
			_, err = out.send(id)
			g.Expect(err).NotTo(HaveOccurred(), "the other zones keep granting")
			g.Expect(r.starts(id)).To(Equal(1))
		}
	})
}

func TestPausedPrimary(t *testing.T) {
	runInRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		n := r.nodes["n00"]
		id := n.idWhere(func(p Pair) bool { return !p.Has("n00") && !p.Has("n01") })
		attempt, _ := n.service.newAttempt(id, 0)
		primary := attempt.pair.Primary
		r.mu.Lock()
		wake := make(chan struct{})
		r.paused[primary] = wake
		r.mu.Unlock()
		_, err := n.send(id)
		g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
		r.applyRecord(membership.KindSuspend, membership.Suspend{ID: primary})
		r.publishState(r.others(primary)...)
		time.Sleep(5 * time.Second)
		_, _ = r.nodes["n01"].send(id)
		close(wake) // the primary handles the delayed messages in its old epoch
		r.mu.Lock()
		delete(r.paused, primary)
		r.mu.Unlock()
		time.Sleep(time.Second)
		_, err = r.nodes[primary].send(id)
		g.Expect(verdict.Of(err)).NotTo(Equal(verdict.NotRun))
		g.Expect(r.starts(id)).To(BeNumerically("<=", 1))
	})
}

func TestPausedClaimant(t *testing.T) {
	runInRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		r.logAvailable = true
		n := r.nodes["n00"]
		id := n.idWhere(func(p Pair) bool { return !p.Has("n00") && !p.Has("n01") })
		attempt, _ := n.service.newAttempt(id, 0)
		paused := make(chan struct{})
		r.serve = func(q *request.Request) (*request.Response, error) {
			awaitOrTimeout(paused)
			return &request.Response{Status: 200}, nil
		}
		go func() { _, _ = n.send(id) }()
		time.Sleep(time.Second)
		// Both daemons of the pair are replaced while the claimant holds its
		// claim.
		r.remove(attempt.pair.Primary)
		r.publishState(r.others("n00")...)
		time.Sleep(5 * time.Second)
		r.remove(attempt.pair.Backup)
		r.publishState(r.others("n00")...)
		for range 20 {
			time.Sleep(5 * time.Second)
			_, err := r.nodes["n01"].send(id)
			g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
		}
		close(paused)
		time.Sleep(time.Second)
		g.Expect(r.starts(id)).To(Equal(1))
		// New IDs are granted again.
		young := r.nodes["n01"].idWhere(func(p Pair) bool { return !p.Has("n00") })
		_, err := r.nodes["n01"].send(young)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// TestPairReplacedByNewDaemonsWithoutLog checks that an ID starts at most once when
// two new daemons replace its pair while the old daemons cannot read the log. The
// old pair first still exchanges heartbeats with all others but does not learn of
// the new daemons, and is then isolated.
func TestPairReplacedByNewDaemonsWithoutLog(t *testing.T) {
	runInRig(t, 5, 3, func(r *rig) {
		g := NewWithT(t)
		old := r.order
		r.logAvailable = true // only the new daemons apply their joins, so only they read the log
		a, b := r.startDaemon("z0"), r.startDaemon("z1")
		newcomers := []string{a.self.ID, b.self.ID}
		r.publishState(newcomers...)
		sendBoth := func(cut string) {
			id := a.idWhere(func(p Pair) bool {
				return p.Has(newcomers[0]) && p.Has(newcomers[1])
			})
			var wg sync.WaitGroup
			wg.Go(func() { _, _ = r.nodes[cut].send(id) })
			wg.Go(func() { _, _ = a.send(id) })
			wg.Wait()
			_, _ = b.send(id)
			g.Expect(r.starts(id)).To(BeNumerically("<=", 1))
		}
		for range 40 {
			sendBoth(old[0])
			time.Sleep(250 * time.Millisecond)
		}
		// All daemons except two learn of the new daemons.
		r.isolate(old[0], old[1])
		r.publishState(old[2:]...)
		for range 100 {
			id := a.idWhere(func(p Pair) bool { return p.Has(newcomers[0]) && p.Has(newcomers[1]) })
			if t, _ := r.nodes[old[0]].service.newAttempt(id, 0); t.pair.Has(old[0]) && t.pair.Has(old[1]) {
				_, _ = r.nodes[old[0]].send(id)
				_, _ = a.send(id)
				g.Expect(r.starts(id)).To(BeNumerically("<=", 1))
			}
			time.Sleep(100 * time.Millisecond)
		}
		id := a.idWhere(func(p Pair) bool { return p.Has(newcomers[0]) && p.Has(newcomers[1]) })
		_, err := a.send(id)
		g.Expect(err).NotTo(HaveOccurred(), "the new daemons grant once the old pair cannot")
	})
}

// TestIDStartsOnceAcrossDaemonReplacement replaces every daemon in turn and checks
// that an old ID does not start again while new IDs run.
func TestIDStartsOnceAcrossDaemonReplacement(t *testing.T) {
	runInRig(t, 6, 3, func(r *rig) {
		g := NewWithT(t)
		id := ulid.Make()
		_, err := r.nodes["n00"].send(id)
		g.Expect(err).NotTo(HaveOccurred())
		for i, gone := range r.others() {
			n := r.startDaemon(r.nodes[gone].self.Zone)
			r.remove(gone)
			r.kill(gone)
			r.publishState(r.order[i+1:]...)
			time.Sleep(5 * time.Second)
			_, err := n.send(ulid.Make())
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = n.send(id)
		}
		g.Expect(r.starts(id)).To(Equal(1))
	})
}

func TestVerdictOfUnprovenRequest(t *testing.T) {
	runInRig(t, 4, 2, func(r *rig) {
		g := NewWithT(t)
		n := r.nodes["n00"]
		r.kill(r.others("n00")...)
		_, err := n.send(ulid.Make())
		g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun), "the caller's ID")
		_, err = n.guard.Serve(r.ctx, &request.Request{})
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun), "an ID generated by the guard")
		_, err = n.guard.Serve(r.ctx, &request.Request{ID: "x"})
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun), "not a ULID")
		_, err = n.guard.Serve(r.ctx, &request.Request{ID: "x", Idempotent: true})
		g.Expect(err).NotTo(HaveOccurred())
		old := ulid.MustNew(ulid.Timestamp(time.Now().Add(-time.Hour)), ulid.DefaultEntropy())
		_, err = n.send(old)
		g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun), "past the window")
	})
}

// TestReadyDaemonGrantsNewIDs checks Ready for the first daemons of a new fleet and
// for a daemon that joins a running one.
func TestReadyDaemonGrantsNewIDs(t *testing.T) {
	runInRig(t, 6, 3, func(r *rig) {
		g := NewWithT(t)
		r.logAvailable = true
		fresh := newRig(t, r.ctx, 0, 3)
		fresh.logAvailable = true
		for range 6 {
			fresh.startDaemon("z" + string(rune('0'+len(fresh.order)%3)))
		}
		fresh.publishStateToAll()
		n := fresh.nodes["n00"]
		g.Expect(n.service.Ready()).To(BeFalse())
		for !n.service.Ready() {
			time.Sleep(100 * time.Millisecond)
		}
		for range 100 {
			_, err := n.send(ulid.Make())
			g.Expect(err).NotTo(HaveOccurred())
		}
		late := r.startDaemon("z0")
		r.publishStateToAll()
		// One heartbeat to receive the floor, three clock errors and
		// readyMargin.
		time.Sleep(4 * time.Second)
		g.Expect(late.service.Ready()).To(BeTrue())
		_, err := late.send(ulid.Make())
		g.Expect(err).NotTo(HaveOccurred())
	})
}
