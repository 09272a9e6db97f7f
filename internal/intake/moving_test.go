package intake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/servedlog"
)

// movePools are the pools among which the entry moves.
var movePools = []string{"p", "q", "r"}

// heldPool is a pool at its holder: its jobs, each with whether it is cancelled.
type heldPool struct {
	jobs map[job.ID]bool
	// owners are the owners of the jobs.
	owners map[job.ID]job.Owner
	// early are the cancels of jobs that the pool does not know.
	early map[job.ID]bool
	// down is set while the holder does not answer, and lag is its lag.
	down bool
	lag  time.Duration
	// read is up to where its intake partitions were read.
	read map[int]int64
	// logAway is set while the log takes nothing for the pool, and unstored are the jobs that
	// only its holder has.
	logAway  bool
	unstored map[job.ID]*unstoredJob
	// undecided are the submissions in the intake that another pool may have.
	undecided []*joblog.Submission
}

// unstoredJob is a job that the log does not hold.
type unstoredJob struct {
	submission *joblog.Submission
	cancelled  bool
}

// logReturns has the log hold what only the holder of the pool had.
func (p *heldPool) logReturns() {
	p.logAway = false
	for id, u := range p.unstored {
		p.submit(u.submission)
		p.jobs[id] = p.jobs[id] || u.cancelled
	}
	clear(p.unstored)
}

// movingEntry is an entry that moves between pools whose holders are simulated. It
// implements peer.Caller.
type movingEntry struct {
	log *logtest.Log
	// s is a daemon that may miss configurations, and holder the one that holds the pools,
	// which has the configuration in force. Both have started when the last process was lost.
	s, holder *Service
	// stops stop them.
	stops []func()
	mu    sync.Mutex
	pools map[string]*heldPool
	entry policy.Entry
	// version is that of the configuration in force.
	version int64
}

// holderPerPool is another daemon for each pool.
type holderPerPool struct{}

// Holder implements Holders.
func (holderPerPool) Holder(n duty.Name) (duty.Claim, bool) {
	return duty.Claim{Duty: n, Holder: duty.Member{Host: string(n), Incarnation: 1}, Token: 3}, true
}

func newMovingEntry() *movingEntry {
	m := &movingEntry{log: logtest.New(), pools: map[string]*heldPool{}}
	for _, name := range movePools {
		m.pools[name] = &heldPool{jobs: map[job.ID]bool{}, owners: map[job.ID]job.Owner{}, early: map[job.ID]bool{}, read: map[int]int64{}, unstored: map[job.ID]*unstoredJob{}}
	}
	m.log.SetFault(m.appendFault)
	m.s, m.holder = m.startDaemon(), m.startDaemon()
	m.moveTo("p")
	return m
}

// appendFault rejects appends to the intake of a pool for which the log takes nothing.
func (m *movingEntry) appendFault(c logtest.Call) logtest.Fault {
	away := slices.ContainsFunc(movePools, func(name string) bool {
		return m.pools[name].logAway && slices.Contains(joblog.IntakePartitions(name), c.Partition)
	})
	return logtest.Fault{Rejected: away && c.Op == logtest.Append}
}

// startDaemon starts a daemon that knows only what the log holds.
func (m *movingEntry) startDaemon() *Service {
	s := newTestService(m.log, true, nil, 0)
	s.opt.Caller = m
	s.opt.Holders = holderPerPool{}
	s.opt.Clock = bubbleClock{time.Now()}
	served := servedlog.New(servedlog.Options{
		Log: m.log.Client("daemon"), Learned: s.opt.Policy.AddServed,
		Clock: s.opt.Clock, Logger: zerolog.Nop(), Scope: tally.NoopScope,
	})
	s.opt.Served = served
	ctx, cancel := context.WithCancel(context.Background())
	var following sync.WaitGroup
	following.Go(func() { served.Run(ctx) })
	m.stops = append(m.stops, func() {
		cancel()
		following.Wait()
	})
	return s
}

// stop stops the daemons.
func (m *movingEntry) stop() {
	for _, stop := range m.stops {
		stop()
	}
	m.stops = nil
}

