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

// PublishedState is the part of the replicated state that this package acts on.
type PublishedState struct {
	Waves     *State
	Pools     *pool.State
	Catalogue *catalogue.State
	// Members holds the IDs of the members of the daemon's zone, sorted.
	Members []string
}

// Timing holds the timeouts and intervals of maintenance.
type Timing struct {
	// RebootTimeout is how long a host may take to come back healthy before
	// it counts as failed.
	RebootTimeout time.Duration
	// RebootRetryInterval is how long a boot ID may stay the same before the
	// reboot is requested again. It must be longer than the lag of usage reports.
	RebootRetryInterval time.Duration
	// SettleTime is the shortest time that a host stays out of service after
	// the last request to reboot it.
	SettleTime time.Duration
	// CheckpointRetryInterval is the time between requests to checkpoint a host.
	CheckpointRetryInterval time.Duration
	// MaxClockSkew is the largest difference between the clocks of two hosts.
	MaxClockSkew time.Duration
	// BlockedInterval is the minimum time between records of why a wave drains
	// no host of a zone.
	BlockedInterval time.Duration
}

// DefaultTiming holds the default timeouts and intervals.
var DefaultTiming = Timing{
	RebootTimeout:           20 * time.Minute,
	RebootRetryInterval:     5 * time.Minute,
	SettleTime:              30 * time.Second,
	CheckpointRetryInterval: 30 * time.Second,
	MaxClockSkew:            time.Second,
	BlockedInterval:         time.Hour,
}

// LastCalls holds when this daemon last requested each operation on a host.
type LastCalls struct {
	Checkpoint, Reboot time.Time
}

// Inputs holds what a plan depends on besides the published state and the time.
type Inputs struct {
	Self string
	Zone string
	// Suspects holds the members of the zone that do not answer. No drain is
	// started while there are any, since it would wait for their
	// acknowledgement.
	Suspects []string
	// Usage holds the last reports, by host, of the hosts in maintenance whose
	// executor is this daemon.
	Usage map[string]platform.HostUsage
	// LastCalls holds this daemon's last platform calls by drain ID.
	LastCalls map[string]LastCalls
	Timing    Timing
}

// Operation is an operation on a host that the platform performs.
type Operation string

// The operations of a Step. All are idempotent.
const (
	// OpCheckpoint makes the host's tasks save their progress and stop.
	OpCheckpoint Operation = "checkpoint"
	// OpReboot drains the host of the platform's tasks and reboots it.
	OpReboot Operation = "reboot"
)

// Step is an operation on a host or, if Operation is empty, a record to append.
type Step struct {
	Operation Operation
	Host      string
	Drain     string
	Intent    intent.Intent
}

// Plan returns the steps that this daemon should execute now. It does not modify p.
func Plan(p PublishedState, now time.Time, in Inputs) []Step {
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
	return append(steps, planDrains(p, now, in)...)
}

// planHost returns the next step for a host that is drained by a wave. If the
// executor is another daemon, the only step is to claim the drain once that daemon is
// no longer a member.
func planHost(p PublishedState, d pool.Drain, now time.Time, in Inputs) (Step, bool) {
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
	return planRebootAnnouncement(p, d, reboot.Failed, now, in)
}

// claimStep returns the step of taking over a drain from an executor that is no
// longer a member.
func claimStep(d pool.Drain, executor string) Step {
	return recordStep(d, KindClaim, Claim{Drain: d.ID}, true, executor+" is gone")
}

// recordStep returns the step of appending a record about d, with the cause of d and
// the given reason.
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

