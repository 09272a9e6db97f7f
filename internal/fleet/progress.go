package fleet

import (
	"context"
	"slices"

	"greengagedeck/internal/logstore"
)

// reportWaves marks completed waves, and writes the progress of every wave that
// changed to the log and its status to the operators' partition.
func (s *session) reportWaves(ctx context.Context, v View) {
	for _, w := range v.Waves {
		s.mu.Lock()
		st := s.waveStates[w.Number]
		if !st.completed && allStarted(w, s.hostList.gone) {
			st.completed = true
			s.opt.Logger.Info().Int("wave", w.Number).Dur("left", w.TimeLeft).Msg("wave completed")
		}
		p := waveProgress{Number: w.Number, Completed: st.completed}
		for host := range st.started {
			p.Started = append(p.Started, host)
		}
		state := "running"
		if st.completed {
			state = "completed"
		}
		changed := len(p.Started) != st.loggedStarted || state != st.publishedState
		published := st.publishedState
		s.mu.Unlock()
		if changed && s.writeProgress(ctx, p, state != published) {
			s.mu.Lock()
			st.loggedStarted, st.publishedState = len(p.Started), state
			s.mu.Unlock()
		}
	}
}

// allStarted reports whether the maintenance of every host of a wave that is not gone has
// started.
func allStarted(w WaveView, gone func(host string) bool) bool {
	return !slices.ContainsFunc(w.Hosts, func(host string) bool { return !w.Started[host] && !gone(host) })
}

// writeProgress appends a wave's progress to the log and then, if publish is
// set, its status for operators. It reports whether both succeeded.
func (s *session) writeProgress(ctx context.Context, p waveProgress, publish bool) bool {
	e, err := progressEntry(p)
	if err == nil {
		_, err = s.opt.Log.Append(ctx, fleetPartition, []logstore.Entry{e}, logstore.Condition{})
	}
	if err == nil && publish {
		part, status := s.opt.WaveStatus(p.Number, p.Completed)
		_, err = s.opt.Log.Append(ctx, part, []logstore.Entry{status}, logstore.Condition{})
	}
	if err != nil {
		s.opt.Logger.Info().Err(err).Int("wave", p.Number).Msg("failed to write wave progress")
	}
	return err == nil
}
