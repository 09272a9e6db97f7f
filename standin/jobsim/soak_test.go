package jobsim

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore/logtest"
)

var (
	soakSeed     = flag.Uint64("soak-seed", 1, "seed of the soak's faults and load")
	soakDuration = flag.Duration("soak-for", 15*time.Second, "how long faults are injected under load")
)

const (
	// soakDaemons are more than there are duties: the others carry orders.
	soakDaemons = 5
	soakWorkers = 6
	// movedWorkers is how many workers the pool has to which the queue is moved at times.
	movedWorkers = 3
	// jobsPerRepeat is one in how many accepted jobs is handed in again, and maxRepeatDelay
	// how much later.
	jobsPerRepeat  = 4
	maxRepeatDelay = 3 * time.Second
	// maxEntryReturn is how long after an outage of the store the entries of workers that
	// have lapsed are back.
	maxEntryReturn = 1800 * time.Millisecond
	soakHost       = "soak.example"
	// callTimeout is how long callers wait for an answer, and impatientTimeout how long they
	// do while they are impatient.
	callTimeout      = 2 * time.Second
	impatientTimeout = 150 * time.Millisecond
	// completionTimeout bounds the wait for accepted jobs after the last fault. It
	// only ends a test that hangs.
	completionTimeout = 2 * time.Minute
	// jobsPerDeadlyJob is one in how many jobs has a deadly task.
	jobsPerDeadlyJob = 40
	// minShrunkPercent and maxShrunkPercent bound what is left of a capacity that
	// shrinks.
	minShrunkPercent, maxShrunkPercent = 10, 40
	// minJudgedShrunk is how many starts have to be judged by a shrunk capacity for
	// the soak to say something on it.
	minJudgedShrunk = 10
	// taskDurationLimit bounds the run time of a task.
	taskDurationLimit = 420 * time.Millisecond
)

// soak is a small deployment of real daemons.
type soak struct {
	g       *WithT
	store   *Store
	checker *RunChecker
	workers []*Worker
	daemons []*daemon
	// views are the stores of daemons that do not use the one of all.
	views  []*Store
	client *fasthttp.Client
	// allowedLease is the longest lease that workers allow according to the daemons' settings.
	allowedLease time.Duration

	// version is that of the configuration in force.
	version int

	mu sync.Mutex
	// pool is the one to which the queue was sent last.
	pool     string
	accepted []job.ID
	rejected []job.ID
	// acceptedAt is when each accepted job was.
	acceptedAt map[job.ID]time.Time
	// impatient is set while callers give up a request after impatientTimeout.
	impatient atomic.Bool
}

// configure has a configuration send the queue to a pool. Each one gives its route another
// name.
func (s *soak) configure(pool string) {
	s.version++
	s.mu.Lock()
	s.pool = pool
	s.mu.Unlock()
	s.g.Expect(s.store.Put("op", "config", map[string]any{
		"version":  s.version,
		"routes":   []any{7, map[string]any{"name": fmt.Sprintf("r%d", s.version), "host": soakHost, "pathPrefix": "/q/", "service": pool, "maxAttempts": 3}},
		"services": []any{map[string]any{"name": "p", "admissionCheck": false}, map[string]any{"name": "q", "admissionCheck": false}},
	})).To(Succeed())
}

