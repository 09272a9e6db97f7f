package dispatch

import (
	"time"

	"golang.org/x/time/rate"

	"greengagedeck/internal/verdict"
)

// Quotas holds each team to its part of its quota on this daemon. The
// platform's balancer spreads requests over the daemons, so each admits an
// even part.
//
// It does no I/O, reads no clock and is not safe for concurrent use.
type Quotas struct {
	teams map[string]*rate.Limiter
}

// NewQuotas returns quotas that no team has used yet.
func NewQuotas() *Quotas { return &Quotas{teams: map[string]*rate.Limiter{}} }

// Quota is what one daemon admits of a team.
type Quota struct {
	// Rate is in requests a second; 0 is no limit.
	Rate  float64
	Burst int
}

// Share returns one daemon's part of a team's quota.
func Share(perSecond float64, burst, daemons int) Quota {
	n := max(1, daemons)
	return Quota{Rate: perSecond / float64(n), Burst: max(1, (burst+n-1)/n)}
}

// Admit counts one request of the team, or refuses it.
func (q *Quotas) Admit(now time.Time, team string, quota Quota) *verdict.Error {
	if quota.Rate <= 0 {
		return nil
	}
	l, ok := q.teams[team]
	if !ok {
		l = rate.NewLimiter(rate.Limit(quota.Rate), quota.Burst)
		q.teams[team] = l
	}
	if l.Limit() != rate.Limit(quota.Rate) || l.Burst() != quota.Burst {
		l.SetLimitAt(now, rate.Limit(quota.Rate))
		l.SetBurstAt(now, quota.Burst)
	}
	if l.AllowN(now, 1) {
		return nil
	}
	e := verdict.NewNotRun(verdict.ReasonQuota, "team %s is over its quota", team)
	e.RetryAfter = retryAfter(time.Duration(float64(time.Second) / quota.Rate))
	return e
}
