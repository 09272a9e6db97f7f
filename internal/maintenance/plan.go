package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/intent"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// Published is the part of a published state that this slice acts on.
type Published struct {
	Waves     *State
	Pools     *pool.State
	Catalogue *catalogue.State
	// Members holds the IDs of the members of the daemon's zone, sorted.
	Members []string
}

// Timing holds how long the steps of a maintenance may take.
type Timing struct {
	// RebootTimeout is how long a host may take to come back healthy before
	// it counts as failed.
	RebootTimeout time.Duration
	// RebootRetry is how long a boot ID may stay the same before the reboot
	// is asked for again. It must be longer than usage reports lag.
	RebootRetry time.Duration
	// Settle is how long after the last request for a reboot a host must
	// wait before it is back in service.
	Settle time.Duration
	// CheckpointRetry is the time between requests to checkpoint a host.
	CheckpointRetry time.Duration
	// ClockError bounds how far two hosts' clocks differ.
	ClockError time.Duration
	// BlockedInterval is the time between records that say why a wave of a
	// zone takes no host.
	BlockedInterval time.Duration
}

// DefaultTiming is the Timing of the daemon.
var DefaultTiming = Timing{
	RebootTimeout:   20 * time.Minute,
	RebootRetry:     5 * time.Minute,
	Settle:          30 * time.Second,
	CheckpointRetry: 30 * time.Second,
	ClockError:      time.Second,
	BlockedInterval: time.Hour,
}

// Calls holds when this daemon last asked the platform to act on a host.
type Calls struct {
	Checkpoint, Reboot time.Time
}

// Inputs is what a plan looks at besides the published state.
type Inputs struct {
	Self string
	Zone string
	// Suspects holds the members of the zone that do not answer. No host is
	// drained while its drain would wait for one of them.
	Suspects []string
	// Usage holds the last reports of the zone's hosts in maintenance.
	Usage map[string]platform.HostUsage
	// Calls holds this daemon's last calls by drain ID.
	Calls  map[string]Calls
	Timing Timing
}

// Operation is something to ask of the platform.
type Operation string

// The operations of a Step. All are idempotent.
const (
	// OpCheckpoint has the host's tasks save their progress and stop.
	OpCheckpoint Operation = "checkpoint"
	// OpReboot takes the host from the platform's tasks and restarts it.
	OpReboot Operation = "reboot"
)

// Step is one thing to do: an operation on a host, or a record to append when
// Operation is empty.
type Step struct {
	Operation Operation
	Host      string
	Drain     string
	Intent    intent.Intent
}

// Plan returns the steps that this daemon should take now. It changes nothing
// in p.
func Plan(p Published, now time.Time, in Inputs) []Step {
	var steps []Step
	for _, id := range slices.Sorted(maps.Keys(p.Pools.Drains)) {
		d := p.Pools.Drains[id]
		if d.Purpose != pool.PurposeMaintenance || d.Zone != in.Zone {
			continue
		}
		if step, ok := planHost(p, d, now, in); ok {
			steps = append(steps, step)
		}
	}
	return append(steps, planStarts(p, now, in)...)
}

// planHost returns the next step of a host that a wave has taken.
func planHost(p Published, d pool.Drain, now time.Time, in Inputs) (Step, bool) {
	executor := p.Waves.Executor(d)
	if executor != in.Self {
		if _, present := slices.BinarySearch(p.Members, executor); present {
			return Step{}, false
		}
		return claimStep(d, executor), true
	}
	if p.Pools.Hosts[d.Host].Phase == pool.PhaseDraining {
		return planDraining(p, d, now, in)
	}
	reboot, announced := p.Waves.Reboots[d.ID]
	if announced && reboot.BootID != "" {
		return planRebooting(p, d, reboot, now, in)
	}
	return planOut(p, d, reboot.Failed, now, in)
}

func claimStep(d pool.Drain, executor string) Step {
	return recordStep(d, KindClaim, Claim{Drain: d.ID}, true, executor+" is gone")
}

// recordStep returns the step of appending a record about d.
func recordStep(d pool.Drain, kind record.Kind, body any, shared bool, reason string) Step {
	cause := d.Cause
	cause.Reason = reason
	return Step{
		Host:  d.Host,
		Drain: d.ID,
		Intent: intent.Intent{
			Key:    string(kind) + "/" + d.ID,
			Shared: shared,
			Kind:   kind,
			Cause:  cause,
			Body:   body,
		},
	}
}