// newSoak starts a deployment of some daemons, whose store and workers close idle
// connections.
func newSoak(t *testing.T, daemons int, idle IdleTimeouts) *soak {
	g := NewWithT(t)
	store, err := StartStore(idle)
	g.Expect(err).NotTo(HaveOccurred())
	s := &soak{g: g, store: store, checker: NewRunChecker(), allowedLease: maxLease, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 64}, acceptedAt: map[job.ID]time.Time{}}
	// close reads the logs, so it must run before the cleanup of the directory removes
	// them: cleanups run in reverse order.
	dir := t.ArtifactDir()
	t.Cleanup(func() { s.close(t) })
	s.configure("p")
	for i := range soakWorkers + movedWorkers {
		pool := "p"
		if i >= soakWorkers {
			pool = "q"
		}
		w, err := StartWorker(fmt.Sprintf("w%d", i), pool, store, s.checker, *soakSeed<<8|uint64(i))
		g.Expect(err).NotTo(HaveOccurred())
		s.workers = append(s.workers, w)
	}
	for i := range daemons {
		d, err := newDaemon(dir, fmt.Sprintf("d%d", i), store.Address(), s.allowedLease)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.start()).To(Succeed())
		s.daemons = append(s.daemons, d)
	}
	return s
}

// startDaemonsWithViews starts daemons of which each is another client of the log, by its name.
func (s *soak) startDaemonsWithViews(t *testing.T) {
	for i := range soakDaemons {
		name := fmt.Sprint("d", i)
		view, err := s.store.View(name)
		s.g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = view.Close() })
		d, err := newDaemon(t.ArtifactDir(), name, view.Address(), s.allowedLease)
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(d.start()).To(Succeed())
		s.views, s.daemons = append(s.views, view), append(s.daemons, d)
	}
}

func (s *soak) close(t *testing.T) {
	for _, d := range s.daemons {
		d.signal(syscall.SIGCONT)
		d.kill()
		if t.Failed() {
			if data, err := os.ReadFile(d.logFile); err == nil {
				t.Logf("%s: %s", d.name, data[max(0, len(data)-6000):])
			}
		}
	}
	for _, w := range s.workers {
		if err := w.Close(); err != nil {
			t.Log(err)
		}
	}
	if err := s.store.Close(); err != nil {
		t.Log(err)
	}
}

// call sends a request to a daemon. It returns status 0 when there is no response.
func (s *soak) call(d *daemon, method, path string, body []byte) (status int, response []byte) {
	return s.callWithKey(d, "", method, path, body)
}

// callWithKey is like call, with the key of a customer unless it is empty.
func (s *soak) callWithKey(d *daemon, key, method, path string, body []byte) (status int, response []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + d.callerAddress + path)
	req.Header.SetHost(soakHost)
	req.UseHostHeader = true
	req.Header.Set("X-Deadline-Ms", "1500")
	if key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Token "+key)
	}
	req.SetBody(body)
	timeout := callTimeout
	if s.impatient.Load() {
		timeout = impatientTimeout
	}
	if err := s.client.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), bytes.Clone(resp.Body())
}

// submit tries up to 12 times to submit a job. The job counts as rejected only when
// every attempt got status 503 or 429, so that none can have been accepted.
func (s *soak) submit(r *rand.Rand, id job.ID) {
	body := s.prepareJob(r, id)
	mayBeAccepted := false
	for range 12 {
		status, _ := s.call(s.daemons[r.IntN(len(s.daemons))], fasthttp.MethodPost, "/q/"+string(id), body)
		switch status {
		case fasthttp.StatusOK:
			s.mu.Lock()
			s.accepted = append(s.accepted, id)
			s.acceptedAt[id] = time.Now()
			s.mu.Unlock()
			s.repeat(r, id, body)
			return
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		default:
			mayBeAccepted = true
		}
		time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
	}
	if !mayBeAccepted {
		s.mu.Lock()
		s.rejected = append(s.rejected, id)
		s.mu.Unlock()
	}
}

// repeat hands in some accepted jobs again.
func (s *soak) repeat(r *rand.Rand, id job.ID, body []byte) {
	if r.IntN(jobsPerRepeat) > 0 {
		return
	}
	time.Sleep(time.Duration(r.Int64N(int64(maxRepeatDelay))))
	s.call(s.daemons[r.IntN(len(s.daemons))], fasthttp.MethodPost, "/q/"+string(id), body)
}

