// Package telemetry writes logs that neither block their authors nor grow
// without bound.
package telemetry

import (
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// logLines is how many lines wait for a slow reader before the oldest are
	// dropped.
	logLines = 2048
	// closeTimeout is how long Close waits for the reader to take the rest.
	closeTimeout = 300 * time.Millisecond
)

// LogWriter writes lines in the background. A write never blocks: with a reader
// that does not keep up, the oldest waiting lines are dropped.
type LogWriter struct{ ring diode.Writer }

// NewLogWriter returns a writer on w. dropped is told how many lines were lost
// each time; it may be nil.
func NewLogWriter(w io.Writer, dropped func(lines int)) *LogWriter {
	if dropped == nil {
		dropped = func(int) {}
	}
	return &LogWriter{diode.NewWriter(nopCloser{w}, logLines, 0, dropped)}
}

// Write implements io.Writer.
func (l *LogWriter) Write(line []byte) (int, error) { return l.ring.Write(line) }

// Close writes what waits, unless the reader is stuck.
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

// nopCloser hides the Close of a writer that stays open.
type nopCloser struct{ io.Writer }