// inactive says why a wave should take no more hosts, or returns "".
func inactive(p Published, wave string) string {
	w, ok := p.Catalogue.Waves[wave]
	if !ok {
		return "the wave is no longer in the catalogue"
	}
	if w.Value.Paused {
		return "the wave is paused"
	}
	if halted := p.Waves.Halted(w); halted != "" {
		return "the wave has halted: " + halted
	}
	return ""
}

// planDraining waits for the host's requests to end, and has long work
// checkpointed once it has had its time.
func planDraining(p Published, d pool.Drain, now time.Time, in Inputs) (Step, bool) {
	if reason := inactive(p, d.Wave); reason != "" {
		return recordStep(d, pool.KindCancel, pool.DrainRef{Drain: d.ID}, false, reason), true
	}
	return planCheckpoint(p, d, now, in)
}

func planCheckpoint(p Published, d pool.Drain, now time.Time, in Inputs) (Step, bool) {
	timeout := p.Catalogue.Waves[d.Wave].Value.DrainTimeout
	if now.Sub(d.StartedAt) < timeout || now.Sub(in.Calls[d.ID].Checkpoint) < in.Timing.CheckpointRetry {
		return Step{}, false
	}
	return Step{Operation: OpCheckpoint, Host: d.Host, Drain: d.ID}, true
}

// planOut announces the reboot of a host that is out, once its own report shows
// that nothing runs there.
func planOut(p Published, d pool.Drain, failed bool, now time.Time, in Inputs) (Step, bool) {
	if reason := inactive(p, d.Wave); reason != "" && !failed {
		return recordStep(d, pool.KindReturn, pool.DrainRef{Drain: d.ID}, false, reason), true
	}
	u, ok := in.Usage[d.Host]
	if !ok || !u.ReportedAt.After(d.StartedAt.Add(in.Timing.ClockError)) {
		return planSilent(p, d, failed, now, in)
	}
	if u.BusySlots > 0 {
		return planCheckpoint(p, d, now, in)
	}
	reason := fmt.Sprintf("nothing runs on the host, boot ID %s", u.BootID)
	return recordStep(d, KindReboot, Reboot{Drain: d.ID, BootID: u.BootID}, false, reason), true
}

// planSilent gives up a host that has not reported since it was taken.
func planSilent(p Published, d pool.Drain, failed bool, now time.Time, in Inputs) (Step, bool) {
	patience := p.Catalogue.Waves[d.Wave].Value.DrainTimeout + in.Timing.RebootTimeout
	if failed || now.Sub(d.StartedAt) < patience {
		return Step{}, false
	}
	return failedStep(d, "the host stopped reporting before its reboot"), true
}

func failedStep(d pool.Drain, reason string) Step {
	return recordStep(d, KindFailed, Failed{Drain: d.ID, Reason: reason}, false, reason)
}

// planRebooting asks for the reboot, then waits for the host to report another
// boot ID and good health. A host that counts as failed is still returned when
// it recovers, but is not rebooted again.
func planRebooting(p Published, d pool.Drain, reboot RebootState, now time.Time, in Inputs) (Step, bool) {
	called := in.Calls[d.ID].Reboot
	if _, claimed := p.Waves.Executors[d.ID]; claimed && called.IsZero() {
		// The executor before may have asked: give that time to show.
		called = reboot.At
	}
	u := in.Usage[d.Host]
	fresh := u.ReportedAt.After(reboot.At.Add(in.Timing.ClockError))
	rebooted := fresh && u.BootID != reboot.BootID
	switch {
	case rebooted && u.Healthy && now.Sub(called) >= in.Timing.Settle:
		reason := fmt.Sprintf("boot ID %s after %s, healthy", u.BootID, reboot.BootID)
		return recordStep(d, KindVerified, Verified{Drain: d.ID, BootID: u.BootID}, false, reason), true
	case reboot.Failed:
		return Step{}, false
	case now.Sub(reboot.At) >= in.Timing.RebootTimeout:
		return failedStep(d, failureReason(rebooted, reboot, in.Timing)), true
	case !rebooted && now.Sub(called) >= in.Timing.RebootRetry:
		return Step{Operation: OpReboot, Host: d.Host, Drain: d.ID}, true
	}
	return Step{}, false
}

func failureReason(rebooted bool, reboot RebootState, t Timing) string {
	if rebooted {
		return fmt.Sprintf("unhealthy %s after its reboot", t.RebootTimeout)
	}
	return fmt.Sprintf("still has boot ID %s after %s", reboot.BootID, t.RebootTimeout)
}
