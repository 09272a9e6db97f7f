package bench

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// One-way delays of messages within a zone, to a target and between zones, and
// sizes of messages.
const (
	zoneDelay      = 200 * time.Microsecond
	targetDelay    = 200 * time.Microsecond
	crossZoneDelay = time.Millisecond
	// frameBytes is the overhead that WebSocket and the envelope add to a
	// message.
	frameBytes = 16
	// requestBytes and answerBytes are the sizes of a typical request and its
	// answer.
	requestBytes = 600
	answerBytes  = 2000
	tickInterval = 50 * time.Millisecond
)

// shape describes the size of a zone: its daemons, and the targets of one pool.
type shape struct {
	name    string
	daemons int
	hosts   int
	slots   int
}

func (s shape) capacity() int { return s.hosts * s.slots }

// rate returns the short requests per second that produce the given load.
func (s shape) rate(load float64) float64 {
	return load * float64(s.capacity()) / shortMean.Seconds()
}

// outcome is the result of one request at the daemon to which the caller sent it.
type outcome struct {
	rejection *verdict.Error
	lost      bool
	// state is the state of the daemon that answered on behalf of another.
	state dispatch.PoolState
}

// zone simulates the environment of the daemons: the targets, the messages between
// daemons, and the record of answers.
type zone struct {
	sim        *Sim
	shape      shape
	targets    map[string]*target
	targetList []dispatch.Target
	end        time.Duration
	// control and data are the bytes of each kind sent by each daemon.
	control   []int64
	data      []int64
	handovers int
	stats     *stats
	policy    dispatch.SchedulerConfig
	// pending holds the requests that daemons have handed over to each other
	// and that are not answered yet.
	pending     map[int]pendingHandover
	handoverSeq int
	// crashed marks the daemons that neither receive messages nor act.
	crashed []bool
}

func newZone(sim *Sim, sh shape, end time.Duration) *zone {
	z := &zone{
		sim:     sim,
		shape:   sh,
		targets: map[string]*target{},
		end:     end,
		control: make([]int64, sh.daemons),
		data:    make([]int64, sh.daemons),
		crashed: make([]bool, sh.daemons),
		stats:   newStats(),
		policy:  dispatch.SchedulerConfig{LongShare: longShare},
		pending: map[int]pendingHandover{},
	}
	for i := range sh.hosts {
		t := dispatch.Target{Host: fmt.Sprintf("w%04d", i), Slots: sh.slots}
		z.targetList = append(z.targetList, t)
		z.targets[t.Host] = &target{sim: sim, slots: sh.slots}
	}
	return z
}

// sendControl delivers a control message and counts its bytes.
func (z *zone) sendControl(from, to int, msg any, receive func()) {
	z.countControl(from, msg)
	z.deliver(from, to, receive)
}

// countControl adds the size of a control message to the bytes sent by a daemon.
func (z *zone) countControl(from int, msg any) {
	b, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	z.control[from] += int64(len(b) + frameBytes)
}

// sendData delivers a caller's request or its answer to another daemon.
func (z *zone) sendData(from, to, size int, receive func()) {
	z.data[from] += int64(size + frameBytes)
	z.deliver(from, to, receive)
}

func (z *zone) deliver(from, to int, receive func()) {
	if z.crashed[from] || z.crashed[to] {
		return
	}
	z.sim.After(zoneDelay, func() {
		if !z.crashed[to] {
			receive()
		}
	})
}

// run executes req on a host and then calls done at the daemon that sent it.
func (z *zone) run(host string, req *simRequest, done func()) {
	z.sim.After(targetDelay, func() {
		z.targets[host].run(req.service, func() { z.sim.After(targetDelay, done) })
	})
}

func (z *zone) recordAnswer(req *simRequest, o outcome) { z.stats.recordAnswer(z.sim.now, req, o) }

// controlRate returns the control bytes per second of the busiest daemon.
func (z *zone) controlRate() float64 { return perSecond(z.control, z.end) }

func (z *zone) dataRate() float64 { return perSecond(z.data, z.end) }

func perSecond(bytes []int64, d time.Duration) float64 {
	highest := int64(0)
	for _, b := range bytes {
		highest = max(highest, b)
	}
	return float64(highest) / d.Seconds()
}

// target simulates a host. It runs as many requests as it has slots and queues the
// rest.
type target struct {
	sim   *Sim
	slots int
	busy  int
	queue []func()
	// overflows counts the requests that arrived while all slots were busy.
	overflows int
}

func (t *target) run(service time.Duration, done func()) {
	start := func() {
		t.sim.After(service, func() {
			t.busy--
			done()
			t.startNext()
		})
	}
	if t.busy >= t.slots {
		t.overflows++
		t.queue = append(t.queue, start)
		return
	}
	t.busy++
	start()
}

func (t *target) startNext() {
	if len(t.queue) == 0 || t.busy >= t.slots {
		return
	}
	start := t.queue[0]
	t.queue = t.queue[1:]
	t.busy++
	start()
}

// stats records the answers of a run.
type stats struct {
	short    *hdrhistogram.Histogram // microseconds
	byTeam   map[string]*hdrhistogram.Histogram
	arrived  int
	rejected int
	lost     int
	// onTime counts the answers within their deadline, onTimeWork is their
	// total service time; late counts the answers after the deadline.
	onTime     int
	onTimeWork time.Duration
	late       int
	// urgentWait is the longest time that urgent work waited for a slot.
	urgentWait time.Duration
	// Only requests that arrived at virtual time from or later, and before to,
	// are counted. A to of 0 sets no limit.
	from, to time.Duration
}

func newStats() *stats {
	return &stats{short: newHistogram(), byTeam: map[string]*hdrhistogram.Histogram{}}
}

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func (s *stats) recordAnswer(now time.Duration, req *simRequest, o outcome) {
	if req.arrive < s.from || (s.to > 0 && req.arrive >= s.to) {
		return
	}
	s.arrived++
	latency := now - req.arrive
	switch {
	case o.lost:
		s.lost++
	case o.rejection != nil:
		s.rejected++
	case latency > req.deadline:
		s.late++
	default:
		s.onTime++
		s.onTimeWork += req.service
	}
	if o.rejection != nil || o.lost || !req.short {
		return
	}
	us := max(1, latency.Microseconds())
	_ = s.short.RecordValue(us)
	h, ok := s.byTeam[req.team]
	if !ok {
		h = newHistogram()
		s.byTeam[req.team] = h
	}
	_ = h.RecordValue(us)
}

// recordStart records that req got a slot.
func (s *stats) recordStart(now time.Duration, req *simRequest) {
	if req.class == request.ClassUrgent {
		s.urgentWait = max(s.urgentWait, now-req.arrive)
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
