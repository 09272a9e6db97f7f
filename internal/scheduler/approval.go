package scheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

const (
	// maxWorkersPerRequest bounds how many workers one approval request names:
	// the answer takes longer for each.
	maxWorkersPerRequest = 30
	// spareWorkers is how many workers are named beyond those that the tasks
	// need, since some may not be approved.
	spareWorkers = 6
	// ticketMargin is how much of an approval's validity must be left when a
	// start is planned.
	ticketMargin = 300 * time.Millisecond
	// approvalRetry is the wait after an approval request that was not
	// answered.
	approvalRetry = 250 * time.Millisecond
)

// Approver approves workers for a step.
type Approver interface {
	// Approve returns the tickets of the workers that may run the step, by
	// worker ID, and how long they are valid. expected is how long the answer
	// is expected to take.
	Approve(ctx context.Context, step string, workers []string, expected time.Duration) (tickets map[string]string, validity time.Duration, err error)
}

// stepApprovals is what is known about the approval of workers for one step.
type stepApprovals struct {
	// asked names the workers that the approval service was asked about; its
	// answer does not change.
	asked map[job.Incarnation]bool
	// tickets are those of the approved workers.
	tickets map[job.Incarnation]ticket
	// pending is set while an approval request is in flight, and retryAt is
	// when the next one may be sent.
	pending bool
	retryAt time.Duration
}

// ticket is the approval of one worker.
type ticket struct {
	text    string
	expires time.Duration
}

// ApprovalRequest asks for the approval of workers for a step.
type ApprovalRequest struct {
	Key      worker.StepKey
	Workers  []job.Incarnation
	Expected time.Duration
	terms    job.ApprovalSettings
}

// approvalsOf returns what is known about the approval of workers for a step.
func (c *Core) approvalsOf(k worker.StepKey) *stepApprovals {
	a := c.approvals[k]
	if a == nil {
		a = &stepApprovals{asked: map[job.Incarnation]bool{}, tickets: map[job.Incarnation]ticket{}}
		c.approvals[k] = a
	}
	return a
}

// approved reports whether a worker has a valid approval.
func (a *stepApprovals) approved(w job.Incarnation, now time.Duration) bool {
	t, ok := a.tickets[w]
	return ok && now+ticketMargin < t.expires
}

// approvedRequest returns the requirements of one task of a group, which include
// the approval of its worker if the step needs one. A stalled job may use ejected
// workers.
func (c *Core) approvedRequest(j *trackedJob, g job.TaskGroup, now time.Duration) placement.Request {
	req := c.placementRequest(j, g, now)
	req.AllowEjected = req.AllowEjected || c.jobStalled(j, now)
	if j.Terms.Approval == nil {
		return req
	}
	a := c.approvalsOf(worker.StepKey{Job: j.Spec.ID, Occurrence: g.Occurrence, Step: g.Step})
	req.Approved = func(id string) bool { return a.approved(c.workers[id].Incarnation, now) }
	return req
}

// requestMissingApprovals requests approval of further nodes unless enough that
// have room for a task of the group are approved.
func (c *Core) requestMissingApprovals(pg pendingGroup, nodes []*placement.Node, now time.Duration) {
	req := c.approvedRequest(pg.job, pg.group, now)
	open := 0
	for _, n := range nodes {
		if req.Feasible(n) {
			open++
		}
	}
	if open < len(pg.group.Waiting) {
		key := worker.StepKey{Job: pg.job.Spec.ID, Occurrence: pg.group.Occurrence, Step: pg.group.Step}
		c.requestApprovals(pg, key, c.approvalsOf(key), nodes, now)
	}
}

