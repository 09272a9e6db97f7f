package jobsim

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// restartStream is the stream of random numbers of restarts.
	restartStream = 8
	// restartRounds is how often workers restart and are cut off.
	restartRounds = 2
	// longestAllowed is the longest lease that workers allow here: longer than any that is granted.
	longestAllowed = 10 * time.Second
	// minDown and maxDown bound how long a restart takes.
	minDown, maxDown = 500 * time.Millisecond, 700 * time.Millisecond
	// minUnderWay and maxUnderWay bound for how long before a restart orders are under way to the next
	// process: for longer than a poll waits.
	minUnderWay, maxUnderWay = 1100 * time.Millisecond, 1600 * time.Millisecond
	// minUntilSeries and maxUntilSeries bound the time from one restart to the next one.
	minUntilSeries, maxUntilSeries = 1500 * time.Millisecond, 2500 * time.Millisecond
	// maxStrayDelay is how long after its start a process carries out an order to an earlier one.
	maxStrayDelay = 5 * time.Second
	// minUntilCut and maxUntilCut bound the time from a restart to the cut, and restartCutTime is how
	// long that lasts: longer than a successor of the holder waits for the leases that it knows of.
	minUntilCut, maxUntilCut = 500 * time.Millisecond, 2 * time.Second
	restartCutTime           = 9 * time.Second
	// restartTaskTime is the longest run time of the tasks that last beyond a cut.
	restartTaskTime = 11 * time.Second
	// shortTaskTime is the longest run time of tasks that end between a restart and a cut.
	shortTaskTime = 300 * time.Millisecond
	// minStrayLeases is how many orders that name the end of a lease have to be carried out by a later
	// process for a schedule to say something on them, and minStartsAfterCut how many starts have to
	// follow an expired lease.
	minStrayLeases, minStartsAfterCut = 3, 5
)

// restarts is a soak whose workers start again under their IDs and are cut off soon after.
type restarts struct{ leaseEnds }

// workerRestart is what happens to a worker in a round, each time from the one before on.
type workerRestart struct {
	worker *Worker
	// orders are under way to the next process for this long before the worker ends.
	underWay, down, untilCut time.Duration
	// hang has connections hang meanwhile instead of being refused.
	hang bool
	// cut is for how long the worker is cut off, or 0.
	cut time.Duration
	// untilNext, unless it is 0, is when the worker ends and starts again while it is cut off.
	untilNext time.Duration
	// maxStartDelay is how long after its start the next process carries out a start to the earlier one.
	maxStartDelay time.Duration
}

// play restarts the worker and cuts it off, but no longer than until done is closed.
func (r workerRestart) play(done <-chan struct{}) {
	r.worker.DelayOrders(maxStrayDelay, r.maxStartDelay)
	time.Sleep(r.underWay)
	r.worker.RestartInPlace(r.down, r.hang)
	if r.cut == 0 {
		return
	}
	time.Sleep(r.down + r.untilCut)
	end := time.After(r.cut)
	r.worker.SetUnreachable(true)
	defer r.worker.SetUnreachable(false)
	if r.untilNext > 0 {
		time.Sleep(r.untilNext)
		r.worker.RestartInPlace(r.down, r.hang)
	}
	select {
	case <-done:
	case <-end:
	}
}

// drawRestart draws a restart of a worker.
func (l *restarts) drawRestart(w *Worker) workerRestart {
	r := workerRestart{
		worker:        w,
		underWay:      l.between(minUnderWay, maxUnderWay),
		down:          l.between(minDown, maxDown),
		untilCut:      l.between(minUntilCut, maxUntilCut),
		hang:          l.rand.IntN(2) == 0,
		cut:           restartCutTime,
		maxStartDelay: maxStrayDelay,
	}
	if l.rand.IntN(3) == 0 {
		r.untilNext = l.between(500*time.Millisecond, 4*time.Second)
	}
	return r
}

