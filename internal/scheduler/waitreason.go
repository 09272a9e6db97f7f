package scheduler

import (
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

// The reasons that only explanations of single steps and customers name.
const (
	// NoRunGangActive means that members of the gang's last run have not ended.
	NoRunGangActive NoRunReason = "gang-member-active"
	// NoRunNotChecked means that the tasks were not compared with the workers, since too
	// many groups wait that need a label, an approval or a limit for each worker.
	NoRunNotChecked NoRunReason = "not-checked"
)

// CustomerShare is what a customer may use in a pool.
type CustomerShare struct {
	// Grant is the part of the customer's limit that the pool may use, or nil if the
	// customer has no limit.
	Grant *job.Resources
	// Weight is the customer's weight in effect.
	Weight float64
	// Share is the part of the pool's processor or memory that the customer uses, whichever
	// is larger.
	Share float64
}

// customerShares tells what customers may use in a pool, and which groups wait because of
// that.
type customerShares interface {
	// customerShare returns what a customer may use.
	customerShare(id customer.ID) CustomerShare
	// customerWait returns NoRunCustomerLimit or NoRunCustomerShare if a group of a job
	// waits for that reason, else "".
	customerWait(j *trackedJob, g job.TaskGroup, now time.Duration) NoRunReason
}

// customerWait returns why a group waits if its customer's limit or share is the reason,
// else "".
func (c *Core) customerWait(j *trackedJob, g job.TaskGroup, now time.Duration) NoRunReason {
	return c.shares.customerWait(j, g, now)
}

// waitExplainer tells why groups of tasks wait. It changes nothing and logs nothing.
type waitExplainer struct {
	core    *Core
	holder  HolderState
	now     time.Duration
	workers WorkerCounts
	nodes   []*placement.Node
	summary placement.Summary
	// comparisons is how many groups may still be compared with every worker.
	comparisons int
}

// maxComparisons bounds the groups that one query compares with every worker, which takes
// the time of a plan's search for a place.
const maxComparisons = 64

func (c *Core) newWaitExplainer(h HolderState, now time.Duration) *waitExplainer {
	nodes := c.index.nodes.Nodes()
	return &waitExplainer{
		core: c, holder: h, now: now, workers: c.countWorkers(now),
		nodes: nodes, summary: placement.Summarize(nodes), comparisons: maxComparisons,
	}
}

// explain returns why a group waits, and the most free processor time on a worker that
// could take its tasks if that is too little.
func (e *waitExplainer) explain(j *trackedJob, g job.TaskGroup) (reason NoRunReason, maxFreeCPU int) {
	c := e.core
	if reason := c.poolReason(e.holder); reason != "" {
		return reason, 0
	}
	if reason := c.unplannedReason(j, e.holder, e.now); reason != "" {
		return reason, 0
	}
	if reason := c.customerWait(j, g, e.now); reason != "" {
		return reason, 0
	}
	unplaced, maxFreeCPU, ok := e.unplaced(j, g)
	if !ok {
		return NoRunNotChecked, 0
	}
	return c.noPlaceReason(unplaced, e.workers), maxFreeCPU
}

// unplaced returns why no worker takes the tasks of a group, or what was last found once
// too many groups were compared. It returns false if there is no answer.
func (e *waitExplainer) unplaced(j *trackedJob, g job.TaskGroup) (reason placement.UnplacedReason, maxFreeCPU int, ok bool) {
	req := e.request(j, g)
	if reason, maxFreeCPU, ok := e.summary.Explain(req); ok {
		return reason, maxFreeCPU, true
	}
	if e.comparisons > 0 {
		e.comparisons--
		reason, maxFreeCPU = placement.Explain(e.nodes, req)
		return reason, maxFreeCPU, true
	}
	last, ok := j.waitReasons[g.Step]
	return last.reason, last.maxFreeCPU, ok
}

// request returns what one task of a group requires.
func (e *waitExplainer) request(j *trackedJob, g job.TaskGroup) placement.Request {
	c := e.core
	req := c.placementRequest(j, g, e.now)
	req.AllowEjected = req.AllowEjected || c.jobStalled(j, e.now)
	if j.Terms.Approval == nil {
		return req
	}
	a := c.approvals[worker.StepKey{Job: j.Spec.ID, Occurrence: g.Occurrence, Step: g.Step}]
	req.Approved = func(id string) bool { return a != nil && a.approved(c.workers[id].Incarnation, e.now) }
	return req
}
