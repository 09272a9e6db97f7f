package intake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
)

// A configuration may send an entry's jobs to another pool. Jobs that were accepted
// before stay where they are, so a request about one job has to find its pool.

const (
	// resubmitTime is for how long after an entry was replaced a job that it may have
	// accepted is looked for before the same job is accepted in another pool: callers
	// repeat a submission that got no answer.
	resubmitTime = time.Minute
	// settleTime is how long after an entry was replaced here its pool may still get
	// submissions: other daemons apply the configuration later, and an append may be
	// carried out late.
	settleTime = 5 * time.Second
)

// isUnknownJob reports whether an error is a holder's answer that it does not know the
// job.
func isUnknownJob(err error) bool {
	var unknown *scheduler.UnknownJobError
	return errors.As(err, &unknown)
}

// hasMoved reports whether a newer configuration than that of a job's terms does not send its
// requests to its pool, or one since then has not: another pool may have the job.
func (s *Service) hasMoved(t *job.Terms) bool {
	p := s.opt.Policy.Get()
	if p == nil || p.Version <= t.Version || t.Selector == (job.Selector{}) {
		return false
	}
	e := s.opt.Policy.Serving(t.Selector)
	if e.Pool != t.Pool {
		return true
	}
	others := s.otherPools(t.Pool)
	return slices.ContainsFunc(e.Earlier, func(earlier policy.EarlierPool) bool {
		since := earlier.ReplacedBy == 0 || earlier.ReplacedBy > t.Version
		return since && time.Since(earlier.Until) < resubmitTime && slices.Contains(others, earlier.Pool)
	})
}

// withEarlierPools returns an entry with the other pools that served its requests before,
// once this daemon has read from the log, since a moment or at all, which ones did under
// configurations that it has not seen. It fails with
// the verdict not-run if the log does not answer in time.
func (s *Service) withEarlierPools(ctx context.Context, e policy.Entry, since time.Time) (policy.Entry, error) {
	if err := s.opt.Served.Await(ctx, since); err != nil {
		s.metrics.unanswered.Inc(1)
		return e, err
	}
	return s.opt.Policy.Refresh(e), nil
}

// earlierPools returns the pools other than the entry's own that served it until less
// than resubmitTime ago, with until when. A pool that runs tasks no more has no holder
// to ask.
func (s *Service) earlierPools(e policy.Entry) map[string]time.Time {
	if len(e.Earlier) == 0 {
		return nil
	}
	others := s.otherPools(e.Pool)
	out := map[string]time.Time{}
	for _, earlier := range e.Earlier {
		if slices.Contains(others, earlier.Pool) && time.Since(earlier.Until) < resubmitTime && earlier.Until.After(out[earlier.Pool]) {
			out[earlier.Pool] = earlier.Until
		}
	}
	return out
}

// sureLag returns the largest lag with which a holder can tell that it has no job which
// its pool accepted before a request that came at start, if the pool served the entry
// until the given moment.
func sureLag(start, until time.Time) time.Duration {
	return max(time.Since(start), time.Since(until)-settleTime)
}

// acceptedEarlier reports whether a pool that served the entry lately has accepted a
// job. It fails with the verdict not-run if such a pool cannot tell, or if the job belongs
// to another customer, and with may-have-run if the job was submitted to such a pool and may
// yet be accepted there. That goes also for a job that was taken back meanwhile: whoever submitted
// it may just be appending it to that pool's intake.
func (s *Service) acceptedEarlier(ctx context.Context, e policy.Entry, by job.Requester, id job.ID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, limitToFraction(ctx, queryLimit))
	defer cancel()
	e, err := s.withEarlierPools(ctx, e, e.Since)
	if err != nil {
		return false, err
	}
	pools := s.earlierPools(e)
	if len(pools) == 0 {
		return false, nil
	}
	start := time.Now()
	submitted := ""
	for {
		sure, foreign := true, false
		for pool, a := range s.queryStates(ctx, pools, by, id) {
			if errors.Is(a.err, errUndecided) && submitted == "" {
				submitted = pool
				s.opt.Logger.Info().Str("job", string(id)).Str("entry", e.Name).Str("pool", pool).Msg("job was submitted to the pool that served its entry before, waiting until its log holds it")
			}
			if a.err == nil && a.Known {
				s.opt.Logger.Info().Str("job", string(id)).Str("entry", e.Name).Str("pool", pool).Msg("job was accepted by the pool that served its entry before")
				return true, nil
			}
			sure = sure && a.err == nil && a.Lag <= sureLag(start, pools[pool])
			foreign = foreign || a.err == nil && a.OtherCustomers
		}
		switch {
		case foreign:
			return false, scheduler.ErrOtherCustomer
		case sure && submitted == "":
			return false, nil
		}
		if sure || !clock.Sleep(ctx, queryRetry) {
			s.metrics.unanswered.Inc(1)
			if submitted != "" {
				return false, verdict.NewMayHaveRun(verdict.ReasonDeadline, "the job was submitted to pool %s before, whose log may yet hold it", submitted)
			}
			return false, verdict.NewNotRun(verdict.ReasonNotReady, "a pool that served the entry before cannot tell whether it has the job")
		}
	}
}

// poolState is the answer of a pool's holder to a query for the state of a job.
type poolState struct {
	StateResponse
	err error
}

// queryStates queries the holders of pools for the state of a job.
func (s *Service) queryStates(ctx context.Context, pools map[string]time.Time, by job.Requester, id job.ID) map[string]poolState {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]poolState{}
	for pool := range pools {
		wg.Go(func() {
			a, err := s.queryState(ctx, pool, by, id)
			mu.Lock()
			defer mu.Unlock()
			out[pool] = poolState{a, err}
		})
	}
	wg.Wait()
	return out
}

// AcceptedElsewhere reports whether another pool has accepted a job that the intake of a
// pool got under an older configuration: the job may have been handed in again, and the
// append may have been carried out late. It is not decided if a pool did not tell in time.
func (s *Service) AcceptedElsewhere(ctx context.Context, sub *joblog.Submission) (accepted, decided bool) {
	ctx, cancel := context.WithTimeout(ctx, queryLimit)
	defer cancel()
	if s.opt.Served.Await(ctx, time.Time{}) != nil {
		return false, false
	}
	if !s.hasMoved(&sub.Terms) {
		return false, true
	}
	pools := s.poolsWhichMayHave(sub)
	for {
		answered := true
		for _, a := range s.queryStates(ctx, pools, sub.Terms.Requester(), sub.Spec.ID) {
			if a.err == nil && a.Known {
				return true, true
			}
			answered = answered && a.err == nil
		}
		if answered {
			return false, true
		}
		if !clock.Sleep(ctx, queryRetry) {
			return false, false
		}
	}
}

// poolsWhichMayHave returns the pools, other than its own, that serve the requests of a job or
// served them lately.
func (s *Service) poolsWhichMayHave(sub *joblog.Submission) map[string]time.Time {
	e := s.opt.Policy.Serving(sub.Terms.Selector)
	pools := s.earlierPools(e)
	if pools == nil {
		pools = map[string]time.Time{}
	}
	if e.Pool != "" {
		pools[e.Pool] = time.Time{}
	}
	delete(pools, sub.Terms.Pool)
	return pools
}

// otherPools returns the pools that run tasks, but for one.
func (s *Service) otherPools(exclude string) []string {
	p := s.opt.Policy.Get()
	if p == nil {
		return nil
	}
	return slices.DeleteFunc(p.WorkerPools(), func(pool string) bool { return pool == exclude })
}
