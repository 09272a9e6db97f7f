package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	w := NewLogWriter(blocked, Drops{})
	l := zerolog.New(w)
	for i := range 4 * ringLines {
		l.Info().Int("n", i).Msg("line")
	}
	g.Expect(w.Close()).To(Succeed())
}

func TestCloseWritesBufferedLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := NewLogWriter(&out, Drops{})
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

// slowWriter is an output that blocks until release is closed and then takes lines.
type slowWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.out.Write(p)
}

// A reader that does not keep up must find in the log itself how many lines are missing:
// a gap looked as if nothing had happened.
func TestDroppedLinesAreCountedInTheLog(t *testing.T) {
	g := NewWithT(t)
	slow := &slowWriter{release: make(chan struct{})}
	counted := 0
	w := NewLogWriter(slow, Drops{
		Count: func() { counted++ },
		Log: func(out io.Writer, lines int) {
			l := zerolog.New(out)
			l.Warn().Int("lines", lines).Msg("log lines dropped")
		},
	})
	l := zerolog.New(w)
	const lines = 3*ringLines + 7
	for i := range lines {
		l.Info().Int("n", i).Msg("line")
	}
	close(slow.release)
	g.Expect(w.Close()).To(Succeed())
	written := strings.Count(slow.out.String(), `"message":"line"`)
	g.Expect(counted).To(Equal(lines - written))
	told := 0
	for text := range strings.Lines(slow.out.String()) {
		var fields struct {
			Message string
			Lines   int
		}
		g.Expect(json.Unmarshal([]byte(text), &fields)).To(Succeed())
		if fields.Message == "log lines dropped" {
			told += fields.Lines
		}
	}
	g.Expect(told).To(Equal(counted), "every dropped line is told of")
	g.Expect(strings.Count(slow.out.String(), "log lines dropped")).To(BeNumerically("<=", 3))
}

func TestOutageLogsFirstFailureAndRecovery(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	o := NewOutage(zerolog.New(&out), "log unreachable", "log reachable")
	o.Succeeded()
	g.Expect(out.String()).To(BeEmpty())
	for range 3 {
		o.Failed("read duty/0", errors.New("timeout"))
	}
	g.Expect(out.String()).To(Equal(`{"level":"warn","error":"timeout","call":"read duty/0","message":"log unreachable"}` + "\n"))
	out.Reset()
	o.Succeeded()
	o.Succeeded()
	g.Expect(out.String()).To(MatchRegexp(`^{"level":"info","after":[0-9.e-]+,"failures":3,"message":"log reachable"}\n$`))
	out.Reset()
	o.Failed("read duty/0", errors.New("timeout"))
	g.Expect(out.String()).To(ContainSubstring("log unreachable"))
}

// lineSignal is an output that signals every line.
type lineSignal chan struct{}

func (s lineSignal) Write(p []byte) (int, error) {
	s <- struct{}{}
	return len(p), nil
}

// A line must be written without a further one: some stayed in the buffer until then, and
// were lost if the daemon was killed.
func TestEveryLineIsWrittenAtOnce(t *testing.T) {
	g := NewWithT(t)
	out := make(lineSignal, 1)
	w := NewLogWriter(out, Drops{})
	for n := range 200_000 {
		_, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
		select {
		case <-out:
		case <-time.After(time.Second):
			t.Fatalf("line %d was not written", n)
		}
	}
	g.Expect(w.Close()).To(Succeed())
}

// Guards against lines that are built only to be dropped, and against ones that are left
// out without being counted.
func TestLimiterTellsBeforeALineIsBuilt(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var out bytes.Buffer
	l := NewLimiter(func() time.Time { return now }, tally.NoopScope)
	logger := zerolog.New(&out).Hook(l)
	admitted := 0
	for range 2 * lineBurst {
		if l.Admits("run") {
			admitted++
			logger.Info().Msg("run")
		}
	}
	g.Expect(admitted).To(Equal(lineBurst))
	now = now.Add(time.Second)
	g.Expect(l.Admits("run")).To(BeTrue())
	logger.Info().Msg("run")
	g.Expect(out.String()).To(ContainSubstring(fmt.Sprintf(`"left_out":%d`, lineBurst)))
}
