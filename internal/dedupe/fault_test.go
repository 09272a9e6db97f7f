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

// waitFor ends too when the test has failed and does not close done.
func waitFor(done chan struct{}) {
	select {
	case <-done:
	case <-time.After(10 * time.Minute):
	}
}

func TestResendGetsTheStoredAnswer(t *testing.T) {
	inRig(t, 9, 4, func(r *rig) {
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

func TestRefusedRequestMayBeResent(t *testing.T) {
	inRig(t, 9, 4, func(r *rig) {
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

func TestResendAtAllDaemonsAtOnce(t *testing.T) {
	inRig(t, 9, 4, func(r *rig) {
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

func TestHomeKilledBetweenIntentAndAnswer(t *testing.T) {
	inRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		r.logUp = true
		n := r.nodes["n00"]
		id := n.idWhere(func(p Pair) bool { return !p.Has("n00") && !p.Has("n01") })
		try, _ := n.service.start(id, 0)
		answered := make(chan struct{})
		r.serve = func(*request.Request) (*request.Response, error) {
			waitFor(answered)
			return &request.Response{Status: 200}, nil
		}
		go func() { _, _ = n.send(id) }()
		time.Sleep(time.Second)
		r.kill(try.pair.Home)
		_, err := r.nodes["n01"].send(id)
		g.Expect(err).To(HaveField("Reason", verdict.ReasonUnproven), "home unreachable")
		r.remove(try.pair.Home)
		r.foldAll()
		_, err = r.nodes["n01"].send(id)
		g.Expect(err).To(HaveField("Reason", verdict.ReasonDuplicate), "the backup knows")
		close(answered)
		time.Sleep(time.Second)
		_, _ = r.nodes["n01"].send(id)
		g.Expect(r.starts(id)).To(Equal(1))
	})
}

func TestZoneCutOff(t *testing.T) {
	inRig(t, 9, 4, func(r *rig) {
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
			r.change(membership.KindSuspend, membership.Suspend{ID: id})
		}
		r.fold(outside...)
		time.Sleep(10 * time.Second)
		for range 100 {
			id := ulid.Make()
			_, err := in.send(id)
			g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
			_, err = out.send(id)
			g.Expect(err).NotTo(HaveOccurred(), "the rest goes on without the zone")
			g.Expect(r.starts(id)).To(Equal(1))
		}
	})
}

func TestPausedHome(t *testing.T) {
	inRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		n := r.nodes["n00"]
		id := n.idWhere(func(p Pair) bool { return !p.Has("n00") && !p.Has("n01") })
		try, _ := n.service.start(id, 0)
		home := try.pair.Home
		r.mu.Lock()
		wake := make(chan struct{})
		r.stalled[home] = wake
		r.mu.Unlock()
		_, err := n.send(id)
		g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
		r.change(membership.KindSuspend, membership.Suspend{ID: home})
		r.fold(r.others(home)...)
		time.Sleep(5 * time.Second)
		_, _ = r.nodes["n01"].send(id)
		close(wake) // the home handles what waited, in its old epoch
		r.mu.Lock()
		delete(r.stalled, home)
		r.mu.Unlock()
		time.Sleep(time.Second)
		_, err = r.nodes[home].send(id)
		g.Expect(verdict.Of(err)).NotTo(Equal(verdict.NotRun))
		g.Expect(r.starts(id)).To(BeNumerically("<=", 1))
	})
}

func TestPausedClaimant(t *testing.T) {
	inRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		r.logUp = true
		n := r.nodes["n00"]
		id := n.idWhere(func(p Pair) bool { return !p.Has("n00") && !p.Has("n01") })
		try, _ := n.service.start(id, 0)
		paused := make(chan struct{})
		r.serve = func(q *request.Request) (*request.Response, error) {
			waitFor(paused)
			return &request.Response{Status: 200}, nil
		}
		go func() { _, _ = n.send(id) }()
		time.Sleep(time.Second)
		// The pair changes wholly while the claimant holds its claim.
		r.remove(try.pair.Home)
		r.fold(r.others("n00")...)
		time.Sleep(5 * time.Second)
		r.remove(try.pair.Backup)
		r.fold(r.others("n00")...)
		for range 20 {
			time.Sleep(5 * time.Second)
			_, err := r.nodes["n01"].send(id)
			g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
		}
		close(paused)
		time.Sleep(time.Second)
		g.Expect(r.starts(id)).To(Equal(1))
		// Younger IDs have long been granted again.
		young := r.nodes["n01"].idWhere(func(p Pair) bool { return !p.Has("n00") })
		_, err := r.nodes["n01"].send(young)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// TestTwoNewcomersWhileTheOthersAreCutFromTheLog has two newcomers take the
// place of a pair that hears everybody but not of the newcomers, and then only
// itself.
func TestTwoNewcomersWhileTheOthersAreCutFromTheLog(t *testing.T) {
	inRig(t, 5, 3, func(r *rig) {
		g := NewWithT(t)
		old := r.order
		r.logUp = true // for the newcomers, which alone fold their joins
		a, b := r.start("z0"), r.start("z1")
		newcomers := []string{a.self.ID, b.self.ID}
		r.fold(newcomers...)
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
		// All but a pair hear of the newcomers.
		r.isolate(old[0], old[1])
		r.fold(old[2:]...)
		for range 100 {
			id := a.idWhere(func(p Pair) bool { return p.Has(newcomers[0]) && p.Has(newcomers[1]) })
			if t, _ := r.nodes[old[0]].service.start(id, 0); t.pair.Has(old[0]) && t.pair.Has(old[1]) {
				_, _ = r.nodes[old[0]].send(id)
				_, _ = a.send(id)
				g.Expect(r.starts(id)).To(BeNumerically("<=", 1))
			}
			time.Sleep(100 * time.Millisecond)
		}
		id := a.idWhere(func(p Pair) bool { return p.Has(newcomers[0]) && p.Has(newcomers[1]) })
		_, err := a.send(id)
		g.Expect(err).NotTo(HaveOccurred(), "the newcomers grant once the old pair cannot")
	})
}

// TestAllDaemonsReplaced keeps old IDs refused and lets new ones run after a
// replacement of every daemon in turn.
func TestAllDaemonsReplaced(t *testing.T) {
	inRig(t, 6, 3, func(r *rig) {
		g := NewWithT(t)
		id := ulid.Make()
		_, err := r.nodes["n00"].send(id)
		g.Expect(err).NotTo(HaveOccurred())
		for i, gone := range r.others() {
			n := r.start(r.nodes[gone].self.Zone)
			r.remove(gone)
			r.kill(gone)
			r.fold(r.order[i+1:]...)
			time.Sleep(5 * time.Second)
			_, err := n.send(ulid.Make())
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = n.send(id)
		}
		g.Expect(r.starts(id)).To(Equal(1))
	})
}

func TestUnprovenSaysWhetherAnEarlierSendMayHaveRun(t *testing.T) {
	inRig(t, 4, 2, func(r *rig) {
		g := NewWithT(t)
		n := r.nodes["n00"]
		r.kill(r.others("n00")...)
		_, err := n.send(ulid.Make())
		g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun), "the caller's ID")
		_, err = n.guard.Serve(r.ctx, &request.Request{})
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun), "an ID made here")
		_, err = n.guard.Serve(r.ctx, &request.Request{ID: "x"})
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun), "not a ULID")
		_, err = n.guard.Serve(r.ctx, &request.Request{ID: "x", Idempotent: true})
		g.Expect(err).NotTo(HaveOccurred())
		old := ulid.MustNew(ulid.Timestamp(time.Now().Add(-time.Hour)), ulid.DefaultEntropy())
		_, err = n.send(old)
		g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun), "past the window")
	})
}

// TestReadyMeansThatNewIDsAreGranted starts a fleet from nothing and then lets
// a daemon join it.
func TestReadyMeansThatNewIDsAreGranted(t *testing.T) {
	inRig(t, 6, 3, func(r *rig) {
		g := NewWithT(t)
		r.logUp = true
		fresh := newRig(t, r.ctx, 0, 3)
		fresh.logUp = true
		for range 6 {
			fresh.start("z" + string(rune('0'+len(fresh.order)%3)))
		}
		fresh.foldAll()
		n := fresh.nodes["n00"]
		g.Expect(n.service.Ready()).To(BeFalse())
		for !n.service.Ready() {
			time.Sleep(100 * time.Millisecond)
		}
		for range 100 {
			_, err := n.send(ulid.Make())
			g.Expect(err).NotTo(HaveOccurred())
		}
		late := r.start("z0")
		r.foldAll()
		// A heartbeat to find the base, three clock errors and the margin.
		time.Sleep(4 * time.Second)
		g.Expect(late.service.Ready()).To(BeTrue())
		_, err := late.send(ulid.Make())
		g.Expect(err).NotTo(HaveOccurred())
	})
}
