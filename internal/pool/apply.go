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
		ID:          r.ID.String(),
		Host:        body.Host,
		Purpose:     body.Purpose,
		From:        body.From,
		To:          body.To,
		Wave:        body.Wave,
		Author:      r.Author,
		StartedAt:   r.At,
		StartOffset: offset,
		Cause:       r.Cause,
	}
	if reason := s.CheckDrain(v.Catalogue(), body); reason != "" {
		return record.Reject(reason, d.Subjects()...)
	}
	d.Zone = s.Hosts[d.Host].Zone
	d.Round = offset
	d.PendingMembers = sortedMembers(v, d.Zone)
	if !d.awaitsAck(r.Author) {
		return record.Reject(r.Author+" is not a member of zone "+d.Zone, d.Subjects()...)
	}
	s.BeginDrain(d)
	return record.Accept(d.Subjects()...)
}

// BeginDrain marks the host of d as draining. Planners call it on a clone to
// compute the remaining budgets after d has started.
func (s *State) BeginDrain(d Drain) {
	h := s.Hosts[d.Host]
	h.Phase, h.Since, h.DrainID = PhaseDraining, d.StartOffset, d.ID
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
	d, out := s.drainInPhase(PhaseDraining, body.Drain)
	if d.ID == "" {
		return out
	}
	if body.Round != d.Round {
		reason := fmt.Sprintf("acknowledges round %d, the drain is in round %d", body.Round, d.Round)
		return record.Reject(reason, d.Subjects()...)
	}
	if !d.awaitsAck(r.Author) {
		return record.Reject("drain does not wait for "+r.Author, d.Subjects()...)
	}
	d.PendingMembers = removeName(d.PendingMembers, r.Author)
	s.Drains[d.ID] = d
	if len(d.PendingMembers) == 0 {
		s.completeDrain(offset, d, v.Catalogue())
	}
	return record.Accept(d.Subjects()...)
}

// removeName returns a copy of names without name.
func removeName(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

func (s *State) applyCancel(offset uint64, r record.Record, v View) record.Outcome {
	d, out := s.referencedDrain(r, PhaseDraining)
	if d.ID == "" {
		return out
	}
	if !slices.Contains(v.ZoneMembers(d.Zone), r.Author) {
		return record.Reject(r.Author+" is not a member of zone "+d.Zone, d.Subjects()...)
	}
	h := s.Hosts[d.Host]
	h.Phase, h.Since, h.DrainID = PhaseServing, offset, ""
	s.Hosts[d.Host] = h
	delete(s.Drains, d.ID)
	return record.Accept(d.Subjects()...)
}

func (s *State) applyReturn(offset uint64, r record.Record, v View) record.Outcome {
	d, out := s.referencedDrain(r, PhaseOutOfService)
	if d.ID == "" {
		return out
	}
	if !slices.Contains(v.ZoneMembers(d.Zone), r.Author) {
		return record.Reject(r.Author+" is not a member of zone "+d.Zone, d.Subjects()...)
	}
	s.ReturnToService(offset, d.ID, v)
	return record.Accept(d.Subjects()...)
}

// ReturnToService returns the host that a drain took out of service to its pool at
// offset. It reports false and changes nothing if that host is not out of
// service.
func (s *State) ReturnToService(offset uint64, drain string, v View) bool {
	d, ok := s.Drains[drain]
	if !ok || s.Hosts[d.Host].Phase != PhaseOutOfService {
		return false
	}
	s.Epoch = offset
	s.putInService(offset, d, d.From, v.Catalogue())
	return true
}

// referencedDrain returns the drain that r refers to if its host is in phase.
// Otherwise the ID of the returned drain is empty.
func (s *State) referencedDrain(r record.Record, phase Phase) (Drain, record.Outcome) {
	var ref DrainRef
	if err := record.Decode(r.Body, &ref); err != nil {
		return Drain{}, record.Reject(err.Error())
	}
	return s.drainInPhase(phase, ref.Drain)
}

func (s *State) drainInPhase(phase Phase, id string) (Drain, record.Outcome) {
	d, ok := s.Drains[id]
	if !ok {
		return Drain{}, record.Reject("no such drain", "move/"+id)
	}
	if got := s.Hosts[d.Host].Phase; got != phase {
		reason := fmt.Sprintf("host %s is %s, not %s", d.Host, got, phase)
		return Drain{}, record.Reject(reason, d.Subjects()...)
	}
	return d, record.Outcome{}
}

// completeDrain completes a drain that every member has acknowledged. Only then
// may another pool use the host, since no member will start requests there.
func (s *State) completeDrain(offset uint64, d Drain, c *catalogue.State) {
	switch d.Purpose {
	case PurposeMaintenance:
		h := s.Hosts[d.Host]
		h.Phase, h.Since = PhaseOutOfService, offset
		s.Hosts[d.Host] = h
	case PurposeMove:
		s.putInService(offset, d, d.To, c)
	default:
		s.putInService(offset, d, d.From, c)
	}
}

// putInService puts a drained host in service for pool, as currently declared in
// the catalogue, or deletes it if it is no longer in the catalogue.
func (s *State) putInService(offset uint64, d Drain, pool string, c *catalogue.State) {
	delete(s.Drains, d.ID)
	declared, ok := c.Hosts[d.Host]
	if !ok {
		delete(s.Hosts, d.Host)
		return
	}
	old := s.Hosts[d.Host]
	h := newHost(offset, declared.Value)
	h.Pool = pool
	h.RequestedPool = old.RequestedPool
	h.Failed = old.Failed && old.Address == h.Address
	if h.RequestedPool == pool {
		h.RequestedPool = ""
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
	if !ok || h.BlockedVersion >= body.Version {
		return record.Reject("nothing new is blocked", subject)
	}
	h.BlockedVersion = body.Version
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

// SetFailed marks a host as failed or healthy at offset. An unknown host is
// ignored.
func (s *State) SetFailed(offset uint64, host string, failed bool) {
	if h, ok := s.Hosts[host]; ok {
		h.Failed = failed
		s.Hosts[host] = h
		s.Epoch = offset
	}
}
