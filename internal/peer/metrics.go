package peer

import "github.com/uber-go/tally/v4"

// class separates the bytes of control from those of callers' requests.
type class int

const (
	classControl class = iota
	classData
	classes
)

var classNames = [classes]string{"control", "data"}

// metrics counts what the transport does. Bytes are those of WebSocket
// messages with their headers, without TCP and IP.
type metrics struct {
	bytesIn, bytesOut   [classes]tally.Counter
	framesIn, framesOut [classes]tally.Counter
	notSent             tally.Counter
	lost                tally.Counter
	busy                tally.Counter
	badFrames           tally.Counter
	dials               tally.Counter
	dialErrors          tally.Counter
	refusedPeers        tally.Counter
	connections         tally.Gauge
}

func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("peer")
	m := &metrics{
		notSent:      s.Counter("calls_not_sent"),
		lost:         s.Counter("calls_lost"),
		busy:         s.Counter("requests_busy"),
		badFrames:    s.Counter("bad_frames"),
		dials:        s.Counter("dials"),
		dialErrors:   s.Counter("dial_errors"),
		refusedPeers: s.Counter("refused_peers"),
		connections:  s.Gauge("connections"),
	}
	for c := range classes {
		t := s.Tagged(map[string]string{"class": classNames[c]})
		m.bytesIn[c] = t.Counter("bytes_in")
		m.bytesOut[c] = t.Counter("bytes_out")
		m.framesIn[c] = t.Counter("frames_in")
		m.framesOut[c] = t.Counter("frames_out")
	}
	return m
}

func (m *metrics) in(c class, n int64) {
	m.bytesIn[c].Inc(n)
	m.framesIn[c].Inc(1)
}

func (m *metrics) out(c class, n int64) {
	m.bytesOut[c].Inc(n)
	m.framesOut[c].Inc(1)
}
