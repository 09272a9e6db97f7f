package gateway

import (
	"maps"
	"slices"

	"greengagedeck/internal/replica"
)

// MemberStatus is what a daemon knows of one member.
type MemberStatus struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Live is whether its heartbeats arrive.
	Live bool `json:"live"`
	// Draining is whether it has said that it stops.
	Draining bool `json:"draining"`
	// Offset is how far it has folded the control stream. A catalogue
	// version is in force on every member whose offset has reached it.
	Offset uint64 `json:"offset"`
}

// Status is what a daemon says of itself and of the others.
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

// HostRow is one host as operators see it.
type HostRow struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Address string `json:"address"`
	Pool    string `json:"pool"`
	Phase   string `json:"phase"`
	Since   uint64 `json:"since"`
}

// hostRows lists every host, by name.
func hostRows(s *replica.State) []HostRow {
	out := make([]HostRow, 0, len(s.Pools.Hosts))
	for _, name := range slices.Sorted(maps.Keys(s.Pools.Hosts)) {
		h := s.Pools.Hosts[name]
		spec := s.Catalogue.Hosts[name].Value
		out = append(out, HostRow{
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
