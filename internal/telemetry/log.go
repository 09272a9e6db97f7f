// Package telemetry provides logging that neither blocks the logging code nor
// grows without bound.
package telemetry

import (
	"io"
	"sync"
	"time"
)

const (
	// ringLines is how many lines are buffered for a slow output before the
	// oldest are dropped.
	ringLines = 2048
	// closeTimeout is how long Close waits for the buffered lines to be written.
	closeTimeout = 300 * time.Millisecond
	// dropInterval is the least time between two lines about dropped lines.
	dropInterval = time.Second
	// maxKeptBuffer bounds the buffers that are kept for further lines.
	maxKeptBuffer = 4 << 10
)

// DroppedMessage is the message of the lines about dropped lines, whose field "lines" says
// how many there were.
const DroppedMessage = "log lines dropped"

// Drops handles the lines that a LogWriter drops. Either function may be nil.
type Drops struct {
	// Count is called for every line that is dropped.
	Count func()
	// Log writes a line about lines that were dropped to out.
	Log func(out io.Writer, lines int)
}

// LogWriter writes lines in the background. A write never blocks: if the output
// does not keep up, the oldest buffered lines are dropped. Once it takes lines again,
// one tells how many are missing before it.
type LogWriter struct {
	out   io.Writer
	drops Drops
	// ended is closed once the last line is written after Close.
	ended chan struct{}

	mu sync.Mutex
	// changed is signalled when there is a line to write, and when closed is set.
	changed sync.Cond
	closed  bool
	// lines is the ring, first the index of its oldest line, and count how many lines it
	// holds.
	lines        [ringLines][]byte
	first, count int
	// missing is how many lines were dropped of which no line tells yet.
	missing int
}

// NewLogWriter returns a LogWriter on out.
func NewLogWriter(out io.Writer, d Drops) *LogWriter {
	w := &LogWriter{out: out, drops: d, ended: make(chan struct{})}
	w.changed.L = &w.mu
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := w.count == ringLines
	if full {
		w.first = (w.first + 1) % ringLines
		w.count--
		w.missing++
	}
	at := &w.lines[(w.first+w.count)%ringLines]
	*at = append((*at)[:0], line...)
	w.count++
	w.changed.Signal()
	w.mu.Unlock()
	if full && w.drops.Count != nil {
		w.drops.Count()
	}
	return len(line), nil
}

// Close writes the buffered lines. It gives up after closeTimeout if the output
// blocks.
func (w *LogWriter) Close() error {
	w.mu.Lock()
	w.closed = true
	w.changed.Signal()
	w.mu.Unlock()
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-w.ended:
	case <-t.C:
	}
	return nil
}

// run writes the lines until the writer is closed.
func (w *LogWriter) run() {
	defer close(w.ended)
	var line []byte
	var toldAt time.Time
	for {
		var more bool
		if line, more = w.next(line); !more {
			w.tell()
			return
		}
		if time.Since(toldAt) >= dropInterval && w.tell() {
			toldAt = time.Now()
		}
		// There is nowhere to report a failed write.
		_, _ = w.out.Write(line)
	}
}

// next waits for a line and returns it, or returns false when there will be none.
// buffer is kept for a further line.
func (w *LogWriter) next(buffer []byte) ([]byte, bool) {
	if cap(buffer) > maxKeptBuffer {
		buffer = nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.count == 0 {
		if w.closed {
			return nil, false
		}
		w.changed.Wait()
	}
	line := w.lines[w.first]
	w.lines[w.first] = buffer
	w.first = (w.first + 1) % ringLines
	w.count--
	return line, true
}

// tell writes a line about the dropped lines. It returns false if there are none.
func (w *LogWriter) tell() bool {
	w.mu.Lock()
	missing := w.missing
	w.missing = 0
	w.mu.Unlock()
	if missing == 0 || w.drops.Log == nil {
		return false
	}
	w.drops.Log(w.out, missing)
	return true
}
