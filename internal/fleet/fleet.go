// Package fleet moves hosts between pools with demand and has them maintained in
// waves. One daemon holds the duty for it; Decide is its policy, a pure
// function, and Controller carries it out.
package fleet

import (
	"context"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// State is what the platform says of a host.
type State string

// The states of a host.
const (
	// Up hosts work, or could in the standby pool.
	Up State = "up"
	// Moving hosts change their pool.
	Moving State = "moving"
	// Upkeep hosts are being maintained.
	Upkeep State = "upkeep"
	// Down hosts have failed.
	Down State = "down"
)

// Machine is a host as the platform lists it.
type Machine struct {
	Name  string
	Pool  string
	State State
	Zone  string
	Rack  string
	// Capacity is its whole room.
	Capacity job.Resources
	// Worker is the ID of the worker that runs there, empty in standby.
	Worker string
}

// Wave asks for hosts to be maintained.
type Wave struct {
	Number   int
	Machines []string
	// Duration is the time for the whole wave, and MaxDown how many hosts may
	// be in maintenance at once.
	Duration time.Duration
	MaxDown  int
}

// Order identifies who orders something.
type Order struct {
	// Holder is the daemon's host.
	Holder string
	Token  int64
}

// Cloud is the platform's control over hosts. The error of an order is nil when
// it is carried out or was before, a *Refusal, or a *verdict.Error that may
// leave that open.
type Cloud interface {
	// Machines lists all hosts.
	Machines(ctx context.Context) ([]Machine, error)
	// Move ends everything on a host and takes it to another pool.
	Move(ctx context.Context, o Order, machine, pool string) error
	// Upkeep ends everything on a host and maintains it for a wave.
	Upkeep(ctx context.Context, o Order, machine string, wave int) error
}

// Refusal is an order that the platform turned down. It had no effect.
type Refusal struct{ Reason string }

// Error implements error.
func (r *Refusal) Error() string { return "platform refused: " + r.Reason }

// PoolView is what is known of one pool.
type PoolView struct {
	Name    string
	Standby bool
	// Known is set when the pool's holder answered; Report is its answer.
	Known  bool
	Report scheduler.Report
}

// WaveView is a wave and how far it has come.
type WaveView struct {
	Wave
	// Left is the time until it should be over.
	Left time.Duration
	// Begun names the hosts whose maintenance was ordered with success.
	Begun map[string]bool
	// Completed is set once every host that stays has begun.
	Completed bool
}

// View is everything that a decision rests on.
type View struct {
	Machines []Machine
	Pools    []PoolView
	Waves    []WaveView
	// Pending names the hosts with an order whose outcome is unknown or not
	// yet in the list.
	Pending map[string]bool
	// Arriving names the hosts that were moved or maintained so lately that
	// their workers may still be starting.
	Arriving map[string]bool
	// Surplus is for how long each pool has had more hosts than it needs.
	Surplus map[string]time.Duration
	// Busy is for how long callers have handed in work, 0 for not at all.
	Busy time.Duration
}

// Kind is what an action does.
type Kind uint8

// The kinds of actions.
const (
	// Close has a worker take no new tasks.
	Close Kind = iota
	// Open has a closed worker take tasks again.
	Open
	// Move takes an empty host to another pool.
	Move
	// Maintain has an empty host maintained.
	Maintain
)

// Action is one thing to do, and why.
type Action struct {
	Kind    Kind
	Machine string
	// Worker and Pool are the worker on the host and its pool.
	Worker string
	Pool   string
	// To is the pool to move to.
	To string
	// Wave is the wave to maintain for.
	Wave int
	// Evacuate has long-running tasks moved off a closed worker.
	Evacuate bool
	Reason   string
}
