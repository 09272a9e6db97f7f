package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// trackCloud logs when the cloud becomes unreachable or reachable again.
func (s *session) trackCloud(err error) {
	if err != nil {
		s.cloudOutage.Failed("list hosts", err)
		return
	}
	s.cloudOutage.Succeeded()
}

// refreshHosts reads the list of hosts from the cloud if the current one is too
// old. It reports whether the list is usable.
func (s *session) refreshHosts(ctx context.Context) bool {
	now := s.opt.Clock.Now()
	s.mu.Lock()
	fresh := s.hostList.fresh(now)
	s.mu.Unlock()
	if fresh {
		return true
	}
	list, err := s.opt.Cloud.Hosts(ctx)
	s.metrics.countList(err)
	s.trackCloud(err)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostList.replace(list, now)
	return true
}

// workerJoinTime is the maximum time from the start of a worker until its pool's
// holder has polled it.
const workerJoinTime = 5 * time.Second

// buildView collects the input of a decision.
func (s *session) buildView(ctx context.Context) View {
	pools := s.queryPools(ctx)
	now := s.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := View{
		Hosts:      slices.Clone(s.hostList.hosts),
		Pools:      pools,
		Pending:    map[string]bool{},
		Arriving:   map[string]bool{},
		SurplusFor: map[string]time.Duration{},

		RecentlyServing: map[string]bool{},
	}
	s.trackEarlierOrders(now)
	for host, at := range s.lastOrdered {
		v.Arriving[host] = now-at < s.opt.LeadTime+workerJoinTime
	}
	for host := range s.pending {
		v.Pending[host] = true
	}
	for host := range s.inFlight {
		v.Pending[host] = true
	}
	for host, until := range s.pausedUntil {
		if now < until {
			v.Pending[host] = true
		} else {
			delete(s.pausedUntil, host)
		}
	}
	for _, w := range s.opt.Waves.sorted() {
		v.Waves = append(v.Waves, s.waveView(w, now))
	}
	for pool, since := range s.surplusSince {
		v.SurplusFor[pool] = now - since
	}
	s.trackServing(&v, now)
	s.trackBusy(&v, now)
	return v
}

// queryPools requests the reports of all pools from their holders, concurrently.
func (s *session) queryPools(ctx context.Context) []PoolView {
	p := s.opt.Policy.Get()
	var out []PoolView
	for name, pool := range p.Pools {
		out = append(out, PoolView{Name: name, Standby: pool.Standby})
	}
	slices.SortFunc(out, func(a, b PoolView) int { return cmp.Compare(a.Name, b.Name) })
	var wg sync.WaitGroup
	for i := range out {
		if out[i].Standby {
			continue
		}
		wg.Go(func() {
			rep, err := s.opt.Pools.Report(ctx, out[i].Name, s.opt.LeadTime)
			out[i].HasReport, out[i].Report = err == nil, rep
		})
	}
	wg.Wait()
	return out
}

// waveView returns a wave with its progress. It logs the start of a wave that is
// seen for the first time.
func (s *session) waveView(w requestedWave, now time.Duration) WaveView {
	st := s.waveStates[w.Number]
	if st == nil {
		st = newWaveState()
		s.waveStates[w.Number] = st
		s.opt.Logger.Info().Int("wave", w.Number).Int("hosts", len(w.Hosts)).Int("max_concurrent", w.MaxConcurrent).Dur("duration", w.Duration).Msg("wave started")
	}
	started := make(map[string]bool, len(st.started))
	for host := range st.started {
		started[host] = true
	}
	return WaveView{Wave: w.Wave, TimeLeft: w.firstSeen + w.Duration - now, Started: started, Completed: st.completed}
}

// trackSurplus updates surplusSince with the pools that have a surplus now.
func (s *session) trackSurplus(surplus map[string]bool) {
	now := s.opt.Clock.Now()
	for pool := range s.surplusSince {
		if !surplus[pool] {
			delete(s.surplusSince, pool)
		}
	}
	for pool := range surplus {
		if _, ok := s.surplusSince[pool]; !ok {
			s.surplusSince[pool] = now
		}
	}
}

// trackBusy updates busySince and sets BusyFor of the view.
func (s *session) trackBusy(v *View, now time.Duration) {
	for _, p := range v.Pools {
		if s.busySince == 0 && p.Report.CurrentDemand.CPU > 0 {
			s.busySince = now
		}
	}
	if s.busySince > 0 {
		v.BusyFor = now - s.busySince
	}
}
