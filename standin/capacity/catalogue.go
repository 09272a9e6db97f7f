// Package capacity measures the cost of the control plane for a daemon (CPU time,
// memory and control traffic) at several sizes of a deployment.
package capacity

import (
	"fmt"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/request"
)

// Size is the size of a deployment.
type Size struct {
	Workers int
	Pools   int
	Teams   int
	Zones   int
	// Daemons is the number of entry hosts, which are spread over the zones.
	Daemons int
}

// DesignSize is the deployment size that the product is designed for.
var DesignSize = Size{Workers: 1000, Pools: 57, Teams: 250, Zones: 7, Daemons: 14}

// scaled returns DesignSize with the given number of workers, and pools and teams
// reduced in proportion.
func scaled(workers int) Size {
	s := DesignSize
	s.Workers = workers
	s.Pools = max(2, DesignSize.Pools*workers/DesignSize.Workers)
	s.Teams = max(2, DesignSize.Teams*workers/DesignSize.Workers)
	return s
}

const (
	slotsPerHost       = 8
	connectionsPerHost = 64
	hostsPerRack       = 4
	entriesPerTeam     = 2
)

// ZoneName returns the name of zone i.
func ZoneName(i int) string { return fmt.Sprintf("zone-%d", i+1) }

// address returns an address of worker i on a loopback IP of its own.
func address(i int) string { return fmt.Sprintf("127.1.%d.%d:9000", i/250, i%250+1) }

// Document returns a catalogue of the given size.
func Document(s Size) catalogue.Document {
	var d catalogue.Document
	for i := range s.Teams {
		d.Teams = append(d.Teams, catalogue.Team{Name: teamName(i), Rate: 100, Burst: 200, Weight: 1})
	}
	for i := range s.Pools {
		d.Pools = append(d.Pools, catalogue.Pool{
			Name: poolName(i), Owner: teamName(i % s.Teams), Spare: i == 0, MinHosts: 1, MaxUnavailable: 2,
			SlotsPerHost: slotsPerHost, ConnectionsPerHost: connectionsPerHost, LongShare: 0.5,
		})
	}
	for i := range s.Workers {
		zone := i % s.Zones
		d.Hosts = append(d.Hosts, catalogue.Host{
			Name: fmt.Sprintf("w-%04d", i), Address: address(i), Zone: ZoneName(zone),
			Rack: fmt.Sprintf("%s-r%d", ZoneName(zone), i/s.Zones/hostsPerRack),
			Pool: poolName(i / s.Zones % s.Pools), Cores: 32, MemoryGB: 64,
		})
	}
	for i := range s.Teams * entriesPerTeam {
		d.Entries = append(d.Entries, entry(s, i))
	}
	return d
}

func entry(s Size, i int) catalogue.Entry {
	return catalogue.Entry{
		Name: fmt.Sprintf("entry-%04d", i), Owner: teamName(i % s.Teams), Pool: poolName(i % s.Pools),
		Class: request.ClassShort, Idempotent: true,
		Limits:    catalogue.Limits{Queue: 100, Deadline: 2 * time.Second, BodyBytes: 64 << 10},
		Objective: catalogue.Objective{Availability: 0.999, Latency: 500 * time.Millisecond},
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

func poolName(i int) string { return fmt.Sprintf("pool-%02d", i) }