// restartInSeries restarts some workers of the pool once before those of the round, while the
// orders of before are under way.
func (l *restarts) restartInSeries(workers []*Worker) {
	for _, w := range workers {
		w.DelayOrders(maxStrayDelay, maxStrayDelay)
	}
	time.Sleep(l.between(minUnderWay, maxUnderWay))
	for _, w := range workers {
		w.RestartInPlace(l.between(minDown, maxDown), l.rand.IntN(2) == 0)
	}
	time.Sleep(l.between(minUntilSeries, maxUntilSeries))
}

// round restarts half of the workers of the pool and cuts them off, and tells what happened to the
// holder meanwhile.
func (l *restarts) round(loseHolder bool) string {
	workers := slices.Clone(l.servingWorkers())
	l.rand.Shuffle(len(workers), func(i, k int) { workers[i], workers[k] = workers[k], workers[i] })
	workers = workers[:len(workers)/2]
	l.restartInSeries(workers[:1])
	holder := l.holder()
	var rounds sync.WaitGroup
	for _, w := range workers {
		r := l.drawRestart(w)
		rounds.Go(func() { r.play(nil) })
	}
	// Starts that are under way to a worker as it restarts would have the holder wait for longer.
	time.Sleep(maxUnderWay + maxDown)
	l.submitLong(shortTaskTime)
	l.submitLong(restartTaskTime)
	description := "the holder stays"
	if loseHolder {
		time.Sleep(l.between(0, maxUntilCut))
		description = l.lose(holder)
	}
	rounds.Wait()
	return description
}

// lose kills, pauses or stops the holder.
func (l *restarts) lose(d *daemon) string {
	switch l.rand.IntN(3) {
	case 0:
		d.kill()
		l.g.Expect(d.start()).To(Succeed())
		return d.name + " is killed"
	case 1:
		d.signal(syscall.SIGSTOP)
		time.Sleep(l.between(1500*time.Millisecond, 4*time.Second))
		d.signal(syscall.SIGCONT)
		return d.name + " is paused"
	default:
		d.signal(syscall.SIGTERM)
		l.exited(d)
		l.g.Expect(d.start()).To(Succeed())
		return d.name + " is stopped"
	}
}

// strayOrders returns how many orders later processes of the workers carried out, and how many of
// them named the end of a lease.
func (s *soak) strayOrders() (carriedOut, leases int) {
	for _, w := range s.workers {
		c, n := w.StrayOrders()
		carriedOut, leases = carriedOut+c, leases+n
	}
	return carriedOut, leases
}

// Guards against a task that runs twice since a worker that started again under its ID carries out
// orders that were meant for its earlier process (TWICE): it takes a longer lease than the holder
// counts with and is cut off, or it starts a run that counts as ended.
func TestNoTaskRunsTwiceWhileRestartedWorkersAreCutOff(t *testing.T) {
	t.Logf("seed %d", *soakSeed)
	l := &restarts{leaseEnds{soak: newSoak(t, 0, IdleTimeouts{}), rand: rand.New(rand.NewPCG(*soakSeed, restartStream))}}
	l.allowedLease = longestAllowed
	for _, w := range l.workers {
		w.AllowLease(longestAllowed)
	}
	l.startDaemonsWithViews(t)
	l.submitLong(restartTaskTime)
	time.Sleep(takeoverTime)
	for round := range restartRounds {
		t.Log(l.round(round > 0))
	}
	orders, leases := l.strayOrders()
	gaps := l.checker.LapseGaps()
	t.Logf("%d orders carried out by a later process, %d of them with a lease; %d starts after a lease had expired", orders, leases, len(gaps))
	l.g.Expect(l.checker.Violations()).To(BeEmpty(), strings.Join(l.checker.Violations(), "\n"))
	l.g.Expect(leases).To(BeNumerically(">=", minStrayLeases))
	l.g.Expect(len(gaps)).To(BeNumerically(">=", minStartsAfterCut))
}
