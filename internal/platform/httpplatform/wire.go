package httpplatform

import (
	"time"

	"greengagedeck/internal/platform"
)

// The paths of the platform's HTTP protocol. A path parameter stands in
// braces, as the server's router expects it.
const (
	// PathRecords takes a POST with one record as its body, and a GET with
	// the query parameters from, limit and wait_ms.
	PathRecords = "/v1/streams/{stream}/records"
	// PathBounds takes a GET.
	PathBounds = "/v1/streams/{stream}/bounds"
	// PathHosts takes a GET.
	PathHosts = "/v1/hosts"
	// PathUsage takes a GET.
	PathUsage = "/v1/hosts/{host}/usage"
	// PathAction takes a POST. The action is one of the Action constants.
	PathAction = "/v1/hosts/{host}/actions/{action}"
)

// The query parameters of the protocol.
const (
	ParamFrom   = "from"
	ParamLimit  = "limit"
	ParamWaitMs = "wait_ms"
	ParamShare  = "share"
)

// The actions on a host.
const (
	ActionCheckpoint = "checkpoint"
	ActionThrottle   = "throttle"
	ActionStop       = "stop"
	ActionDrain      = "drain"
	ActionReboot     = "reboot"
)

// ContentType is the type of every body but a record's.
const ContentType = "application/cbor"

// AppendAnswer is the body of a successful append.
type AppendAnswer struct {
	Offset uint64 `cbor:"offset"`
}

// RecordAnswer is one record of a read.
type RecordAnswer struct {
	Offset uint64 `cbor:"offset"`
	Data   []byte `cbor:"data"`
}

// BoundsAnswer is the body of a successful bounds request, and of a read that
// starts before the oldest kept record (status 410).
type BoundsAnswer struct {
	Oldest uint64 `cbor:"oldest"`
	Next   uint64 `cbor:"next"`
}

// HostAnswer is one host of the list.
type HostAnswer struct {
	ID      string `cbor:"id"`
	Address string `cbor:"address"`
	Zone    string `cbor:"zone"`
	Rack    string `cbor:"rack"`
	Leaving bool   `cbor:"leaving"`
	Entry   bool   `cbor:"entry"`
}

// ParamKnown carries the version of the list that the client has.
const ParamKnown = "known"

// ListAnswer is the body of a successful list request.
type ListAnswer struct {
	Version uint64 `cbor:"version"`
	// Same is set, and Hosts left out, when the list has the version that
	// the client knows.
	Same  bool         `cbor:"same,omitempty"`
	Hosts []HostAnswer `cbor:"hosts,omitempty"`
}

// UsageAnswer is the body of a successful usage request.
type UsageAnswer struct {
	BusySlots  int    `cbor:"busy_slots"`
	ReportedAt int64  `cbor:"reported_at_ms"`
	BootID     string `cbor:"boot_id"`
	Healthy    bool   `cbor:"healthy"`
}

func (a ListAnswer) list() platform.HostList {
	l := platform.HostList{Version: a.Version, Hosts: make([]platform.HostStatus, 0, len(a.Hosts))}
	for _, h := range a.Hosts {
		l.Hosts = append(l.Hosts, platform.HostStatus(h))
	}
	return l
}

func (a UsageAnswer) usage(host string) platform.HostUsage {
	return platform.HostUsage{
		Host:       host,
		BusySlots:  a.BusySlots,
		ReportedAt: time.UnixMilli(a.ReportedAt),
		BootID:     a.BootID,
		Healthy:    a.Healthy,
	}
}
