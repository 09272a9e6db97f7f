package fleet

import (
	"time"

	"greengagedeck/internal/scheduler"
)

// servingGrace is how long a host still counts as capacity once its worker takes
// no tasks. A worker that missed a call, or whose pool has a new holder, mostly
// takes tasks again sooner than another host would.
const servingGrace = 3 * time.Second

// isCapacity reports whether a host is capacity of its pool: its worker takes
// tasks, or is expected to do so soon.
func (d *decider) isCapacity(h Host) bool {
	l := d.workerLoads[h.Worker]
	switch {
	case h.State == HostDown || l.Cordoned || l.Draining:
		return false
	case l.Schedulable || l.Joining:
		return true
	default:
		return d.isArriving(h) || d.RecentlyServing[h.Name]
	}
}

// isArriving reports whether a host is on its way to its pool, so that its worker
// will soon take tasks. A worker that its pool has polled is not: if it takes no
// tasks, it is not known when it will. Nor is a host whose move or maintenance
// takes longer than it should.
func (d *decider) isArriving(h Host) bool {
	if !d.Arriving[h.Name] {
		return false
	}
	l, known := d.workerLoads[h.Worker]
	return h.State != HostUp || !known || l.Joining
}

// isEmptying reports whether the long-running tasks on a host have to move to others.
func (d *decider) isEmptying(h Host) bool {
	l := d.workerLoads[h.Worker]
	return l.LongRunning > 0 && (l.Draining || l.Cordoned && d.awaitingMaintenance[h.Name])
}

// cordon cordons the worker on a host of a pool.
func (d *decider) cordon(p *poolState, a Action) {
	if d.isCapacity(d.hostsByName[a.Host]) {
		p.hosts--
	}
	p.cordoned++
	if a.Evacuate && d.workerLoads[a.Worker].LongRunning > 0 {
		p.emptying++
	}
	d.addAction(a)
}

// trackEarlierOrders counts the orders of earlier holders of the duty as ended when
// the host was first seen out of service.
func (s *session) trackEarlierOrders(now time.Duration) {
	for _, h := range s.hostList.hosts {
		_, ordered := s.lastOrdered[h.Name]
		if !ordered && (h.State == HostMoving || h.State == HostInMaintenance) {
			s.lastOrdered[h.Name] = now
		}
	}
}

// trackServing updates notServingSince and sets RecentlyServing of the view. Hosts
// of pools without a report are left out: nothing is known of their workers.
func (s *session) trackServing(v *View, now time.Duration) {
	loads := map[string]scheduler.WorkerLoad{}
	hasReport := map[string]bool{}
	for _, p := range v.Pools {
		hasReport[p.Name] = p.HasReport
		for _, w := range p.Report.Workers {
			loads[w.ID] = w
		}
	}
	for _, h := range v.Hosts {
		if !hasReport[h.Pool] || h.State != HostUp || loads[h.Worker].Schedulable {
			delete(s.notServingSince, h.Name)
			continue
		}
		since, seen := s.notServingSince[h.Name]
		if !seen {
			since = now
			s.notServingSince[h.Name] = since
		}
		v.RecentlyServing[h.Name] = now-since < servingGrace
	}
}
