// Package catalogue holds what operators declare: teams, pools, hosts, entries
// and maintenance waves. It reads and checks catalogue files and decides, in
// log order, which edits are accepted.
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
	// Rate is the sustained number of requests a second, 0 for no limit.
	Rate float64 `yaml:"rate" json:"rate" cbor:"2,keyasint"`
	// Burst is how many requests may come at once above Rate.
	Burst int `yaml:"burst" json:"burst" cbor:"3,keyasint"`
	// Weight is the team's share of a contended queue; 0 counts as 1.
	Weight float64 `yaml:"weight" json:"weight" cbor:"4,keyasint"`
}

// Pool is a set of hosts that serves entries.
type Pool struct {
	Name  string `yaml:"name" json:"name" cbor:"1,keyasint"`
	Owner string `yaml:"owner" json:"owner" cbor:"2,keyasint"`
	// Spare marks the pool that lends hosts to others.
	Spare bool `yaml:"spare" json:"spare" cbor:"3,keyasint"`
	// MinHosts and MaxHosts bound how many hosts the pool owns; a MaxHosts
	// of 0 is no bound.
	MinHosts int `yaml:"min_hosts" json:"min_hosts" cbor:"4,keyasint"`
	MaxHosts int `yaml:"max_hosts" json:"max_hosts" cbor:"5,keyasint"`
	// MaxUnavailable is how many of the pool's hosts may be out of service
	// at once, for whatever reason, before planned work must stop.
	MaxUnavailable int `yaml:"max_unavailable" json:"max_unavailable" cbor:"6,keyasint"`
	// SlotsPerHost and ConnectionsPerHost are what one host serves at once.
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
	// Pool is the pool the host starts in.
	Pool string `yaml:"pool" json:"pool" cbor:"5,keyasint"`
	// Cores and MemoryGB are the host's size.
	Cores    int `yaml:"cores" json:"cores" cbor:"6,keyasint"`
	MemoryGB int `yaml:"memory_gb" json:"memory_gb" cbor:"7,keyasint"`
}

// Limits is what an entry's work may use.
type Limits struct {
	// Slots is how many slots the entry may hold at once, 0 for no limit
	// beyond its class and pool.
	Slots int `yaml:"slots" json:"slots" cbor:"1,keyasint"`
	// Queue is how many of its requests may wait in one daemon.
	Queue int `yaml:"queue" json:"queue" cbor:"2,keyasint"`
	// Deadline is how long a request may take when the caller names none,
	// and the most it may ask for.
	Deadline time.Duration `yaml:"deadline" json:"deadline" cbor:"3,keyasint"`
	// BodyBytes is the largest request body.
	BodyBytes int `yaml:"body_bytes" json:"body_bytes" cbor:"4,keyasint"`
	// MemoryGB and Cores are what one request needs of a host.
	MemoryGB int `yaml:"memory_gb" json:"memory_gb" cbor:"5,keyasint"`
	Cores    int `yaml:"cores" json:"cores" cbor:"6,keyasint"`
}

// Objective is an entry's service level.
type Objective struct {
	// Availability is the share of requests that must succeed, such as
	// 0.999.
	Availability float64 `yaml:"availability" json:"availability" cbor:"1,keyasint"`
	// Latency is the response time above which a success counts as late.
	Latency time.Duration `yaml:"latency" json:"latency" cbor:"2,keyasint"`
}

// Entry is a class of work with an owner and the limits it may use.
type Entry struct {
	Name  string        `yaml:"name" json:"name" cbor:"1,keyasint"`
	Owner string        `yaml:"owner" json:"owner" cbor:"2,keyasint"`
	Pool  string        `yaml:"pool" json:"pool" cbor:"3,keyasint"`
	Class request.Class `yaml:"class" json:"class" cbor:"4,keyasint"`
	// Idempotent is what a request counts as when its caller does not say.
	Idempotent bool      `yaml:"idempotent" json:"idempotent" cbor:"5,keyasint"`
	Limits     Limits    `yaml:"limits" json:"limits" cbor:"6,keyasint"`
	Objective  Objective `yaml:"objective" json:"objective" cbor:"7,keyasint"`
	// Disabled refuses the entry's requests without forgetting its limits.
	Disabled bool `yaml:"disabled" json:"disabled" cbor:"8,keyasint"`
}

// Wave maintains the hosts of a pool or a zone, each once.
type Wave struct {
	Name  string `yaml:"name" json:"name" cbor:"1,keyasint"`
	Owner string `yaml:"owner" json:"owner" cbor:"2,keyasint"`
	// Pool and Zone select hosts; an empty one selects all.
	Pool string `yaml:"pool" json:"pool" cbor:"3,keyasint"`
	Zone string `yaml:"zone" json:"zone" cbor:"4,keyasint"`
	// MaxParallel is how many hosts the wave may have out at once.
	MaxParallel int `yaml:"max_parallel" json:"max_parallel" cbor:"5,keyasint"`
	// Start and Deadline bound when the wave runs.
	Start    time.Time `yaml:"start" json:"start" cbor:"6,keyasint"`
	Deadline time.Time `yaml:"deadline" json:"deadline" cbor:"7,keyasint"`
	// DrainTimeout is how long long work may go on before it is
	// checkpointed.
	DrainTimeout time.Duration `yaml:"drain_timeout" json:"drain_timeout" cbor:"8,keyasint"`
	// MaxFailures is how many hosts may fail after reboot before the wave
	// halts.
	MaxFailures int `yaml:"max_failures" json:"max_failures" cbor:"9,keyasint"`
	// Paused stops the wave from taking further hosts.
	Paused bool `yaml:"paused" json:"paused" cbor:"10,keyasint"`
}

// Document is a whole catalogue, as in a catalogue file.
type Document struct {
	// Version is the catalogue version the document was read at. An edit
	// made from it is turned down when what it changes has changed since.
	Version uint64  `yaml:"version,omitempty" json:"version,omitempty"`
	Teams   []Team  `yaml:"teams" json:"teams"`
	Pools   []Pool  `yaml:"pools" json:"pools"`
	Hosts   []Host  `yaml:"hosts" json:"hosts"`
	Entries []Entry `yaml:"entries" json:"entries"`
	Waves   []Wave  `yaml:"waves" json:"waves"`
}