// submitJobs submits jobs until done is closed, and returns once every submission
// has ended.
func (s *soak) submitJobs(seed uint64, done <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 2))
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for n := uint64(0); ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(20+r.IntN(80)) * time.Millisecond):
		}
		jobRand := rand.New(rand.NewPCG(seed, 1000+n))
		jobs.Go(func() { s.submit(jobRand, job.ID(fmt.Sprintf("%016x", seed<<32|n))) })
	}
}

// injectFault injects one random fault, clears it and returns its description.
func (s *soak) injectFault(r *rand.Rand) string {
	d := s.daemons[r.IntN(len(s.daemons))]
	duration := time.Duration(300+r.IntN(2000)) * time.Millisecond
	description := ""
	switch r.IntN(9) {
	case 0:
		description = "kill " + d.name
		d.kill()
		time.Sleep(duration / 4)
		s.g.Expect(d.start()).To(Succeed())
	case 1:
		description = "pause " + d.name
		d.signal(syscall.SIGSTOP)
		time.Sleep(2 * duration)
		d.signal(syscall.SIGCONT)
	case 2:
		description = "store rejects requests"
		s.store.Log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
		time.Sleep(duration)
	case 3:
		description = "store executes appends but does not respond"
		s.store.Log.SetFault(func(c logtest.Call) logtest.Fault {
			return logtest.Fault{NoResponse: true, Executed: c.Op == logtest.Append}
		})
		time.Sleep(duration)
	case 4:
		description = "store is slow"
		s.store.Log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Delay: 200 * time.Millisecond} })
		time.Sleep(duration)
	case 5:
		w := s.workers[r.IntN(len(s.workers))]
		description = "restart " + w.id
		w.Restart()
	case 6:
		description = "another writer leaves malformed entries"
		s.store.PutMalformed()
	case 7:
		description = "store rejects requests, and the workers' entries lapse"
		s.store.Log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
		time.Sleep(duration)
		for _, w := range s.workers {
			w.SetSilent(true)
		}
		s.store.Log.SetFault(nil)
		time.Sleep(time.Duration(r.Int64N(int64(maxEntryReturn))))
		for _, w := range s.workers {
			w.SetSilent(false)
		}
	case 8:
		s.move()
		description = "the queue moves to pool " + s.pool
	}
	s.store.Log.SetFault(nil)
	return description
}

// jobState returns a job's state, or "" when no daemon returns it.
func (s *soak) jobState(id job.ID) string {
	for _, d := range s.daemons {
		status, body := s.call(d, fasthttp.MethodGet, "/q/"+string(id), nil)
		var a struct {
			State string `json:"state"`
		}
		if status == fasthttp.StatusOK && json.Unmarshal(body, &a) == nil {
			if a.State == stateFailed {
				s.checker.ShownFailed(id)
			}
			return a.State
		}
	}
	return ""
}

// awaitEnds waits until every accepted job has ended, the jobs with a deadly task as
// failed. It returns the jobs that have not after completionTimeout.
func (s *soak) awaitEnds() []job.ID {
	waiting := slices.Clone(s.accepted)
	for end := time.Now().Add(completionTimeout); len(waiting) > 0 && time.Now().Before(end); {
		waiting = slices.DeleteFunc(waiting, s.hasEnded)
		time.Sleep(200 * time.Millisecond)
	}
	return waiting
}

// hasEnded reports whether a job has ended as it should, or as failed, which the
// checker judges.
func (s *soak) hasEnded(id job.ID) bool {
	state := s.jobState(id)
	return state == stateFailed || state == stateCompleted && !s.checker.Deadly(id)
}

