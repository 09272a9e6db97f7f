package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// What the holder's processor is charged for a call to a worker, for a message to or from
// another daemon, for each order or answer in it, and for an append.
const (
	callCost    = 250 * time.Microsecond
	messageCost = 100 * time.Microsecond
	itemCost    = 10 * time.Microsecond
	appendCost  = 500 * time.Microsecond
)

const (
	// turnLength is how long jobs arrive, and jobRate how many a second for each worker.
	turnLength = 4 * time.Second
	jobRate    = 0.27
	// tasksPerJob and taskTime describe a job of one step.
	tasksPerJob = 13
	taskTime    = 500 * time.Millisecond
	// maxFirstStart is within which time 95 of 100 jobs must start their first task: what
	// their objective leaves beside their work.
	maxFirstStart = 600 * time.Millisecond
)

// processor is the processor of a host: it does one thing at a time.
type processor chan struct{}

// use takes the processor for d.
func (p processor) use(d time.Duration) {
	p <- struct{}{}
	time.Sleep(d)
	<-p
}

// chargedControl charges each call to a worker to a processor.
type chargedControl struct {
	worker.Control
	p processor
}

func (c chargedControl) Start(ctx context.Context, to worker.Target, o worker.StartOrder) (int64, error) {
	c.p.use(callCost)
	return c.Control.Start(ctx, to, o)
}

func (c chargedControl) Poll(ctx context.Context, to worker.Target, r worker.PollRequest) (worker.Report, error) {
	c.p.use(callCost)
	return c.Control.Poll(ctx, to, r)
}

// chargedCaller charges each message, and what is in it, to a processor.
type chargedCaller struct {
	peer.Caller
	p processor
}

func (c chargedCaller) Send(ctx context.Context, to string, m peer.Method, msg any) error {
	cost := messageCost
	if orders, ok := msg.(ordersMessage); ok {
		cost += time.Duration(len(orders.Orders)) * itemCost
	}
	c.p.use(cost)
	return c.Caller.Send(ctx, to, m, msg)
}

func (c chargedCaller) Call(ctx context.Context, to string, m peer.Method, req, resp any) error {
	c.p.use(messageCost)
	err := c.Caller.Call(ctx, to, m, req, resp)
	cost := messageCost
	if answers, ok := resp.(*collectResponse); ok {
		cost += time.Duration(len(answers.Answers)) * itemCost
	}
	c.p.use(cost)
	return err
}

// chargedLog charges each append to a processor.
type chargedLog struct {
	logstore.Log
	p processor
}

func (l chargedLog) Append(ctx context.Context, p logstore.Partition, entries []logstore.Entry, c logstore.Condition) (logstore.AppendResult, error) {
	l.p.use(appendCost)
	return l.Log.Append(ctx, p, entries, c)
}

// turnWorkers simulates the workers of a pool.
type turnWorkers struct {
	mu      sync.Mutex
	byID    map[string]*turnWorker
	started map[job.ID]time.Time
	// calls counts the calls that reached the workers, and runs the runs that started.
	calls, runs int
}

// turnWorker is one worker. changed is signalled when a run has ended.
type turnWorker struct {
	running map[job.RunID]bool
	ended   []worker.RunEnd
	lastEnd int64
	changed chan struct{}
}

func (t *turnWorkers) Start(_ context.Context, to worker.Target, o worker.StartOrder) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	w := t.byID[to.ID]
	if w.running[o.Run] {
		return workerClock(), nil
	}
	t.runs++
	w.running[o.Run] = true
	if _, known := t.started[o.Run.Task.Job]; !known {
		t.started[o.Run.Task.Job] = time.Now()
	}
	time.AfterFunc(taskTime, func() { t.end(w, o.Run) })
	return workerClock(), nil
}

