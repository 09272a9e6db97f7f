// Package membership tracks which daemons exist and are live: the members that
// the control stream records, and which of them send heartbeats.
package membership

import (
	"maps"
	"slices"

	"greengagedeck/internal/record"
)

// Member is a daemon that has joined. A daemon that restarts is a new member
// with a new ID: the ID identifies one incarnation.
type Member struct {
	ID   string `cbor:"1,keyasint" json:"id"`
	Host string `cbor:"2,keyasint" json:"host"`
	Zone string `cbor:"3,keyasint" json:"zone"`
	// PeerAddress is the IP:port that other daemons dial.
	PeerAddress string `cbor:"4,keyasint" json:"peer_address"`
	// Joined is the offset of the record that admitted the member.
	Joined uint64 `cbor:"5,keyasint" json:"joined"`
}

// State is the membership as of the records applied so far.
type State struct {
	// Epoch is the offset of the last change of the active members, which
	// are those that are not suspended.
	Epoch   uint64            `cbor:"1,keyasint"`
	Members map[string]Member `cbor:"2,keyasint"`
	// Changes are the latest changes of the active members, oldest first.
	Changes []Change `cbor:"3,keyasint"`
	// TrimmedEpoch is the epoch of the newest change that Changes no longer
	// holds, 0 while it holds all.
	TrimmedEpoch uint64 `cbor:"4,keyasint"`
	// Suspended holds the suspended members, which others have not heard
	// from for a while, with the offset of the record that suspended them.
	Suspended map[string]uint64 `cbor:"5,keyasint"`
}

// NewState returns a membership without members.
func NewState() State { return State{Members: map[string]Member{}, Suspended: map[string]uint64{}} }

// Clone returns a copy that shares no maps with s.
func (s State) Clone() State {
	s.Members = maps.Clone(s.Members)
	s.Suspended = maps.Clone(s.Suspended)
	if s.Suspended == nil {
		s.Suspended = map[string]uint64{}
	}
	s.Changes = s.Changes[:len(s.Changes):len(s.Changes)]
	return s
}

// The record kinds of this package.
const (
	KindJoin   record.Kind = "membership.join"
	KindRemove record.Kind = "membership.remove"
	// KindSuspend takes a member out of the active ones, KindResume makes it
	// active again. Unlike a removal, a suspension does not say that the
	// member is dead.
	KindSuspend record.Kind = "membership.suspend"
	KindResume  record.Kind = "membership.resume"
)

// Join is the body of a KindJoin record. It admits the member and removes any
// earlier incarnation on the same host.
type Join struct {
	Member Member `cbor:"1,keyasint"`
}

// Remove is the body of a KindRemove record.
type Remove struct {
	ID string `cbor:"1,keyasint"`
}

// Suspend is the body of a KindSuspend record.
type Suspend struct {
	ID string `cbor:"1,keyasint"`
}

// Resume is the body of a KindResume record.
type Resume struct {
	ID string `cbor:"1,keyasint"`
}

// Apply applies the record at offset.
func (s *State) Apply(offset uint64, r record.Record) record.Outcome {
	switch r.Kind {
	case KindJoin:
		return s.join(offset, r)
	case KindRemove:
		return s.remove(offset, r)
	case KindSuspend:
		return s.suspend(offset, r)
	case KindResume:
		return s.resume(offset, r)
	default:
		return record.Reject("unknown kind " + string(r.Kind))
	}
}

func (s *State) join(offset uint64, r record.Record) record.Outcome {
	var j Join
	if err := record.Decode(r.Body, &j); err != nil {
		return record.Reject(err.Error())
	}
	m := j.Member
	if m.ID == "" || m.Zone == "" || m.PeerAddress == "" {
		return record.Reject("member lacks id, zone or peer address")
	}
	change := Change{Epoch: offset, Added: []Ref{{ID: m.ID, Zone: m.Zone}}}
	for _, old := range s.sortedMembers() {
		if old.ID == m.ID || old.Host == m.Host || old.PeerAddress == m.PeerAddress {
			change.Removed = append(change.Removed, s.deleteMember(old.ID)...)
		}
	}
	m.Joined = offset
	s.Members[m.ID] = m
	s.addChange(change)
	return record.Accept("daemon/" + m.ID)
}

// deleteMember deletes a member and returns it if it was active.
func (s *State) deleteMember(id string) []Ref {
	m := s.Members[id]
	delete(s.Members, id)
	if _, ok := s.Suspended[id]; ok {
		delete(s.Suspended, id)
		return nil
	}
	return []Ref{{ID: id, Zone: m.Zone}}
}

func (s *State) remove(offset uint64, r record.Record) record.Outcome {
	var rm Remove
	if err := record.Decode(r.Body, &rm); err != nil {
		return record.Reject(err.Error())
	}
	if _, ok := s.Members[rm.ID]; !ok {
		return record.Reject("no such member", "daemon/"+rm.ID)
	}
	s.addChange(Change{Epoch: offset, Removed: s.deleteMember(rm.ID)})
	return record.Accept("daemon/" + rm.ID)
}

func (s *State) suspend(offset uint64, r record.Record) record.Outcome {
	var b Suspend
	if err := record.Decode(r.Body, &b); err != nil {
		return record.Reject(err.Error())
	}
	m, ok := s.Members[b.ID]
	if _, suspended := s.Suspended[b.ID]; !ok || suspended {
		return record.Reject("no such active member", "daemon/"+b.ID)
	}
	s.Suspended[b.ID] = offset
	s.addChange(Change{Epoch: offset, Removed: []Ref{{ID: m.ID, Zone: m.Zone}}})
	return record.Accept("daemon/" + b.ID)
}

func (s *State) resume(offset uint64, r record.Record) record.Outcome {
	var b Resume
	if err := record.Decode(r.Body, &b); err != nil {
		return record.Reject(err.Error())
	}
	if _, ok := s.Suspended[b.ID]; !ok {
		return record.Reject("no such suspended member", "daemon/"+b.ID)
	}
	m := s.Members[b.ID]
	delete(s.Suspended, b.ID)
	s.addChange(Change{Epoch: offset, Added: []Ref{{ID: m.ID, Zone: m.Zone}}})
	return record.Accept("daemon/" + b.ID)
}

// InZone returns the IDs of the members of a zone, sorted.
func (s *State) InZone(zone string) []string {
	var ids []string
	for id, m := range s.Members {
		if m.Zone == zone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
