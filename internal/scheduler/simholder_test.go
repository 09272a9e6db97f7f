package scheduler_test

import (
	"cmp"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/limits"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

// simHolder simulates a daemon that holds the pool: it does for a Core what the
// Runner does, in virtual time.
type simHolder struct {
	w         *simWorld
	core      *scheduler.Core
	token     int64
	heldSince time.Duration
	// renewedAt is when its duty was last renewed. It is not renewed any more once
	// another daemon has claimed the pool.
	renewedAt     time.Duration
	paused        bool
	dead          bool
	appliedIntake int
	planning      bool
	plannedAt     time.Duration
	listedAt      time.Duration
	deletedAt     time.Duration
	listReadAt    time.Duration
	polling       map[string]bool
	lastPoll      map[string]time.Duration
	// asleep are the workers that need no poll until the core wakes their agents.
	asleep     map[string]bool
	runWorkers map[job.RunID]string
	// cutOffUntil is, by worker ID, until when this holder alone does not reach a
	// worker, and logCutOffUntil until when it does not reach the log.
	cutOffUntil    map[string]time.Duration
	logCutOffUntil time.Duration
	// granted is the version of the last grants that reached it, and grants these.
	granted limits.Version
	grants  limits.Grants
	// conns are its connections, or nil if the world does not simulate them.
	conns *simConns
}

// simLogLimits are so low that the progress of most jobs is divided. Submissions are
// refused at the intake if they exceed them, which is not simulated here.
var simLogLimits = logstore.Limits{RecordBytes: 200, AppendBytes: 2 << 20}

// simTokens is how many tokens a holder has, more than a worker restarts while it holds the pool.
const simTokens = 64

// submissionKind begins the keys of submissions.
const submissionKind = "s"

// takeOver makes a new daemon the holder, as if it had claimed the duty. The
// previous holder continues as a superseded one unless it is dead.
func (w *simWorld) takeOver() {
	if w.logDown {
		w.after(100*time.Millisecond, w.takeOver)
		return
	}
	if w.holder != nil && !w.holder.dead {
		w.superseded = append(w.superseded, w.holder)
		w.earlierHoldersEnd = w.now + simDutyLease
	}
	earlier := max(0, w.earlierHoldersEnd-w.now)
	w.token++
	w.epoch = w.token
	h := &simHolder{
		w:           w,
		token:       w.token,
		heldSince:   w.now,
		renewedAt:   w.now,
		polling:     map[string]bool{},
		lastPoll:    map[string]time.Duration{},
		asleep:      map[string]bool{},
		runWorkers:  map[job.RunID]string{},
		cutOffUntil: map[string]time.Duration{},
		conns:       newSimConns(w),
		core: scheduler.NewCore(scheduler.Options{
			Pool:            simPool,
			Token:           simTokens * w.token,
			Tokens:          simTokens,
			PreviousToken:   simTokens * (w.token - 1),
			Lease:           simLease,
			MaxLease:        w.maxLease,
			StopTimeout:     simStopTimeout,
			DutyLease:       simDutyLease,
			EarlierHolders:  earlier,
			StatusRetention: w.retention,
			LogLimits:       simLogLimits,
			Logger:          w.logger(),
		}, w.now),
	}
	var records []logstore.Record
	for _, key := range sortedKeys(w.progress) {
		records = append(records, logstore.Record{Key: key, Value: w.progress[key]})
	}
	page := joblog.DecodeProgressPage(records)
	if len(page.Malformed) > 0 {
		w.t.Fatal(page.Malformed)
	}
	w.customers.learn(h)
	if w.token%simEarlierRelease == 0 {
		asOfEarlierRelease(page.Records)
	}
	h.core.Restore(page.Records, w.times())
	h.core.DeleteStale(page.Stale)
	w.holder = h
	h.applyIntake()
	h.readList()
	w.customers.send()
}

// logger returns the holders' logger, which writes only with -trace-holders.
func (w *simWorld) logger() zerolog.Logger {
	if !*traceHolders {
		return zerolog.Nop()
	}
	token := w.token
	return zerolog.New(os.Stdout).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Float64("at", (w.now-time.Hour).Seconds()).Int64("token", token)
	}))
}

func sortedKeys(m map[string][]byte) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (h *simHolder) active() bool { return !h.paused && !h.dead }

