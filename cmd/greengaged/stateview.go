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

// stateView gives the request path read access to the replicated state.
type stateView struct {
	self    membership.Member
	replica *replica.Replica
}

func newStateView(self membership.Member, r *replica.Replica) *stateView {
	return &stateView{self: self, replica: r}
}

func (sv *stateView) catalogue() *catalogue.State { return &sv.replica.State().Catalogue }

// Entry returns an entry of the current catalogue.
func (sv *stateView) Entry(name string) (catalogue.Entry, bool) {
	v, ok := sv.catalogue().Entries[name]
	return v.Value, ok
}

// Pool returns a pool of the current catalogue.
func (sv *stateView) Pool(name string) (catalogue.Pool, bool) {
	v, ok := sv.catalogue().Pools[name]
	return v.Value, ok
}

// Team returns a team of the current catalogue.
func (sv *stateView) Team(name string) (catalogue.Team, bool) {
	v, ok := sv.catalogue().Teams[name]
	return v.Value, ok
}

// LargestHost returns the largest number of cores and the largest memory of a
// pool's hosts.
func (sv *stateView) LargestHost(name string) (cores, memoryGB int) {
	s := sv.replica.State()
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

// peerAddress returns the address at which a member is dialled.
func (sv *stateView) peerAddress(id string) (string, bool) {
	m, ok := sv.replica.State().Members.Members[id]
	return m.PeerAddress, ok
}

// zoneTargets lists the hosts of this daemon's zone that may take new work.
type zoneTargets struct {
	view     *stateView
	gate     *pool.Gate
	list     *membership.ListReader
	detector *membership.Detector
}

// connectionShare returns one daemon's share of a host's connections, at least
// one.
func connectionShare(connections, daemons int) int {
	return max(1, connections/max(1, daemons))
}

// Targets implements dispatch.Targets.
func (t zoneTargets) Targets(name string) []dispatch.Target {
	s := t.view.replica.State()
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
			Connections: connectionShare(spec.Value.ConnectionsPerHost, len(t.detector.ZoneMembers())),
			Cores:       size.Cores,
			MemoryGB:    size.MemoryGB,
		})
	}
	return out
}

// pauseAwareGate rejects requests in a process that was paused and has not caught
// up since.
type pauseAwareGate struct {
	*pool.Gate
	detector *membership.Detector
}

// Enter implements dispatch.Gate.
func (g pauseAwareGate) Enter(host, pool string) (leave func(), ok bool) {
	if g.detector.Paused() {
		return nil, false
	}
	return g.Gate.Enter(host, pool)
}

// executor runs the dispatcher's requests through an attempt.Client. The request
// has entered the gate, so the gate's address of the host is that of the
// incarnation it entered; the address in the target may be older.
type executor struct {
	client *attempt.Client
	gate   *pool.Gate
}

// Do implements dispatch.Executor.
func (e executor) Do(ctx context.Context, t dispatch.Target, r *request.Request) (*request.Response, error) {
	at := attempt.Target{Host: t.Host, Address: t.Address, Connections: t.Connections}
	if address, ok := e.gate.Address(t.Host); ok {
		at.Address = address
	}
	return e.client.Do(ctx, at, r)
}

// recordEjection records why a host was ejected from serving requests or restored.
func recordEjection(n *decision.NoteWriter, view *stateView, l zerolog.Logger, c attempt.Change) {
	p, _ := view.Pool(c.Pool)
	reason := fmt.Sprintf("%s, was %s: %d of its %d tries failed, %d of %d on the pool's other hosts", c.To, c.From, c.Failures, c.Attempts, c.OtherFailures, c.OtherAttempts)
	cause := record.Cause{Object: "pool/" + c.Pool, Owner: p.Owner, Reason: reason}
	n.Write(c.At, cause, "host/"+c.Host, "pool/"+c.Pool)
	l.Warn().Str("target", c.Host).Str("pool", c.Pool).Str("reason", reason).Msg("target health changed")
}
