package httpplatform

import (
	"time"

	"greengagedeck/internal/platform"
)

// Paths of the platform's HTTP API. Path parameters are in braces, as the server's
// router expects them.
const (
	// PathRecords accepts a POST with one record as its body, and a GET with
	// the query parameters from, limit and wait_ms.
	PathRecords = "/v1/streams/{stream}/records"
	// PathBounds accepts a GET.
	PathBounds = "/v1/streams/{stream}/bounds"
	// PathHosts accepts a GET with the optional query parameter known.
	PathHosts = "/v1/hosts"
	// PathUsage accepts a GET.
	PathUsage = "/v1/hosts/{host}/usage"
	// PathAction accepts a POST. The action is one of the Action constants;
	// ActionThrottle has the query parameter share.
	PathAction = "/v1/hosts/{host}/actions/{action}"
)

// Query parameters of the API.
const (
	ParamFrom   = "from"
	ParamLimit  = "limit"
	ParamWaitMs = "wait_ms"
	ParamShare  = "share"
)

// Actions on a host.
const (
	ActionCheckpoint = "checkpoint"
	ActionThrottle   = "throttle"
	ActionStop       = "stop"
	ActionDrain      = "drain"
	ActionReboot     = "reboot"
)

// ContentType is the content type of every body except that of a record.
const ContentType = "application/cbor"

// AppendResponse is the body of a successful append.
type AppendResponse struct {
	Offset uint64 `cbor:"offset"`
}

// RecordResponse is one record of a read.
type RecordResponse struct {
	Offset uint64 `cbor:"offset"`
	Data   []byte `cbor:"data"`
}

// BoundsResponse is the body of a successful bounds request, and of a read that
// starts before the oldest kept record (status 410).
type BoundsResponse struct {
	Oldest uint64 `cbor:"oldest"`
	Next   uint64 `cbor:"next"`
}

// HostResponse is one host in a ListResponse.
type HostResponse struct {
	ID      string `cbor:"id"`
	Address string `cbor:"address"`
	Zone    string `cbor:"zone"`
	Rack    string `cbor:"rack"`
	Leaving bool   `cbor:"leaving"`
	Entry   bool   `cbor:"entry"`
}

// ParamKnown is the query parameter with the version of the host list that the
// client already has.
const ParamKnown = "known"

// ListResponse is the body of a successful list request.
type ListResponse struct {
	Version uint64 `cbor:"version"`
	// Unchanged is set, and Hosts omitted, if the list still has the version
	// that the client sent as ParamKnown.
	Unchanged bool           `cbor:"same,omitempty"`
	Hosts     []HostResponse `cbor:"hosts,omitempty"`
}

// UsageResponse is the body of a successful usage request.
type UsageResponse struct {
	BusySlots  int    `cbor:"busy_slots"`
	ReportedAt int64  `cbor:"reported_at_ms"`
	BootID     string `cbor:"boot_id"`
	Healthy    bool   `cbor:"healthy"`
}

func (r ListResponse) toHostList() platform.HostList {
	l := platform.HostList{Version: r.Version, Hosts: make([]platform.HostStatus, 0, len(r.Hosts))}
	for _, h := range r.Hosts {
		l.Hosts = append(l.Hosts, platform.HostStatus(h))
	}
	return l
}

func (r UsageResponse) toHostUsage(host string) platform.HostUsage {
	return platform.HostUsage{
		Host:       host,
		BusySlots:  r.BusySlots,
		ReportedAt: time.UnixMilli(r.ReportedAt),
		BootID:     r.BootID,
		Healthy:    r.Healthy,
	}
}