// loseAll ends all processes. They start again, with the configuration in force. The jobs
// of the pools are in the log.
func (m *movingEntry) loseAll() {
	m.stop()
	for _, p := range m.pools {
		clear(p.unstored)
	}
	m.s, m.holder = m.startDaemon(), m.startDaemon()
	m.apply(m.holder)
	m.applyPolicy()
}

// moveTo has a configuration send the entry's jobs to a pool.
func (m *movingEntry) moveTo(pool string) {
	m.moveUnseen(pool)
	m.applyPolicy()
}

// moveUnseen is like moveTo with a configuration that the daemon s does not see. Each version
// gives the entry another name.
func (m *movingEntry) moveUnseen(pool string) {
	m.version++
	m.entry = policy.Entry{Name: fmt.Sprintf("e%d", m.version), Host: "h", PathPrefix: "/e/", Pool: pool, MaxAttempts: 1}
	m.apply(m.holder)
}

// applyPolicy has the daemon s apply the configuration in force.
func (m *movingEntry) applyPolicy() {
	m.apply(m.s)
	m.entry = m.s.opt.Policy.Serving(m.entry.Selector())
}

// apply has a daemon apply the configuration in force, later than what went before.
func (m *movingEntry) apply(s *Service) {
	time.Sleep(time.Millisecond)
	var pools []policy.Pool
	for _, name := range movePools {
		pools = append(pools, policy.Pool{Name: name})
	}
	s.opt.Policy.Set(policy.New(m.version, []policy.Entry{m.entry}, pools, policy.Limits{}))
}

// Call implements peer.Caller.
func (m *movingEntry) Call(ctx context.Context, _ string, _ peer.Method, req, resp any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch q := req.(type) {
	case SubmitRequest:
		p := m.pools[q.Submission.Terms.Pool]
		if !m.answers(q.Submission.Terms.Pool) {
			return peer.ErrNotSent
		}
		if !p.knows(q.Submission.Spec.ID) && m.holder.hasMoved(&q.Submission.Terms) {
			*resp.(*HolderResponse) = responseFor(errMoved)
			return nil
		}
		if err := m.holder.ensureServed(ctx, &q.Submission.Terms); err != nil {
			*resp.(*HolderResponse) = responseFor(err)
			return nil
		}
		*resp.(*HolderResponse) = p.submit(&q.Submission)
	case CancelRequest:
		p := m.pools[q.Pool]
		if !m.answers(q.Pool) {
			return peer.ErrNotSent
		}
		_, known := p.jobs[q.ID]
		switch {
		case !known && p.unstored[q.ID] != nil:
			p.unstored[q.ID].cancelled = true
			*resp.(*HolderResponse) = HolderResponse{Outcome: OutcomeUnknown}
		case known && !q.By.MayAccess(p.owners[q.ID]):
			*resp.(*HolderResponse) = HolderResponse{Outcome: OutcomeOtherCustomer}
		case known:
			p.jobs[q.ID] = true
			*resp.(*HolderResponse) = HolderResponse{Outcome: OutcomeStored}
		default:
			*resp.(*HolderResponse) = HolderResponse{Outcome: OutcomeUnknownJob, Lag: p.lag, Version: m.version}
		}
	case StateRequest:
		p := m.pools[q.Pool]
		if !m.answers(q.Pool) {
			return peer.ErrNotSent
		}
		_, known := p.jobs[q.ID]
		if !known && p.knows(q.ID) {
			*resp.(*StateResponse) = StateResponse{Undecided: true}
			return nil
		}
		accessible := q.By.MayAccess(p.owners[q.ID])
		*resp.(*StateResponse) = StateResponse{Held: true, Known: known && accessible, OtherCustomers: known && !accessible, Lag: p.lag, Version: m.version}
	case QueuedJobsRequest:
		*resp.(*QueuedJobsResponse) = QueuedJobsResponse{Held: !m.pools[q.Pool].down, Count: len(m.pools[q.Pool].jobs), Version: m.version}
	}
	return nil
}

// answers reports whether the holder of a pool answers. One that does has read what its
// intake got so far.
func (m *movingEntry) answers(name string) bool {
	if m.pools[name].down {
		return false
	}
	m.readIntake(name)
	return true
}

