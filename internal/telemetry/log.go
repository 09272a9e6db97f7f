// Package telemetry writes logs and serves metrics.
package telemetry

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// logLines is how many lines wait for a slow reader before the oldest are
// dropped.
const logLines = 2048

// NewLogWriter returns a writer that never blocks: with a reader that does not
// keep up, the oldest waiting lines are dropped.
func NewLogWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(nopCloser{w}, logLines, 0, nil)
}

// nopCloser hides the Close of a writer that stays open.
type nopCloser struct{ io.Writer }
