package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

const (
	growthPool        = "a"
	growthJob  job.ID = "00000000000000aa"
	// growthStep is the time between two decisions of a growthSim.
	growthStep = decisionInterval
	// growthMove and growthUpkeep are how long a host is out of service for a move
	// and for its maintenance.
	growthMove   = 1600 * time.Millisecond
	growthUpkeep = 2 * time.Second
	// growthJoin is the most time from the end of a move until tasks run there: two
	// decisions and a plan.
	growthJoin = 3 * growthStep
)

// growthHost is a host of a growthSim.
type growthHost struct {
	Host
	// upAt is when the host's move or maintenance ends.
	upAt     time.Duration
	boots    int
	draining bool
	running  map[job.RunID]bool
	ended    []worker.RunEnd
	lastEnd  int64
}

// growthSim runs a pool with one long-running step, a Core and Decide in virtual
// time. Every order is carried out at once and every call is answered.
type growthSim struct {
	g     *WithT
	now   time.Duration
	core  *scheduler.Core
	step  job.Step
	hosts []*growthHost
	// others are the pools beside growthPool and standby.
	others    []PoolView
	waves     []WaveView
	ordered   map[string]time.Duration
	surplus   map[string]time.Duration
	decisions []string
}

// newGrowthSim returns a simulation of a pool with a number of hosts and a step that
// needs to be started, with further hosts in standby.
func newGrowthSim(t *testing.T, hosts, standby int, step job.Step) *growthSim {
	s := &growthSim{
		g: NewWithT(t), now: time.Hour, step: step,
		ordered: map[string]time.Duration{}, surplus: map[string]time.Duration{},
	}
	s.core = scheduler.NewCore(scheduler.Options{
		Pool: growthPool, Token: 1, Lease: 4 * time.Second, MaxLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond,
		DutyLease: 2500 * time.Millisecond, StatusRetention: 2 * time.Minute, Logger: zerolog.Nop(),
	}, s.now)
	s.core.Restore(nil, s.times())
	for i := range hosts {
		s.addHost(fmt.Sprintf("m-a-%d", i), growthPool, "rack-1")
	}
	for i := range standby {
		s.addHost(fmt.Sprintf("m-spare-%d", i), standbyPool, "rack-1")
	}
	s.run(2 * growthStep)
	s.core.Submit(&joblog.Submission{
		Spec:       job.Spec{ID: growthJob, Steps: []job.Step{step}},
		Terms:      job.Terms{Entry: "e", Pool: growthPool, MaxAttempts: 3},
		AcceptedAt: s.times().Wall,
	}, s.times())
	return s
}

func (s *growthSim) times() scheduler.Times {
	return scheduler.Times{Now: s.now, Wall: s.now.Milliseconds()}
}

func (s *growthSim) addHost(name, pool, rack string) *growthHost {
	h := &growthHost{Host: Host{Name: name, Pool: pool, Rack: rack, Labels: []string{rack}, Capacity: testCapacity}}
	s.hosts = append(s.hosts, h)
	h.boot()
	return h
}

// boot starts a worker on a host, unless it is in standby.
func (h *growthHost) boot() {
	h.State, h.draining = HostUp, false
	h.running, h.ended, h.lastEnd = map[job.RunID]bool{}, nil, 0
	h.Worker = ""
	if h.Pool != standbyPool {
		h.boots++
		h.Worker = fmt.Sprintf("i-%s-%d", strings.TrimPrefix(h.Name, "m-"), h.boots)
	}
}

// leave ends a host's worker and takes the host out of service for a time.
func (s *growthSim) leave(h *growthHost, state HostState, outage time.Duration) {
	h.State, h.Worker, h.upAt = state, "", s.now+outage
	h.running = nil
}

// serving returns the hosts with a worker of the pool.
func (s *growthSim) serving() []*growthHost {
	var out []*growthHost
	for _, h := range s.hosts {
		if h.Pool == growthPool && h.Worker != "" {
			out = append(out, h)
		}
	}
	return out
}

// run advances the simulation.
func (s *growthSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.tick()
	}
}

// runUntil advances the simulation until a condition holds and returns how long that
// took, at most limit.
func (s *growthSim) runUntil(limit time.Duration, done func() bool) time.Duration {
	start := s.now
	for s.now-start < limit && !done() {
		s.tick()
	}
	return s.now - start
}

func (s *growthSim) tick() {
	s.now += growthStep
	for _, h := range s.hosts {
		if h.State != HostUp && s.now >= h.upAt {
			h.boot()
		}
	}
	s.listWorkers()
	s.pollWorkers()
	s.plan()
	s.decide()
}

