package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
)

// Cancel cancels a job, in whichever pool it is. Once it returns nil, the cancel is
// stored there, or for every pool that may have the job. If owners are checked, the error
// is ErrUnknownJob both for a job that no pool knows and for one that the requester may not
// access.
func (s *Service) Cancel(ctx context.Context, e policy.Entry, by job.Requester, id job.ID) error {
	start := s.opt.Clock.Now()
	err := s.cancelIn(ctx, e.Pool, by, id)
	if late := s.awaitVersion(ctx, versionOf(err)); late != nil {
		err = late
	} else if err != nil && (errors.Is(err, scheduler.ErrOtherCustomer) || !s.finallyRejected(err)) {
		err = s.cancelElsewhere(ctx, e, by, id, err)
	}
	s.metrics.countCancel(err)
	s.logOutcome("cancel accepted", "cancel not accepted", id, e, by, start, err)
	return err
}

// cancelIn cancels a job at the holder of a pool.
func (s *Service) cancelIn(ctx context.Context, pool string, by job.Requester, id job.ID) error {
	req := CancelRequest{Pool: pool, ID: id, By: by}
	return s.sendToHolder(ctx, pool, MethodCancel, req, func(ctx context.Context) error { return s.cancelLocally(ctx, req) })
}

// cancelElsewhere cancels a job that the holder of its entry's pool did not cancel,
// with the error ownErr. If no other holder knows the job, the cancel is stored for the
// entry's pool, which may yet read the submission, and for each pool whose holder cannot
// tell. Nothing is stored if a holder knows that the job belongs to another customer.
func (s *Service) cancelElsewhere(ctx context.Context, e policy.Entry, by job.Requester, id job.ID, ownErr error) error {
	start := time.Now()
	earlier := s.earlierPools(e)
	others := s.otherPools(e.Pool)
	errs := make([]error, len(others))
	var calls sync.WaitGroup
	for i, pool := range others {
		calls.Go(func() { errs[i] = s.cancelIn(ctx, pool, by, id) })
	}
	calls.Wait()
	store := map[string]error{e.Pool: ownErr}
	foreign := errors.Is(ownErr, scheduler.ErrOtherCustomer)
	for i, pool := range others {
		if errs[i] == nil {
			s.opt.Logger.Info().Str("job", string(id)).Str("entry", e.Name).Str("pool", pool).Msg("cancelled in a pool that served the entry before")
			return nil
		}
		limit := maxLag
		if until, served := earlier[pool]; served {
			limit = sureLag(start, until)
		}
		if versionOf(errs[i]) > s.policyVersion() {
			return errOlderConfiguration
		}
		foreign = foreign || errors.Is(errs[i], scheduler.ErrOtherCustomer)
		if !unknownJob(errs[i], limit) {
			store[pool] = errs[i]
		}
	}
	if foreign {
		return fmt.Errorf("%w: it belongs to another customer", ErrUnknownJob)
	}
	err := s.storeCancels(ctx, store, by, id)
	// The cancel is stored all the same: the submission may be on its way.
	if err == nil && by.OwnersChecked && len(store) == 1 && unknownJob(ownErr, maxLag) {
		return ErrUnknownJob
	}
	return err
}

// unknownJob reports whether an error of a holder says that it knows no such job, with at
// most a given lag.
func unknownJob(err error, maxLag time.Duration) bool {
	var unknown *scheduler.UnknownJobError
	return errors.As(err, &unknown) && unknown.Lag <= maxLag
}

// storeCancels stores the cancel of a job for pools, whose holders did not cancel it
// with the given errors. All of them must succeed.
func (s *Service) storeCancels(ctx context.Context, pools map[string]error, by job.Requester, id job.ID) error {
	cancel := func() (logstore.Entry, error) { return joblog.CancelEntry(id, by) }
	var mu sync.Mutex
	var appends sync.WaitGroup
	var failed error
	stored := false
	for pool, holderErr := range pools {
		appends.Go(func() {
			err := s.appendToIntakeLog(ctx, pool, id, holderErr, cancel)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				stored = true
			} else if failed == nil || verdict.Of(err) != verdict.NotRun {
				failed = err
			}
		})
	}
	appends.Wait()
	if failed != nil && stored && verdict.Of(failed) == verdict.NotRun {
		return verdict.NewMayHaveRun(verdict.ReasonPeerLost, "the cancel is stored for some pools only: %v", failed)
	}
	return failed
}
