package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write([]byte) (int, error) {
	<-w.release
	return 0, nil
}

// A blocked output must not delay the logging code: if lines were written in the
// caller, this test would not end.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	g := NewWithT(t)
	blocked := blockedWriter{make(chan struct{})}
	defer close(blocked.release)
	w := NewLogWriter(blocked, nil)
	l := zerolog.New(w)
	for i := range 4 * ringLines {
		l.Info().Int("n", i).Msg("line")
	}
	g.Expect(w.Close()).To(Succeed())
}

func TestCloseWritesBufferedLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := NewLogWriter(&out, nil)
	l := zerolog.New(w)
	for range 100 {
		l.Info().Msg("line")
	}
	g.Expect(w.Close()).To(Succeed())
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(100))
}

func TestLimiterBoundsLinesPerMessage(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var out bytes.Buffer
	l := zerolog.New(&out).Hook(NewLimiter(func() time.Time { return now }, tally.NoopScope, "stopping"))
	for range lineBurst + 25 {
		l.Info().Msg("run started")
		l.Info().Msg("stopping")
		l.Error().Msg("broken")
	}
	l.Info().Msg("run ended")
	g.Expect(strings.Count(out.String(), "run started")).To(Equal(lineBurst))
	g.Expect(strings.Count(out.String(), "stopping")).To(Equal(lineBurst + 25))
	g.Expect(strings.Count(out.String(), "broken")).To(Equal(lineBurst + 25))
	g.Expect(strings.Count(out.String(), "run ended")).To(Equal(1))
	now = now.Add(time.Second)
	l.Info().Msg("run started")
	g.Expect(out.String()).To(ContainSubstring(`"left_out":25,"message":"run started"`))
}