func (s *growthSim) listWorkers() {
	var list []worker.Listing
	for _, h := range s.serving() {
		list = append(list, worker.Listing{
			Incarnation: job.Incarnation{ID: h.Worker, StartedAt: 1}, Address: h.Worker, Pool: growthPool, Host: h.Name, Rack: h.Rack,
			Labels: h.Labels, Capacity: h.Capacity, Draining: h.draining, Clock: s.now.Milliseconds(),
		})
	}
	known := map[string]bool{}
	for _, w := range s.core.Report(s.now, growthMove).Workers {
		known[w.ID] = true
	}
	for _, l := range list {
		delete(known, l.Incarnation.ID)
	}
	// The platform has shut these workers down and says so.
	for _, id := range slices.Sorted(maps.Keys(known)) {
		s.core.PollFailed(s.core.Poll(id, s.now, time.Second), worker.ErrWorkerReplaced, s.times())
	}
	s.core.ReplaceWorkers(list, s.times())
}

func (s *growthSim) pollWorkers() {
	for _, h := range s.serving() {
		rep := worker.Report{StartedAt: 1, Clock: s.now.Milliseconds(), Ended: slices.Clone(h.ended)}
		for r := range h.running {
			rep.Running = append(rep.Running, worker.RunStatus{Run: r, ProgressPercent: worker.FullSpeed})
		}
		s.core.PollSucceeded(s.core.Poll(h.Worker, s.now, time.Second), rep, s.times())
	}
}

// plan makes a plan and carries out its starts and stops.
func (s *growthSim) plan() {
	b, err := s.core.Plan(s.times())
	s.g.Expect(err).NotTo(HaveOccurred())
	for _, r := range s.core.Committed(b, s.times()) {
		for _, h := range s.serving() {
			if o, send := s.core.StartOrder(r, h.Worker, s.now, time.Second); send == scheduler.SendNow {
				h.running[r] = true
				s.core.StartAnswered(o, s.now.Milliseconds(), nil, s.times())
			}
		}
	}
	for _, o := range s.core.StopOrders() {
		for _, h := range s.serving() {
			if h.Worker == o.Worker {
				delete(h.running, o.Run)
				h.lastEnd++
				h.ended = append(h.ended, worker.RunEnd{Number: h.lastEnd, Run: o.Run, Reason: job.EndStopped})
			}
		}
		s.core.StopAnswered(o, s.now.Milliseconds(), nil, s.times())
	}
}

// view returns the input of the next decision.
func (s *growthSim) view() View {
	v := View{
		Pools:      append([]PoolView{{Name: standbyPool, Standby: true}, {Name: growthPool, HasReport: true, Report: s.core.Report(s.now, growthMove)}}, s.others...),
		Waves:      s.waves,
		Pending:    map[string]bool{},
		Arriving:   map[string]bool{},
		SurplusFor: map[string]time.Duration{},
		BusyFor:    time.Hour,
	}
	for _, h := range s.hosts {
		v.Hosts = append(v.Hosts, h.Host)
	}
	for host, at := range s.ordered {
		v.Arriving[host] = s.now-at < growthMove+workerJoinTime
	}
	for pool, since := range s.surplus {
		v.SurplusFor[pool] = s.now - since
	}
	return v
}

// decide makes a decision and carries it out.
func (s *growthSim) decide() {
	d := Decide(s.view(), DefaultParams)
	for pool := range s.surplus {
		if !d.Surplus[pool] {
			delete(s.surplus, pool)
		}
	}
	for pool := range d.Surplus {
		if _, ok := s.surplus[pool]; !ok {
			s.surplus[pool] = s.now
		}
	}
	for _, a := range d.Actions {
		s.decisions = append(s.decisions, fmt.Sprintf("%.1f kind=%d %s to=%q: %s", (s.now-time.Hour).Seconds(), a.Kind, a.Host, a.To, a.Reason))
		s.carryOut(a)
	}
}

func (s *growthSim) carryOut(a Action) {
	h := s.hosts[slices.IndexFunc(s.hosts, func(h *growthHost) bool { return h.Name == a.Host })]
	switch a.Kind {
	case Cordon:
		s.core.Cordon(a.Worker, a.Reason, a.Evacuate)
	case Uncordon:
		s.core.Uncordon(a.Worker)
	case Move:
		h.Pool = a.To
		s.leave(h, HostMoving, growthMove)
		s.ordered[h.Name] = s.now
	case Maintain:
		for _, w := range s.waves {
			w.Started[h.Name] = true
		}
		s.leave(h, HostInMaintenance, growthUpkeep)
		s.ordered[h.Name] = s.now
	}
}

// runningTasks counts the tasks of the step that run.
func (s *growthSim) runningTasks() int {
	n := 0
	for _, h := range s.serving() {
		n += len(h.running)
	}
	return n
}

func (s *growthSim) allRunning() bool { return s.runningTasks() == s.step.Count }

// spreadStep is a long-running step with at most one task on each worker.
func spreadStep(count int) job.Step {
	return job.Step{Count: count, Need: job.Resources{CPU: 1000, MemoryMB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1}
}