// Injects faults into daemons, workers and the store under load, while capacities
// shrink and grow, some jobs have a task that crashes its workers, and workers start
// again under their IDs and carry out orders to their earlier processes. Every
// accepted job must end, no rejected job may run, and no task may run twice at
// the same time or again after its success was acknowledged. A deadly task must be
// given up, and no start may bring a worker over its capacity. Whether the jobs that are
// given up are those with a deadly task is the matter of TestSoakGivesUpNoInnocentJob.
func TestSoakOfDaemonsWorkersAndStore(t *testing.T) {
	s := runSoak(t, (*soak).restartInPlace)
	s.g.Expect(s.checker.Violations()).To(BeEmpty())
	for _, id := range s.rejected {
		s.g.Expect(s.checker.Started(id)).To(BeZero(), "%s was rejected", id)
	}
	s.g.Expect(s.accepted).NotTo(BeEmpty())
	s.g.Expect(s.checker.JudgedShrunk()).To(BeNumerically(">=", minJudgedShrunk), "starts that a shrunk capacity limited")
	s.g.Expect(s.relayedOrders()).To(BeNumerically(">", 0), "orders that went through other daemons")
}

// relayedOrders returns how many orders the daemons have carried out for others, since
// each was started.
func (s *soak) relayedOrders() int {
	sum := 0
	for _, d := range s.daemons {
		_, page, err := s.client.Get(nil, "http://"+d.adminAddress+"/metrics")
		s.g.Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(page)) {
			if count, ok := strings.CutPrefix(strings.TrimSpace(line), "greengaged_relay_orders_carried_out "); ok {
				n, err := strconv.Atoi(count)
				s.g.Expect(err).NotTo(HaveOccurred())
				sum += n
			}
		}
	}
	return sum
}

// Guards against jobs that are shown as failed because of crashes which the task of
// another job caused.
func TestSoakGivesUpNoInnocentJob(t *testing.T) {
	s := runSoak(t)
	s.g.Expect(s.checker.InnocentFailed()).To(BeEmpty(), "jobs without a deadly task that are shown as failed")
}

// runSoak runs a soak until all accepted jobs have ended, which it expects. Further faults are injected
// until their channel is closed.
func runSoak(t *testing.T, further ...func(s *soak, seed uint64, done <-chan struct{})) *soak {
	t.Logf("seed %d", *soakSeed)
	s := newSoak(t, soakDaemons, IdleTimeouts{})
	r := rand.New(rand.NewPCG(*soakSeed, 1))
	lifecycle := rand.New(rand.NewPCG(*soakSeed, lifecycleStream))
	partial := rand.New(rand.NewPCG(*soakSeed, partialOutageStream))
	done := make(chan struct{})
	s.checkPendingJobs(t)
	var load sync.WaitGroup
	load.Go(func() { s.submitJobs(*soakSeed, done) })
	load.Go(func() { s.changeCapacities(*soakSeed, done) })
	load.Go(func() { s.watchDeadlyJobs(done) })
	for _, inject := range further {
		load.Go(func() { inject(s, *soakSeed, done) })
	}
	time.Sleep(2 * time.Second)
	for end := time.Now().Add(*soakDuration); time.Now().Before(end); {
		at := time.Now().UTC().Format(timeFormat)
		t.Log(at, s.injectFault(r))
		time.Sleep(time.Duration(200+r.IntN(1200)) * time.Millisecond)
		if lifecycle.IntN(lifecycleFaultEvery) == 0 {
			t.Log(time.Now().UTC().Format(timeFormat), s.injectLifecycleFault(lifecycle))
		}
		if partial.IntN(partialOutageEvery) == 0 {
			t.Log(time.Now().UTC().Format(timeFormat), s.silencePartOfTheLog(partial))
		}
	}
	close(done)
	load.Wait()
	notEnded := s.awaitEnds()
	orders, leases := s.strayOrders()
	t.Logf("%d orders carried out by a later process of their worker, %d of them with a lease", orders, leases)
	t.Logf("%d accepted, %d rejected; %s", len(s.accepted), len(s.rejected), s.checker.Summary())
	t.Logf("without a deadly task and shown as failed: %v", s.checker.InnocentFailed())
	s.g.Expect(notEnded).To(BeEmpty(), "accepted jobs that have not ended")
	return s
}