func (t *turnWorkers) end(w *turnWorker, r job.RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(w.running, r)
	w.lastEnd++
	w.ended = append(w.ended, worker.RunEnd{Number: w.lastEnd, Run: r, Reason: job.EndDone})
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (t *turnWorkers) Poll(_ context.Context, to worker.Target, r worker.PollRequest) (worker.Report, error) {
	t.mu.Lock()
	t.calls++
	w := t.byID[to.ID]
	w.ended = slices.DeleteFunc(w.ended, func(e worker.RunEnd) bool { return e.Number <= r.Acknowledged })
	waits := len(w.ended) == 0
	t.mu.Unlock()
	if waits {
		select {
		case <-w.changed:
		case <-time.After(r.Wait):
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rep := worker.Report{StartedAt: 1, Clock: workerClock(), Ended: slices.Clone(w.ended)}
	for run := range w.running {
		rep.Running = append(rep.Running, worker.RunStatus{Run: run, ProgressPercent: 50})
	}
	return rep, nil
}

func (t *turnWorkers) Stop(context.Context, worker.Target, job.RunID, int64) (int64, error) {
	return workerClock(), nil
}

func (t *turnWorkers) SetSpeed(context.Context, worker.Target, job.RunID, int, int64) error {
	return nil
}

// workerClock returns the reading of the workers' clock.
func workerClock() int64 { return time.Now().UnixMilli() }

// fullDuty is a duty that may be acted on for the whole lease.
type fullDuty struct{}

func (fullDuty) Remaining() time.Duration { return time.Hour }

// workerList is the partition with the list of workers.
var workerList = logstore.Partition{Topic: "workers"}

// turnResult is what a turn of demand has cost.
type turnResult struct {
	// firstStarts are the times from handing in to the first start, sorted.
	firstStarts []time.Duration
	// calls and messages are those of the holder, and runs what was started.
	calls, messages, runs int
}

// runTurn has demand turn to a pool with a number of workers and idle daemons.
func runTurn(ctx context.Context, g *WithT, workers, idle int) turnResult {
	ctx, cancel := context.WithCancel(ctx)
	fleet := &turnWorkers{byID: map[string]*turnWorker{}, started: map[job.ID]time.Time{}}
	log := logtest.New()
	for i := range workers {
		l := worker.Listing{
			Incarnation: job.Incarnation{ID: fmt.Sprintf("w%d", i), StartedAt: 1}, Address: "10.0.0.1:1", Pool: "p", Zone: "a",
			Capacity: job.Resources{CPU: 32000, MemoryMB: 64000}, Clock: workerClock(),
		}
		fleet.byID[l.Incarnation.ID] = &turnWorker{running: map[job.RunID]bool{}, changed: make(chan struct{}, 1)}
		data, err := json.Marshal(l)
		g.Expect(err).NotTo(HaveOccurred())
		log.Put(workerList, logstore.Entry{Key: l.Incarnation.ID, Value: data})
	}
	p := make(processor, 1)
	net := newLinks()
	o := Options{Self: member("holder", "a", 0.8), Caller: chargedCaller{net, p}, Clock: bubbleClock{}, Logger: zerolog.Nop(), Scope: tally.NoopScope}
	var relays []duty.Member
	for i := range idle {
		m := member(fmt.Sprint("idle", i), "a", 0.8)
		handlers := mux{}
		NewServer(fleet, o).Register(handlers)
		net.handlers[m.ID()] = handlers
		relays = append(relays, m)
	}
	o.Idle = func() []duty.Member { return relays }
	counted := &countedControl{Control: fleet}
	client := log.Client("holder")
	registry := worker.NewRegistry(worker.RegistryOptions{Log: client, Partition: workerList, Decode: decodeListing, Logger: zerolog.Nop(), Scope: tally.NoopScope})
	r := scheduler.NewRunner(scheduler.RunnerOptions{
		Options: scheduler.Options{Pool: "p", Token: 1, Lease: 5 * time.Second, MaxLease: 10 * time.Second, StopTimeout: time.Second, StatusRetention: time.Minute},
		Log:     chargedLog{client, p}, Clock: bubbleClock{}, Control: NewControl(chargedControl{counted, p}, o), Registry: registry,
		Duty: fullDuty{}, Logger: zerolog.Nop(), Scope: tally.NoopScope,
	})
	var loops sync.WaitGroup
	loops.Go(func() { registry.Run(ctx) })
	loops.Go(func() { g.Expect(r.Run(ctx)).To(Succeed()) })
	time.Sleep(5 * time.Second)
	before, messages := counted.count(), net.count()
	handedIn := handIn(ctx, g, r, int(jobRate*float64(workers)*turnLength.Seconds()))
	time.Sleep(10 * time.Second)
	res := turnResult{calls: counted.count() - before, messages: net.count() - messages}
	cancel()
	loops.Wait()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	res.runs = fleet.runs
	for id, at := range handedIn {
		first, ok := fleet.started[id]
		if !ok {
			first = time.Now()
		}
		res.firstStarts = append(res.firstStarts, first.Sub(at))
	}
	slices.Sort(res.firstStarts)
	return res
}

// handIn hands in jobs, spread over turnLength. It returns when each was.
func handIn(ctx context.Context, g *WithT, r *scheduler.Runner, jobs int) map[job.ID]time.Time {
	handedIn := map[job.ID]time.Time{}
	for i := range jobs {
		id := job.ID(fmt.Sprintf("%016x", i))
		handedIn[id] = time.Now()
		s := &joblog.Submission{
			Spec: job.Spec{ID: id, Steps: []job.Step{
				{Count: tasksPerJob, Need: job.Resources{CPU: 4500, MemoryMB: 4600}, Estimate: taskTime},
			}},
			Terms:      job.Terms{Pool: "p", Entry: "e", MaxAttempts: 3, StretchFactor: 1.6, Slack: maxFirstStart},
			AcceptedAt: time.Now().UnixMilli(),
		}
		go func() { g.Expect(r.Submit(ctx, s)).To(Succeed()) }()
		time.Sleep(turnLength / time.Duration(jobs))
	}
	return handedIn
}

func decodeListing(rec logstore.Record) (l worker.Listing, err error) {
	err = json.Unmarshal(rec.Value, &l)
	return l, err
}

// countedControl counts the calls that the holder makes itself.
type countedControl struct {
	worker.Control

	mu    sync.Mutex
	calls int
}

func (c *countedControl) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
}

func (c *countedControl) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *countedControl) Start(ctx context.Context, to worker.Target, o worker.StartOrder) (int64, error) {
	c.add()
	return c.Control.Start(ctx, to, o)
}

func (c *countedControl) Poll(ctx context.Context, to worker.Target, r worker.PollRequest) (worker.Report, error) {
	c.add()
	return c.Control.Poll(ctx, to, r)
}

// Guards against late first starts at a turn of demand: the processor of the holder is
// charged for its calls, messages and appends, and jobs must start in time all the same.
func TestJobsStartInTimeAtTurnOfDemand(t *testing.T) {
	for _, workers := range []int{80, 600, 1000} {
		t.Run(fmt.Sprintf("workers=%d", workers), func(t *testing.T) {
			runInVirtualTime(t, func(ctx context.Context, g *WithT) {
				res := runTurn(ctx, g, workers, 6)
				late := res.firstStarts[len(res.firstStarts)*95/100]
				t.Logf("%d runs, %d calls, %d messages, first start half %v, 95 of 100 %v", res.runs, res.calls, res.messages, res.firstStarts[len(res.firstStarts)/2], late)
				g.Expect(late).To(BeNumerically("<=", maxFirstStart))
				g.Expect(float64(res.calls+res.messages) / float64(res.runs)).To(BeNumerically("<=", maxCallsPerRun(workers)))
			})
		})
	}
}

// maxCallsPerRun returns how many calls and messages a run may cost the holder. One that
// sends its orders itself needs a start and about a poll for each.
func maxCallsPerRun(workers int) float64 {
	if workers <= 100 {
		return 2.5
	}
	return 1
}

// The turn of demand must be one that a holder without other daemons does not carry:
// else the test above proves nothing.
func TestTurnOfDemandIsTooMuchForOneDaemon(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		res := runTurn(ctx, g, 1000, 0)
		t.Logf("%d runs, %d calls, first start half %v, 95 of 100 %v", res.runs, res.calls, res.firstStarts[len(res.firstStarts)/2], res.firstStarts[len(res.firstStarts)*95/100])
		g.Expect(res.firstStarts[len(res.firstStarts)*95/100]).To(BeNumerically(">", maxFirstStart))
	})
}
