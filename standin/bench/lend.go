package bench

import (
	"strconv"

	"golang.org/x/time/rate"

	"greengagedeck/internal/dispatch"
)

// pullMessage asks a daemon for its next waiting request.
type pullMessage struct {
	Pool  string             `cbor:"1,keyasint"`
	Long  bool               `cbor:"2,keyasint,omitempty"`
	State dispatch.PoolState `cbor:"3,keyasint"`
}

// stateMessage reports a daemon's state.
type stateMessage struct {
	Pool  string             `cbor:"1,keyasint"`
	State dispatch.PoolState `cbor:"2,keyasint"`
}

const poolName = "bantay-resv"

// lend is the static split in which a daemon without a free slot hands a new
// request to one that has, and one without work asks one whose requests wait.
type lend struct {
	z       *zone
	daemons []*lendDaemon
}

type lendDaemon struct {
	l       *lend
	id      int
	n       *node
	lending *dispatch.PeerBalancer
	budget  *rate.Limiter
	waiting map[*dispatch.Job]lendWaiting
	// away, when set, may hand a request that would wait to another zone.
	away     func(w *work, reply func(outcome)) bool
	observer *awayDaemon
	due      bool // a report is scheduled
}

// lendWaiting is what a job that another daemon pulls stands for.
type lendWaiting struct {
	w     *work
	reply func(outcome)
}

// controlBudget is the bytes a second that one pool of a daemon may spend on
// reports and pulls; budgetBurst is what it may save up.
const (
	controlBudget = 4000
	budgetBurst   = 2000
)

func newLend(z *zone) sharing { return newLendWithin(z, controlBudget) }

func newLendWithin(z *zone, budget rate.Limit) *lend {
	l := &lend{z: z}
	for d := range z.shape.daemons {
		limiter := rate.NewLimiter(budget, budgetBurst)
		ld := &lendDaemon{
			l: l, id: d,
			n:       newNode(z),
			lending: dispatch.NewPeerBalancer(limiter),
			budget:  limiter,
			waiting: map[*dispatch.Job]lendWaiting{},
		}
		ld.n.sched.SetTargets(splitTargets(z.list, d, z.shape.daemons))
		ld.n.freed = ld.freed
		ld.lending.SetZonePeers(l.matesOf(d))
		l.daemons = append(l.daemons, ld)
	}
	return l
}

func (l *lend) matesOf(d int) []string {
	var ids []string
	for i := range l.z.shape.daemons {
		if i != d {
			ids = append(ids, strconv.Itoa(i))
		}
	}
	return ids
}

func (l *lend) daemon(id string) *lendDaemon {
	i, err := strconv.Atoi(id)
	if err != nil {
		panic(err)
	}
	return l.daemons[i]
}

func (l *lend) arrive(w *work) {
	d := l.daemons[w.daemon]
	d.admit(w, func(o outcome) { l.z.answer(w, o) })
}

// admit takes a caller's request: a mate gets it when only that mate has a
// slot for it.
func (d *lendDaemon) admit(w *work, reply func(outcome)) {
	j := w.job(1)
	j.NoHandover = w.handed
	if d.n.sched.MustWait(j) {
		if to, ok := d.lending.ReserveSlot(d.n.sched.IsLong(j)); ok {
			d.hand(to, w, reply)
			return
		}
		if d.away != nil && !w.handed && d.away(w, reply) {
			return
		}
	}
	d.queue(w, j, reply)
}

func (d *lendDaemon) queue(w *work, j *dispatch.Job, reply func(outcome)) {
	d.waiting[j] = lendWaiting{w: w, reply: reply}
	d.n.offer(w, j, func(o outcome) {
		delete(d.waiting, j)
		reply(o)
	})
	d.report()
}

// hand gives a request to a mate. Its answer carries the mate's state back.
func (d *lendDaemon) hand(to string, w *work, reply func(outcome)) {
	m := d.l.daemon(to)
	run := func(reply func(outcome)) {
		j := w.job(1)
		j.NoHandover = true
		m.queue(w, j, func(o outcome) {
			o.state = m.n.sched.State()
			reply(o)
		})
	}
	d.l.z.handOver(d.id, m.id, w, run, func(o outcome) {
		if !o.lost {
			d.lending.Observe(to, o.state)
			d.push()
		}
		reply(o)
	})
}

// freed runs when a slot has become free: the own queue goes first.
func (d *lendDaemon) freed() {
	d.n.pump()
	d.report()
	d.pull()
}

func (d *lendDaemon) pull() {
	own := d.n.sched.State()
	from, long, ok := d.lending.NextPull(d.l.z.sim.Now(), own)
	if !ok {
		return
	}
	m := d.l.daemon(from)
	msg := pullMessage{Pool: poolName, Long: long, State: own}
	d.l.z.send(d.id, m.id, msg, func() {
		m.lending.Observe(strconv.Itoa(d.id), own)
		m.surrender(strconv.Itoa(d.id), long)
	})
}

// surrender gives the next waiting request to the daemon that asked.
func (d *lendDaemon) surrender(to string, long bool) {
	j, ok := d.n.sched.TakeForHandover(long)
	if !ok {
		return
	}
	next := d.waiting[j]
	delete(d.waiting, j)
	d.hand(to, next.w, next.reply)
	d.report()
}

// report tells the mates when the state has changed in kind.
func (d *lendDaemon) report() {
	if d.due {
		return
	}
	own := d.n.sched.State()
	send, again := d.lending.ReportDue(d.l.z.sim.Now(), own)
	if again > 0 {
		d.due = true
		d.l.z.sim.After(again, func() {
			d.due = false
			d.report()
		})
	}
	if !send {
		return
	}
	for _, m := range d.l.daemons {
		if m != d {
			d.l.z.send(d.id, m.id, stateMessage{Pool: poolName, State: own}, func() { m.onState(strconv.Itoa(d.id), own) })
		}
	}
}

func (d *lendDaemon) onState(from string, s dispatch.PoolState) {
	d.lending.Observe(from, s)
	d.push()
	d.pull()
}

// push hands waiting requests to mates that have free slots.
func (d *lendDaemon) push() {
	for _, long := range []bool{false, true} {
		for d.n.sched.State().HasQueued(long) {
			to, ok := d.lending.ReserveSlot(long)
			if !ok {
				break
			}
			d.surrender(to, long)
		}
	}
}