func (h *simHolder) reachesLog() bool { return !h.w.logDown && h.w.now >= h.logCutOffUntil }

func (h *simHolder) remaining() time.Duration {
	if h.w.holder == h && h.active() && h.reachesLog() {
		h.renewedAt = h.w.now
	}
	return max(0, h.renewedAt+simDutyLease-h.w.now)
}

func (h *simHolder) applyIntake() {
	if !h.active() {
		return
	}
	records := h.w.intake[h.appliedIntake:]
	if h.appliedIntake == 0 {
		records = h.w.intakeLeft()
	}
	h.core.ApplyIntake(records, h.w.times())
	h.appliedIntake = len(h.w.intake)
}

// deleteLeftovers tries to delete what the intake holds of ended jobs. Some deletions
// fail.
func (h *simHolder) deleteLeftovers() {
	h.deletedAt = h.w.now
	scheduler.DeleteLeftovers(h.core, func(id job.ID) bool {
		if !h.reachesLog() || h.w.rng.Float64() < simFailedDeletions {
			return false
		}
		h.w.intakeDeleted[id] = len(h.w.intake)
		return true
	})
}

// intakeLeft returns the records of the intake that were not deleted.
func (w *simWorld) intakeLeft() []joblog.IntakeRecord {
	var out []joblog.IntakeRecord
	for i, rec := range w.intake {
		if i >= w.intakeDeleted[rec.ID] {
			out = append(out, rec)
		}
	}
	return out
}

func (h *simHolder) readList() {
	if !h.active() || h.w.listDown {
		return
	}
	h.listReadAt = h.w.now
	h.core.ReplaceWorkers(h.w.listedWorkers(), h.w.times())
}

// listedWorkers returns what the platform's list of workers shows.
func (w *simWorld) listedWorkers() []worker.Listing {
	if w.frozenList != nil {
		return w.frozenList
	}
	var listed []worker.Listing
	for _, s := range w.workers {
		if s.listed && s.replacedBy == nil {
			listed = append(listed, s.listing())
		}
	}
	return listed
}

// step does what the Runner's loops do.
func (h *simHolder) step() {
	if !h.active() {
		return
	}
	if h.appliedIntake < len(h.w.intake) && h.w.rng.IntN(20) == 0 {
		h.applyIntake()
	}
	if h.w.now-h.listedAt > simListInterval {
		h.listedAt = h.w.now
		h.readList()
	}
	if !h.planning && (h.core.NeedsPlan() || h.w.now-h.plannedAt > 250*time.Millisecond) {
		h.plan()
	}
	if h.w.now-h.deletedAt > simDeleteInterval {
		h.deleteLeftovers()
	}
	h.sendStops()
	for _, id := range h.core.Wakes() {
		delete(h.asleep, id)
	}
	for _, s := range h.w.workers {
		h.maybePoll(s)
	}
	if difference := scheduler.CheckUsage(h.core); difference != "" {
		h.w.t.Fatal(difference)
	}
}

func (h *simHolder) plan() {
	h.plannedAt = h.w.now
	if difference := scheduler.CheckIndex(h.core, h.w.now); difference != "" {
		h.w.t.Fatal(difference)
	}
	h.w.customers.learn(h)
	b, err := h.core.Plan(h.w.times())
	if err != nil {
		h.w.t.Fatal(err)
	}
	if difference := scheduler.CheckIndex(h.core, h.w.now); difference != "" {
		h.w.t.Fatal(difference)
	}
	h.w.customers.plannedBy(h, b)
	for _, s := range slices.Concat(scheduler.BatchStarts(b), scheduler.RepeatedStarts(b)) {
		h.runWorkers[s.Run] = s.Worker
	}
	h.planning = true
	h.w.after(h.w.networkDelay(), func() { h.logBatch(b) })
}

