package main

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/platform"
)

// heldOutput is an output that blocks until release is closed.
type heldOutput struct {
	release chan struct{}
	out     bytes.Buffer
}

func (h *heldOutput) Write(p []byte) (int, error) {
	<-h.release
	return h.out.Write(p)
}

// The line about dropped lines must have what every line has, so that a trace can order
// it.
func TestLineAboutDroppedLinesNamesHostAndTime(t *testing.T) {
	g := NewWithT(t)
	held := &heldOutput{release: make(chan struct{})}
	logger, _, closeLog := newFleetLogger(held, zerolog.InfoLevel, platform.Settings{Host: "gw-1", Zone: "a"}, newMetrics())
	for n := range 10_000 {
		logger.Error().Int("n", n).Msg("broken")
	}
	close(held.release)
	closeLog()
	for text := range bytes.Lines(held.out.Bytes()) {
		var line struct {
			Message, Host, Zone, Time string
			Lines                     int
		}
		g.Expect(json.Unmarshal(text, &line)).To(Succeed())
		if line.Message != "log lines dropped" {
			continue
		}
		g.Expect(line.Host).To(Equal("gw-1"))
		g.Expect(line.Zone).To(Equal("a"))
		g.Expect(line.Lines).To(BeNumerically(">", 0))
		_, err := time.Parse(time.RFC3339Nano, line.Time)
		g.Expect(err).NotTo(HaveOccurred())
		return
	}
	t.Fatal("no line tells of the dropped lines")
}
