package jobsim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/fleetview"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore/logtest"
)

const (
	// leaseEndStream is the stream of random numbers of faults around the ends of leases.
	leaseEndStream = 6
	// leaseEndJobs is how many jobs come before workers are cut off, each of leaseEndTasks tasks.
	leaseEndJobs, leaseEndTasks = 12, 4
	// cutOffTime is how long workers are cut off: longer than a lease, and succeededTime for how
	// long those that a successor does not reach are: longer than it waits for their leases.
	cutOffTime, succeededTime = 6300 * time.Millisecond, 11500 * time.Millisecond
	// takeoverTime is how long after the first job workers are cut off: the leases of the first holder
	// end later then than those that earlier ones may have granted.
	takeoverTime = 2200 * time.Millisecond
	// minStartsAfterLapse is how many starts have to follow an expired lease for a schedule to
	// say something on them.
	minStartsAfterLapse = 10
)

// leaseEnds is a soak around the ends of leases.
type leaseEnds struct {
	*soak
	rand *rand.Rand
	jobs int
	last job.ID
}

// between draws a time.
func (l *leaseEnds) between(from, to time.Duration) time.Duration {
	return from + time.Duration(l.rand.Int64N(int64(to-from)))
}

// submitLong hands in jobs whose tasks take about a time.
func (l *leaseEnds) submitLong(duration time.Duration) {
	for range leaseEndJobs {
		l.jobs++
		l.last = job.ID(fmt.Sprintf("%016x", *soakSeed<<32|uint64(l.jobs)))
		step := soakStep{Count: leaseEndTasks, CPU: 500, MemoryMB: 64}
		l.checker.Submitted(l.last, []job.Resources{{CPU: step.CPU, MemoryMB: step.MemoryMB}})
		spec := strconv.FormatInt(l.between(duration*9/10, duration).Milliseconds(), 10)
		body, err := json.Marshal(map[string]any{"spec": spec, "steps": []soakStep{step}})
		l.g.Expect(err).NotTo(HaveOccurred())
		l.g.Eventually(func() int {
			status, _ := l.call(l.daemons[l.rand.IntN(len(l.daemons))], fasthttp.MethodPost, "/q/"+string(l.last), body)
			return status
		}, firstAcceptance, 100*time.Millisecond).Should(Equal(fasthttp.StatusOK))
	}
}

// holder returns the daemon that holds the pool.
func (l *leaseEnds) holder() *daemon {
	var j fleetview.JobView
	l.g.Eventually(func() int { return l.adminAnswer(l.daemons[0], "/v1/jobs/"+string(l.last), &j) }, firstAcceptance, 50*time.Millisecond).Should(Equal(fasthttp.StatusOK))
	for _, d := range l.daemons {
		if strings.HasPrefix(j.Daemon, d.name+"#") {
			return d
		}
	}
	l.g.Expect(j.Daemon).To(BeEmpty(), "a daemon of the test")
	return nil
}

// busyWorkers returns two in three of the workers of the pool that have runs: tasks that are
// started again go to workers that are reached.
func (l *leaseEnds) busyWorkers() []*Worker {
	busy := slices.DeleteFunc(slices.Clone(l.servingWorkers()), func(w *Worker) bool {
		_, used := w.load()
		return used.CPU == 0
	})
	l.rand.Shuffle(len(busy), func(i, k int) { busy[i], busy[k] = busy[k], busy[i] })
	return busy[:(2*len(busy)+2)/3]
}

// cutOff cuts workers off for longer than a lease, each at a moment of its own.
func (l *leaseEnds) cutOff() {
	for _, w := range l.busyWorkers() {
		time.Sleep(l.between(0, 300*time.Millisecond))
		w.SetUnreachable(true)
		defer w.SetUnreachable(false)
	}
	time.Sleep(cutOffTime)
}

// replaceHolder has another daemon follow the holder and not reach some busy workers, while
// reads that wait for records end empty though the log has not looked at their end.
func (l *leaseEnds) replaceHolder() string {
	d, kind := l.holder(), l.rand.IntN(4)
	l.store.Log.SetFault(l.earlyReads(""))
	for _, w := range l.busyWorkers() {
		w.HideFromSuccessors(true)
		defer w.HideFromSuccessors(false)
	}
	defer l.store.Log.SetFault(nil)
	end := time.Now().Add(succeededTime)
	time.Sleep(l.between(0, time.Second))
	for _, v := range l.views {
		v.ResetConnections()
	}
	switch kind {
	case 0:
		d.kill()
		l.g.Expect(d.start()).To(Succeed())
	case 1:
		d.signal(syscall.SIGSTOP)
		time.Sleep(l.between(1500*time.Millisecond, 4*time.Second))
		d.signal(syscall.SIGCONT)
	case 2:
		l.store.Log.SetFault(l.earlyReads(d.name))
		time.Sleep(l.between(2200*time.Millisecond, 3500*time.Millisecond))
		l.store.Log.SetFault(l.earlyReads(""))
	case 3:
		d.signal(syscall.SIGTERM)
		l.exited(d)
		l.g.Expect(d.start()).To(Succeed())
	}
	time.Sleep(time.Until(end))
	return d.name + " is " + []string{"killed", "paused", "cut off from the log", "stopped"}[kind]
}

// earlyReads returns faults of the log: one in two reads that wait looks for records
// only once, and a daemon gets no answer.
func (l *leaseEnds) earlyReads(silentFor string) func(logtest.Call) logtest.Fault {
	// The log calls it one call at a time.
	r := rand.New(rand.NewPCG(*soakSeed, leaseEndStream+1))
	return func(c logtest.Call) logtest.Fault {
		early := c.Op == logtest.Read && r.IntN(2) == 0
		return logtest.Fault{NoResponse: silentFor != "" && c.Client == silentFor, LooksEarly: early}
	}
}

// Guards against a task that runs twice around the end of a lease (TWICE): a run counted as ended
// when its lease had expired on a slow clock, though the worker may take as long as for a stop to
// end it. Workers are cut off from all daemons, and then from those that follow the holder.
func TestNoTaskRunsTwiceWhileWorkersAreCutOff(t *testing.T) {
	t.Logf("seed %d", *soakSeed)
	l := &leaseEnds{soak: newSoak(t, 0, IdleTimeouts{}), rand: rand.New(rand.NewPCG(*soakSeed, leaseEndStream))}
	l.startDaemonsWithViews(t)
	for _, w := range l.workers {
		w.SetLateAnswers(true)
	}
	l.submitLong(takeoverTime + cutOffTime)
	time.Sleep(l.between(takeoverTime, takeoverTime+time.Second))
	l.cutOff()
	l.submitLong(succeededTime + time.Second)
	time.Sleep(l.between(time.Second, 1500*time.Millisecond))
	t.Log(l.replaceHolder())
	gaps := l.checker.LapseGaps()
	t.Logf("%d starts after a lease had expired, the first %v after the end of the run", len(gaps), gaps[:min(3, len(gaps))])
	l.g.Expect(l.checker.Violations()).To(BeEmpty())
	l.g.Expect(len(gaps)).To(BeNumerically(">=", minStartsAfterLapse))
}
