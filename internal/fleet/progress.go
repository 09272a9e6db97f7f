package fleet

import (
	"context"
	"slices"

	"greengagedeck/internal/logstore"
)

// report tells the log and the operators how far the waves have come.
func (s *session) report(ctx context.Context, v View) {
	for _, w := range v.Waves {
		s.mu.Lock()
		st := s.states[w.Number]
		if !st.completed && over(w, v.Machines) {
			st.completed = true
			s.opt.Logger.Info().Int("wave", w.Number).Dur("left", w.Left).Msg("wave completed")
		}
		p := progress{Number: w.Number, Completed: st.completed}
		for m := range st.begun {
			p.Begun = append(p.Begun, m)
		}
		state := "running"
		if st.completed {
			state = "completed"
		}
		changed := len(p.Begun) != st.logged || state != st.reported
		reported := st.reported
		s.mu.Unlock()
		if changed && s.write(ctx, p, state != reported) {
			s.mu.Lock()
			st.logged, st.reported = len(p.Begun), state
			s.mu.Unlock()
		}
	}
}

// over reports whether every host of a wave that is still there has begun.
func over(w WaveView, machines []Machine) bool {
	for _, m := range machines {
		if slices.Contains(w.Machines, m.Name) && !w.Begun[m.Name] {
			return false
		}
	}
	return true
}

// write logs a wave's progress, and then tells operators its state.
func (s *session) write(ctx context.Context, p progress, tell bool) bool {
	e, err := progressEntry(p)
	if err == nil {
		_, err = s.opt.Log.Append(ctx, wavePartition, []logstore.Entry{e}, logstore.Condition{})
	}
	if err == nil && tell {
		part, status := s.opt.Status(p.Number, p.Completed)
		_, err = s.opt.Log.Append(ctx, part, []logstore.Entry{status}, logstore.Condition{})
	}
	if err != nil {
		s.opt.Logger.Info().Err(err).Int("wave", p.Number).Msg("progress of the wave not written")
	}
	return err == nil
}
