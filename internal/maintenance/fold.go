package maintenance

import (
	"fmt"
	"maps"
	"slices"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// drainOf returns the maintenance drain with the given ID.
func drainOf(id string, v View) (pool.Drain, record.Outcome) {
	d, ok := v.Pools().Drains[id]
	if !ok || d.Purpose != pool.PurposeMaintenance {
		return pool.Drain{}, record.Reject("no such maintenance", "move/"+id)
	}
	return d, record.Outcome{}
}

// out returns the drain when its host is out and author is its executor.
func (s *State) out(id, author string, v View) (pool.Drain, record.Outcome) {
	d, refused := drainOf(id, v)
	if d.ID == "" {
		return d, refused
	}
	if executor := s.Executor(d); executor != author {
		refusal := fmt.Sprintf("%s executes this maintenance, not %s", executor, author)
		return pool.Drain{}, record.Reject(refusal, d.Subjects()...)
	}
	if phase := v.Pools().Hosts[d.Host].Phase; phase != pool.PhaseOutOfService {
		return pool.Drain{}, record.Reject(fmt.Sprintf("host %s is %s, not out", d.Host, phase), d.Subjects()...)
	}
	return d, record.Outcome{}
}

func (s *State) applyClaim(r record.Record, v View) record.Outcome {
	var body Claim
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	d, refused := drainOf(body.Drain, v)
	if d.ID == "" {
		return refused
	}
	members := v.ZoneMembers(d.Zone)
	if executor := s.Executor(d); slices.Contains(members, executor) {
		return record.Reject(executor+" executes this maintenance and is a member", d.Subjects()...)
	}
	if !slices.Contains(members, r.Author) {
		return record.Reject(r.Author+" is not a member of zone "+d.Zone, d.Subjects()...)
	}
	s.prune(v.Pools())
	s.Executors[d.ID] = r.Author
	return record.Accept(d.Subjects()...)
}

// prune forgets drains that ended by records of the pool slice.
func (s *State) prune(p *pool.State) {
	gone := func(id string) bool {
		_, ok := p.Drains[id]
		return !ok
	}
	maps.DeleteFunc(s.Executors, func(id, _ string) bool { return gone(id) })
	maps.DeleteFunc(s.Reboots, func(id string, _ RebootState) bool { return gone(id) })
}

func (s *State) applyReboot(r record.Record, v View) record.Outcome {
	var body Reboot
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	d, refused := s.out(body.Drain, r.Author, v)
	if d.ID == "" {
		return refused
	}
	old, ok := s.Reboots[d.ID]
	if ok && old.BootID != "" {
		return record.Reject("the reboot was announced before", d.Subjects()...)
	}
	s.prune(v.Pools())
	s.Reboots[d.ID] = RebootState{BootID: body.BootID, At: r.At}
	return record.Accept(d.Subjects()...)
}

func (s *State) applyVerified(offset uint64, r record.Record, v View) record.Outcome {
	var body Verified
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	d, refused := s.out(body.Drain, r.Author, v)
	if d.ID == "" {
		return refused
	}
	reboot, ok := s.Reboots[d.ID]
	if !ok || reboot.BootID == "" || reboot.BootID == body.BootID {
		return record.Reject("host "+d.Host+" has not rebooted", d.Subjects()...)
	}
	delete(s.Reboots, d.ID)
	delete(s.Executors, d.ID)
	v.Pools().SetFailed(offset, d.Host, false)
	v.Pools().ReturnToService(offset, d.ID, v)
	s.update(d.Wave, v.Catalogue(), func(p *Progress, _ wave) {
		p.Done = maps.Clone(p.Done)
		if p.Done == nil {
			p.Done = map[string]uint64{}
		}
		p.Done[d.Host] = offset
	})
	return record.Accept(d.Subjects()...)
}

func (s *State) applyFailed(offset uint64, r record.Record, v View) record.Outcome {
	var body Failed
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	d, refused := s.out(body.Drain, r.Author, v)
	if d.ID == "" {
		return refused
	}
	reboot := s.Reboots[d.ID]
	if reboot.Failed {
		return record.Reject("host "+d.Host+" has failed before", d.Subjects()...)
	}
	reboot.Failed = true
	s.Reboots[d.ID] = reboot
	h := v.Pools().Hosts[d.Host]
	v.Pools().SetFailed(offset, d.Host, true)
	s.update(d.Wave, v.Catalogue(), func(p *Progress, w wave) {
		f := Failure{Host: d.Host, Zone: h.Zone, Rack: h.Rack, Version: w.Version, Offset: offset, Reason: body.Reason}
		p.Failures = append(slices.Clone(p.Failures), f)
		if reason := p.correlated(w); reason != "" {
			p.Halt = Halt{Version: w.Version, Reason: reason, Offset: offset}
		}
	})
	return record.Accept(d.Subjects()...)
}

// The shares at which failures of a wave look correlated whatever its limit.
const (
	// maxFailuresPerRack is how many hosts of one rack may fail.
	maxFailuresPerRack = 1
	// minFailuresForShare is the number from which on the share counts.
	minFailuresForShare = 3
	// maxFailureShare is the share of the maintained hosts that may fail.
	maxFailureShare = 0.2
)

// correlated says why the failures since the wave's last edit should halt it,
// or returns "". Failures of one wave share a cause more often than not: the
// same image, the same rack, the same switch.
func (p *Progress) correlated(w wave) string {
	var failures int
	racks := map[string]int{}
	worst := ""
	for _, f := range p.Failures {
		if f.Version != w.Version {
			continue
		}
		failures++
		racks[f.Rack]++
		if racks[f.Rack] > maxFailuresPerRack {
			worst = f.Rack
		}
	}
	tried := failures + p.doneSince(w.Version)
	share := float64(failures) / float64(max(tried, 1))
	switch {
	case failures > w.Value.MaxFailures:
		return fmt.Sprintf("%d hosts failed after reboot, at most %d may", failures, w.Value.MaxFailures)
	case worst != "":
		return fmt.Sprintf("%d hosts of rack %s failed after reboot", racks[worst], worst)
	case failures >= minFailuresForShare && share > maxFailureShare:
		return fmt.Sprintf("%d of %d hosts failed after reboot", failures, tried)
	}
	return ""
}

// doneSince counts the hosts maintained after an offset.
func (p *Progress) doneSince(offset uint64) int {
	n := 0
	for _, at := range p.Done {
		if at > offset {
			n++
		}
	}
	return n
}

func (s *State) applyBlocked(r record.Record, v View) record.Outcome {
	var body WaveBlocked
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	subjects := []string{"wave/" + body.Wave}
	if _, ok := v.Catalogue().Waves[body.Wave]; !ok {
		return record.Reject("no such wave", subjects...)
	}
	s.update(body.Wave, v.Catalogue(), func(p *Progress, _ wave) {
		p.Blocked = maps.Clone(p.Blocked)
		if p.Blocked == nil {
			p.Blocked = map[string]Blocked{}
		}
		p.Blocked[body.Zone] = Blocked{Reason: body.Reason, At: r.At}
	})
	return record.Accept(subjects...)
}

// update changes the progress of a wave that the catalogue still names.
func (s *State) update(name string, c *catalogue.State, change func(*Progress, wave)) {
	w, ok := c.Waves[name]
	if !ok {
		return
	}
	p := s.Progress(w.Value)
	change(&p, w)
	s.Waves[name] = p
}
