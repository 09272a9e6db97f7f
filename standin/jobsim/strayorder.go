package jobsim

import (
	"math/rand/v2"
	"time"
)

const (
	// ordersPerPrompt is one in how many orders is not under way for so long that the next process
	// of the worker carries it out.
	ordersPerPrompt = 4
	// maxPromptDelay is how long after its start a process carries out the orders that waited for it.
	maxPromptDelay = 250 * time.Millisecond
	// maxOrderDelay is how long after it was sent an order may be carried out: less than a platform allows.
	maxOrderDelay = 12 * time.Second
)

// strays are the orders to a worker that its next process carries out, though they were sent to the
// present one. mu of the worker guards it.
type strays struct {
	// rand is a source of its own, so that a seed draws the same other events without it.
	rand *rand.Rand
	// collecting is set while orders are under way until the next process has started.
	collecting bool
	// maxPollDelay and maxOtherDelay are the longest times from the start of that process until it
	// carries out a poll and another order. Orders whose time is 0 are not under way for so long.
	maxPollDelay, maxOtherDelay time.Duration
	// hanging is set while a worker is down whose connections hang.
	hanging bool
	// carriedOut counts the orders that a later process carried out, and leases those of them that
	// named the end of a lease.
	carriedOut, leases int
}

// strayOrder is an order that reaches a later process than the one it was sent to.
type strayOrder struct {
	// sentTo is the start of the process it was sent to.
	sentTo time.Time
	// delay is the time from the start of the later process until that carries the order out.
	delay time.Duration
	fate  strayFate
}

// strayFate says what becomes of the connection of a stray order.
type strayFate int

const (
	// strayAnswered means that the order is answered where the connection lasts.
	strayAnswered strayFate = iota
	// strayUnanswered means that it is closed once the order has been carried out.
	strayUnanswered
	// strayDropped means that it is closed at once.
	strayDropped
	strayFates
)

// DelayOrders has most orders be under way until the worker has started again, after which they
// take at most a time, polls another one than starts and stops. Orders whose time is 0 are not
// delayed. Some that take no longer than maxPromptDelay are answered.
func (w *Worker) DelayOrders(maxPollDelay, maxOtherDelay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.strays.collecting, w.strays.maxPollDelay, w.strays.maxOtherDelay = true, maxPollDelay, maxOtherDelay
}

// RestartInPlace has the worker end without a word, and start again under its ID and at its address
// after a time in which connections hang or are refused. It has no effect on a worker that is down.
func (w *Worker) RestartInPlace(down time.Duration, hang bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.endProcess(down, true)
	w.comeback = comebackSame
	w.strays.hanging = hang
	if !hang {
		w.listener.breakOff()
	}
}

// StrayOrders returns how many orders were carried out by a later process of the worker than the one
// they were sent to, and how many of them named the end of a lease.
func (w *Worker) StrayOrders() (carriedOut, leases int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.strays.carriedOut, w.strays.leases
}

// drawStray draws whether an order that arrives now reaches a later process.
func (w *Worker) drawStray(path string) (strayOrder, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &w.strays
	limit := s.maxOtherDelay
	if path == pollPath {
		limit = s.maxPollDelay
	}
	if !s.collecting || limit == 0 || w.unreachable.Load() || s.rand.IntN(ordersPerPrompt) == 0 {
		return strayOrder{}, false
	}
	o := strayOrder{sentTo: w.startTime, fate: strayFate(s.rand.IntN(int(strayFates)))}
	if o.fate == strayAnswered || s.rand.IntN(2) == 0 {
		limit = min(limit, maxPromptDelay)
	}
	o.delay = time.Duration(s.rand.Int64N(int64(limit)))
	return o, true
}

// receiveStray has a later process carry an order out. It returns the answer, or false if there is none.
func (w *Worker) receiveStray(o strayOrder, path, instance string, r request) (answer, bool) {
	carryOut := func() (answer, bool) {
		if !w.awaitStray(o, r) {
			return answer{}, false
		}
		return w.carryOut(path, instance, r), o.fate != strayUnanswered
	}
	if o.fate == strayDropped {
		go carryOut()
		return answer{}, false
	}
	return carryOut()
}

// awaitStray waits until a later process is to carry an order out. It reports whether one does.
func (w *Worker) awaitStray(o strayOrder, r request) bool {
	for end := time.Now().Add(maxOrderDelay); time.Now().Before(end); time.Sleep(tickInterval) {
		if w.takeStray(o, r) {
			return true
		}
		select {
		case <-w.stop:
			return false
		default:
		}
	}
	return false
}

// takeStray reports whether the present process carries an order out now, and counts it.
func (w *Worker) takeStray(o strayOrder, r request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.startTime.Equal(o.sentTo) || time.Since(w.startTime) < o.delay {
		return false
	}
	w.strays.carriedOut++
	if r.UntilMs > 0 {
		w.strays.leases++
	}
	return true
}
