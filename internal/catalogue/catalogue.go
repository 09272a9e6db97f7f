// Package catalogue defines the objects that operators declare: teams, pools,
// hosts, entries and maintenance waves. It loads and validates catalogue files
// and decides, in log order, which edits are accepted.
package catalogue

import (
	"time"

	"greengagedeck/internal/request"
)

// Kind names a kind of catalogue object.
type Kind string

// The kinds of objects a catalogue holds.
const (
	KindTeam  Kind = "team"
	KindPool  Kind = "pool"
	KindHost  Kind = "host"
	KindEntry Kind = "entry"
	KindWave  Kind = "wave"
)

// Key identifies an object.
type Key struct {
	Kind Kind   `cbor:"1,keyasint" json:"kind"`
	Name string `cbor:"2,keyasint" json:"name"`
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Team owns entries and has a quota that its entries share.
type Team struct {
	Name string `yaml:"name" json:"name" cbor:"1,keyasint"`
	// Rate is the sustained number of requests per second, 0 for no limit.
	Rate float64 `yaml:"rate" json:"rate" cbor:"2,keyasint"`
	// Burst is how many requests may exceed Rate at once.
	Burst int `yaml:"burst" json:"burst" cbor:"3,keyasint"`
	// Weight is the team's share of a contended queue; 0 counts as 1.
	Weight float64 `yaml:"weight" json:"weight" cbor:"4,keyasint"`
}

// Pool is a set of hosts that serves entries.
type Pool struct {
	Name  string `yaml:"name" json:"name" cbor:"1,keyasint"`
	Owner string `yaml:"owner" json:"owner" cbor:"2,keyasint"`
	// Spare marks the pool that lends hosts to other pools.
	Spare bool `yaml:"spare" json:"spare" cbor:"3,keyasint"`
	// MinHosts and MaxHosts limit how many hosts the pool owns. A MaxHosts
	// of 0 means no limit.
	MinHosts int `yaml:"min_hosts" json:"min_hosts" cbor:"4,keyasint"`
	MaxHosts int `yaml:"max_hosts" json:"max_hosts" cbor:"5,keyasint"`
	// MaxUnavailable is how many of the pool's hosts may be out of service
	// at once, for any reason, before planned work must stop.
	MaxUnavailable int `yaml:"max_unavailable" json:"max_unavailable" cbor:"6,keyasint"`
	// SlotsPerHost and ConnectionsPerHost are the maximum numbers of slots
	// and connections that one host serves at once.
	SlotsPerHost       int `yaml:"slots_per_host" json:"slots_per_host" cbor:"7,keyasint"`
	ConnectionsPerHost int `yaml:"connections_per_host" json:"connections_per_host" cbor:"8,keyasint"`
	// LongShare is the share of the pool's slots that long work may hold.
	LongShare float64 `yaml:"long_share" json:"long_share" cbor:"9,keyasint"`
}

// Host is a worker that serves one pool at a time.
type Host struct {
	Name string `yaml:"name" json:"name" cbor:"1,keyasint"`
	// Address is IP:port.
	Address string `yaml:"address" json:"address" cbor:"2,keyasint"`
	Zone    string `yaml:"zone" json:"zone" cbor:"3,keyasint"`
	Rack    string `yaml:"rack" json:"rack" cbor:"4,keyasint"`
	// Pool is the pool that the host initially belongs to.
	Pool string `yaml:"pool" json:"pool" cbor:"5,keyasint"`
	// Cores and MemoryGB are the host's capacity.
	Cores    int `yaml:"cores" json:"cores" cbor:"6,keyasint"`
	MemoryGB int `yaml:"memory_gb" json:"memory_gb" cbor:"7,keyasint"`
}

// Limits holds the resource limits of an entry.
type Limits struct {
	// Slots is how many slots the entry may hold at once, 0 for no limit
	// beyond its class and pool.
	Slots int `yaml:"slots" json:"slots" cbor:"1,keyasint"`
	// Queue is how many of its requests may be queued in one daemon.
	Queue int `yaml:"queue" json:"queue" cbor:"2,keyasint"`
	// Deadline is the time limit of a request whose caller sets none, and
	// the maximum that a caller may set.
	Deadline time.Duration `yaml:"deadline" json:"deadline" cbor:"3,keyasint"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int `yaml:"body_bytes" json:"body_bytes" cbor:"4,keyasint"`
	// MemoryGB and Cores are the resources that one request needs.
	MemoryGB int `yaml:"memory_gb" json:"memory_gb" cbor:"5,keyasint"`
	Cores    int `yaml:"cores" json:"cores" cbor:"6,keyasint"`
}

// Objective is an entry's service level.
type Objective struct {
	// Availability is the share of requests that must succeed, such as
	// 0.999.
	Availability float64 `yaml:"availability" json:"availability" cbor:"1,keyasint"`
	// Latency is the response time above which a successful request counts
	// as late.
	Latency time.Duration `yaml:"latency" json:"latency" cbor:"2,keyasint"`
}

// Entry is a kind of work with an owner and resource limits.
type Entry struct {
	Name  string        `yaml:"name" json:"name" cbor:"1,keyasint"`
	Owner string        `yaml:"owner" json:"owner" cbor:"2,keyasint"`
	Pool  string        `yaml:"pool" json:"pool" cbor:"3,keyasint"`
	Class request.Class `yaml:"class" json:"class" cbor:"4,keyasint"`
	// Idempotent applies to a request whose caller does not say whether it
	// is idempotent.
	Idempotent bool      `yaml:"idempotent" json:"idempotent" cbor:"5,keyasint"`
	Limits     Limits    `yaml:"limits" json:"limits" cbor:"6,keyasint"`
	Objective  Objective `yaml:"objective" json:"objective" cbor:"7,keyasint"`
	// Disabled rejects the entry's requests but keeps its limits.
	Disabled bool `yaml:"disabled" json:"disabled" cbor:"8,keyasint"`
}

// Wave is a round of maintenance that covers each host of a pool or zone once.
type Wave struct {
	Name  string `yaml:"name" json:"name" cbor:"1,keyasint"`
	Owner string `yaml:"owner" json:"owner" cbor:"2,keyasint"`
	// Pool and Zone select hosts; an empty value matches all.
	Pool string `yaml:"pool" json:"pool" cbor:"3,keyasint"`
	Zone string `yaml:"zone" json:"zone" cbor:"4,keyasint"`
	// MaxParallel is how many hosts the wave may take out of service at once.
	MaxParallel int `yaml:"max_parallel" json:"max_parallel" cbor:"5,keyasint"`
	// Start and Deadline limit the time in which the wave runs.
	Start    time.Time `yaml:"start" json:"start" cbor:"6,keyasint"`
	Deadline time.Time `yaml:"deadline" json:"deadline" cbor:"7,keyasint"`
	// DrainTimeout is how long long-running work may continue before it is
	// checkpointed.
	DrainTimeout time.Duration `yaml:"drain_timeout" json:"drain_timeout" cbor:"8,keyasint"`
	// MaxFailures is how many hosts may fail after their reboot before the
	// wave is halted.
	MaxFailures int `yaml:"max_failures" json:"max_failures" cbor:"9,keyasint"`
	// Paused prevents the wave from starting on further hosts.
	Paused bool `yaml:"paused" json:"paused" cbor:"10,keyasint"`
}

// Document is a complete catalogue in the form of a catalogue file.
type Document struct {
	// Version is the catalogue version that the document was read at. An
	// edit based on it is rejected if an object it changes has been changed
	// since.
	Version uint64  `yaml:"version,omitempty" json:"version,omitempty"`
	Teams   []Team  `yaml:"teams" json:"teams"`
	Pools   []Pool  `yaml:"pools" json:"pools"`
	Hosts   []Host  `yaml:"hosts" json:"hosts"`
	Entries []Entry `yaml:"entries" json:"entries"`
	Waves   []Wave  `yaml:"waves" json:"waves"`
}
