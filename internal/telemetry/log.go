// Package telemetry provides logging that neither blocks the logging code nor
// grows without bound.
package telemetry

import (
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// ringLines is how many lines are buffered for a slow output before the
	// oldest are dropped.
	ringLines = 2048
	// closeTimeout is how long Close waits for the buffered lines to be written.
	closeTimeout = 300 * time.Millisecond
)

// LogWriter writes lines in the background. A write never blocks: if the output
// does not keep up, the oldest buffered lines are dropped.
type LogWriter struct{ ring diode.Writer }

// NewLogWriter returns a LogWriter on w. dropped is called with the number of
// lines each time lines are dropped; it may be nil.
func NewLogWriter(w io.Writer, dropped func(lines int)) *LogWriter {
	if dropped == nil {
		dropped = func(int) {}
	}
	return &LogWriter{diode.NewWriter(nopCloser{w}, ringLines, 0, dropped)}
}

// Write implements io.Writer.
func (l *LogWriter) Write(line []byte) (int, error) { return l.ring.Write(line) }

// Close writes the buffered lines. It gives up after closeTimeout if the output
// blocks.
func (l *LogWriter) Close() error {
	done := make(chan error, 1)
	go func() { done <- l.ring.Close() }()
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return nil
	}
}

// nopCloser hides the Close method of a writer that has to stay open.
type nopCloser struct{ io.Writer }
