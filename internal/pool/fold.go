package pool

import (
	"fmt"
	"slices"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/record"
)

func (s *State) applyDrain(offset uint64, r record.Record, v View) record.Outcome {
	var body StartDrain
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	d := Drain{
		ID:      r.ID.String(),
		Host:    body.Host,
		Purpose: body.Purpose,
		From:    body.From,
		To:      body.To,
		Wave:    body.Wave,
		Author:  r.Author,
		At:      r.At,
		Started: offset,
		Cause:   r.Cause,
	}
	if refusal := s.CheckDrain(v.Catalogue(), body); refusal != "" {
		return record.Reject(refusal, d.Subjects()...)
	}
	d.Zone = s.Hosts[d.Host].Zone
	d.Round = offset
	d.Waiting = sortedMembers(v, d.Zone)
	if !d.waitsFor(r.Author) {
		return record.Reject(r.Author+" is not a member of zone "+d.Zone, d.Subjects()...)
	}
	s.Begin(d)
	return record.Accept(d.Subjects()...)
}

// Begin marks the host of d as draining. Planners use it on a clone to see
// what room is left once d has started.
func (s *State) Begin(d Drain) {
	h := s.Hosts[d.Host]
	h.Phase, h.Since, h.Drain = PhaseDraining, d.Started, d.ID
	s.Hosts[d.Host] = h
	s.Drains[d.ID] = d
}

func sortedMembers(v View, zone string) []string {
	members := slices.Clone(v.ZoneMembers(zone))
	slices.Sort(members)
	return members
}

func (s *State) applyAck(offset uint64, r record.Record, v View) record.Outcome {
	var body Ack
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	d, out := s.drainIn(PhaseDraining, body.Drain)
	if d.ID == "" {
		return out
	}
	if body.Round != d.Round {
		refusal := fmt.Sprintf("acknowledges round %d, the drain is in round %d", body.Round, d.Round)
		return record.Reject(refusal, d.Subjects()...)
	}
	if !d.waitsFor(r.Author) {
		return record.Reject("drain does not wait for "+r.Author, d.Subjects()...)
	}
	d.Waiting = without(d.Waiting, r.Author)
	s.Drains[d.ID] = d
	if len(d.Waiting) == 0 {
		s.complete(offset, d, v.Catalogue())
	}
	return record.Accept(d.Subjects()...)
}

// without returns a copy of names that lacks name.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

func (s *State) applyCancel(offset uint64, r record.Record, v View) record.Outcome {
	d, out := s.drainOf(r, PhaseDraining)
	if d.ID == "" {
		return out
	}
	if !slices.Contains(v.ZoneMembers(d.Zone), r.Author) {
		return record.Reject(r.Author+" is not a member of zone "+d.Zone, d.Subjects()...)
	}
	h := s.Hosts[d.Host]
	h.Phase, h.Since, h.Drain = PhaseServing, offset, ""
	s.Hosts[d.Host] = h
	delete(s.Drains, d.ID)
	return record.Accept(d.Subjects()...)
}

func (s *State) applyReturn(offset uint64, r record.Record, v View) record.Outcome {
	d, out := s.drainOf(r, PhaseOut)
	if d.ID == "" {
		return out
	}
	if !slices.Contains(v.ZoneMembers(d.Zone), r.Author) {
		return record.Reject(r.Author+" is not a member of zone "+d.Zone, d.Subjects()...)
	}
	s.Return(offset, d.ID, v)
	return record.Accept(d.Subjects()...)
}

// Return puts the host that a drain took out back in service at offset. It
// reports false, and changes nothing, when the drain has not taken it out.
func (s *State) Return(offset uint64, drain string, v View) bool {
	d, ok := s.Drains[drain]
	if !ok || s.Hosts[d.Host].Phase != PhaseOut {
		return false
	}
	s.Epoch = offset
	s.serve(offset, d, d.From, v.Catalogue())
	return true
}

// drainOf returns the drain that r refers to when its host is in phase. The
// ID of the returned drain is empty otherwise.
func (s *State) drainOf(r record.Record, phase Phase) (Drain, record.Outcome) {
	var ref DrainRef
	if err := record.Decode(r.Body, &ref); err != nil {
		return Drain{}, record.Reject(err.Error())
	}
	return s.drainIn(phase, ref.Drain)
}

func (s *State) drainIn(phase Phase, id string) (Drain, record.Outcome) {
	d, ok := s.Drains[id]
	if !ok {
		return Drain{}, record.Reject("no such drain", "move/"+id)
	}
	if got := s.Hosts[d.Host].Phase; got != phase {
		refusal := fmt.Sprintf("host %s is %s, not %s", d.Host, got, phase)
		return Drain{}, record.Reject(refusal, d.Subjects()...)
	}
	return d, record.Outcome{}
}

// complete ends a drain that waits for nobody. Only then may another pool use
// the host: every member has promised to start nothing there.
func (s *State) complete(offset uint64, d Drain, c *catalogue.State) {
	switch d.Purpose {
	case PurposeMaintenance:
		h := s.Hosts[d.Host]
		h.Phase, h.Since = PhaseOut, offset
		s.Hosts[d.Host] = h
	case PurposeMove:
		s.serve(offset, d, d.To, c)
	default:
		s.serve(offset, d, d.From, c)
	}
}

// serve puts a host that runs nothing in service for pool, as the catalogue
// describes it now, and forgets a host that the catalogue has dropped.
func (s *State) serve(offset uint64, d Drain, pool string, c *catalogue.State) {
	delete(s.Drains, d.ID)
	declared, ok := c.Hosts[d.Host]
	if !ok {
		delete(s.Hosts, d.Host)
		return
	}
	old := s.Hosts[d.Host]
	h := newHost(offset, declared.Value)
	h.Pool = pool
	h.Wanted = old.Wanted
	h.Failed = old.Failed && old.Address == h.Address
	if h.Wanted == pool {
		h.Wanted = ""
	}
	s.Hosts[d.Host] = h
}

func (s *State) applyBlocked(r record.Record) record.Outcome {
	var body WantBlocked
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	subject := "host/" + body.Host
	h, ok := s.Hosts[body.Host]
	if !ok || h.Blocked >= body.Version {
		return record.Reject("nothing new is blocked", subject)
	}
	h.Blocked = body.Version
	s.Hosts[body.Host] = h
	return record.Accept(subject, "pool/"+h.Pool)
}

func (s *State) applyHealth(offset uint64, r record.Record, v View) record.Outcome {
	var body Health
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	h, ok := s.Hosts[body.Host]
	if !ok {
		return record.Reject("no such host", "host/"+body.Host)
	}
	subjects := []string{"host/" + body.Host, "pool/" + h.Pool}
	if !slices.Contains(v.ZoneMembers(h.Zone), r.Author) {
		return record.Reject(r.Author+" is not a member of zone "+h.Zone, subjects...)
	}
	if h.Failed == body.Failed {
		return record.Reject(fmt.Sprintf("host is already marked failed=%t", h.Failed), subjects...)
	}
	s.SetFailed(offset, body.Host, body.Failed)
	return record.Accept(subjects...)
}

// SetFailed marks a known host as failed or healthy at offset.
func (s *State) SetFailed(offset uint64, host string, failed bool) {
	if h, ok := s.Hosts[host]; ok {
		h.Failed = failed
		s.Hosts[host] = h
		s.Epoch = offset
	}
}
