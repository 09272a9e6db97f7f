package intake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/verdict"
)

// QueuedJobsRequest is the request of MethodQueuedJobs.
type QueuedJobsRequest struct {
	Pool string `cbor:"1,keyasint"`
	// Entry is the name of the entry. It counts for jobs that tell of no selector.
	Entry string `cbor:"2,keyasint"`
	// Selector selects the requests through which the jobs were submitted.
	Selector job.Selector `cbor:"3,keyasint,omitzero"`
}

// QueuedJobsResponse is the response to a QueuedJobsRequest.
type QueuedJobsResponse struct {
	Held  bool `cbor:"1,keyasint,omitempty"`
	Count int  `cbor:"2,keyasint,omitempty"`
	// Version is that of the configuration at the holder.
	Version int64 `cbor:"3,keyasint,omitempty"`
}

func (s *Service) localQueuedJobs(q QueuedJobsRequest) QueuedJobsResponse {
	r, ok := s.opt.Local.Runner(q.Pool)
	if !ok {
		return QueuedJobsResponse{}
	}
	n, ok := r.QueuedJobs(q.Entry, q.Selector)
	return QueuedJobsResponse{Held: ok, Count: n, Version: s.policyVersion()}
}

// QueuedJobs returns how many jobs of an entry have started no task, with those that
// were accepted while another pool served its requests.
func (s *Service) QueuedJobs(ctx context.Context, e policy.Entry) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, queryLimit)
	defer cancel()
	e, err := s.withEarlierPools(ctx, e, time.Time{})
	if err != nil {
		return 0, err
	}
	n, version, err := s.countQueued(ctx, e)
	if version <= s.policyVersion() {
		return n, err
	}
	// The newer configuration may send the requests to a pool that was not asked.
	if err := s.awaitVersion(ctx, version); err != nil {
		return 0, err
	}
	if e = s.opt.Policy.Serving(e.Selector()); e.Pool == "" {
		return 0, errOlderConfiguration
	}
	n, _, err = s.countQueued(ctx, e)
	return n, err
}

// countQueued returns how many jobs have started no task in the pools that serve and served an
// entry's requests, and the newest version of the configuration at the holders of these.
func (s *Service) countQueued(ctx context.Context, e policy.Entry) (n int, version int64, err error) {
	queries := []QueuedJobsRequest{{Pool: e.Pool, Entry: e.Name, Selector: e.Selector()}}
	others := s.otherPools(e.Pool)
	for _, earlier := range e.Earlier {
		if slices.Contains(others, earlier.Pool) {
			queries = append(queries, QueuedJobsRequest{Pool: earlier.Pool, Entry: e.Name, Selector: e.Selector()})
		}
	}
	answers, errs := make([]QueuedJobsResponse, len(queries)), make([]error, len(queries))
	var wg sync.WaitGroup
	for i, q := range queries {
		wg.Go(func() { answers[i], errs[i] = s.queuedJobsIn(ctx, q) })
	}
	wg.Wait()
	for _, a := range answers {
		n += a.Count
		version = max(version, a.Version)
	}
	return n, version, errors.Join(errs...)
}

// queuedJobsIn asks the holder of a pool until it answers or ctx ends.
func (s *Service) queuedJobsIn(ctx context.Context, q QueuedJobsRequest) (QueuedJobsResponse, error) {
	for {
		var a QueuedJobsResponse
		err := s.queryHolder(ctx, q.Pool, MethodQueuedJobs, q, &a, func() { a = s.localQueuedJobs(q) })
		if err == nil && a.Held {
			return a, nil
		}
		if !clock.Sleep(ctx, queryRetry) {
			s.metrics.unanswered.Inc(1)
			return QueuedJobsResponse{}, verdict.NewNotRun(verdict.ReasonNotReady, "nobody answers for pool %s", q.Pool)
		}
	}
}
