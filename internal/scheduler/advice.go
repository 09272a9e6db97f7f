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
	// askedAtOnce is how many workers one question names at most: the answer
	// takes longer for each.
	askedAtOnce = 30
	// askedSpare is how many workers are asked about beyond those that the
	// tasks need, since some may not be allowed.
	askedSpare = 6
	// ticketMargin is what must be left of an approval when a start is planned.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the wait after a question that was not answered.
	adviceRetry = 250 * time.Millisecond
)

// Advisor approves workers for a step.
type Advisor interface {
	// Advise returns the tickets of the workers that may run the step, by
	// worker ID, and how long they hold. expected is how long the answer
	// takes.
	Advise(ctx context.Context, step string, workers []string, expected time.Duration) (tickets map[string]string, validity time.Duration, err error)
}

// approvals is what is known of the workers for one step.
type approvals struct {
	// asked names the workers that the service was asked about; its answer
	// does not change.
	asked map[job.Incarnation]bool
	// tickets are those of the allowed ones.
	tickets map[job.Incarnation]ticket
	// asking is set while a question is under way, and retryAt is when the
	// next may be asked.
	asking  bool
	retryAt time.Duration
}

// ticket is an approval.
type ticket struct {
	text    string
	expires time.Duration
}

// Question asks for approvals for a step.
type Question struct {
	Key      worker.StepKey
	Workers  []job.Incarnation
	Expected time.Duration
	advice   job.ApprovalSettings
}

// approvalsOf returns what is known of the workers for a step.
func (c *Core) approvalsOf(k worker.StepKey) *approvals {
	a := c.approved[k]
	if a == nil {
		a = &approvals{asked: map[job.Incarnation]bool{}, tickets: map[job.Incarnation]ticket{}}
		c.approved[k] = a
	}
	return a
}

// approvedNodes returns the nodes with a valid approval for a group. Unless
// they are enough, the service is asked about further ones.
func (c *Core) approvedNodes(w waiting, nodes []*placement.Node, now time.Duration) []*placement.Node {
	key := worker.StepKey{Job: w.it.Spec.ID, Occurrence: w.group.Occurrence, Step: w.group.Step}
	a := c.approvalsOf(key)
	var out []*placement.Node
	for _, n := range nodes {
		t, ok := a.tickets[c.workers[n.ID].Incarnation]
		if ok && now+ticketMargin < t.expires {
			out = append(out, n)
		}
	}
	if len(out) < len(w.group.Waiting) {
		c.ask(w, key, a, nodes, now)
	}
	return out
}

// ask notes a question about workers that might take the group's tasks: those
// whose approval has run out first, then those not asked about yet.
func (c *Core) ask(w waiting, key worker.StepKey, a *approvals, nodes []*placement.Node, now time.Duration) {
	if a.asking || now < a.retryAt {
		return
	}
	req := c.request(w.it, w.group)
	most := min(askedAtOnce, len(w.group.Waiting)+askedSpare)
	var again, fresh []job.Incarnation
	for _, n := range nodes {
		in := c.workers[n.ID].Incarnation
		t, allowed := a.tickets[in]
		switch {
		case !req.Room.FitsIn(n.Free):
		case allowed && now+ticketMargin >= t.expires:
			again = append(again, in)
		case !a.asked[in]:
			fresh = append(fresh, in)
		}
	}
	about := append(again, fresh...)
	if len(about) > most {
		about = about[:most]
	}
	if len(about) == 0 {
		return
	}
	a.asking = true
	adv := *w.it.Terms.Approval
	c.questions = append(c.questions, Question{
		Key:      key,
		Workers:  about,
		Expected: adv.DecisionTime + time.Duration(len(about))*adv.TimePerWorker,
		advice:   adv,
	})
}

// Questions returns the questions to ask, the most urgent first.
func (c *Core) Questions() []Question {
	out := c.questions
	c.questions = nil
	return out
}

// Advised takes in the answer to a question, by worker ID.
func (c *Core) Advised(q Question, tickets map[string]string, validity time.Duration, err error, t Times) {
	a := c.approved[q.Key]
	if a == nil {
		return
	}
	a.asking = false
	c.changed = true
	if err != nil {
		a.retryAt = t.Now + adviceRetry
		c.opt.Logger.Info().Err(err).Str("job", string(q.Key.Job)).Int("step", q.Key.Step).Int("workers", len(q.Workers)).Msg("no approval")
		return
	}
	if validity <= 0 {
		validity = q.advice.Validity
	}
	for _, in := range q.Workers {
		a.asked[in] = true
		if text, ok := tickets[in.ID]; ok {
			a.tickets[in] = ticket{text, t.Now + validity}
		} else {
			delete(a.tickets, in)
		}
	}
	c.opt.Logger.Debug().Str("job", string(q.Key.Job)).Int("step", q.Key.Step).Int("asked", len(q.Workers)).Int("allowed", len(tickets)).Msg("workers approved")
}

// ticketFor returns the approval that a start carries, or "".
func (c *Core) ticketFor(it *item, t job.TaskID, in job.Incarnation) string {
	if it.Terms.Approval == nil {
		return ""
	}
	return c.approvalsOf(worker.StepOf(t)).tickets[in].text
}

// dropTicket forgets an approval that a worker did not accept.
func (c *Core) dropTicket(t job.TaskID, in job.Incarnation) {
	if a := c.approved[worker.StepOf(t)]; a != nil {
		if old, ok := a.tickets[in]; ok {
			old.expires = 0
			a.tickets[in] = old
		}
	}
}

// dropApprovals forgets the approvals for a job that has ended.
func (c *Core) dropApprovals(id job.ID) {
	maps.DeleteFunc(c.approved, func(k worker.StepKey, _ *approvals) bool { return k.Job == id })
}

// IDs returns the IDs of the workers that a question names.
func (q Question) IDs() []string {
	out := make([]string, 0, len(q.Workers))
	for _, in := range q.Workers {
		out = append(out, in.ID)
	}
	slices.Sort(out)
	return out
}

// Step returns the step that a question is about, as ID.OCCURRENCE.STEP.
func (q Question) Step() string {
	name := job.TaskID{Job: q.Key.Job, Occurrence: q.Key.Occurrence, Step: q.Key.Step}.String()
	return name[:len(name)-len(".0")]
}
