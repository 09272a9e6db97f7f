package main

import (
	"github.com/rs/zerolog"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/customer"
	"greengagedeck/internal/duty"
	"greengagedeck/internal/fleetview"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
)

// newFleetView returns what answers operators' queries about customers and jobs, and what
// reports on the customers of the pools that this daemon holds.
func newFleetView(self duty.Member, p *policy.Current, d *dutyObserver, n *peer.Node, cl clock.Clock, l zerolog.Logger, m metrics) (*fleetview.Service, *fleetview.Watch) {
	local := func(pool string) (fleetview.Runner, bool) {
		r, ok := d.schedulers.Runner(pool)
		return r, ok
	}
	s := fleetview.NewService(fleetview.Options{Self: self, Policy: p, Holders: d.elector, Local: local, Caller: n})
	s.Register(n)
	w := fleetview.NewWatch(fleetview.WatchOptions{
		Pools:   d.schedulers.Pools,
		Local:   local,
		Weights: func() map[customer.ID]float64 { return customerWeights(p) },
		Clock:   cl,
		Logger:  l,
		Scope:   m.scope,
	})
	return s, w
}

// customerWeights returns the weights of the customers in force.
func customerWeights(p *policy.Current) map[customer.ID]float64 {
	current := p.Get()
	if current == nil {
		return nil
	}
	out := make(map[customer.ID]float64, current.Customers.Len())
	for _, c := range current.Customers.All() {
		out[c.ID] = c.Weight
	}
	return out
}
