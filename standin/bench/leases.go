package bench

import (
	"time"

	"greengagedeck/internal/verdict"
)

var (
	queueFullError = *verdict.NewNotRun(verdict.ReasonQueueFull, "bench")
	noHomeError    = *verdict.NewNotRun(verdict.ReasonPeerLost, "bench")
	deadlineError  = *verdict.NewNotRun(verdict.ReasonDeadline, "bench")
)

// leaseIdleTimeout is how long a daemon keeps a leased slot that it does not use.
const leaseIdleTimeout = 10 * time.Millisecond

// leaseMessage is the format of all messages of the lease protocol.
type leaseMessage struct {
	Kind uint8 `cbor:"1,keyasint"`
	Host int   `cbor:"2,keyasint"`
	N    int   `cbor:"3,keyasint,omitempty"`
}

const (
	leaseRequest uint8 = iota + 1
	leaseGrant
	leaseRecall
	leaseReturn
)

// slotLeases gives each target an owner daemon, which leases the target's slots to
// the other daemons. A daemon requests slots while its requests wait. It returns
// slots that it does not use, immediately if the owner recalls them.
type slotLeases struct {
	z       *zone
	daemons []*leaseDaemon
	hosts   []*leaseHost
}

// leaseHost is the owner's state of one target.
type leaseHost struct {
	owner   int
	free    int
	waiting []int // daemons whose requests were not granted yet
}

// leaseDaemon is the state of one daemon.
type leaseDaemon struct {
	leases    *slotLeases
	id        int
	n         *node
	held      []int  // leased slots by target
	busy      []int  // leased slots in use
	requested []bool // a slot request is in flight or waits at the owner
	recalled  []bool
}

func newLeases(z *zone) strategy {
	l := &slotLeases{z: z}
	for i := range z.shape.hosts {
		l.hosts = append(l.hosts, &leaseHost{owner: i % z.shape.daemons, free: z.shape.slots})
	}
	for d := range z.shape.daemons {
		n := z.shape.hosts
		ld := &leaseDaemon{
			leases: l, id: d, n: newNode(z),
			held: make([]int, n), busy: make([]int, n),
			requested: make([]bool, n), recalled: make([]bool, n),
		}
		ld.n.onSlotFreed = ld.onSlotFreed
		ld.updateTargets()
		l.daemons = append(l.daemons, ld)
	}
	z.sim.Every(leaseIdleTimeout, z.end, l.returnIdle)
	return l
}

func (l *slotLeases) arrive(req *simRequest) {
	d := l.daemons[req.daemon]
	d.n.submit(req, func(o outcome) { l.z.recordAnswer(req, o) })
	d.requestSlots()
}

// updateTargets passes the slots that are held now to the scheduler.
func (d *leaseDaemon) updateTargets() {
	list := append(d.leases.z.targetList[:0:0], d.leases.z.targetList...)
	for i := range list {
		list[i].Slots = d.held[i]
	}
	d.n.sched.SetTargets(list)
	d.n.applyDecisions()
}

// requestSlots requests one more slot of each target as long as more requests wait
// than slot requests are pending.
func (d *leaseDaemon) requestSlots() {
	want := d.n.sched.Load().Queued
	for _, a := range d.requested {
		if a {
			want--
		}
	}
	first := d.leases.z.sim.rng.IntN(len(d.requested))
	for k := range d.requested {
		i := (first + k) % len(d.requested)
		if want <= 0 {
			return
		}
		if d.requested[i] || d.held[i] >= d.leases.z.shape.slots {
			continue
		}
		want--
		d.requested[i] = true
		d.leases.send(d.id, d.leases.hosts[i].owner, leaseMessage{Kind: leaseRequest, Host: i, N: 1}, func() { d.leases.onRequest(d.id, i) })
	}
}

// send delivers a message. A daemon that is the owner itself gets it without the
// network.
func (l *slotLeases) send(from, to int, m leaseMessage, f func()) {
	if from == to {
		f()
		return
	}
	l.z.sendControl(from, to, m, f)
}

func (l *slotLeases) onRequest(from, host int) {
	h := l.hosts[host]
	if h.free > 0 {
		l.grant(from, host)
		return
	}
	h.waiting = append(h.waiting, from)
	for _, d := range l.daemons {
		if d.id != from {
			l.send(h.owner, d.id, leaseMessage{Kind: leaseRecall, Host: host}, func() { d.onRecall(host) })
		}
	}
}

func (l *slotLeases) grant(to, host int) {
	h := l.hosts[host]
	h.free--
	l.send(h.owner, to, leaseMessage{Kind: leaseGrant, Host: host, N: 1}, func() { l.daemons[to].onGrant(host) })
}

func (d *leaseDaemon) onGrant(host int) {
	d.requested[host] = false
	d.held[host]++
	d.updateTargets()
	d.requestSlots()
}

// onRecall returns an idle slot immediately. If there is none, the next slot that
// becomes free is returned if this daemon holds more than its even share.
func (d *leaseDaemon) onRecall(host int) {
	if d.idleSlots(host) > 0 {
		d.returnSlots(host, 1)
		return
	}
	d.recalled[host] = true
}

func (d *leaseDaemon) idleSlots(host int) int {
	return d.held[host] - d.n.sched.UsedSlots(d.leases.z.targetList[host].Host)
}

func (d *leaseDaemon) returnSlots(host, n int) {
	d.held[host] -= n
	d.updateTargets()
	d.leases.send(d.id, d.leases.hosts[host].owner, leaseMessage{Kind: leaseReturn, Host: host, N: n}, func() { d.leases.onReturn(host, n) })
}

func (l *slotLeases) onReturn(host, n int) {
	h := l.hosts[host]
	h.free += n
	for h.free > 0 && len(h.waiting) > 0 {
		to := h.waiting[0]
		h.waiting = h.waiting[1:]
		l.grant(to, host)
	}
}

// onSlotFreed runs when a slot has become free, before this daemon's own queue gets
// it.
func (d *leaseDaemon) onSlotFreed() {
	evenShare := max(1, d.leases.z.shape.slots/d.leases.z.shape.daemons)
	for i := range d.recalled {
		if d.recalled[i] && (d.idleSlots(i) > 0 || d.held[i] > evenShare) {
			d.returnRecalled(i)
		}
	}
	d.requestSlots()
}

func (d *leaseDaemon) returnRecalled(host int) {
	if d.idleSlots(host) <= 0 {
		return
	}
	d.recalled[host] = false
	d.returnSlots(host, 1)
}

// returnIdle runs every leaseIdleTimeout. Daemons without waiting requests return
// their idle slots, except one for each target.
func (l *slotLeases) returnIdle() {
	for _, d := range l.daemons {
		if d.n.sched.Load().Queued > 0 {
			continue
		}
		for i := range d.held {
			if n := d.idleSlots(i) - 1; n > 0 {
				d.returnSlots(i, n)
			}
		}
	}
}
