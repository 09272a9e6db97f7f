package maintenance

import (
	"fmt"
	"maps"
	"slices"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// maintenanceDrain returns the maintenance drain with the given ID. If there is
// none, the returned drain has no ID and the outcome is the rejection.
func maintenanceDrain(id string, v View) (pool.Drain, record.Outcome) {
	d, ok := v.Pools().Drains[id]
	if !ok || d.Purpose != pool.PurposeMaintenance {
		return pool.Drain{}, record.Reject("no such maintenance", "move/"+id)
	}
	return d, record.Outcome{}
}

// checkExecutor returns the maintenance drain with the given ID if author is its
// executor and its host is out of service. Otherwise the returned drain has no ID
// and the outcome is the rejection.
func (s *State) checkExecutor(id, author string, v View) (pool.Drain, record.Outcome) {
	d, rejection := maintenanceDrain(id, v)
	if d.ID == "" {
		return d, rejection
	}
	if executor := s.Executor(d); executor != author {
		reason := fmt.Sprintf("%s executes this maintenance, not %s", executor, author)
		return pool.Drain{}, record.Reject(reason, d.Subjects()...)
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
	d, rejection := maintenanceDrain(body.Drain, v)
	if d.ID == "" {
		return rejection
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

// prune deletes the state of drains that were ended by pool records.
func (s *State) prune(p *pool.State) {
	ended := func(id string) bool {
		_, ok := p.Drains[id]
		return !ok
	}
	maps.DeleteFunc(s.Executors, func(id, _ string) bool { return ended(id) })
	maps.DeleteFunc(s.Reboots, func(id string, _ RebootState) bool { return ended(id) })
}

func (s *State) applyReboot(r record.Record, v View) record.Outcome {
	var body Reboot
	if err := record.Decode(r.Body, &body); err != nil {
		return record.Reject(err.Error())
	}
	d, rejection := s.checkExecutor(body.Drain, r.Author, v)
	if d.ID == "" {
		return rejection
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
	d, rejection := s.checkExecutor(body.Drain, r.Author, v)
	if d.ID == "" {
		return rejection
	}
	reboot, ok := s.Reboots[d.ID]
	if !ok || reboot.BootID == "" || reboot.BootID == body.BootID {
		return record.Reject("host "+d.Host+" has not rebooted", d.Subjects()...)
	}
	delete(s.Reboots, d.ID)
	delete(s.Executors, d.ID)
	v.Pools().SetFailed(offset, d.Host, false)
	v.Pools().ReturnToService(offset, d.ID, v)
	s.updateProgress(d.Wave, v.Catalogue(), func(p *Progress, _ versionedWave) {
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
	d, rejection := s.checkExecutor(body.Drain, r.Author, v)
	if d.ID == "" {
		return rejection
	}
	reboot := s.Reboots[d.ID]
	if reboot.Failed {
		return record.Reject("host "+d.Host+" has failed before", d.Subjects()...)
	}
	reboot.Failed = true
	s.Reboots[d.ID] = reboot
	h := v.Pools().Hosts[d.Host]
	v.Pools().SetFailed(offset, d.Host, true)
	s.updateProgress(d.Wave, v.Catalogue(), func(p *Progress, w versionedWave) {
		f := Failure{Host: d.Host, Zone: h.Zone, Rack: h.Rack, Version: w.Version, Offset: offset, Reason: body.Reason}
		p.Failures = append(slices.Clone(p.Failures), f)
		if reason := p.haltReason(w); reason != "" {
			p.Halt = Halt{Version: w.Version, Reason: reason, Offset: offset}
		}
	})
	return record.Accept(d.Subjects()...)
}

// Limits beyond which failures count as correlated and halt a wave, whatever its
// MaxFailures.
const (
	// maxFailuresPerRack is how many hosts of one rack may fail.
	maxFailuresPerRack = 1
	// minFailuresForShare is the number of failures from which maxFailureShare
	// applies.
	minFailuresForShare = 3
	// maxFailureShare is the share of the rebooted hosts that may fail.
	maxFailureShare = 0.2
)

// haltReason returns why the failures since the wave's last edit should halt it, or
// "". Failures of one wave usually share a cause, such as the image, the rack or the
// switch.
func (p *Progress) haltReason(w versionedWave) string {
	var failures int
	racks := map[string]int{}
	failedRack := ""
	for _, f := range p.Failures {
		if f.Version != w.Version {
			continue
		}
		failures++
		racks[f.Rack]++
		if racks[f.Rack] > maxFailuresPerRack {
			failedRack = f.Rack
		}
	}
	total := failures + p.doneSince(w.Version)
	share := float64(failures) / float64(max(total, 1))
	switch {
	case failures > w.Value.MaxFailures:
		return fmt.Sprintf("%d hosts failed after reboot, at most %d may", failures, w.Value.MaxFailures)
	case failedRack != "":
		return fmt.Sprintf("%d hosts of rack %s failed after reboot", racks[failedRack], failedRack)
	case failures >= minFailuresForShare && share > maxFailureShare:
		return fmt.Sprintf("%d of %d hosts failed after reboot", failures, total)
	}
	return ""
}

// doneSince returns the number of hosts whose maintenance completed after an offset.
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
	s.updateProgress(body.Wave, v.Catalogue(), func(p *Progress, _ versionedWave) {
		p.Blocked = maps.Clone(p.Blocked)
		if p.Blocked == nil {
			p.Blocked = map[string]Blocked{}
		}
		p.Blocked[body.Zone] = Blocked{Reason: body.Reason, At: r.At}
	})
	return record.Accept(subjects...)
}

// updateProgress applies change to the progress of a wave. It does nothing if the
// wave is no longer in the catalogue.
func (s *State) updateProgress(name string, c *catalogue.State, change func(*Progress, versionedWave)) {
	w, ok := c.Waves[name]
	if !ok {
		return
	}
	p := s.Progress(w.Value)
	change(&p, w)
	s.Waves[name] = p
}
