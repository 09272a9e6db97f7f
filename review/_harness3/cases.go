package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// cases are the scripts by name. Each returns how the rule was broken, or "".
var cases = map[string]func(*deployment) (string, error){
	"upkeep":  playUpkeep,
	"pending": playPending,
	"smaller": playSmaller,
}

// configure has the operator write a configuration with one queue.
func (d *deployment) configure(version int, pool string) error {
	return d.store.Put("op", "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "q1", "host": queueHost, "pathPrefix": queuePath, "service": pool, "timeoutMs": 3000,
			"targetLatencyMs": 2500, "priority": 0, "maxAttempts": 3, "stretch": 2.2,
		}},
		"services": []any{map[string]any{"name": pool, "admissionCheck": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// tasksAt returns the tasks of a job that are at work on a worker.
func tasksAt(w *worker, id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for t, r := range w.running {
		if w.up && strings.HasPrefix(t, id+".") && r.stopsAt.IsZero() && time.Since(r.started) >= startupTime {
			out = append(out, t)
		}
	}
	return out
}

// atWork returns how many tasks of a job are at work.
func (d *deployment) atWork(id string) int {
	n := 0
	for _, w := range d.workers {
		n += len(tasksAt(w, id))
	}
	return n
}

const (
	upkeepWorkers = 8
	cloudSilence  = 5 * time.Second
	crashAfter    = 300 * time.Millisecond
	crashTime     = time.Second
	lastingTasks  = 16
	mayMiss       = 1
)

// playUpkeep has the cloud not answer for 5 s from its first order for an upkeep on, and the
// minion of that machine crash meanwhile. The machine's next minion gets tasks that last.
func playUpkeep(d *deployment) (string, error) {
	if err := d.prepare(); err != nil {
		return "", err
	}
	const pool, job = "bantay-resv", "5c0e7a21d94b36f8"
	if err := d.configure(3, pool); err != nil {
		return "", err
	}
	if err := d.addWorkers(pool, upkeepWorkers); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var once sync.Once
	broken, ordered := "", make(chan string, 1)
	d.cloud.onUpkeep = func(machine string) {
		once.Do(func() {
			ordered <- machine
			if d.trouble {
				d.cloud.silence(cloudSilence)
			}
		})
	}
	d.cloud.upkeepEnds = func(w *worker) {
		tasks := tasksAt(w, job)
		d.rec.add("upkeep of %s begins; at work on %s: %v; of %d tasks of the step %d are at work, mayMiss is %d", w.machine, w.id, tasks, lastingTasks, d.atWork(job), mayMiss)
		mu.Lock()
		defer mu.Unlock()
		if away := lastingTasks - d.atWork(job); len(tasks) > 0 && away+len(tasks)-1 >= mayMiss {
			broken = fmt.Sprintf("AVAIL: the upkeep of %s ends %d tasks of one step that are at work, %d others are away before, and %d may be", w.machine, len(tasks), away, mayMiss)
		}
	}
	if err := d.startDaemons(); err != nil {
		return "", err
	}
	if err := await("the daemons take requests", 20*time.Second, func() bool {
		status, _ := d.call(0, "GET", queuePath, "")
		return status == 200
	}); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	d.cloud.mu.Lock()
	for _, w := range d.workers {
		d.cloud.waveMachines[w.machine] = true
	}
	d.cloud.mu.Unlock()
	machines := []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}
	d.rec.add("operator: wave 1 of %v, 40 s, one at once", machines)
	if err := d.store.Put("op", "wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": 40, "maxCount": 1}); err != nil {
		return "", err
	}
	var machine string
	select {
	case machine = <-ordered:
	case <-time.After(30 * time.Second):
		return "", fmt.Errorf("no upkeep was ordered")
	}
	w := d.cloud.find(machine)
	if d.trouble {
		time.Sleep(crashAfter)
		w.end("crash")
		time.Sleep(crashTime)
		if err := w.begin(); err != nil {
			return "", err
		}
		d.rec.add("machine %s has a new minion, %s", machine, w.id)
	} else {
		time.Sleep(crashAfter + crashTime)
	}
	body := fmt.Sprintf(`{"spec":"lasts","steps":[{"count":%d,"cpu":2700,"taskMemoryMb":4000,"longRunning":true,"antiAffinity":2,"mayMiss":%d}]}`, lastingTasks, mayMiss)
	if err := d.submit(job, body); err != nil {
		return "", err
	}
	if err := await("all tasks are at work", 10*time.Second, func() bool { return d.atWork(job) == lastingTasks }); err != nil {
		d.rec.add("%v: %d are", err, d.atWork(job))
	}
	d.rec.add("%d of %d tasks are at work", d.atWork(job), lastingTasks)
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		mu.Lock()
		stop := broken != ""
		mu.Unlock()
		if stop {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

const (
	pendingJobs = 8
	darkTime    = 8 * time.Second
	// countedAfter is visible_ms and 2 s more.
	countedAfter = 5 * time.Second
)

// playPending has the minions of one of two racks crash and be silent for 8 s, as eight jobs of
// one task come: each fills a minion. Then the counts of jobs that wait are asked for.
func playPending(d *deployment) (string, error) {
	if err := d.prepare(); err != nil {
		return "", err
	}
	const pool = "bantay-resv"
	if err := d.configure(3, pool); err != nil {
		return "", err
	}
	if err := d.addWorkers(pool, upkeepWorkers); err != nil {
		return "", err
	}
	var mu sync.Mutex
	accepted, begun := map[string]time.Time{}, map[string]bool{}
	for _, w := range d.workers {
		w.onStart = func(task string) {
			mu.Lock()
			defer mu.Unlock()
			begun[strings.SplitN(task, ".", 2)[0]] = true
		}
	}
	if err := d.startDaemons(); err != nil {
		return "", err
	}
	if err := await("the daemons take requests", 20*time.Second, func() bool {
		for i := range daemons {
			if status, _ := d.call(i, "GET", queuePath, ""); status != 200 {
				return false
			}
		}
		return true
	}); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	if d.trouble {
		for _, w := range d.workers[upkeepWorkers/2:] {
			w.goDark()
		}
		time.AfterFunc(darkTime, func() {
			for _, w := range d.workers[upkeepWorkers/2:] {
				_ = w.comeBack()
			}
		})
	}
	var calls sync.WaitGroup
	for i := range pendingJobs {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", i)
		calls.Go(func() {
			if d.submit(id, `{"spec":"run 25000","steps":[{"count":1,"cpu":20000,"taskMemoryMb":4000,"estimatedMs":25000}]}`) == nil {
				mu.Lock()
				defer mu.Unlock()
				accepted[id] = time.Now()
			}
		})
	}
	calls.Wait()
	if len(accepted) < pendingJobs {
		return "", fmt.Errorf("%d jobs were accepted", len(accepted))
	}
	broken := ""
	for time.Since(start) < darkTime+4*time.Second {
		for i := range daemons {
			sent := time.Now()
			status, text := d.call(i, "GET", queuePath, "")
			var n int
			if _, err := fmt.Sscanf(text, `{"pending":%d}`, &n); status != 200 || err != nil {
				continue
			}
			mu.Lock()
			waiting := 0
			for id, at := range accepted {
				if !begun[id] && sent.Sub(at) > countedAfter {
					waiting++
				}
			}
			mu.Unlock()
			d.rec.add("GET %s at daemon %d: %s; accepted over %v before and not begun: %d", queuePath, i, text, countedAfter, waiting)
			if 2*n < waiting {
				broken = fmt.Sprintf("MIXED: daemon %d gives %d jobs as pending; %d that were accepted over %v before haven't begun", i, n, waiting, countedAfter)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return broken, nil
}

const (
	smallerCPU = 8000
	taskCPU    = 20000
	backAfter  = 300 * time.Millisecond
	// firstEntry is how long after its start the new life writes its entry, and jobAfter how
	// long after it the job comes.
	firstEntry = 800 * time.Millisecond
	jobAfter   = 300 * time.Millisecond
)

// playSmaller has an idle minion crash and start again under its ID with less capacity, just
// before a job comes that no longer fits there.
func playSmaller(d *deployment) (string, error) {
	if err := d.prepare(); err != nil {
		return "", err
	}
	const pool = "bantay-resv"
	if err := d.configure(3, pool); err != nil {
		return "", err
	}
	if err := d.addWorkers(pool, upkeepWorkers); err != nil {
		return "", err
	}
	if err := d.startDaemons(); err != nil {
		return "", err
	}
	if err := await("the daemons take requests", 20*time.Second, func() bool {
		status, _ := d.call(0, "GET", queuePath, "")
		return status == 200
	}); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	// All minions but one are filled.
	for i := range upkeepWorkers - 1 {
		if err := d.submit(fmt.Sprintf("5c0e7a21d94b36%02x", i), `{"spec":"run 60000","steps":[{"count":1,"cpu":30000,"taskMemoryMb":4000,"estimatedMs":60000}]}`); err != nil {
			return "", err
		}
	}
	time.Sleep(3 * time.Second)
	var idle *worker
	for _, w := range d.workers {
		w.mu.Lock()
		if len(w.running) == 0 {
			idle = w
		}
		w.mu.Unlock()
	}
	if idle == nil {
		return "", fmt.Errorf("no minion is idle")
	}
	var mu sync.Mutex
	broken := ""
	idle.onStart = func(task string) {
		mu.Lock()
		defer mu.Unlock()
		if used := taskCPU * len(idle.running); used > idle.cpu {
			broken = fmt.Sprintf("LIMIT: the start of %s brings %s to %d thousandths of a core, its capacity is %d", task, idle.id, used, idle.cpu)
		}
	}
	if d.trouble {
		idle.end("crash")
		time.Sleep(backAfter)
		idle.mu.Lock()
		idle.keepID, idle.cpu, idle.entryDelay = true, smallerCPU, firstEntry
		idle.mu.Unlock()
		if err := idle.begin(); err != nil {
			return "", err
		}
		d.rec.add("%s has started again under its ID, with %d thousandths of a core; it writes its entry %v later", idle.id, idle.cpu, firstEntry)
		time.Sleep(jobAfter)
	}
	if err := d.submit("5c0e7a21d94b36ff", fmt.Sprintf(`{"spec":"run 2000","steps":[{"count":1,"cpu":%d,"taskMemoryMb":4000,"estimatedMs":2000}]}`, taskCPU)); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}
