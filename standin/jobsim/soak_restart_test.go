package jobsim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// restartInPlaceStream is the stream of random numbers of restarts during a soak.
	restartInPlaceStream = 9
	// minRestartGap and maxRestartGap bound the time between two such restarts.
	minRestartGap, maxRestartGap = 500 * time.Millisecond, 2 * time.Second
	// restartsPerCut is one in how many of them is followed by a cut, which takes at most maxSoakCut.
	restartsPerCut = 2
	maxSoakCut     = 4 * time.Second
)

// restartInPlace has workers that serve the queue start again under their IDs, one after the other,
// and cuts some of them off soon after, until done is closed. Only polls are under way to the next
// process: a start might come too long after its job was shown as failed.
func (s *soak) restartInPlace(seed uint64, done <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, restartInPlaceStream))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(r.Int64N(int64(to-from))) }
	for {
		select {
		case <-done:
			return
		case <-time.After(between(minRestartGap, maxRestartGap)):
		}
		w := workerRestart{
			worker:   s.busiestWorker(),
			underWay: between(minUnderWay, maxUnderWay),
			down:     between(minDown, maxDown),
			untilCut: between(0, maxUntilCut),
			hang:     r.IntN(2) == 0,
		}
		if r.IntN(restartsPerCut) == 0 {
			w.cut = between(time.Second, maxSoakCut)
		}
		w.play(done)
	}
}

// busiestWorker returns the worker that serves the queue whose runs take most.
func (s *soak) busiestWorker() *Worker {
	return slices.MaxFunc(s.servingWorkers(), func(a, b *Worker) int {
		_, usedByA := a.load()
		_, usedByB := b.load()
		return cmp.Compare(usedByA.CPU, usedByB.CPU)
	})
}
