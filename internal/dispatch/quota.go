package dispatch

import (
	"time"

	"golang.org/x/time/rate"

	"greengagedeck/internal/verdict"
)

// Quotas limits each team to this daemon's part of its quota. The platform's
// load balancer spreads requests over the daemons, so each daemon admits an
// equal part.
//
// It does no I/O, reads no clock and is not safe for concurrent use.
type Quotas struct {
	limiters map[string]*rate.Limiter
}

// NewQuotas returns quotas that no team has used yet.
func NewQuotas() *Quotas { return &Quotas{limiters: map[string]*rate.Limiter{}} }

// Quota limits the requests of a team that one daemon admits.
type Quota struct {
	// Rate is in requests a second; 0 is no limit.
	Rate  float64
	Burst int
}

// DaemonQuota returns one daemon's part of a team's quota.
func DaemonQuota(perSecond float64, burst, daemons int) Quota {
	n := max(1, daemons)
	return Quota{Rate: perSecond / float64(n), Burst: max(1, (burst+n-1)/n)}
}

// Admit counts one request of the team, or rejects it.
func (q *Quotas) Admit(now time.Time, team string, quota Quota) *verdict.Error {
	if quota.Rate <= 0 {
		return nil
	}
	l, ok := q.limiters[team]
	if !ok {
		l = rate.NewLimiter(rate.Limit(quota.Rate), quota.Burst)
		q.limiters[team] = l
	}
	if l.Limit() != rate.Limit(quota.Rate) || l.Burst() != quota.Burst {
		l.SetLimitAt(now, rate.Limit(quota.Rate))
		l.SetBurstAt(now, quota.Burst)
	}
	if l.AllowN(now, 1) {
		return nil
	}
	e := verdict.NewNotRun(verdict.ReasonQuota, "team %s is over its quota", team)
	e.RetryAfter = clampRetryAfter(time.Duration(float64(time.Second) / quota.Rate))
	return e
}
