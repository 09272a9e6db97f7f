package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/intent"
	"greengagedeck/internal/record"
)

// PublishedState is the part of the replicated state that this package plans
// with.
type PublishedState struct {
	Pools     *State
	Catalogue *catalogue.State
	// Members holds the IDs of the members of the daemon's zone, sorted.
	Members []string
}

// PlanInputs holds the inputs of Plan besides the published state.
type PlanInputs struct {
	Self string
	Zone string
	// AckableDrains holds the IDs of the drains that this daemon may acknowledge.
	AckableDrains map[string]bool
	// Suspects holds the members of the zone that do not answer heartbeats. No
	// drain is started while there are any, since it would wait for them.
	Suspects []string
	// FailedHosts holds the hosts of the zone that have failed, or nil if that
	// is not known.
	FailedHosts map[string]bool
	// RequestedDrains holds the drains that the catalogue requests
	// (State.RequestedDrains).
	RequestedDrains []RequestedDrain
	// Demand holds the zone's demand in the last time slot that has ended, or
	// nil.
	Demand *SlotDemand
	// Moves holds the moves that the spare policy proposes.
	Moves []Move
	// MoveTimeout is how long a move may wait for a member that does not answer
	// before the move is cancelled.
	MoveTimeout time.Duration
	// LendingTimeout is how long a move of the spare policy may wait for
	// requests to end before the move is cancelled.
	LendingTimeout time.Duration
}

// Move is a proposal to lend a host of the zone or to return a lent one.
type Move struct {
	Host, From, To string
	Cause          record.Cause
}

// Plan returns the records that this daemon should append now: acknowledgements
// first, since other daemons wait for them, then host health, drains that the
// catalogue or the spare policy requests, cancellations and demand. It does not
// modify p.
func Plan(p PublishedState, now time.Time, in PlanInputs) []intent.Intent {
	intents := planAcks(p.Pools, in)
	intents = append(intents, planHealth(p, in)...)
	intents = append(intents, planDrains(p, in)...)
	intents = append(intents, planCancels(p, now, in)...)
	return append(intents, planDemand(p, in)...)
}

func planAcks(s *State, in PlanInputs) []intent.Intent {
	var intents []intent.Intent
	for _, id := range slices.Sorted(maps.Keys(s.Drains)) {
		d := s.Drains[id]
		if !d.awaitsAck(in.Self) || !in.AckableDrains[id] {
			continue
		}
		intents = append(intents, intent.Intent{
			Key:   fmt.Sprintf("ack/%s/%d", id, d.Round),
			Kind:  KindAck,
			Cause: d.Cause,
			Body:  Ack{Drain: id, Round: d.Round},
		})
	}
	return intents
}

// planHealth marks hosts that have failed or recovered. A host that is out of
// service is skipped: it is expected to be unreachable at times, and the
// maintenance package determines its health.
func planHealth(p PublishedState, in PlanInputs) []intent.Intent {
	if in.FailedHosts == nil {
		return nil
	}
	var intents []intent.Intent
	for _, name := range slices.Sorted(maps.Keys(p.Pools.Hosts)) {
		h := p.Pools.Hosts[name]
		if h.Zone != in.Zone || h.Phase == PhaseOutOfService || h.Failed == in.FailedHosts[name] {
			continue
		}
		intents = append(intents, healthIntent(p.Catalogue, name, h, in.FailedHosts[name]))
	}
	return intents
}

func healthIntent(c *catalogue.State, name string, h Host, failed bool) intent.Intent {
	reason := "the host answers again"
	if failed {
		reason = "the platform or the host itself reports that it failed"
	}
	pool := c.Pools[h.Pool]
	return intent.Intent{
		Key:    fmt.Sprintf("health/%s/%t", name, failed),
		Shared: true,
		Kind:   KindHealth,
		Cause: record.Cause{
			Object: "pool/" + h.Pool, Owner: pool.Value.Owner, Version: pool.Version, Reason: reason,
		},
		Body: Health{Host: name, Failed: failed},
	}
}

