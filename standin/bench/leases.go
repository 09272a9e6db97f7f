package bench

import (
	"time"

	"greengagedeck/internal/verdict"
)

var (
	queueFull = *verdict.NewNotRun(verdict.ReasonQueueFull, "bench")
	noHome    = *verdict.NewNotRun(verdict.ReasonPeerLost, "bench")
	tooLate   = *verdict.NewNotRun(verdict.ReasonDeadline, "bench")
)

// leaseIdle is how long a daemon keeps a leased slot that it does not use.
const leaseIdle = 10 * time.Millisecond

// leaseMessage is every message of the lease protocol.
type leaseMessage struct {
	Kind uint8 `cbor:"1,keyasint"`
	Host int   `cbor:"2,keyasint"`
	N    int   `cbor:"3,keyasint,omitempty"`
}

const (
	leaseAsk uint8 = iota + 1
	leaseGrant
	leaseRecall
	leaseReturn
)

// leases lets each target's home daemon lease its slots to the others. A daemon
// asks when requests wait, and returns what it does not use, at once when the
// home recalls it.
type leases struct {
	z       *zone
	daemons []*leaseDaemon
	hosts   []*leaseHost
}

// leaseHost is the home's view of one target.
type leaseHost struct {
	home    int
	free    int
	waiting []int // daemons that asked in vain
}

// leaseDaemon is one daemon's view.
type leaseDaemon struct {
	l        *leases
	id       int
	n        *node
	held     []int  // leased slots by target
	busy     []int  // leased slots in use
	asked    []bool // an ask is under way or waits at the home
	recalled []bool
}

func newLeases(z *zone) sharing {
	l := &leases{z: z}
	for i := range z.shape.hosts {
		l.hosts = append(l.hosts, &leaseHost{home: i % z.shape.daemons, free: z.shape.slots})
	}
	for d := range z.shape.daemons {
		n := z.shape.hosts
		ld := &leaseDaemon{
			l: l, id: d, n: newNode(z),
			held: make([]int, n), busy: make([]int, n),
			asked: make([]bool, n), recalled: make([]bool, n),
		}
		ld.n.freed = ld.freed
		ld.apply()
		l.daemons = append(l.daemons, ld)
	}
	z.sim.Every(leaseIdle, z.end, l.returnIdle)
	return l
}

func (l *leases) arrive(w *work) {
	d := l.daemons[w.daemon]
	d.n.submit(w, func(o outcome) { l.z.answer(w, o) })
	d.ask()
}

// apply tells the scheduler what is held now.
func (d *leaseDaemon) apply() {
	list := append(d.l.z.list[:0:0], d.l.z.list...)
	for i := range list {
		list[i].Slots = d.held[i]
	}
	d.n.sched.SetTargets(list)
	d.n.pump()
}

// ask asks for one more slot of each target while more requests wait than asks
// are under way.
func (d *leaseDaemon) ask() {
	want := d.n.sched.Load().Queued
	for _, a := range d.asked {
		if a {
			want--
		}
	}
	first := d.l.z.sim.rng.IntN(len(d.asked))
	for k := range d.asked {
		i := (first + k) % len(d.asked)
		if want <= 0 {
			return
		}
		if d.asked[i] || d.held[i] >= d.l.z.shape.slots {
			continue
		}
		want--
		d.asked[i] = true
		d.l.send(d.id, d.l.hosts[i].home, leaseMessage{Kind: leaseAsk, Host: i, N: 1}, func() { d.l.onAsk(d.id, i) })
	}
}

// send skips the network for a daemon that is the home itself.
func (l *leases) send(from, to int, m leaseMessage, f func()) {
	if from == to {
		f()
		return
	}
	l.z.send(from, to, m, f)
}

func (l *leases) onAsk(from, host int) {
	h := l.hosts[host]
	if h.free > 0 {
		l.grant(from, host)
		return
	}
	h.waiting = append(h.waiting, from)
	for _, d := range l.daemons {
		if d.id != from {
			l.send(h.home, d.id, leaseMessage{Kind: leaseRecall, Host: host}, func() { d.onRecall(host) })
		}
	}
}

func (l *leases) grant(to, host int) {
	h := l.hosts[host]
	h.free--
	l.send(h.home, to, leaseMessage{Kind: leaseGrant, Host: host, N: 1}, func() { l.daemons[to].onGrant(host) })
}

func (d *leaseDaemon) onGrant(host int) {
	d.asked[host] = false
	d.held[host]++
	d.apply()
	d.ask()
}

// onRecall returns an idle slot at once, or else the next one that frees when
// this daemon holds more than its even part.
func (d *leaseDaemon) onRecall(host int) {
	if d.spare(host) > 0 {
		d.give(host, 1)
		return
	}
	d.recalled[host] = true
}

func (d *leaseDaemon) spare(host int) int {
	return d.held[host] - d.n.sched.UsedSlots(d.l.z.list[host].Host)
}

func (d *leaseDaemon) give(host, n int) {
	d.held[host] -= n
	d.apply()
	d.l.send(d.id, d.l.hosts[host].home, leaseMessage{Kind: leaseReturn, Host: host, N: n}, func() { d.l.onReturn(host, n) })
}

func (l *leases) onReturn(host, n int) {
	h := l.hosts[host]
	h.free += n
	for h.free > 0 && len(h.waiting) > 0 {
		to := h.waiting[0]
		h.waiting = h.waiting[1:]
		l.grant(to, host)
	}
}

// freed runs when a slot has become free, before the own queue gets it.
func (d *leaseDaemon) freed() {
	even := max(1, d.l.z.shape.slots/d.l.z.shape.daemons)
	for i := range d.recalled {
		if d.recalled[i] && (d.spare(i) > 0 || d.held[i] > even) {
			d.returnRecalled(i)
		}
	}
	d.ask()
}

func (d *leaseDaemon) returnRecalled(host int) {
	if d.spare(host) <= 0 {
		return
	}
	d.recalled[host] = false
	d.give(host, 1)
}

// returnIdle gives back slots that were not used since the last call, but one
// for each target.
func (l *leases) returnIdle() {
	for _, d := range l.daemons {
		if d.n.sched.Load().Queued > 0 {
			continue
		}
		for i := range d.held {
			if n := d.spare(i) - 1; n > 0 {
				d.give(i, n)
			}
		}
	}
}
