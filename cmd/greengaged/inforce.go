package main

import (
	"context"
	"fmt"

	"github.com/rs/zerolog"

	"greengagedeck/internal/attempt"
	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/decision"
	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
	"greengagedeck/internal/replica"
	"greengagedeck/internal/request"
)

// inForce reads the folded state for the request path.
type inForce struct {
	self    membership.Member
	replica *replica.Replica
}

func newInForce(self membership.Member, r *replica.Replica) *inForce {
	return &inForce{self: self, replica: r}
}

func (f *inForce) catalogue() *catalogue.State { return &f.replica.State().Catalogue }

// Entry returns an entry in force.
func (f *inForce) Entry(name string) (catalogue.Entry, bool) {
	v, ok := f.catalogue().Entries[name]
	return v.Value, ok
}

// Pool returns a pool in force.
func (f *inForce) Pool(name string) (catalogue.Pool, bool) {
	v, ok := f.catalogue().Pools[name]
	return v.Value, ok
}

// Team returns a team in force.
func (f *inForce) Team(name string) (catalogue.Team, bool) {
	v, ok := f.catalogue().Teams[name]
	return v.Value, ok
}

// Largest returns the size of the largest host of a pool.
func (f *inForce) LargestHost(name string) (cores, memoryGB int) {
	s := f.replica.State()
	for host, h := range s.Pools.Hosts {
		if h.Pool != name {
			continue
		}
		spec := s.Catalogue.Hosts[host].Value
		cores = max(cores, spec.Cores)
		memoryGB = max(memoryGB, spec.MemoryGB)
	}
	return cores, memoryGB
}

// peerAddress returns where a member is dialled.
func (f *inForce) peerAddress(id string) (string, bool) {
	m, ok := f.replica.State().Members.Members[id]
	return m.PeerAddress, ok
}

// targets lists the hosts of this daemon's zone that may take new work.
type targets struct {
	inForce  *inForce
	gate     *pool.Gate
	list     *membership.ListReader
	detector *membership.Detector
}

// share is one daemon's part of a host's connections, at least one.
func share(connections, daemons int) int {
	return max(1, connections/max(1, daemons))
}

// Targets implements dispatch.Targets.
func (t targets) Targets(name string) []dispatch.Target {
	s := t.inForce.replica.State()
	spec, ok := s.Catalogue.Pools[name]
	if !ok {
		return nil
	}
	hosts := t.gate.Hosts(name)
	out := make([]dispatch.Target, 0, len(hosts))
	for _, h := range hosts {
		if leaving, _ := t.list.Leaving(h); leaving {
			continue
		}
		owned := s.Pools.Hosts[h]
		size := s.Catalogue.Hosts[h].Value
		out = append(out, dispatch.Target{
			Host:        h,
			Address:     owned.Address,
			Zone:        owned.Zone,
			Slots:       spec.Value.SlotsPerHost,
			Connections: share(spec.Value.ConnectionsPerHost, len(t.detector.Mates())),
			Cores:       size.Cores,
			MemoryGB:    size.MemoryGB,
		})
	}
	return out
}

// awakeGate keeps requests from starting in a process that was paused and has
// not caught up since.
type awakeGate struct {
	*pool.Gate
	detector *membership.Detector
}

// Enter implements dispatch.Gate.
func (g awakeGate) Enter(host, pool string) (leave func(), ok bool) {
	if g.detector.Paused() {
		return nil, false
	}
	return g.Gate.Enter(host, pool)
}

// doer adapts an attempt.Client to dispatch.Doer. The request has entered the
// gate, so the gate's address of the host is that of the incarnation it entered;
// the one in the target may be older.
type doer struct {
	client *attempt.Client
	gate   *pool.Gate
}

// Do implements dispatch.Doer.
func (d doer) Do(ctx context.Context, t dispatch.Target, r *request.Request) (*request.Response, error) {
	at := attempt.Target{Host: t.Host, Address: t.Address, Connections: t.Connections}
	if address, ok := d.gate.Address(t.Host); ok {
		at.Address = address
	}
	return d.client.Do(ctx, at, r)
}

// noteEjection records why a host takes no requests, or takes them again.
func noteEjection(n *decision.NoteWriter, f *inForce, l zerolog.Logger, c attempt.Change) {
	p, _ := f.Pool(c.Pool)
	reason := fmt.Sprintf("%s, was %s: %d of its %d tries failed, %d of %d on the pool's other hosts", c.To, c.From, c.Failures, c.Attempts, c.OtherFailures, c.OtherAttempts)
	cause := record.Cause{Object: "pool/" + c.Pool, Owner: p.Owner, Reason: reason}
	n.Write(c.At, cause, "host/"+c.Host, "pool/"+c.Pool)
	l.Warn().Str("target", c.Host).Str("pool", c.Pool).Str("reason", reason).Msg("target health changed")
}
