package gateway

import (
	"maps"
	"slices"

	"greengagedeck/internal/replica"
)

// MemberStatus is a daemon's view of one member.
type MemberStatus struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Live reports whether its heartbeats arrive.
	Live bool `json:"live"`
	// Draining reports whether it has announced that it is stopping.
	Draining bool `json:"draining"`
	// Offset is the last offset of the control stream that it has applied. A
	// catalogue version is in force on every member whose offset has reached
	// it.
	Offset uint64 `json:"offset"`
}

// Status is a daemon's state and its view of all members.
type Status struct {
	Daemon           string         `json:"daemon"`
	Host             string         `json:"host"`
	Zone             string         `json:"zone"`
	Release          string         `json:"release"`
	Ready            bool           `json:"ready"`
	Draining         bool           `json:"draining"`
	LogDown          bool           `json:"log_down"`
	Offset           uint64         `json:"offset"`
	CatalogueVersion uint64         `json:"catalogue_version"`
	Members          []MemberStatus `json:"members"`
}

// HostStatus is the state of one host as shown to operators.
type HostStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Address string `json:"address"`
	Pool    string `json:"pool"`
	Phase   string `json:"phase"`
	Since   uint64 `json:"since"`
}

// hostStatuses returns the status of every host, sorted by name.
func hostStatuses(s *replica.State) []HostStatus {
	out := make([]HostStatus, 0, len(s.Pools.Hosts))
	for _, name := range slices.Sorted(maps.Keys(s.Pools.Hosts)) {
		h := s.Pools.Hosts[name]
		spec := s.Catalogue.Hosts[name].Value
		out = append(out, HostStatus{
			Name:    name,
			Zone:    spec.Zone,
			Rack:    spec.Rack,
			Address: spec.Address,
			Pool:    h.Pool,
			Phase:   string(h.Phase),
			Since:   h.Since,
		})
	}
	return out
}