func planDrains(p PublishedState, in PlanInputs) []intent.Intent {
	if len(in.Suspects) > 0 {
		return nil
	}
	if len(in.RequestedDrains) == 0 && len(in.Moves) == 0 {
		return nil
	}
	scratch := p.Pools.Clone()
	budgets := scratch.BudgetUsage()
	var intents []intent.Intent
	propose := func(b StartDrain, cause record.Cause) (rejection string) {
		if reason := budgets.CheckDrain(p.Catalogue, b); reason != "" {
			return reason
		}
		proposed := drainIntent(b, cause)
		budgets.BeginDrain(Drain{ID: proposed.Key, Host: b.Host, Purpose: b.Purpose, From: b.From, To: b.To})
		intents = append(intents, proposed)
		return ""
	}
	for _, w := range in.RequestedDrains {
		h := p.Pools.Hosts[w.Host]
		if h.Zone != in.Zone {
			continue
		}
		cause := requestedDrainCause(p.Catalogue, w)
		if reason := propose(w.StartDrain, cause); reason != "" && h.BlockedVersion < w.Version {
			intents = append(intents, blockedIntent(w, cause, reason))
		}
	}
	for _, m := range in.Moves {
		if p.Pools.Hosts[m.Host].Zone != in.Zone {
			continue
		}
		propose(StartDrain{Host: m.Host, Purpose: PurposeMove, From: m.From, To: m.To}, m.Cause)
	}
	return intents
}

func drainIntent(b StartDrain, cause record.Cause) intent.Intent {
	return intent.Intent{
		Key:    fmt.Sprintf("drain/%s/%s/%s", b.Host, b.Purpose, b.To),
		Shared: true,
		Kind:   KindDrain,
		Cause:  cause,
		Body:   b,
	}
}

// blockedIntent records, once for each catalogue version, why a requested drain
// cannot start yet. The drain stays requested.
func blockedIntent(w RequestedDrain, cause record.Cause, reason string) intent.Intent {
	cause.Reason += ", but " + reason
	return intent.Intent{
		Key:    fmt.Sprintf("blocked/%s/%d", w.Host, w.Version),
		Shared: true,
		Kind:   KindBlocked,
		Cause:  cause,
		Body:   WantBlocked{Host: w.Host, Version: w.Version},
	}
}

func requestedDrainCause(c *catalogue.State, w RequestedDrain) record.Cause {
	reason := fmt.Sprintf("the catalogue asks to %s the host", w.Purpose)
	owner := c.Pools[w.From].Value.Owner
	if w.Purpose == PurposeMove {
		reason = fmt.Sprintf("the catalogue names pool %s, the host serves %s", w.To, w.From)
		owner = c.Pools[w.To].Value.Owner
	}
	return record.Cause{Object: w.Object, Owner: owner, Version: w.Version, Reason: reason}
}

// planCancels cancels moves that cannot complete, because their pool has been
// removed or they have waited too long. The host then serves its old pool again.
// Drains for maintenance are cancelled by the maintenance package.
func planCancels(p PublishedState, now time.Time, in PlanInputs) []intent.Intent {
	var intents []intent.Intent
	for _, id := range slices.Sorted(maps.Keys(p.Pools.Drains)) {
		d := p.Pools.Drains[id]
		if d.Zone != in.Zone || d.Purpose != PurposeMove {
			continue
		}
		reason := d.cancelReason(p, now, in)
		if reason == "" {
			continue
		}
		cause := d.Cause
		cause.Reason = reason
		intents = append(intents, intent.Intent{
			Key:    "cancel/" + id,
			Shared: true,
			Kind:   KindCancel,
			Cause:  cause,
			Body:   DrainRef{Drain: id},
		})
	}
	return intents
}

// cancelReason returns why a move should be cancelled, or "". A move requested by
// a catalogue edit waits for requests to end without a time limit.
func (d Drain) cancelReason(p PublishedState, now time.Time, in PlanInputs) string {
	if _, ok := p.Catalogue.Pools[d.To]; !ok {
		return "pool " + d.To + " is no longer in the catalogue"
	}
	waited := now.Sub(d.StartedAt)
	for _, member := range d.PendingMembers {
		if waited > in.MoveTimeout && slices.Contains(in.Suspects, member) {
			return fmt.Sprintf("%s has not answered for %s", member, waited.Round(time.Second))
		}
	}
	if requested := p.Pools.Hosts[d.Host].RequestedPool == d.To; !requested && waited > in.LendingTimeout {
		return fmt.Sprintf("after %s still waiting for %v", waited.Round(time.Second), d.PendingMembers)
	}
	return ""
}
