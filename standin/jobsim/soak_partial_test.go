package jobsim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore/logtest"
)

const (
	// partialOutageStream is the stream of random numbers of partial outages, and
	// partialOutageEvery after how many other faults, in the mean, one comes.
	partialOutageStream = 5
	partialOutageEvery  = 3
	// pendingLag is how old a number of pending jobs may be.
	pendingLag = 2 * time.Second
	// pendingChecks is how often that number is checked, each pendingInterval after workers
	// have become unreachable.
	pendingChecks   = 3
	pendingInterval = 2 * time.Second
	// settleTime is how long daemons that have just started get to find the workers.
	settleTime = 3 * time.Second
	// burstJobs is the number of jobs that come as they do, and burstStream the first of their
	// streams of random numbers, which is part of their IDs too.
	burstJobs   = 40
	burstStream = 1 << 24
)

// silencePartOfTheLog has some partitions of the pool that serves the queue answer nothing, and
// sends the queue to the other pool just after callers have become impatient: they hand in jobs
// again that only the memory of a holder has. Every job that is answered 200 must end.
func (s *soak) silencePartOfTheLog(r *rand.Rand) string {
	topic, parts := "jobs."+s.pool, map[int]bool{1: true, []int{0, 2, 3, 4}[r.IntN(4)]: true}
	s.store.Log.SetFault(func(c logtest.Call) logtest.Fault {
		return logtest.Fault{NoResponse: c.Partition.Topic == topic && parts[c.Partition.Part]}
	})
	s.impatient.Store(true)
	time.Sleep(time.Duration(50+r.IntN(300)) * time.Millisecond)
	s.move()
	time.Sleep(time.Duration(200+r.IntN(600)) * time.Millisecond)
	s.impatient.Store(false)
	time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
	s.store.Log.SetFault(nil)
	return fmt.Sprintf("partitions %v of %s are silent while the queue moves", parts, topic)
}

// checkPendingJobs has half of the workers that serve the queue, which are idle, answer nothing as
// a burst of jobs comes, so that many first starts reach none of them, and compares the number of
// pending jobs that each daemon gives with that of the accepted ones that no worker has started.
func (s *soak) checkPendingJobs(t *testing.T) {
	time.Sleep(settleTime)
	serving := s.servingWorkers()
	for _, w := range serving[:len(serving)/2] {
		w.SetUnreachable(true)
		defer w.SetUnreachable(false)
	}
	var burst sync.WaitGroup
	defer burst.Wait()
	for n := range uint64(burstJobs) {
		r := rand.New(rand.NewPCG(*soakSeed, burstStream+n))
		burst.Go(func() { s.submit(r, job.ID(fmt.Sprintf("%016x", *soakSeed<<32|burstStream|n))) })
	}
	for range pendingChecks {
		time.Sleep(pendingInterval)
		for _, d := range s.daemons {
			s.checkPendingAt(t, d)
		}
	}
}

// checkPendingAt checks the number of pending jobs that a daemon gives.
func (s *soak) checkPendingAt(t *testing.T, d *daemon) {
	acceptedBefore := time.Now().Add(-pendingLag)
	status, body := s.call(d, fasthttp.MethodGet, "/q/", nil)
	s.g.Expect(status).To(Equal(fasthttp.StatusOK))
	var a struct {
		Pending int `json:"pending"`
	}
	s.g.Expect(json.Unmarshal(body, &a)).To(Succeed())
	notStarted := s.notStarted(acceptedBefore)
	t.Logf("%s gives %d jobs as pending, %d have not started", d.name, a.Pending, notStarted)
	s.g.Expect(a.Pending).To(BeNumerically(">=", notStarted), "pending jobs at %s", d.name)
}

// notStarted returns how many jobs that were accepted before a moment no worker has started.
func (s *soak) notStarted(acceptedBefore time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, at := range s.acceptedAt {
		if at.Before(acceptedBefore) && s.checker.Started(id) == 0 {
			n++
		}
	}
	return n
}