// inactiveReason returns why a wave must drain no more hosts, or "" if it may.
func inactiveReason(p PublishedState, wave string) string {
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

// planDraining waits for the requests on a draining host to end. It cancels the drain
// if the wave has become inactive and, after the wave's drain timeout, requests a
// checkpoint of the tasks that still run.
func planDraining(p PublishedState, d pool.Drain, now time.Time, in Inputs) (Step, bool) {
	if reason := inactiveReason(p, d.Wave); reason != "" {
		return recordStep(d, pool.KindCancel, pool.DrainRef{Drain: d.ID}, false, reason), true
	}
	return planCheckpoint(p, d, now, in)
}

// planCheckpoint requests a checkpoint of the host, repeatedly, once the wave's drain
// timeout has passed.
func planCheckpoint(p PublishedState, d pool.Drain, now time.Time, in Inputs) (Step, bool) {
	timeout := p.Catalogue.Waves[d.Wave].Value.DrainTimeout
	if now.Sub(d.StartedAt) < timeout || now.Sub(in.LastCalls[d.ID].Checkpoint) < in.Timing.CheckpointRetryInterval {
		return Step{}, false
	}
	return Step{Operation: OpCheckpoint, Host: d.Host, Drain: d.ID}, true
}

// planRebootAnnouncement announces the reboot of a host that is out of service, once
// the host's own report shows that nothing runs there. It returns the host to service
// if the wave has become inactive, unless the host has failed.
func planRebootAnnouncement(p PublishedState, d pool.Drain, failed bool, now time.Time, in Inputs) (Step, bool) {
	if reason := inactiveReason(p, d.Wave); reason != "" && !failed {
		return recordStep(d, pool.KindReturn, pool.DrainRef{Drain: d.ID}, false, reason), true
	}
	u, ok := in.Usage[d.Host]
	if !ok || !u.ReportedAt.After(d.StartedAt.Add(in.Timing.MaxClockSkew)) {
		return planReportTimeout(p, d, failed, now, in)
	}
	if u.BusySlots > 0 {
		return planCheckpoint(p, d, now, in)
	}
	reason := fmt.Sprintf("nothing runs on the host, boot ID %s", u.BootID)
	return recordStep(d, KindReboot, Reboot{Drain: d.ID, BootID: u.BootID}, false, reason), true
}

// planReportTimeout marks a host as failed if it has not reported for the wave's
// drain timeout plus RebootTimeout since its drain started.
func planReportTimeout(p PublishedState, d pool.Drain, failed bool, now time.Time, in Inputs) (Step, bool) {
	timeout := p.Catalogue.Waves[d.Wave].Value.DrainTimeout + in.Timing.RebootTimeout
	if failed || now.Sub(d.StartedAt) < timeout {
		return Step{}, false
	}
	return failedStep(d, "the host stopped reporting before its reboot"), true
}

func failedStep(d pool.Drain, reason string) Step {
	return recordStep(d, KindFailed, Failed{Drain: d.ID, Reason: reason}, false, reason)
}

// planRebooting requests the reboot, then waits for the host to report another boot
// ID and good health. A host marked as failed is still returned to service when it
// recovers, but is not rebooted again.
func planRebooting(p PublishedState, d pool.Drain, reboot RebootState, now time.Time, in Inputs) (Step, bool) {
	lastReboot := in.LastCalls[d.ID].Reboot
	if _, claimed := p.Waves.Executors[d.ID]; claimed && lastReboot.IsZero() {
		// The previous executor may have requested the reboot: wait as if it
		// had done so when it announced the reboot.
		lastReboot = reboot.At
	}
	u := in.Usage[d.Host]
	fresh := u.ReportedAt.After(reboot.At.Add(in.Timing.MaxClockSkew))
	rebooted := fresh && u.BootID != reboot.BootID
	switch {
	case rebooted && u.Healthy && now.Sub(lastReboot) >= in.Timing.SettleTime:
		reason := fmt.Sprintf("boot ID %s after %s, healthy", u.BootID, reboot.BootID)
		return recordStep(d, KindVerified, Verified{Drain: d.ID, BootID: u.BootID}, false, reason), true
	case reboot.Failed:
		return Step{}, false
	case now.Sub(reboot.At) >= in.Timing.RebootTimeout:
		return failedStep(d, failureReason(rebooted, reboot, in.Timing)), true
	case !rebooted && now.Sub(lastReboot) >= in.Timing.RebootRetryInterval:
		return Step{Operation: OpReboot, Host: d.Host, Drain: d.ID}, true
	}
	return Step{}, false
}

// failureReason returns why a host counts as failed after RebootTimeout.
func failureReason(rebooted bool, reboot RebootState, t Timing) string {
	if rebooted {
		return fmt.Sprintf("unhealthy %s after its reboot", t.RebootTimeout)
	}
	return fmt.Sprintf("still has boot ID %s after %s", reboot.BootID, t.RebootTimeout)
}
