package scheduler

import (
	"context"

	"greengagedeck/internal/limits"
)

// GrantOptions configure how a runner gets grants for limited customers. Without Follow,
// limited customers start nothing.
type GrantOptions struct {
	// Follow gets grants for a pool until ctx ends. It returns an error if a later holder of
	// the pool is known.
	Follow func(ctx context.Context, pool limits.Pool) error
	// Version returns the version of the configuration in effect.
	Version func() int64
}

// grantedPool is the pool of a runner as limits.Client sees it.
type grantedPool struct{ runner *Runner }

var _ limits.Pool = grantedPool{}

// Demand implements limits.Pool. The version is read first, so that the demand covers the
// limits of that version or of a later one.
func (p grantedPool) Demand() (version int64, demand []limits.Demand) {
	r := p.runner
	version = r.opt.Grants.Version()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyCustomers()
	return version, r.core.CustomerDemand()
}

// Apply implements limits.Pool.
func (p grantedPool) Apply(g limits.Grants) bool {
	p.runner.SetGrants(g)
	return true
}

// Blocked implements limits.Pool.
func (p grantedPool) Blocked() <-chan struct{} { return p.runner.grantWanted }

// followGrants gets grants until ctx ends. It must be started once the runs of earlier holders
// are known. If a later holder has registered, this one learns that from the log as well, and
// starts nothing of limited customers until then.
func (r *Runner) followGrants(ctx context.Context) {
	if r.opt.Grants.Follow == nil {
		return
	}
	if err := r.opt.Grants.Follow(ctx, grantedPool{r}); err != nil {
		r.opt.Logger.Warn().Err(err).Msg("grants of customers are not followed any more")
	}
}
