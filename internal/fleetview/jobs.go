package fleetview

import (
	"context"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// maxLag is the lag from which on a holder's answer that a job is unknown is not trusted.
const maxLag = 2500 * time.Millisecond

// JobView is what is known of a job. Of one that has ended only the phase, the customer
// and the time of the end are known.
type JobView struct {
	ID       job.ID `json:"job"`
	Phase    string `json:"phase"`
	Customer string `json:"customer"`
	Entry    string `json:"entry"`
	Pool     string `json:"pool"`
	Daemon   string `json:"daemon"`
	// Open is set while the job has not ended, or has runs that may be active.
	Open bool `json:"open"`
	// Unstored is set while the log may not hold the job, which is not accepted yet.
	Unstored bool `json:"unstored,omitempty"`
	Priority int  `json:"priority"`
	// AgeMs is how long ago the job was accepted, and ObjectiveMs the age at which it
	// should be done. SlackMs is how much longer it can wait without being late, going by
	// the estimates; it is negative for a job that will be late.
	AgeMs       int64 `json:"age_ms"`
	ObjectiveMs int64 `json:"objective_ms"`
	SlackMs     int64 `json:"slack_ms"`
	// EndedAt is when the job ended, and NextDueMs in what time its next occurrence is due.
	EndedAt   *time.Time `json:"ended_at,omitempty"`
	NextDueMs *int64     `json:"next_due_ms,omitempty"`
	// Steps are the steps of the current occurrences, and Runs the runs that may be active,
	// at most 2,000 of each.
	Steps        []StepView `json:"steps"`
	StepsLeftOut int        `json:"steps_left_out"`
	Runs         []RunView  `json:"runs"`
	RunsLeftOut  int        `json:"runs_left_out"`
	// Unanswered are the pools that did not answer. The job is in none of them.
	Unanswered []Unanswered `json:"unanswered"`
}

// StepView is the state of a step of one occurrence of a job.
type StepView struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	// Tasks counts the tasks. Those that are neither done, running nor waiting cannot start
	// yet.
	Tasks   int `json:"tasks"`
	Done    int `json:"done"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Reason is why tasks wait or cannot start yet, and WaitingMs for how long those that
	// could start have waited.
	Reason    scheduler.NoRunReason `json:"reason,omitempty"`
	WaitingMs int64                 `json:"waiting_ms"`
	// Need is what a task reserves, and MostFreeCPU the most free processor time on a
	// worker that could take one if there is too little.
	Need        Resources `json:"need"`
	MostFreeCPU int       `json:"most_free_cpu"`
}

// RunView is a run that may be active.
type RunView struct {
	Task   string `json:"task"`
	Number int    `json:"run"`
	Worker string `json:"worker"`
	// Active is set if the worker has the run as far as is known. Otherwise Reason is why
	// the run does not count as active.
	Active bool                  `json:"active"`
	Reason scheduler.NoRunReason `json:"reason,omitempty"`
	// SinceMs is for how long the run has been planned, ordered or active. SilentMs is how
	// long ago the worker last answered, if it does not answer.
	SinceMs    int64  `json:"since_ms"`
	SilentMs   int64  `json:"silent_ms"`
	StopReason string `json:"stopped_for,omitempty"`
}

// Job returns what is known of a job, whatever pool it is in. The error is errUnknown if
// no pool knows it, and errUndecided if that is not known of all pools.
func (s *Service) Job(ctx context.Context, id job.ID) (JobView, error) {
	pools, err := s.pools()
	if err != nil {
		return JobView{}, err
	}
	answers, unanswered := askAll(ctx, s, pools, query[JobResponse]{
		method:  MethodJob,
		request: func(pool string) any { return JobRequest{Pool: pool, ID: id} },
		local:   func(pool string) JobResponse { return s.localJob(JobRequest{Pool: pool, ID: id}) },
		held:    func(a JobResponse) bool { return a.Held },
	})
	var found *answer[JobResponse]
	for i := range answers {
		a := &answers[i]
		switch {
		case a.value.Known && (found == nil || a.value.Job.Open && !found.value.Job.Open):
			found = a
		case !a.value.Known && a.value.Lag >= maxLag:
			unanswered = append(unanswered, Unanswered{a.pool, a.daemon, "the holder has not read the newest submissions"})
		}
	}
	switch {
	case found != nil:
		return newJobView(found.daemon, found.value.Job, unanswered), nil
	case len(unanswered) > 0:
		return JobView{Unanswered: unanswered}, errUndecided
	default:
		return JobView{}, errUnknown
	}
}

func newJobView(daemon string, x scheduler.JobExplanation, unanswered []Unanswered) JobView {
	v := JobView{
		ID: x.ID, Phase: x.Phase.String(), Customer: nameOf(x.Customer), Entry: x.Entry, Pool: x.Pool, Daemon: daemon,
		Open: x.Open, Unstored: x.Unstored, Priority: x.Priority,
		AgeMs: x.Age.Milliseconds(), ObjectiveMs: x.Objective.Milliseconds(), SlackMs: x.Slack.Milliseconds(),
		Steps: make([]StepView, 0, len(x.Steps)), StepsLeftOut: x.StepsLeftOut,
		Runs: make([]RunView, 0, len(x.Runs)), RunsLeftOut: x.RunsLeftOut,
		Unanswered: unanswered,
	}
	if x.EndedAt > 0 {
		at := time.UnixMilli(x.EndedAt).UTC()
		v.EndedAt = &at
	}
	if x.Repeats {
		due := x.DueIn.Milliseconds()
		v.NextDueMs = &due
	}
	for _, st := range x.Steps {
		v.Steps = append(v.Steps, StepView{
			Occurrence: st.Occurrence, Step: st.Step, Tasks: st.Tasks, Done: st.Done, Running: st.Running, Waiting: st.Waiting,
			Reason: st.Reason, WaitingMs: st.WaitingFor.Milliseconds(), Need: Resources(st.Need), MostFreeCPU: st.MostFreeCPU,
		})
	}
	for _, r := range x.Runs {
		v.Runs = append(v.Runs, RunView{
			Task: r.Task, Number: r.Number, Worker: r.Worker, Active: r.Active, Reason: r.Reason,
			SinceMs: r.Since.Milliseconds(), SilentMs: r.Silent.Milliseconds(), StopReason: r.StopReason,
		})
	}
	return v
}
