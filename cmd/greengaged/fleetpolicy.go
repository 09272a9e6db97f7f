package main

import (
	"github.com/rs/zerolog"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/fleet"
	"greengagedeck/internal/intake"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/telemetry"
	"greengagedeck/platform"
)

func newPolicyFollower(log logstore.Log, p *policy.Current, w *fleet.WaveSet, cl clock.Clock, l zerolog.Logger) *policy.Follower {
	return &policy.Follower{
		Log:       log,
		Partition: platform.OperatorPartition,
		Logger:    l,
		Apply: func(r logstore.Record) error {
			wave, ok, err := platform.DecodeWave(r)
			if ok {
				w.Add(wave, cl.Now())
			}
			if ok || err != nil {
				return err
			}
			return applyPolicy(p, r, l)
		},
	}
}

// newPolicyFetcher returns how this daemon gets the configuration while the log does not
// answer it, and serves others.
func newPolicyFetcher(settings platform.Settings, p *policy.Current, log *logstore.Tracked, d *dutyObserver, n *peer.Node, cl clock.Clock, l zerolog.Logger, m metrics) *policy.Fetcher {
	f := policy.NewFetcher(policy.FetcherOptions{
		Current:           p,
		CustomersRequired: settings.CustomersRequired,
		Caller:            n,
		Peers:             d.elector.LivePeers,
		Address:           d.elector.Address,
		LogAge:            log.Age,
		Apply:             func(r logstore.Record) error { return applyPolicy(p, r, l) },
		Clock:             cl,
		Logger:            l,
		Scope:             m.scope,
	})
	f.Register(n)
	return f
}

// applyPolicy puts the configuration of an operator's record into force, if it holds one
// that is newer than the one in force.
func applyPolicy(p *policy.Current, r logstore.Record, l zerolog.Logger) error {
	next, err := platform.DecodePolicy(r)
	if err != nil || next == nil {
		return err
	}
	if p.Set(next) {
		for _, skipped := range next.Skipped {
			l.Warn().Err(skipped).Str("list", "configuration").Int64("version", next.Version).Msg("ignoring a malformed row")
		}
		l.Info().Int64("version", next.Version).Int("entries", len(next.Entries)).Int("pools", len(next.Pools)).Int("customers", next.Customers.Len()).Msg("configuration applied")
	}
	return nil
}

func newFrontend(settings platform.Settings, p *policy.Current, s *intake.Service, l zerolog.Logger, limiter *telemetry.Limiter, m metrics) *platform.Frontend {
	return platform.NewFrontend(platform.FrontendOptions{
		Policy:            p,
		Jobs:              s,
		CustomersRequired: settings.CustomersRequired,
		Admits:            limiter.Admits,
		Logger:            l,
		Scope:             m.scope,
	})
}
