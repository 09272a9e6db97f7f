// Package platform declares the interfaces to the platform's services: an
// append-only log, a list of hosts and control over tasks. Only adapters depend
// on the protocol by which the platform is reached.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Stream names a stream of the platform's log.
type Stream string

// Streams that the system writes.
const (
	// StreamControl carries every edit and control decision, in one order.
	StreamControl Stream = "control"
	// StreamSnapshot carries snapshots of the state that results from applying
	// the control records.
	StreamSnapshot Stream = "snapshot"
	// StreamBurn carries summaries of finished requests.
	StreamBurn Stream = "burn"
	// StreamTrace carries traces of individual requests.
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
	// Append adds data to the stream and returns its offset. After any error
	// other than ErrUnavailable the record may or may not have been added.
	Append(ctx context.Context, s Stream, data []byte) (uint64, error)
	// Read returns up to limit records, starting at offset from. If there is
	// no such record yet, it waits for up to wait and then returns none. It
	// fails with *TruncatedError if from is before the oldest kept record.
	Read(ctx context.Context, s Stream, from uint64, limit int, wait time.Duration) ([]LogRecord, error)
	// Bounds returns the oldest kept offset and the offset that the next
	// append will get. They are equal for a stream without records.
	Bounds(ctx context.Context, s Stream) (oldest, next uint64, err error)
}

// HostStatus is the platform's view of one host.
type HostStatus struct {
	ID      string
	Address string
	Zone    string
	Rack    string
	// Leaving is set as soon as the platform plans to remove the host.
	Leaving bool
	// Entry is true for entry hosts, which run the daemon, and false for
	// workers.
	Entry bool
}

// HostList is a snapshot of the platform's list of hosts. It may be out of date.
type HostList struct {
	// Version increases with every change of the list.
	Version uint64
	Hosts   []HostStatus
}

// Hosts is the platform's list of live and leaving hosts.
type Hosts interface {
	List(ctx context.Context) (HostList, error)
}

// HostUsage is the last usage that a worker reported.
type HostUsage struct {
	Host string
	// BusySlots is the number of tasks that run on the host.
	BusySlots int
	// ReportedAt is the time of the report by the host's own clock.
	ReportedAt time.Time
	// BootID changes with every reboot.
	BootID string
	// Healthy is false while the host fails its own health checks.
	Healthy bool
}

// Tasks controls what runs on workers. Every operation is idempotent.
type Tasks interface {
	// Usage returns the last usage report of the host.
	Usage(ctx context.Context, host string) (HostUsage, error)
	// Checkpoint asks the host's tasks to save their progress and stop.
	Checkpoint(ctx context.Context, host string) error
	// Throttle limits the host's tasks to a share of its processors: more than
	// 0 and at most 1.
	Throttle(ctx context.Context, host string, share float64) error
	// Stop stops the host's tasks.
	Stop(ctx context.Context, host string) error
	// Drain tells the platform that the host takes no new tasks.
	Drain(ctx context.Context, host string) error
	// Reboot restarts the host. The reboot is complete when Usage returns a new
	// BootID.
	Reboot(ctx context.Context, host string) error
}
