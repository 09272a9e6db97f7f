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

// Published is the part of a published state that this slice acts on.
type Published struct {
	Pools     *State
	Catalogue *catalogue.State
	// Members holds the IDs of the members of the daemon's zone, sorted.
	Members []string
}

// Inputs is what a plan looks at besides the published state.
type Inputs struct {
	Self string
	Zone string
	// Drained holds the IDs of the drains that this daemon may acknowledge.
	Drained map[string]bool
	// Suspects holds the members of the zone that do not answer. No move is
	// started while it would wait for one of them.
	Suspects []string
	// Failed holds the hosts of the zone that have failed; nil when nobody
	// knows.
	Failed map[string]bool
	// Wants holds what the catalogue asks for (State.Wants).
	Wants []Want
	// Demand holds the last slot of the zone's demand that has ended, or nil.
	Demand *SlotDemand
	// Moves holds what the spare policy proposes.
	Moves []Move
	// MoveTimeout is how long a move may wait for a member that does not
	// answer before the host is given back.
	MoveTimeout time.Duration
	// LendingTimeout is how long a move of the spare policy may wait for
	// requests to end before the host is given back.
	LendingTimeout time.Duration
}

// Move is a proposal to lend or give back a host of the zone.
type Move struct {
	Host, From, To string
	Cause          record.Cause
}

// Plan returns what this daemon should append now: acknowledgements first,
// since others wait for them, then drains that the catalogue or the spare
// policy wants, then drains to give up. It changes nothing in p.
func Plan(p Published, now time.Time, in Inputs) []intent.Intent {
	intents := planAcks(p.Pools, in)
	intents = append(intents, planHealth(p, in)...)
	intents = append(intents, planDrains(p, in)...)
	intents = append(intents, planCancels(p, now, in)...)
	return append(intents, planDemand(p, in)...)
}

func planAcks(s *State, in Inputs) []intent.Intent {
	var intents []intent.Intent
	for _, id := range slices.Sorted(maps.Keys(s.Drains)) {
		d := s.Drains[id]
		if !d.waitsFor(in.Self) || !in.Drained[id] {
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

// planHealth marks hosts that have failed or recovered. A host that is out is
// expected to vanish for a while: whoever maintains it judges its health.
func planHealth(p Published, in Inputs) []intent.Intent {
	if in.Failed == nil {
		return nil
	}
	var intents []intent.Intent
	for _, name := range slices.Sorted(maps.Keys(p.Pools.Hosts)) {
		h := p.Pools.Hosts[name]
		if h.Zone != in.Zone || h.Phase == PhaseOut || h.Failed == in.Failed[name] {
			continue
		}
		intents = append(intents, healthIntent(p.Catalogue, name, h, in.Failed[name]))
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

func planDrains(p Published, in Inputs) []intent.Intent {
	if len(in.Suspects) > 0 {
		return nil
	}
	if len(in.Wants) == 0 && len(in.Moves) == 0 {
		return nil
	}
	scratch := p.Pools.Clone()
	ledger := scratch.Ledger()
	var intents []intent.Intent
	propose := func(b StartDrain, cause record.Cause) (refusal string) {
		if refusal := ledger.CheckDrain(p.Catalogue, b); refusal != "" {
			return refusal
		}
		wanted := drainIntent(b, cause)
		ledger.Begin(Drain{ID: wanted.Key, Host: b.Host, Purpose: b.Purpose, From: b.From, To: b.To})
		intents = append(intents, wanted)
		return ""
	}
	for _, w := range in.Wants {
		h := p.Pools.Hosts[w.Host]
		if h.Zone != in.Zone {
			continue
		}
		cause := wantCause(p.Catalogue, w)
		if refusal := propose(w.StartDrain, cause); refusal != "" && h.Blocked < w.Version {
			intents = append(intents, blockedIntent(w, cause, refusal))
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

// blockedIntent records once why a want cannot be met yet. It stays wanted.
func blockedIntent(w Want, cause record.Cause, refusal string) intent.Intent {
	cause.Reason += ", but " + refusal
	return intent.Intent{
		Key:    fmt.Sprintf("blocked/%s/%d", w.Host, w.Version),
		Shared: true,
		Kind:   KindBlocked,
		Cause:  cause,
		Body:   WantBlocked{Host: w.Host, Version: w.Version},
	}
}

func wantCause(c *catalogue.State, w Want) record.Cause {
	reason := fmt.Sprintf("the catalogue asks to %s the host", w.Purpose)
	owner := c.Pools[w.From].Value.Owner
	if w.Purpose == PurposeMove {
		reason = fmt.Sprintf("the catalogue names pool %s, the host serves %s", w.To, w.From)
		owner = c.Pools[w.To].Value.Owner
	}
	return record.Cause{Object: w.Object, Owner: owner, Version: w.Version, Reason: reason}
}

// planCancels gives up moves that nobody can finish: their pool is gone, or
// they wait for what does not come. The host serves its old pool meanwhile. A drain
// for maintenance is given up by the maintenance slice.
func planCancels(p Published, now time.Time, in Inputs) []intent.Intent {
	var intents []intent.Intent
	for _, id := range slices.Sorted(maps.Keys(p.Pools.Drains)) {
		d := p.Pools.Drains[id]
		if d.Zone != in.Zone || d.Purpose != PurposeMove {
			continue
		}
		reason := d.giveUp(p, now, in)
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

// giveUp says why a move should be given up, or returns "". A move that an edit
// wants waits for requests to end however long they take.
func (d Drain) giveUp(p Published, now time.Time, in Inputs) string {
	if _, ok := p.Catalogue.Pools[d.To]; !ok {
		return "pool " + d.To + " is no longer in the catalogue"
	}
	waited := now.Sub(d.At)
	for _, member := range d.Waiting {
		if waited > in.MoveTimeout && slices.Contains(in.Suspects, member) {
			return fmt.Sprintf("%s has not answered for %s", member, waited.Round(time.Second))
		}
	}
	if wanted := p.Pools.Hosts[d.Host].Wanted == d.To; !wanted && waited > in.LendingTimeout {
		return fmt.Sprintf("after %s still waiting for %v", waited.Round(time.Second), d.Waiting)
	}
	return ""
}
