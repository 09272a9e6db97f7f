package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// noteCloud logs when the cloud no longer answers, and when it does again.
func (s *session) noteCloud(err error) {
	switch down := err != nil; {
	case down && !s.cloudDown:
		s.opt.Logger.Warn().Err(err).Msg("cloud unreachable")
	case !down && s.cloudDown:
		s.opt.Logger.Info().Msg("cloud reachable")
	}
	s.cloudDown = err != nil
}

// refresh reads the list of hosts when it is too old.
func (s *session) refresh(ctx context.Context) bool {
	now := s.opt.Clock.Now()
	s.mu.Lock()
	fresh := s.hosts.fresh(now)
	s.mu.Unlock()
	if fresh {
		return true
	}
	list, err := s.opt.Cloud.Machines(ctx)
	s.metrics.list(err)
	s.noteCloud(err)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.replace(list, now)
	return true
}

// joinTime is how long a worker takes at most from its start until its pool's
// holder has looked at it.
const joinTime = 5 * time.Second

// view gathers what a decision rests on.
func (s *session) view(ctx context.Context) View {
	pools := s.poolViews(ctx)
	now := s.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := View{
		Machines: slices.Clone(s.hosts.list),
		Pools:    pools,
		Pending:  map[string]bool{},
		Arriving: map[string]bool{},
		Surplus:  map[string]time.Duration{},
	}
	for m, at := range s.ordered {
		v.Arriving[m] = now-at < s.opt.Lead+joinTime
	}
	for m := range s.pending {
		v.Pending[m] = true
	}
	for m := range s.underway {
		v.Pending[m] = true
	}
	for m, until := range s.paused {
		if now < until {
			v.Pending[m] = true
		} else {
			delete(s.paused, m)
		}
	}
	for _, w := range s.opt.Waves.all() {
		v.Waves = append(v.Waves, s.waveView(w, now))
	}
	s.noteSurplus(&v, now)
	s.noteBusy(&v, now)
	return v
}

// poolViews asks the holders of all pools.
func (s *session) poolViews(ctx context.Context) []PoolView {
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
			rep, err := s.opt.Pools.Report(ctx, out[i].Name, s.opt.Lead)
			out[i].Known, out[i].Report = err == nil, rep
		})
	}
	wg.Wait()
	return out
}

func (s *session) waveView(w wanted, now time.Duration) WaveView {
	st := s.states[w.Number]
	if st == nil {
		st = newWaveState()
		s.states[w.Number] = st
		s.opt.Logger.Info().Int("wave", w.Number).Int("hosts", len(w.Machines)).Int("at_once", w.MaxDown).Dur("duration", w.Duration).Msg("wave begins")
	}
	begun := make(map[string]bool, len(st.begun))
	for m := range st.begun {
		begun[m] = true
	}
	return WaveView{Wave: w.Wave, Left: w.seen + w.Duration - now, Begun: begun, Completed: st.completed}
}

// noteSurplus keeps since when pools have had more hosts than they need.
func (s *session) noteSurplus(v *View, now time.Duration) {
	over := surplus(*v, s.opt.Rates)
	for pool := range s.surplusSince {
		if !over[pool] {
			delete(s.surplusSince, pool)
		}
	}
	for pool := range over {
		since, ok := s.surplusSince[pool]
		if !ok {
			since = now
			s.surplusSince[pool] = now
		}
		v.Surplus[pool] = now - since
	}
}

// noteBusy keeps since when callers have handed in work.
func (s *session) noteBusy(v *View, now time.Duration) {
	for _, p := range v.Pools {
		if s.busySince == 0 && p.Report.CurrentDemand.CPU > 0 {
			s.busySince = now
		}
	}
	if s.busySince > 0 {
		v.Busy = now - s.busySince
	}
}
