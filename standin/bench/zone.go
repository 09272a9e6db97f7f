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

// Delays of one message, and sizes of what daemons exchange.
const (
	zoneHop   = 200 * time.Microsecond
	targetHop = 200 * time.Microsecond
	crossHop  = time.Millisecond
	// frameBytes is what WebSocket and the envelope add to a message.
	frameBytes = 16
	// requestBytes and answerBytes are the size of a typical exchange.
	requestBytes = 600
	answerBytes  = 2000
	tickInterval = 50 * time.Millisecond
)

// shape is the size of a zone: its daemons and one pool's targets.
type shape struct {
	name    string
	daemons int
	hosts   int
	slots   int
}

func (s shape) capacity() int { return s.hosts * s.slots }

// rate is the short requests a second that make the given load.
func (s shape) rate(load float64) float64 {
	return load * float64(s.capacity()) / shortMean.Seconds()
}

// outcome is how one request ended at the daemon that its caller asked.
type outcome struct {
	refused *verdict.Error
	lost    bool
	// state is that of the daemon that answers for another.
	state dispatch.PoolState
}

// zone is the fake part of a run: targets, messages and the record of answers.
type zone struct {
	sim     *Sim
	shape   shape
	targets map[string]*target
	list    []dispatch.Target
	end     time.Duration
	// control and data are bytes sent by each daemon.
	control []int64
	data    []int64
	handed  int
	stats   *stats
	policy  dispatch.SchedulerConfig
	// pending are the requests that daemons have handed to each other.
	pending map[int]pending
	handSeq int
	// dead marks daemons that neither receive nor act.
	dead []bool
}

func newZone(sim *Sim, sh shape, end time.Duration) *zone {
	z := &zone{
		sim:     sim,
		shape:   sh,
		targets: map[string]*target{},
		end:     end,
		control: make([]int64, sh.daemons),
		data:    make([]int64, sh.daemons),
		dead:    make([]bool, sh.daemons),
		stats:   newStats(),
		policy:  dispatch.SchedulerConfig{LongShare: longShare},
		pending: map[int]pending{},
	}
	for i := range sh.hosts {
		t := dispatch.Target{Host: fmt.Sprintf("w%04d", i), Slots: sh.slots}
		z.list = append(z.list, t)
		z.targets[t.Host] = &target{sim: sim, slots: sh.slots}
	}
	return z
}

// send carries a control message and counts its bytes.
func (z *zone) send(from, to int, msg any, receive func()) {
	z.count(from, msg)
	z.deliver(from, to, receive)
}

// count adds a control message to the bytes that a daemon has sent.
func (z *zone) count(from int, msg any) {
	b, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	z.control[from] += int64(len(b) + frameBytes)
}

// hand carries a caller's request or answer to another daemon.
func (z *zone) hand(from, to, size int, receive func()) {
	z.data[from] += int64(size + frameBytes)
	z.deliver(from, to, receive)
}

func (z *zone) deliver(from, to int, receive func()) {
	if z.dead[from] || z.dead[to] {
		return
	}
	z.sim.After(zoneHop, func() {
		if !z.dead[to] {
			receive()
		}
	})
}

// run executes w on a host and calls done at the daemon that sent it.
func (z *zone) run(host string, w *work, done func()) {
	z.sim.After(targetHop, func() {
		z.targets[host].run(w.service, func() { z.sim.After(targetHop, done) })
	})
}

func (z *zone) answer(w *work, o outcome) { z.stats.answer(z.sim.now, w, o) }

// controlRate is the control bytes a second of the busiest daemon.
func (z *zone) controlRate() float64 { return perSecond(z.control, z.end) }

func (z *zone) dataRate() float64 { return perSecond(z.data, z.end) }

func perSecond(bytes []int64, d time.Duration) float64 {
	most := int64(0)
	for _, b := range bytes {
		most = max(most, b)
	}
	return float64(most) / d.Seconds()
}

// target is a fake host: it runs as many requests as it has slots and queues
// the rest.
type target struct {
	sim   *Sim
	slots int
	busy  int
	queue []func()
	// overrun counts requests that came while all slots were busy.
	overrun int
}

func (t *target) run(service time.Duration, done func()) {
	start := func() {
		t.sim.After(service, func() {
			t.busy--
			done()
			t.next()
		})
	}
	if t.busy >= t.slots {
		t.overrun++
		t.queue = append(t.queue, start)
		return
	}
	t.busy++
	start()
}

func (t *target) next() {
	if len(t.queue) == 0 || t.busy >= t.slots {
		return
	}
	start := t.queue[0]
	t.queue = t.queue[1:]
	t.busy++
	start()
}

// stats is the record of answers of a run.
type stats struct {
	short   *hdrhistogram.Histogram // microseconds
	byTeam  map[string]*hdrhistogram.Histogram
	arrived int
	refused int
	lost    int
	// good counts answers within their deadline, goodWork their service
	// time; late counts answers after it.
	good     int
	goodWork time.Duration
	late     int
	// urgentWait is the longest wait of urgent work for a slot.
	urgentWait time.Duration
	// from is the virtual time from which answers are counted, by arrival.
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

func (s *stats) answer(now time.Duration, w *work, o outcome) {
	if w.arrive < s.from || (s.to > 0 && w.arrive >= s.to) {
		return
	}
	s.arrived++
	took := now - w.arrive
	switch {
	case o.lost:
		s.lost++
	case o.refused != nil:
		s.refused++
	case took > w.deadline:
		s.late++
	default:
		s.good++
		s.goodWork += w.service
	}
	if o.refused != nil || o.lost || !w.short {
		return
	}
	us := max(1, took.Microseconds())
	_ = s.short.RecordValue(us)
	h, ok := s.byTeam[w.team]
	if !ok {
		h = newHistogram()
		s.byTeam[w.team] = h
	}
	_ = h.RecordValue(us)
}

// start notes that w has got a slot.
func (s *stats) start(now time.Duration, w *work) {
	if w.class == request.ClassUrgent {
		s.urgentWait = max(s.urgentWait, now-w.arrive)
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