// Send implements peer.Caller.
func (m *movingEntry) Send(context.Context, string, peer.Method, any) error { return nil }

// knows reports whether the holder of the pool knows a job, or can't tell that it does not.
func (p *heldPool) knows(id job.ID) bool {
	_, stored := p.jobs[id]
	undecided := slices.ContainsFunc(p.undecided, func(s *joblog.Submission) bool { return s.Spec.ID == id })
	return stored || undecided || p.unstored[id] != nil
}

// submit adds a job unless the pool has it.
func (p *heldPool) submit(s *joblog.Submission) HolderResponse {
	id := s.Spec.ID
	if _, known := p.jobs[id]; !known && p.logAway {
		if p.unstored[id] == nil {
			p.unstored[id] = &unstoredJob{submission: s}
		}
		return HolderResponse{Outcome: OutcomeUnknown}
	}
	delete(p.unstored, id)
	if _, known := p.jobs[id]; !known {
		p.jobs[id], p.owners[id] = p.early[id], s.Terms.Owner()
	}
	if !s.Terms.Requester().MayAccess(p.owners[id]) {
		return HolderResponse{Outcome: OutcomeOtherCustomer}
	}
	return HolderResponse{Outcome: OutcomeStored}
}

// readIntake has the holder of a pool read what its intake got since.
func (m *movingEntry) readIntake(name string) {
	p := m.pools[name]
	for _, part := range joblog.IntakePartitions(name) {
		b, err := m.log.Client("reader").Read(context.Background(), part, p.read[part.Part], 0)
		if err != nil {
			panic(err)
		}
		p.read[part.Part] = b.End
		for _, r := range b.Records {
			rec, _, err := joblog.DecodeIntake(r)
			if err != nil {
				panic(err)
			}
			if rec.Cancelled {
				p.early[rec.ID] = true
				if _, known := p.jobs[rec.ID]; known {
					p.jobs[rec.ID] = true
				}
			} else {
				p.undecided = append(p.undecided, rec.Submission)
			}
		}
	}
	p.undecided = slices.DeleteFunc(p.undecided, func(sub *joblog.Submission) bool { return m.decide(name, sub) })
}

// decide does for the holder of a pool what AcceptedElsewhere does, when the other pools answer.
// It reports whether it could decide.
func (m *movingEntry) decide(name string, sub *joblog.Submission) bool {
	p, id := m.pools[name], sub.Spec.ID
	if _, known := p.jobs[id]; !known && m.holder.hasMoved(&sub.Terms) {
		for _, other := range movePools {
			if _, stored := m.pools[other].jobs[id]; stored && other != name {
				return true
			}
		}
		for _, other := range movePools {
			if other != name && m.pools[other].unstored[id] != nil {
				return false
			}
		}
	}
	if u := p.unstored[id]; u != nil {
		p.early[id] = p.early[id] || u.cancelled
	}
	delete(p.unstored, id)
	if _, known := p.jobs[id]; !known {
		p.jobs[id], p.owners[id] = p.early[id], sub.Terms.Owner()
	}
	return true
}

// jobID returns the ID of a numbered job.
func jobID(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }

// poolsWith returns how many pools have a job.
func (m *movingEntry) poolsWith(id job.ID) int {
	n := 0
	for _, p := range m.pools {
		if _, known := p.jobs[id]; known {
			n++
		}
	}
	return n
}

// submit submits a job to the daemon s, and reports whether it was accepted.
func (m *movingEntry) submit(id job.ID) bool { return m.submitTo(m.s, id) }

// submitTo submits a job to a daemon, which accepts it by the configuration that it has.
func (m *movingEntry) submitTo(s *Service, id job.ID) bool {
	spec := job.Spec{ID: id, Steps: []job.Step{{Count: 1}}}
	e, version := m.entryOf(s)
	return s.Submit(context.Background(), e, anyone, version, spec) == nil
}

// entryOf returns the entry in the configuration of a daemon, and its version.
func (m *movingEntry) entryOf(s *Service) (policy.Entry, int64) {
	return s.opt.Policy.Serving(m.entry.Selector()), s.policyVersion()
}
