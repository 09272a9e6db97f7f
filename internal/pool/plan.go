package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/record"
)

// Published is the part of a published state that this slice acts on.
type Published struct {
	Pools     *State
	Catalogue *catalogue.State
	// Members holds the IDs of the members of the daemon's zone, sorted.
	Members []string
}

// Intent is a record that the daemon should append.
type Intent struct {
	// Key names what is intended, the same in every plan that intends it.
	Key string
	// Shared intents are every member's; one member's record is enough.
	Shared bool
	Kind   record.Kind
	Cause  record.Cause
	Body   any
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
	// Moves holds what the spare policy proposes.
	Moves []Move
	// MoveTimeout is how long a move of the spare policy may wait for
	// acknowledgements before the host is given back.
	MoveTimeout time.Duration
}

// Move is a proposal to lend or give back a host of the zone.
type Move struct {
	Host, From, To string
	Cause          record.Cause
}

// Plan returns what this daemon should append now: acknowledgements first,
// since others wait for them, then drains that the catalogue or the spare
// policy wants, then drains to give up. It changes nothing in p.
func Plan(p Published, now time.Time, in Inputs) []Intent {
	intents := planAcks(p.Pools, in)
	intents = append(intents, planDrains(p, in)...)
	return append(intents, planCancels(p, now, in)...)
}

func planAcks(s *State, in Inputs) []Intent {
	var intents []Intent
	for _, id := range slices.Sorted(maps.Keys(s.Drains)) {
		d := s.Drains[id]
		if !d.waitsFor(in.Self) || !in.Drained[id] {
			continue
		}
		intents = append(intents, Intent{
			Key:   fmt.Sprintf("ack/%s/%d", id, d.Round),
			Kind:  KindAck,
			Cause: d.Cause,
			Body:  Ack{Drain: id, Round: d.Round},
		})
	}
	return intents
}

func planDrains(p Published, in Inputs) []Intent {
	if len(in.Suspects) > 0 {
		return nil
	}
	wants := p.Pools.Wants(p.Catalogue)
	if len(wants) == 0 && len(in.Moves) == 0 {
		return nil
	}
	scratch := p.Pools.Clone()
	var intents []Intent
	propose := func(b StartDrain, cause record.Cause) {
		if scratch.Hosts[b.Host].Zone != in.Zone || scratch.CheckDrain(p.Catalogue, b) != "" {
			return
		}
		intent := drainIntent(b, cause)
		scratch.Begin(Drain{ID: intent.Key, Host: b.Host, Purpose: b.Purpose, From: b.From, To: b.To})
		intents = append(intents, intent)
	}
	for _, w := range wants {
		propose(w.StartDrain, wantCause(p.Catalogue, w))
	}
	for _, m := range in.Moves {
		propose(StartDrain{Host: m.Host, Purpose: PurposeMove, From: m.From, To: m.To}, m.Cause)
	}
	return intents
}

func drainIntent(b StartDrain, cause record.Cause) Intent {
	return Intent{
		Key:    fmt.Sprintf("drain/%s/%s/%s", b.Host, b.Purpose, b.To),
		Shared: true,
		Kind:   KindDrain,
		Cause:  cause,
		Body:   b,
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
// they have waited too long. The host serves its old pool meanwhile. A drain
// for maintenance is given up by the maintenance slice.
func planCancels(p Published, now time.Time, in Inputs) []Intent {
	var intents []Intent
	for _, id := range slices.Sorted(maps.Keys(p.Pools.Drains)) {
		d := p.Pools.Drains[id]
		if d.Zone != in.Zone || d.Purpose != PurposeMove {
			continue
		}
		reason := d.giveUp(p.Catalogue, now, in.MoveTimeout)
		if reason == "" {
			continue
		}
		cause := d.Cause
		cause.Reason = reason
		intents = append(intents, Intent{
			Key:    "cancel/" + id,
			Shared: true,
			Kind:   KindCancel,
			Cause:  cause,
			Body:   DrainRef{Drain: id},
		})
	}
	return intents
}

// giveUp says why a move should be given up, or returns "".
func (d Drain) giveUp(c *catalogue.State, now time.Time, timeout time.Duration) string {
	if _, ok := c.Pools[d.To]; !ok {
		return "pool " + d.To + " is no longer in the catalogue"
	}
	if waited := now.Sub(d.At); waited > timeout {
		return fmt.Sprintf("after %s still waiting for %v", waited.Round(time.Second), d.Waiting)
	}
	return ""
}