// requestApprovals queues an approval request for workers that might take the
// group's tasks: first those whose approval has expired, then those not asked
// about yet.
func (c *Core) requestApprovals(pg pendingGroup, key worker.StepKey, a *stepApprovals, nodes []*placement.Node, now time.Duration) {
	if a.pending || now < a.retryAt {
		return
	}
	req := c.placementRequest(pg.job, pg.group, now)
	limit := min(maxWorkersPerRequest, len(pg.group.Waiting)+spareWorkers)
	var expired, unasked []job.Incarnation
	for _, n := range nodes {
		inc := c.workers[n.ID].Incarnation
		t, approved := a.tickets[inc]
		switch {
		case !req.Resources.FitsIn(n.Free):
		case approved && now+ticketMargin >= t.expires:
			expired = append(expired, inc)
		case !a.asked[inc]:
			unasked = append(unasked, inc)
		}
	}
	named := append(expired, unasked...)
	if len(named) > limit {
		named = named[:limit]
	}
	if len(named) == 0 {
		return
	}
	a.pending = true
	terms := *pg.job.Terms.Approval
	c.approvalRequests = append(c.approvalRequests, ApprovalRequest{
		Key:      key,
		Workers:  named,
		Expected: terms.DecisionTime + time.Duration(len(named))*terms.TimePerWorker,
		terms:    terms,
	})
}

// ApprovalRequests returns the approval requests to send, the most urgent
// first.
func (c *Core) ApprovalRequests() []ApprovalRequest {
	out := c.approvalRequests
	c.approvalRequests = nil
	return out
}

// ApprovalReceived handles the answer to an approval request: tickets by worker
// ID.
func (c *Core) ApprovalReceived(req ApprovalRequest, tickets map[string]string, validity time.Duration, err error, t Times) {
	a := c.approvals[req.Key]
	if a == nil {
		return
	}
	a.pending = false
	c.needsPlan = true
	if err != nil {
		a.retryAt = t.Now + approvalRetry
		c.opt.Logger.Info().Err(err).Str("job", string(req.Key.Job)).Int("step", req.Key.Step).Int("workers", len(req.Workers)).Msg("approval request failed")
		return
	}
	if validity <= 0 {
		validity = req.terms.Validity
	}
	for _, inc := range req.Workers {
		a.asked[inc] = true
		if text, ok := tickets[inc.ID]; ok {
			a.tickets[inc] = ticket{text, t.Now + validity}
		} else {
			delete(a.tickets, inc)
		}
	}
	c.opt.Logger.Debug().Str("job", string(req.Key.Job)).Int("step", req.Key.Step).Int("asked", len(req.Workers)).Int("allowed", len(tickets)).Msg("approval received")
}

// ticketFor returns the ticket that a start carries, or "".
func (c *Core) ticketFor(j *trackedJob, t job.TaskID, inc job.Incarnation) string {
	if j.Terms.Approval == nil {
		return ""
	}
	return c.approvalsOf(worker.StepKeyOf(t)).tickets[inc].text
}

// expireTicket invalidates a ticket that a worker did not accept.
func (c *Core) expireTicket(t job.TaskID, inc job.Incarnation) {
	if a := c.approvals[worker.StepKeyOf(t)]; a != nil {
		if tk, ok := a.tickets[inc]; ok {
			tk.expires = 0
			a.tickets[inc] = tk
		}
	}
}

// dropApprovals removes the approvals for a job that has ended.
func (c *Core) dropApprovals(id job.ID) {
	if len(c.approvals) == 0 {
		return
	}
	maps.DeleteFunc(c.approvals, func(k worker.StepKey, _ *stepApprovals) bool { return k.Job == id })
}

// WorkerIDs returns the IDs of the workers that a request names.
func (req ApprovalRequest) WorkerIDs() []string {
	out := make([]string, 0, len(req.Workers))
	for _, inc := range req.Workers {
		out = append(out, inc.ID)
	}
	slices.Sort(out)
	return out
}

// StepName returns the step that a request is about, as ID.OCCURRENCE.STEP.
func (req ApprovalRequest) StepName() string {
	name := job.TaskID{Job: req.Key.Job, Occurrence: req.Key.Occurrence, Step: req.Key.Step}.String()
	return name[:len(name)-len(".0")]
}