// logBatch logs a batch as the journal does: it retries appends without an answer.
func (h *simHolder) logBatch(b *scheduler.Batch) {
	if h.dead {
		return
	}
	if h.paused || !h.reachesLog() || h.conns.logCallFails() {
		h.w.after(50*time.Millisecond, func() { h.logBatch(b) })
		return
	}
	if h.token < h.w.epoch {
		// The log rejects all further appends of an earlier holder.
		h.dead = true
		return
	}
	for _, e := range b.Progress {
		if err := simLogLimits.Check([]logstore.Entry{e}); err != nil && !strings.HasPrefix(e.Key, submissionKind) {
			h.w.t.Fatal(err)
		}
		if len(e.Value) == 0 {
			delete(h.w.progress, e.Key)
		} else {
			h.w.progress[e.Key] = e.Value
		}
	}
	if h.w.rng.Float64() < h.w.unansweredRate {
		h.w.after(200*time.Millisecond, func() { h.logBatch(b) })
		return
	}
	h.w.after(h.w.networkDelay()+h.w.logDelay, func() { h.committed(b) })
}

func (h *simHolder) committed(b *scheduler.Batch) {
	if h.dead {
		return
	}
	if h.paused {
		h.w.after(50*time.Millisecond, func() { h.committed(b) })
		return
	}
	h.planning = false
	for _, run := range h.core.Committed(b, h.w.times()) {
		h.start(run)
	}
}

func (h *simHolder) worker(id string) *simWorker {
	for _, s := range h.w.workers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (h *simHolder) start(run job.RunID) {
	s := h.worker(h.runWorkers[run])
	retry := func() { h.w.after(50*time.Millisecond, func() { h.runWhenActive(func() { h.start(run) }) }) }
	if h.conns.busy(s) {
		h.w.after(simTick, func() { h.runWhenActive(func() { h.start(run) }) })
		return
	}
	o, send := h.core.StartOrder(run, s.id, h.w.now, h.remaining())
	if send == scheduler.SendLater {
		retry()
	}
	if send != scheduler.SendNow {
		return
	}
	origin := orderOrigin{sentAt: h.w.now, listReadAt: h.listReadAt, holder: h.token, process: o.MeantForProcess()}
	var clock int64
	do := func() error {
		clock = s.clock()
		return s.startFrom(origin, o.Order)
	}
	h.conns.orderSent(s, 1)
	h.call(simCall{to: s, address: o.Target.Address, start: &o.Order, do: do, answer: func(err error) {
		h.conns.orderSent(s, -1)
		if err != nil && verdict.Of(err) == verdict.MayHaveRun {
			h.w.unansweredStart[s.id] = max(h.w.unansweredStart[s.id], origin.sentAt)
		}
		if h.core.StartAnswered(o, clock, err, h.w.times()) {
			retry()
		}
	}})
}

func (h *simHolder) sendStops() {
	stops := h.core.StopOrders()
	slices.SortFunc(stops, func(a, b scheduler.StopOrder) int {
		return cmp.Compare(a.Run.Task.String(), b.Run.Task.String())
	})
	for _, stop := range stops {
		s := h.worker(stop.Worker)
		var clock int64
		do := func() error {
			clock = s.clock()
			return s.stop(stop.Run, stop.Token)
		}
		h.call(simCall{to: s, address: stop.Target.Address, do: do, answer: func(err error) {
			h.conns.afterStop(h, err, func() { h.core.StopAnswered(stop, clock, err, h.w.times()) })
		}})
	}
}

func (h *simHolder) maybePoll(s *simWorker) {
	if h.polling[s.id] || h.asleep[s.id] {
		return
	}
	at, ok := h.core.NextPoll(s.id, h.lastPoll[s.id])
	if !ok {
		h.asleep[s.id] = true
		return
	}
	if at > h.w.now {
		return
	}
	h.polling[s.id] = true
	p := h.core.Poll(s.id, h.w.now, h.remaining())
	origin := orderOrigin{sentAt: h.w.now, listReadAt: h.listReadAt, holder: h.token, process: p.MeantForProcess(), poll: true}
	var rep worker.Report
	do := func() (err error) {
		rep, err = s.pollFrom(origin, p.Request)
		return err
	}
	c := simCall{to: s, address: p.Target.Address, poll: &p.Request, do: do, answer: func(err error) {
		h.polling[s.id] = false
		h.lastPoll[s.id] = h.w.now
		if err != nil {
			h.core.PollFailed(p, err, h.w.times())
			return
		}
		s.seen = s.seen || rep.StartedAt == s.startedAt
		h.core.PollSucceeded(p, rep, h.w.times())
	}}
	if h.conns != nil || h.w.pollsWait {
		c.wait = p.Request.Wait
		c.do = h.w.waitForEnd(s, origin, p.Request, &rep)
	}
	h.call(c)
}
