package jobsim

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"greengagedeck/internal/job"
)

const (
	// maxCrashDelay is the longest time from the start of a deadly task to the
	// crash of its worker.
	maxCrashDelay = 100 * time.Millisecond
	// minDownTime and maxDownTime bound how long a worker that crashed is gone.
	minDownTime, maxDownTime = 1500 * time.Millisecond, 4500 * time.Millisecond
	// entryLifetime is how long the entry of a silent worker stays in the list.
	entryLifetime = 3 * heartbeatInterval
)

// crashListener accepts connections and keeps them, so that a crash of the worker
// breaks them off.
type crashListener struct {
	net.Listener
	mu     sync.Mutex
	conns  []net.Conn
	broken bool
}

// Accept implements net.Listener.
func (l *crashListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.conns = append(l.conns, c)
	return c, nil
}

// breakOff stops listening and resets all connections.
func (l *crashListener) breakOff() {
	_ = l.Close()
	l.mu.Lock()
	l.broken = true
	l.mu.Unlock()
	l.reset()
}

// reset resets all connections. Errors are of connections that are closed already.
func (l *crashListener) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	l.conns = nil
}

// serve listens at an address and serves orders there.
func (w *Worker) serve(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.addr = ln.Addr().String()
	w.listener = &crashListener{Listener: ln}
	w.server = newServer(w.handle, w.store.idle.Worker)
	go func(s *fasthttp.Server, l net.Listener) { _ = s.Serve(l) }(w.server, w.listener)
	return nil
}

// comeback says as what a worker comes back.
type comeback int

const (
	// comebackRandom is drawn from comebackSame, comebackReplaced and what is between.
	comebackRandom comeback = iota
	// comebackSame keeps ID and address.
	comebackSame
	// comebackReplaced takes a new ID and another address.
	comebackReplaced
)

// PowerOff simulates a power loss: the worker ends without a word and is gone for a
// time. It has no effect on a worker that is down.
func (w *Worker) PowerOff(down time.Duration, as comeback) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.goDown(down, true)
		w.comeback = as
	}
}

// ResetConnections resets all connections to the worker.
func (w *Worker) ResetConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listener.reset()
}

// crash ends the worker without a word because of a task. It must be called with mu
// held.
func (w *Worker) crash() {
	w.goDown(minDownTime+time.Duration(w.rand.Int64N(int64(maxDownTime-minDownTime))), false)
}

// goDown ends the worker and breaks off its connections until it comes back. injected is set if no
// task is the cause. It must be called with mu held.
func (w *Worker) goDown(down time.Duration, injected bool) {
	w.endProcess(down, injected)
	w.listener.breakOff()
}

// endProcess ends the worker without a word until it comes back. It must be called with mu held.
func (w *Worker) endProcess(down time.Duration, injected bool) {
	w.checker.workerCrashed(crash{worker: w.id, injected: injected}, slices.Collect(maps.Keys(w.running)))
	w.running = map[job.TaskID]*run{}
	now := time.Now()
	w.up = false
	w.backAt, w.comeback = now.Add(down), comebackRandom
	w.silentEntries[w.id] = now.Add(entryLifetime)
}

// crashAfterStart has the worker crash some time after the start of a deadly task,
// sometimes before it answers the start. It must be called with mu held.
func (w *Worker) crashAfterStart(r *run) {
	if w.rand.IntN(4) == 0 {
		w.crash()
		return
	}
	r.crashesAt = time.Now().Add(time.Duration(w.rand.Int64N(int64(maxCrashDelay))))
}

// awaitReturn reports whether the worker is up. A worker that crashed comes back
// once its time has come.
func (w *Worker) awaitReturn(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up && now.After(w.backAt) {
		w.comeBack()
	}
	return w.up
}

// comeBack starts the next incarnation of a worker that crashed: under its ID or
// a new one, at its address or at another. It must be called with mu held.
func (w *Worker) comeBack() {
	if w.strays.hanging {
		w.startProcess()
		return
	}
	address := w.addr
	moved, replaced := w.comeback == comebackReplaced, w.comeback == comebackReplaced
	if w.comeback == comebackRandom {
		moved, replaced = w.rand.IntN(4) == 0, w.rand.IntN(2) == 0
	}
	if moved {
		address = anyLoopbackAddress
	}
	if err := w.serve(address); err != nil {
		// Another process may have taken the port.
		if err = w.serve(anyLoopbackAddress); err != nil {
			w.checker.report("worker %s does not come back: %v", w.id, err)
			return
		}
	}
	if replaced {
		w.replacements++
		w.id = fmt.Sprintf("%s-%d", w.name, w.replacements)
	}
	w.startProcess()
}

// startProcess starts the next process of a worker that serves orders. It must be called with mu held.
func (w *Worker) startProcess() {
	delete(w.silentEntries, w.id)
	w.reset()
	w.strays.collecting, w.strays.hanging = false, false
	w.up = true
}

// removeSilentEntries removes the entries of incarnations that have been gone for
// entryLifetime.
func (w *Worker) removeSilentEntries(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, at := range w.silentEntries {
		if now.After(at) {
			w.store.Remove(workersTopic, id)
			delete(w.silentEntries, id)
		}
	}
}
