package pool

import (
	"context"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

// daemon is one incarnation of a simulated daemon.
type daemon struct {
	sim          *simulation
	index        int
	id           string
	gate         *Gate
	controller   *Controller
	offset       int
	paused       bool
	disconnected bool
	dead         bool
	proposals    []Move
}

// Append implements intent.Appender according to the log's current mode.
func (d *daemon) Append(_ context.Context, r record.Record) error {
	switch {
	case d.disconnected || d.sim.mode == logDown:
		return platform.ErrUnavailable
	case d.sim.mode == logDelays:
		d.sim.delayed = append(d.sim.delayed, r)
		return platform.ErrUncertain
	case d.sim.mode == logLosesResponse:
		d.sim.append(r)
		return platform.ErrUncertain
	}
	d.sim.append(r)
	return nil
}

// Usage implements UsageReader with the host's last report.
func (d *daemon) Usage(_ context.Context, host string) (platform.HostUsage, error) {
	if d.disconnected {
		return platform.HostUsage{}, platform.ErrUnavailable
	}
	return d.sim.hosts[host].report, nil
}

// applyRecords makes the daemon apply the next n records of the log.
func (d *daemon) applyRecords(n int) {
	if d.disconnected || d.paused || d.dead {
		return
	}
	for ; n > 0 && d.offset < len(d.sim.log)-1; n-- {
		d.offset++
		f := d.sim.log[d.offset]
		d.controller.Update(PublishedState{Pools: &f.pools, Catalogue: &f.catalogue, Members: f.members.InZone("a")})
	}
}

func (d *daemon) step() {
	if d.paused || d.dead {
		return
	}
	if d.sim.faults.skipInProgress {
		d.gate.mu.Lock()
		clear(d.gate.inProgress)
		d.gate.mu.Unlock()
	}
	d.controller.Step(context.Background(), d.sim.now)
}

// enter starts a request through the gate; simHost.sendAll sends it.
func (d *daemon) enter(host, pool string) *simRequest {
	if d.paused || d.dead {
		return nil
	}
	leave, ok := d.gate.Enter(host, pool)
	if !ok {
		return nil
	}
	r := &simRequest{pool: pool, daemon: d, leave: leave}
	d.sim.hosts[host].requests = append(d.sim.hosts[host].requests, r)
	d.sim.startedRequests++
	return r
}

// enterAsOwner starts a request of the pool that owns host in the daemon's state.
func (d *daemon) enterAsOwner(host string) *simRequest {
	return d.enter(host, d.sim.log[d.offset].pools.Hosts[host].Pool)
}
