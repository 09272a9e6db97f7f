package pool

import (
	"context"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

// daemon is one incarnation of a daemon.
type daemon struct {
	w       *world
	slot    int
	id      string
	gate    *Gate
	ctl     *Controller
	offset  int
	paused  bool
	cut     bool
	dead    bool
	desired []Move
}

// Append implements Appender under the log's current mode.
func (d *daemon) Append(_ context.Context, r record.Record) error {
	switch {
	case d.cut || d.w.mode == logDown:
		return platform.ErrUnavailable
	case d.w.mode == logDelays:
		d.w.delayed = append(d.w.delayed, r)
		return platform.ErrUncertain
	case d.w.mode == logLosesAnswer:
		d.w.append(r)
		return platform.ErrUncertain
	}
	d.w.append(r)
	return nil
}

// Usage implements Usage with the host's last report.
func (d *daemon) Usage(_ context.Context, host string) (platform.HostUsage, error) {
	if d.cut {
		return platform.HostUsage{}, platform.ErrUnavailable
	}
	return d.w.hosts[host].report, nil
}

// fold lets the daemon see the next n records.
func (d *daemon) fold(n int) {
	if d.cut || d.paused || d.dead {
		return
	}
	for ; n > 0 && d.offset < len(d.w.log)-1; n-- {
		d.offset++
		f := d.w.log[d.offset]
		d.ctl.Update(Published{Pools: &f.pools, Catalogue: &f.catalogue, Members: f.members.InZone("a")})
	}
}

func (d *daemon) step() {
	if d.paused || d.dead {
		return
	}
	if d.w.variant.skipCount {
		d.gate.mu.Lock()
		clear(d.gate.busy)
		d.gate.mu.Unlock()
	}
	d.ctl.Step(context.Background(), d.w.now)
}

// enter asks the gate for a request; send puts it on the wire.
func (d *daemon) enter(host, pool string) *run {
	if d.paused || d.dead {
		return nil
	}
	leave, ok := d.gate.Enter(host, pool)
	if !ok {
		return nil
	}
	r := &run{pool: pool, owner: d, leave: leave}
	d.w.hosts[host].runs = append(d.w.hosts[host].runs, r)
	d.w.started++
	return r
}

// enterOwned asks for a request of the pool that the daemon knows to own host.
func (d *daemon) enterOwned(host string) *run {
	return d.enter(host, d.w.log[d.offset].pools.Hosts[host].Pool)
}
