// Package platform declares what the system uses of the platform: an
// append-only log, a list of hosts and control over tasks. Nothing outside an
// adapter depends on how the platform is reached.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Stream names a stream of the platform's log.
type Stream string

// The streams the system keeps.
const (
	// StreamControl carries every edit and control decision, in one order.
	StreamControl Stream = "control"
	// StreamSnapshot carries snapshots of the folded control state.
	StreamSnapshot Stream = "snapshot"
	// StreamBurn carries summaries of served requests.
	StreamBurn Stream = "burn"
	// StreamTrace carries traces of single requests.
	StreamTrace Stream = "trace"
)

// ErrUncertain means that an append may or may not have taken effect.
var ErrUncertain = eris.New("append outcome unknown")

// ErrUnavailable means that the platform did not carry out the operation.
var ErrUnavailable = eris.New("platform unavailable")

// TruncatedError is returned by a read that starts before the oldest record
// that the log still keeps.
type TruncatedError struct {
	// Oldest is the first offset that can still be read.
	Oldest uint64
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log truncated: oldest offset is %d", e.Oldest)
}

// LogRecord is one record of a stream. Offsets start at 1 and have no gaps.
type LogRecord struct {
	Offset uint64
	Data   []byte
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds data to the stream and returns its offset. An error that
	// is not ErrUnavailable leaves open whether the record was added.
	Append(ctx context.Context, s Stream, data []byte) (uint64, error)
	// Read returns up to limit records from offset from on. With no record
	// there yet it waits up to wait and then returns none. It fails with
	// *TruncatedError when from is older than the oldest kept record.
	Read(ctx context.Context, s Stream, from uint64, limit int, wait time.Duration) ([]LogRecord, error)
	// Bounds returns the oldest kept offset and the offset that the next
	// append will get. Both are equal for a stream without records.
	Bounds(ctx context.Context, s Stream) (oldest, next uint64, err error)
}

// HostStatus is the platform's view of one host.
type HostStatus struct {
	ID      string
	Address string
	Zone    string
	Rack    string
	// Leaving is set from the moment the platform plans to take the host.
	Leaving bool
	// Entry is set for entry hosts, which run the daemon, and unset for
	// workers.
	Entry bool
}

// HostList is a snapshot of the platform's list. It lags reality.
type HostList struct {
	// Version grows with every change of the list.
	Version uint64
	Hosts   []HostStatus
}

// Hosts is the platform's list of live and leaving hosts.
type Hosts interface {
	List(ctx context.Context) (HostList, error)
}

// HostUsage is a worker's last reported usage.
type HostUsage struct {
	Host string
	// BusySlots counts tasks that run there.
	BusySlots int
	// ReportedAt is when the host took the figures, by its own clock.
	ReportedAt time.Time
	// BootID changes with every reboot.
	BootID string
	// Healthy is false while the host fails its own checks.
	Healthy bool
}

// Tasks controls what runs on workers. Every operation is idempotent.
type Tasks interface {
	// Usage returns the last report of a host.
	Usage(ctx context.Context, host string) (HostUsage, error)
	// Checkpoint asks the host's tasks to save their progress and stop.
	Checkpoint(ctx context.Context, host string) error
	// Throttle limits the host's tasks to a share of its processors, from
	// 0 (exclusive) to 1.
	Throttle(ctx context.Context, host string, share float64) error
	// Stop ends the host's tasks.
	Stop(ctx context.Context, host string) error
	// Drain tells the platform that the host takes no new tasks.
	Drain(ctx context.Context, host string) error
	// Reboot restarts the host; it is done when Usage shows a new BootID.
	Reboot(ctx context.Context, host string) error
}
