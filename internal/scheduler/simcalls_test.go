package scheduler_test

import (
	"errors"
	"slices"
	"time"

	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

const (
	// simMaxConns is how many connections a holder keeps to one worker, and simMaxOrders
	// how many starts it has in flight to one.
	simMaxConns  = 6
	simMaxOrders = 3
	// simStopPause is the wait after a stop that failed.
	simStopPause = 50 * time.Millisecond
)

// errWaits is returned by an order that the worker has received and not answered yet.
var errWaits = errors.New("the answer waits")

// simCall is a call of a holder to a worker. do carries it out there and returns the
// answer. answer receives it, or an error if there is none.
type simCall struct {
	to      *simWorker
	address string
	// start or poll is the order, or nil if it is another one.
	start *worker.StartOrder
	poll  *worker.PollRequest
	// wait is how long the worker may delay its answer.
	wait   time.Duration
	do     func() error
	answer func(error)
}

// call sends an order over the faulty network.
func (h *simHolder) call(c simCall) {
	if h.conns != nil {
		h.callOnConn(c)
		return
	}
	h.callOverNetwork(c)
}

// callOverNetwork does what call does where connections do not fail.
func (h *simHolder) callOverNetwork(c simCall) {
	w, s := h.w, c.to
	if w.ordersOutliveProcess {
		h.callAcrossProcesses(c)
		return
	}
	timeout := verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer")
	deliver := func(err error) {
		w.after(w.answerDelay(), func() { h.runWhenActive(func() { c.answer(err) }) })
	}
	giveUp := func() {
		w.after(simCallTimeout+c.wait, func() { h.runWhenActive(func() { c.answer(timeout) }) })
	}
	roll := w.rng.Float64()
	startedAt := s.startedAt
	switch {
	case s.addressReused || s.addressTaken():
		deliver(worker.ErrWorkerReplaced)
	case c.address != s.address || s.partitioned || w.now < h.cutOffUntil[s.id] || !s.up || roll < w.lostRate:
		giveUp()
	case roll < w.lostRate+w.delayedRate:
		giveUp()
		w.after(time.Duration(2000+w.rng.IntN(10000))*time.Millisecond, func() {
			// A delayed order is lost when the worker restarts.
			if s.up && s.startedAt == startedAt {
				_ = c.do()
			}
		})
	case roll < w.lostRate+w.delayedRate+w.unansweredRate:
		giveUp()
		w.after(w.networkDelay(), func() {
			if s.up {
				_ = c.do()
			}
		})
	default:
		var carryOut func()
		carryOut = func() {
			if !s.up || s.partitioned {
				giveUp()
				return
			}
			err := c.do()
			switch {
			case errors.Is(err, errWaits):
				w.after(simTick, carryOut)
			case !s.up:
				// The order crashed the worker before it answered.
				giveUp()
			default:
				deliver(err)
			}
		}
		w.after(w.networkDelay(), carryOut)
	}
}

// answerDelay returns how long an answer takes. It draws nothing more than networkDelay where no
// answers are late.
func (w *simWorld) answerDelay() time.Duration {
	if w.lateRate > 0 && w.rng.Float64() < w.lateRate {
		return time.Duration(w.rng.Int64N(int64(simCallTimeout)))
	}
	return w.networkDelay()
}

// runWhenActive calls do as soon as the holder is not paused, unless it is dead.
func (h *simHolder) runWhenActive(do func()) {
	switch {
	case h.dead:
	case h.paused:
		h.w.after(50*time.Millisecond, func() { h.runWhenActive(do) })
	default:
		do()
	}
}

// connFaults are the faults of the connections of a world.
type connFaults struct {
	// keepAlive is, by address, for how long a worker keeps an idle connection, and
	// logKeepAlive for how long the log does.
	keepAlive    map[string]time.Duration
	logKeepAlive time.Duration
	// resets counts the times at which all connections were reset.
	resets int
	// refused is set if an address without a process rejects connections at once.
	refused bool
}

// simConn is an idle connection to a worker.
type simConn struct {
	lastUsed  time.Duration
	startedAt int64
	to        *simWorker
	resets    int
}

// simConns are the connections of one holder, which uses first what it used last.
type simConns struct {
	w    *simWorld
	idle map[string][]simConn
	// inFlight are the calls that have no answer yet.
	inFlight []*connCall
	// orders is the number of starts in flight, by worker ID.
	orders  map[string]int
	logUsed time.Duration
}

// connCall is a call in flight.
type connCall struct {
	to           *simWorker
	ended, reset bool
	// fail ends the call without an answer.
	fail func()
}

// newSimConns returns the connections of a new holder, or nil if the world does not
// simulate them.
func newSimConns(w *simWorld) *simConns {
	if w.conns == nil {
		return nil
	}
	return &simConns{w: w, idle: map[string][]simConn{}, orders: map[string]int{}, logUsed: w.now}
}

// logCallFails reports whether a call to the log fails since the log has closed the
// idle connection.
func (c *simConns) logCallFails() bool {
	if c == nil {
		return false
	}
	idle := c.w.now - c.logUsed
	c.logUsed = c.w.now
	return c.w.conns.logKeepAlive > 0 && idle > c.w.conns.logKeepAlive
}

// busy reports whether a start to a worker has to wait for others.
func (c *simConns) busy(s *simWorker) bool { return c != nil && c.orders[s.id] >= simMaxOrders }

func (c *simConns) orderSent(s *simWorker, n int) {
	if c != nil {
		c.orders[s.id] += n
	}
}

// afterStop handles the answer to a stop, if it failed after a pause.
func (c *simConns) afterStop(h *simHolder, err error, handle func()) {
	if c == nil || err == nil {
		handle()
		return
	}
	c.w.after(simStopPause, func() { h.runWhenActive(handle) })
}

// usable reports whether a call on an idle connection reaches the worker.
func (c *simConns) usable(conn simConn, s *simWorker) bool {
	keep := c.w.conns.keepAlive[s.address]
	return conn.to == s && conn.startedAt == s.startedAt && conn.resets == c.w.conns.resets && (keep == 0 || c.w.now-conn.lastUsed <= keep)
}

// callOnConn sends an order on the connection that was used last, or on a new one if
// none is idle. One that was closed or reset fails at once, unless the worker's host is
// down, and the order does not reach the worker.
func (h *simHolder) callOnConn(c simCall) {
	w, s := h.w, c.to
	lost := verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "the server closed the connection")
	idle := h.conns.idle[c.address]
	if len(idle) > 0 {
		conn := idle[len(idle)-1]
		h.conns.idle[c.address] = idle[:len(idle)-1]
		if !h.conns.usable(conn, s) && !s.partitioned && (s.up || w.conns.refused) {
			w.after(w.networkDelay(), func() { h.runWhenActive(func() { c.answer(lost) }) })
			return
		}
	} else if (!s.up || c.address != s.address) && w.conns.refused && !s.addressTaken() && !s.addressReused {
		refused := verdict.NewNotRun(verdict.ReasonConnect, "connection refused")
		w.after(w.networkDelay(), func() { h.runWhenActive(func() { c.answer(refused) }) })
		return
	}
	call := &connCall{to: s}
	end := func(err error) {
		if call.ended {
			return
		}
		call.ended = true
		h.conns.inFlight = slices.DeleteFunc(h.conns.inFlight, func(o *connCall) bool { return o == call })
		c.answer(err)
	}
	call.fail = func() { h.runWhenActive(func() { end(lost) }) }
	h.conns.inFlight = append(h.conns.inFlight, call)
	do := c.do
	h.callOverNetwork(simCall{to: s, address: c.address, wait: c.wait, do: func() error {
		if call.reset && w.rng.IntN(2) == 0 {
			return lost
		}
		return do()
	}, answer: func(err error) {
		var broken *verdict.Error
		if !call.ended && !errors.As(err, &broken) && len(h.conns.idle[s.address]) < simMaxConns {
			h.conns.idle[s.address] = append(h.conns.idle[s.address], simConn{w.now, s.startedAt, s, w.conns.resets})
		}
		end(err)
	}})
}

// resetConns resets all connections.
func (w *simWorld) resetConns() {
	w.conns.resets++
	w.failCalls(func(*simWorker) bool { return true })
}

// failCalls ends the calls in flight to some workers without an answer, whether they are
// carried out or not.
func (w *simWorld) failCalls(to func(*simWorker) bool) {
	for _, h := range append(slices.Clone(w.superseded), w.holder) {
		for _, call := range slices.Clone(h.conns.inFlight) {
			if to(call.to) {
				call.reset = true
				call.fail()
			}
		}
	}
}

// waitForEnd returns a poll that answers when a run has ended or its wait is over.
func (w *simWorld) waitForEnd(s *simWorker, origin orderOrigin, req worker.PollRequest, rep *worker.Report) func() error {
	received, startedAt := time.Duration(0), int64(0)
	return func() (err error) {
		if received == 0 {
			received, startedAt = w.now, s.startedAt
			if *rep, err = s.pollFrom(origin, req); err != nil {
				return err
			}
		}
		if s.startedAt != startedAt {
			return verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "the worker restarted")
		}
		if len(s.ended) == 0 && w.now < received+req.Wait {
			return errWaits
		}
		*rep = s.report()
		return nil
	}
}
