package jobsim

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/logstore/logtest"
)

var (
	soakSeed = flag.Uint64("soak-seed", 1, "seed of the soak's faults and load")
	soakFor  = flag.Duration("soak-for", 15*time.Second, "how long faults and load go on")
)

const (
	soakDaemons = 3
	soakWorkers = 6
	soakHost    = "soak.example"
	// giveUp is how long work may take to be done once nothing is broken any
	// more. It only ends a test that hangs.
	giveUp = 2 * time.Minute
)

// soak is a small deployment of real daemons.
type soak struct {
	g       *WithT
	store   *Store
	ledger  *Ledger
	workers []*Worker
	daemons []*daemon
	client  *fasthttp.Client

	mu       sync.Mutex
	accepted []string
	refused  []string
}

func newSoak(t *testing.T) *soak {
	g := NewWithT(t)
	store, err := StartStore()
	g.Expect(err).NotTo(HaveOccurred())
	s := &soak{g: g, store: store, ledger: NewLedger(), client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 64}}
	// The logs are read before their directory goes.
	dir := t.TempDir()
	t.Cleanup(func() { s.close(t) })
	g.Expect(store.Put("op", "config", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r", "host": soakHost, "pathPrefix": "/q/", "service": "p", "maxAttempts": 3}},
		"services": []any{map[string]any{"name": "p", "admissionCheck": true}},
	})).To(Succeed())
	for i := range soakWorkers {
		w, err := StartWorker(fmt.Sprintf("w%d", i), "p", store, s.ledger)
		g.Expect(err).NotTo(HaveOccurred())
		s.workers = append(s.workers, w)
	}
	for i := range soakDaemons {
		d, err := newDaemon(dir, fmt.Sprintf("d%d", i), store.Address())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.start()).To(Succeed())
		s.daemons = append(s.daemons, d)
	}
	return s
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

// call sends a request to a daemon. It returns 0 when nothing came back.
func (s *soak) call(d *daemon, method, path string, body []byte) (status int, answer []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + d.callers + path)
	req.Header.SetHost(soakHost)
	req.UseHostHeader = true
	req.Header.Set("X-Deadline-Ms", "1500")
	req.SetBody(body)
	if err := s.client.DoTimeout(req, resp, 2*time.Second); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), bytes.Clone(resp.Body())
}

// submit hands in a job until it is accepted, or refused by answers that leave no
// doubt.
func (s *soak) submit(r *rand.Rand, id string) {
	body := fmt.Appendf(nil, `{"spec":"%d","steps":[{"count":%d,"cpu":500,"taskMemoryMb":64},{"count":1,"cpu":1000,"after":[0]}]}`, 20+r.IntN(400), 1+r.IntN(3))
	doubt := false
	for range 12 {
		status, _ := s.call(s.daemons[r.IntN(len(s.daemons))], fasthttp.MethodPost, "/q/"+id, body)
		switch status {
		case fasthttp.StatusOK:
			s.mu.Lock()
			s.accepted = append(s.accepted, id)
			s.mu.Unlock()
			return
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		default:
			doubt = true
		}
		time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
	}
	if !doubt {
		s.mu.Lock()
		s.refused = append(s.refused, id)
		s.mu.Unlock()
	}
}

// load hands in jobs until done is closed, and returns once each has its answer.
func (s *soak) load(seed uint64, done <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 2))
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for n := uint64(0); ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(20+r.IntN(80)) * time.Millisecond):
		}
		own := rand.New(rand.NewPCG(seed, 1000+n))
		jobs.Go(func() { s.submit(own, fmt.Sprintf("%016x", seed<<32|n)) })
	}
}

// fault breaks something and mends it again.
func (s *soak) fault(r *rand.Rand) string {
	d := s.daemons[r.IntN(len(s.daemons))]
	length := time.Duration(300+r.IntN(2000)) * time.Millisecond
	what := ""
	switch r.IntN(6) {
	case 0:
		what = "kill " + d.name
		d.kill()
		time.Sleep(length / 4)
		s.g.Expect(d.start()).To(Succeed())
	case 1:
		what = "pause " + d.name
		d.signal(syscall.SIGSTOP)
		time.Sleep(2 * length)
		d.signal(syscall.SIGCONT)
	case 2:
		what = "store refuses"
		s.store.Log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
		time.Sleep(length)
	case 3:
		what = "store carries out and does not answer"
		s.store.Log.SetFault(func(c logtest.Call) logtest.Fault {
			return logtest.Fault{NoResponse: true, Executed: c.Op == logtest.Append}
		})
		time.Sleep(length)
	case 4:
		what = "store is slow"
		s.store.Log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Delay: 200 * time.Millisecond} })
		time.Sleep(length)
	case 5:
		w := s.workers[r.IntN(len(s.workers))]
		what = "restart " + w.id
		w.Restart()
	}
	s.store.Log.SetFault(nil)
	return what
}

// state returns a job's state, or "" when nobody tells.
func (s *soak) state(id string) string {
	for _, d := range s.daemons {
		status, body := s.call(d, fasthttp.MethodGet, "/q/"+id, nil)
		var a struct {
			State string `json:"state"`
		}
		if status == fasthttp.StatusOK && json.Unmarshal(body, &a) == nil {
			return a.State
		}
	}
	return ""
}

// await waits until every accepted job is completed. It returns those that are not.
func (s *soak) await() []string {
	open := append([]string(nil), s.accepted...)
	for end := time.Now().Add(giveUp); len(open) > 0 && time.Now().Before(end); {
		var left []string
		for _, id := range open {
			if st := s.state(id); st != "completed" {
				left = append(left, id+" "+st)
			}
		}
		if len(left) == 0 {
			return nil
		}
		for i := range left {
			left[i] = left[i][:16]
		}
		open = left
		time.Sleep(200 * time.Millisecond)
	}
	return open
}

// Whatever breaks, every accepted job is done, no refused one ever runs, and no
// task runs twice.
func TestSoakOfDaemonsWorkersAndStore(t *testing.T) {
	t.Logf("seed %d", *soakSeed)
	s := newSoak(t)
	r := rand.New(rand.NewPCG(*soakSeed, 1))
	done := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { s.load(*soakSeed, done) })
	time.Sleep(2 * time.Second)
	for end := time.Now().Add(*soakFor); time.Now().Before(end); {
		t.Log(s.fault(r))
		time.Sleep(time.Duration(200+r.IntN(1200)) * time.Millisecond)
	}
	close(done)
	load.Wait()
	open := s.await()
	t.Logf("%d accepted, %d refused", len(s.accepted), len(s.refused))
	s.g.Expect(open).To(BeEmpty(), "accepted jobs that are not completed")
	s.g.Expect(s.ledger.Violations()).To(BeEmpty())
	for _, id := range s.refused {
		s.g.Expect(s.ledger.Started(id)).To(BeZero(), "%s was refused", id)
	}
	s.g.Expect(s.accepted).NotTo(BeEmpty())
}
