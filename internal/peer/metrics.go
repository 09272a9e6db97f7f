package peer

import "github.com/uber-go/tally/v4"

// trafficClass separates control messages from callers' requests.
type trafficClass int

const (
	classControl trafficClass = iota
	classData
	numClasses
)

var classNames = [numClasses]string{"control", "data"}

// metrics holds the metrics of the transport. Bytes include the headers of
// WebSocket messages but not those of TCP and IP.
type metrics struct {
	bytesIn, bytesOut   [numClasses]tally.Counter
	framesIn, framesOut [numClasses]tally.Counter
	notSent             tally.Counter
	lost                tally.Counter
	rejectedBusy        tally.Counter
	badFrames           tally.Counter
	dials               tally.Counter
	dialErrors          tally.Counter
	rejectedHandshakes  tally.Counter
	connections         tally.Gauge
}

func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("peer")
	m := &metrics{
		notSent:            s.Counter("calls_not_sent"),
		lost:               s.Counter("calls_lost"),
		rejectedBusy:       s.Counter("requests_busy"),
		badFrames:          s.Counter("bad_frames"),
		dials:              s.Counter("dials"),
		dialErrors:         s.Counter("dial_errors"),
		rejectedHandshakes: s.Counter("refused_peers"),
		connections:        s.Gauge("connections"),
	}
	for c := range numClasses {
		t := s.Tagged(map[string]string{"class": classNames[c]})
		m.bytesIn[c] = t.Counter("bytes_in")
		m.bytesOut[c] = t.Counter("bytes_out")
		m.framesIn[c] = t.Counter("frames_in")
		m.framesOut[c] = t.Counter("frames_out")
	}
	return m
}

func (m *metrics) countReceived(c trafficClass, n int64) {
	m.bytesIn[c].Inc(n)
	m.framesIn[c].Inc(1)
}

func (m *metrics) countSent(c trafficClass, n int64) {
	m.bytesOut[c].Inc(n)
	m.framesOut[c].Inc(1)
}
