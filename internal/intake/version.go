package intake

import (
	"context"
	"errors"
	"time"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
)

// A daemon that wakes, or to which configurations come late, chooses the pools that it asks by
// an older configuration. Holders tell it the version that is in force where they are: that
// no pool of an older configuration knows a job says nothing about the pools of a newer one.

// versionPoll is the time between two looks at the version in force here.
const versionPoll = 20 * time.Millisecond

// policyVersion returns the version of the configuration in force, or 0 before the first.
func (s *Service) policyVersion() int64 {
	if p := s.opt.Policy.Get(); p != nil {
		return p.Version
	}
	return 0
}

// errOlderConfiguration rejects a request that can't be answered by the configuration in force
// here.
var errOlderConfiguration = verdict.NewNotRun(verdict.ReasonNotReady, "a newer configuration has not reached this daemon yet")

// awaitVersion waits until a version of the configuration, or a newer one, is in force.
func (s *Service) awaitVersion(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, limitToFraction(ctx, queryLimit))
	defer cancel()
	for s.policyVersion() < version {
		if !clock.Sleep(ctx, versionPoll) {
			s.metrics.olderConfiguration.Inc(1)
			return errOlderConfiguration
		}
	}
	return nil
}

// versionOf returns the version of the configuration at the holder that does not know a job, or
// 0 if the error is not one of a holder or does not tell.
func versionOf(err error) int64 {
	var unknown *scheduler.UnknownJobError
	if errors.As(err, &unknown) {
		return unknown.Version
	}
	return 0
}
