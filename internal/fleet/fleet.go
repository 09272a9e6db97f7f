// Package fleet moves hosts between pools according to demand and maintains them
// in waves. The daemon that holds the fleet duty does so: Decide is a pure
// function that returns the actions to take, and Controller carries them out.
package fleet

import (
	"context"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// HostState is the state of a host as the platform reports it.
type HostState string

// The states of a host.
const (
	// HostUp is the state of a working host, or of one that is available in the
	// standby pool.
	HostUp HostState = "up"
	// HostMoving is the state of a host that is being moved to another pool.
	HostMoving HostState = "moving"
	// HostInMaintenance is the state of a host that is being maintained.
	HostInMaintenance HostState = "upkeep"
	// HostDown is the state of a host that has failed.
	HostDown HostState = "down"
)

// Host is an entry of the platform's list of hosts.
type Host struct {
	Name  string
	Pool  string
	State HostState
	Zone  string
	Rack  string
	// Labels are the host's labels, which its workers have too. They include Rack.
	Labels []string
	// Capacity is the host's total resources.
	Capacity job.Resources
	// Worker is the ID of the worker on the host. It is empty in standby.
	Worker string
}

// Wave is a request to maintain a set of hosts.
type Wave struct {
	Number int
	Hosts  []string
	// Duration is the time allowed for the whole wave, and MaxConcurrent how many
	// hosts may be in maintenance at once.
	Duration      time.Duration
	MaxConcurrent int
}

// Issuer identifies the holder of the fleet duty that sends an order.
type Issuer struct {
	// Holder is the host of the daemon.
	Holder string
	// Token is the fencing token of the duty.
	Token int64
}

// Cloud is the platform's API for hosts. Orders are idempotent: the error is nil
// if the order was carried out, now or by an earlier call. Otherwise it is a
// *RejectedError or a *verdict.Error, which may leave the outcome unknown.
type Cloud interface {
	// Hosts lists all hosts.
	Hosts(ctx context.Context) ([]Host, error)
	// Move stops everything on a host and moves it to another pool.
	Move(ctx context.Context, issuer Issuer, host, pool string) error
	// Maintain stops everything on a host and maintains it as part of a wave.
	Maintain(ctx context.Context, issuer Issuer, host string, wave int) error
}

// RejectedError is returned if the platform rejected an order. The order had no
// effect.
type RejectedError struct{ Reason string }

// Error implements error.
func (e *RejectedError) Error() string { return "the platform rejected the order: " + e.Reason }

// PoolView is the state of one pool in a View.
type PoolView struct {
	Name    string
	Standby bool
	// HasReport is set if the pool's holder returned Report.
	HasReport bool
	Report    scheduler.Report
}

// WaveView is a wave and its progress.
type WaveView struct {
	Wave
	// TimeLeft is the time until the wave should be completed.
	TimeLeft time.Duration
	// Started holds the hosts whose maintenance was ordered successfully.
	Started map[string]bool
	// Completed is set once every host that is not gone has started.
	Completed bool
}

// View is the input of a decision.
type View struct {
	Hosts []Host
	Pools []PoolView
	Waves []WaveView
	// Pending holds the hosts that may get no order now: an order is in flight,
	// its outcome is unknown, or the host is paused.
	Pending map[string]bool
	// Arriving holds the hosts that were moved or maintained so recently that
	// the order may still be in progress or their workers starting, if their pool
	// has not polled them yet.
	Arriving map[string]bool
	// RecentlyServing holds the hosts that are up and whose workers began so
	// recently to take no tasks that they may soon take some again.
	RecentlyServing map[string]bool
	// SurplusFor is how long each pool has had more hosts than it needs.
	SurplusFor map[string]time.Duration
	// BusyFor is the time since callers began to submit work, or 0 if they have
	// not.
	BusyFor time.Duration
}

// ActionKind is the type of an action.
type ActionKind uint8

// The kinds of actions.
const (
	// Cordon stops a worker from taking new tasks.
	Cordon ActionKind = iota
	// Uncordon lets a cordoned worker take tasks again.
	Uncordon
	// Move moves an empty host to another pool.
	Move
	// Maintain starts the maintenance of an empty host.
	Maintain
)

// Action is a step to carry out, with the reason for it.
type Action struct {
	Kind ActionKind
	Host string
	// Worker and Pool are the worker on the host and its pool.
	Worker string
	Pool   string
	// To is the pool to move to.
	To string
	// Wave is the number of the wave that the maintenance belongs to.
	Wave int
	// Evacuate moves long-running tasks off a cordoned worker.
	Evacuate bool
	Reason   string
}
