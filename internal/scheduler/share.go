package scheduler

import (
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/sharing"
	"greengagedeck/internal/worker"
)

// shareWait is how long a look waits at a worker where tasks that fill run
// beside tasks that serve: reports cover half a second.
const shareWait = 400 * time.Millisecond

// shares reports whether tasks that fill run beside tasks that serve.
func shares(b *worker.Book) bool {
	serves, fills := false, false
	for _, r := range b.Runs {
		serves = serves || r.Target > 0
		fills = fills || r.Fills
	}
	return serves && fills
}

// govern sets the pace of the tasks that fill a worker by what it reported of
// those that serve there.
func (c *Core) govern(b *worker.Book, now time.Duration) {
	var serving []sharing.Serving
	fills := false
	for _, r := range b.Runs {
		if r.Target > 0 && r.State == worker.Confirmed && !r.Stopping {
			serving = append(serving, sharing.Serving{Tail: time.Duration(r.Figure) * time.Millisecond, Target: r.Target})
		}
		fills = fills || r.Fills
	}
	id := b.Incarnation.ID
	if !fills {
		delete(c.governors, id)
		return
	}
	g := c.governors[id]
	if g == nil {
		g = &sharing.Governor{}
		c.governors[id] = g
	}
	percent := g.Pace(now, serving)
	for _, r := range b.Runs {
		if r.Fills && r.Pace != percent {
			c.opt.Logger.Debug().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", id).Int("percent", percent).Int("serving", len(serving)).Msg("pace changed")
			r.Pace = percent
		}
	}
}

// Pace is an order to change the pace of a run.
type Pace struct {
	Worker  string
	Target  worker.Target
	Run     job.RunID
	Percent int
	Token   int64
	born    int64
}

// Paces returns the changes of pace to order now.
func (c *Core) Paces() []Pace {
	if c.fenced {
		return nil
	}
	var out []Pace
	for id := range c.governors {
		b := c.workers[id]
		if b == nil || !reachable(b) {
			continue
		}
		for _, r := range b.Runs {
			if !r.Fills || r.State != worker.Confirmed || r.Stopping || r.PaceSent || r.Pace == r.PaceTold {
				continue
			}
			r.PaceSent = true
			out = append(out, Pace{Worker: id, Target: b.Target(), Run: r.ID, Percent: r.Pace, Token: c.opt.Token, born: b.Incarnation.StartedAt})
		}
	}
	return out
}

// Paced takes in the answer to a change of pace. One that was not carried out is
// ordered again by the next call of Paces.
func (c *Core) Paced(p Pace, err error) {
	b := c.workers[p.Worker]
	if b == nil || b.Incarnation.StartedAt != p.born {
		return
	}
	r := b.Runs[p.Run]
	if r == nil {
		return
	}
	r.PaceSent = false
	if err != nil {
		r.PaceTold = worker.PaceUnknown
		c.opt.Logger.Info().Err(err).Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", p.Worker).Int("percent", p.Percent).Msg("pace not changed")
		return
	}
	r.PaceTold = p.Percent
}
