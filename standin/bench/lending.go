package bench

import (
	"strconv"

	"golang.org/x/time/rate"

	"greengagedeck/internal/dispatch"
)

// pullMessage asks another daemon for its next waiting request.
type pullMessage struct {
	Pool  string             `cbor:"1,keyasint"`
	Long  bool               `cbor:"2,keyasint,omitempty"`
	State dispatch.PoolState `cbor:"3,keyasint"`
}

// stateMessage reports the sender's state.
type stateMessage struct {
	Pool  string             `cbor:"1,keyasint"`
	State dispatch.PoolState `cbor:"2,keyasint"`
}

const poolName = "bantay-resv"

// slotLending starts from the static split. A daemon without a free slot hands a
// new request over to a daemon that has one, and a daemon without work pulls a
// request from a daemon whose requests wait.
type slotLending struct {
	z       *zone
	daemons []*lendingDaemon
}

type lendingDaemon struct {
	lending  *slotLending
	id       int
	n        *node
	balancer *dispatch.PeerBalancer
	budget   *rate.Limiter
	waiting  map[*dispatch.Job]waitingRequest
	// handOverToZone, if set, may hand a request that would have to wait over
	// to another zone, and reports whether it did.
	handOverToZone  func(req *simRequest, reply func(outcome)) bool
	crossZone       *crossZoneDaemon
	reportScheduled bool
}

// waitingRequest is the request of a queued job, with the function that takes its
// outcome.
type waitingRequest struct {
	req   *simRequest
	reply func(outcome)
}

// controlBudget is the number of bytes per second that a daemon may spend on reports
// and pulls of one pool; budgetBurst limits the bytes that it can accumulate.
const (
	controlBudget = 4000
	budgetBurst   = 2000
)

func newSlotLending(z *zone) strategy { return newSlotLendingWithBudget(z, controlBudget) }

func newSlotLendingWithBudget(z *zone, budget rate.Limit) *slotLending {
	l := &slotLending{z: z}
	for d := range z.shape.daemons {
		limiter := rate.NewLimiter(budget, budgetBurst)
		ld := &lendingDaemon{
			lending: l, id: d,
			n:        newNode(z),
			balancer: dispatch.NewPeerBalancer(limiter),
			budget:   limiter,
			waiting:  map[*dispatch.Job]waitingRequest{},
		}
		ld.n.sched.SetTargets(splitTargets(z.targetList, d, z.shape.daemons))
		ld.n.onSlotFreed = ld.onSlotFreed
		ld.balancer.SetZonePeers(l.peersOf(d))
		l.daemons = append(l.daemons, ld)
	}
	return l
}

func (l *slotLending) peersOf(d int) []string {
	var ids []string
	for i := range l.z.shape.daemons {
		if i != d {
			ids = append(ids, strconv.Itoa(i))
		}
	}
	return ids
}

func (l *slotLending) daemon(id string) *lendingDaemon {
	i, err := strconv.Atoi(id)
	if err != nil {
		panic(err)
	}
	return l.daemons[i]
}

func (l *slotLending) arrive(req *simRequest) {
	d := l.daemons[req.daemon]
	d.admit(req, func(o outcome) { l.z.recordAnswer(req, o) })
}

// admit takes a new request. If the request would have to wait here, it is handed
// over to a peer that has a free slot or else, if that is set up and sooner, to
// another zone.
func (d *lendingDaemon) admit(req *simRequest, reply func(outcome)) {
	j := req.job(1)
	j.NoHandover = req.handedOver
	if d.n.sched.MustWait(j) {
		if to, ok := d.balancer.ReserveSlot(d.n.sched.IsLong(j)); ok {
			d.handOver(to, req, reply)
			return
		}
		if d.handOverToZone != nil && !req.handedOver && d.handOverToZone(req, reply) {
			return
		}
	}
	d.queue(req, j, reply)
}

func (d *lendingDaemon) queue(req *simRequest, j *dispatch.Job, reply func(outcome)) {
	d.waiting[j] = waitingRequest{req: req, reply: reply}
	d.n.enqueue(req, j, func(o outcome) {
		delete(d.waiting, j)
		reply(o)
	})
	d.report()
}

// handOver hands a request over to a peer. The answer carries the peer's state.
func (d *lendingDaemon) handOver(to string, req *simRequest, reply func(outcome)) {
	peer := d.lending.daemon(to)
	run := func(reply func(outcome)) {
		j := req.job(1)
		j.NoHandover = true
		peer.queue(req, j, func(o outcome) {
			o.state = peer.n.sched.State()
			reply(o)
		})
	}
	d.lending.z.handOver(d.id, peer.id, req, run, func(o outcome) {
		if !o.lost {
			d.balancer.Observe(to, o.state)
			d.handOverToPeers()
		}
		reply(o)
	})
}

// onSlotFreed runs when a slot has become free. This daemon's own queue is served
// first.
func (d *lendingDaemon) onSlotFreed() {
	d.n.applyDecisions()
	d.report()
	d.pull()
}

func (d *lendingDaemon) pull() {
	own := d.n.sched.State()
	from, long, ok := d.balancer.NextPull(d.lending.z.sim.Now(), own)
	if !ok {
		return
	}
	peer := d.lending.daemon(from)
	msg := pullMessage{Pool: poolName, Long: long, State: own}
	d.lending.z.sendControl(d.id, peer.id, msg, func() {
		peer.balancer.Observe(strconv.Itoa(d.id), own)
		peer.handOverNext(strconv.Itoa(d.id), long)
	})
}

// handOverNext hands the next waiting request over to the given daemon.
func (d *lendingDaemon) handOverNext(to string, long bool) {
	j, ok := d.n.sched.TakeForHandover(long)
	if !ok {
		return
	}
	next := d.waiting[j]
	delete(d.waiting, j)
	d.handOver(to, next.req, next.reply)
	d.report()
}

// report sends the state to the peers if it has changed in kind. If the report has
// to wait, it is scheduled for later.
func (d *lendingDaemon) report() {
	if d.reportScheduled {
		return
	}
	own := d.n.sched.State()
	send, again := d.balancer.ReportDue(d.lending.z.sim.Now(), own)
	if again > 0 {
		d.reportScheduled = true
		d.lending.z.sim.After(again, func() {
			d.reportScheduled = false
			d.report()
		})
	}
	if !send {
		return
	}
	for _, peer := range d.lending.daemons {
		if peer != d {
			d.lending.z.sendControl(d.id, peer.id, stateMessage{Pool: poolName, State: own}, func() { peer.onState(strconv.Itoa(d.id), own) })
		}
	}
}

func (d *lendingDaemon) onState(from string, s dispatch.PoolState) {
	d.balancer.Observe(from, s)
	d.handOverToPeers()
	d.pull()
}

// handOverToPeers hands waiting requests over to peers with free slots.
func (d *lendingDaemon) handOverToPeers() {
	for _, long := range []bool{false, true} {
		for d.n.sched.State().HasQueued(long) {
			to, ok := d.balancer.ReserveSlot(long)
			if !ok {
				break
			}
			d.handOverNext(to, long)
		}
	}
}
