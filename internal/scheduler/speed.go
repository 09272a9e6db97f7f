package scheduler

import (
	"errors"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/sharing"
	"greengagedeck/internal/worker"
)

// mixedPollWait is how long a poll waits at a worker that runs best-effort
// tasks beside serving tasks: reports cover half a second.
const mixedPollWait = 400 * time.Millisecond

// runsMixedTasks reports whether a worker runs best-effort tasks beside serving
// tasks.
func runsMixedTasks(ws *worker.State) bool {
	serving, bestEffort := false, false
	for _, r := range ws.Runs {
		serving = serving || r.TailLatencyTarget > 0
		bestEffort = bestEffort || r.BestEffort
	}
	return serving && bestEffort
}

// updateSpeeds sets the speed of the best-effort tasks on a worker from what it
// reported of the serving tasks there.
func (c *Core) updateSpeeds(ws *worker.State, now time.Duration) {
	var serving []sharing.ServingTask
	bestEffort := false
	for _, r := range ws.Runs {
		if r.TailLatencyTarget > 0 && r.State == worker.RunConfirmed && !r.Stopping {
			serving = append(serving, sharing.ServingTask{TailLatency: time.Duration(r.Measurement) * time.Millisecond, TargetLatency: r.TailLatencyTarget})
		}
		bestEffort = bestEffort || r.BestEffort
	}
	id := ws.Incarnation.ID
	if !bestEffort {
		delete(c.governors, id)
		return
	}
	g := c.governors[id]
	if g == nil {
		g = &sharing.Governor{}
		c.governors[id] = g
	}
	percent := g.Update(now, serving)
	for _, r := range ws.Runs {
		if r.BestEffort && r.Speed != percent {
			c.opt.Logger.Debug().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", id).Int("percent", percent).Int("serving", len(serving)).Msg("speed of a best-effort run changed")
			r.Speed = percent
		}
		if r.BestEffort && r.Speed != r.SpeedAtWorker {
			c.speedWorkers[id] = true
		}
	}
}

// SpeedOrder is an order to change the speed of a run.
type SpeedOrder struct {
	Worker    string
	Target    worker.Target
	Run       job.RunID
	Percent   int
	Token     int64
	startedAt int64
}

// SpeedOrders returns the changes of speed to send now. A change that cannot be
// sent now is considered again when its worker answers.
func (c *Core) SpeedOrders() []SpeedOrder {
	if c.fenced {
		return nil
	}
	var out []SpeedOrder
	for id := range c.speedWorkers {
		delete(c.speedWorkers, id)
		ws := c.workers[id]
		if ws == nil || !reachable(ws) {
			continue
		}
		for _, r := range ws.Runs {
			if !r.BestEffort || r.State != worker.RunConfirmed || r.Stopping || r.SpeedInFlight || r.Speed == r.SpeedAtWorker {
				continue
			}
			r.SpeedInFlight = true
			ws.Ordered = true
			out = append(out, SpeedOrder{Worker: id, Target: ws.Target(), Run: r.ID, Percent: r.Speed, Token: c.tokens.of(id), startedAt: ws.Incarnation.StartedAt})
		}
	}
	return out
}

// SpeedAnswered handles the answer to a change of speed. A change that was not
// carried out is returned again by the next call of SpeedOrders.
func (c *Core) SpeedAnswered(s SpeedOrder, err error) {
	ws := c.workers[s.Worker]
	if ws == nil || ws.Incarnation.StartedAt != s.startedAt {
		return
	}
	r := ws.Runs[s.Run]
	if r == nil {
		return
	}
	r.SpeedInFlight = false
	c.speedWorkers[s.Worker] = true
	if err != nil {
		r.SpeedAtWorker = worker.SpeedUnknown
		var rejection *worker.RejectedError
		if errors.As(err, &rejection) {
			c.checkFenced(rejection, s.Worker, s.Token)
		}
		c.opt.Logger.Info().Err(err).Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", s.Worker).Int("percent", s.Percent).Int64("token", s.Token).Msg("changing the speed of a run failed")
		return
	}
	r.SpeedAtWorker = s.Percent
}
