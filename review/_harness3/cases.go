package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
)

// cases are the scripts by name. Each returns how the rule was broken, or "".
var cases = map[string]func(*deployment) (string, error){
	"upkeep":  playUpkeep,
	"pending": playPending,
	"smaller": playSmaller,
	"limits":  playLimits,
	"wave":    playWave,
	"moved":   playMoved,
}

// configure has the operator write a configuration with one queue.
func (d *deployment) configure(version int, pool string) error {
	return d.configureBody(version, pool, fullBody)
}

// configureBody does what configure does, with a limit of the length of bodies.
func (d *deployment) configureBody(version int, pool string, maxBody int) error {
	d.rec.add("operator: version %d, maxBodyBytes %d", version, maxBody)
	return d.store.Put("op", "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "q1", "host": queueHost, "pathPrefix": queuePath, "service": pool, "timeoutMs": 3000,
			"targetLatencyMs": 2500, "priority": 0, "maxAttempts": 3, "stretch": 2.2,
		}},
		"services": []any{map[string]any{"name": pool, "admissionCheck": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
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
	const pool, jobID = "bantay-resv", "5c0e7a21d94b36f8"
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
		tasks := tasksAt(w, jobID)
		d.rec.add("upkeep of %s begins; at work on %s: %v; of %d tasks of the step %d are at work, mayMiss is %d", w.machine, w.id, tasks, lastingTasks, d.atWork(jobID), mayMiss)
		mu.Lock()
		defer mu.Unlock()
		if away := lastingTasks - d.atWork(jobID); len(tasks) > 0 && away+len(tasks)-1 >= mayMiss {
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
	if err := d.submit(jobID, body); err != nil {
		return "", err
	}
	if err := await("all tasks are at work", 10*time.Second, func() bool { return d.atWork(jobID) == lastingTasks }); err != nil {
		d.rec.add("%v: %d are", err, d.atWork(jobID))
	}
	d.rec.add("%d of %d tasks are at work", d.atWork(jobID), lastingTasks)
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
	pendingJobs = 24
	darkTime    = 7900 * time.Millisecond
	// countedAfter is visible_ms and 2 s more.
	countedAfter = 5 * time.Second
)

// playPending has the minions of one of two racks crash and be silent for 7.9 s, as jobs of one
// task come: three fill a minion. Then the counts of jobs that wait are asked for.
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
			if d.submit(id, `{"spec":"run 25000","steps":[{"count":1,"cpu":10000,"taskMemoryMb":4000,"estimatedMs":25000}]}`) == nil {
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
	taskCPU    = 10000
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
	for i := range 3 * (upkeepWorkers - 1) {
		if err := d.submit(fmt.Sprintf("5c0e7a21d94b36%02x", i), `{"spec":"run 60000","steps":[{"count":1,"cpu":10000,"taskMemoryMb":4000,"estimatedMs":60000}]}`); err != nil {
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
	} else {
		time.Sleep(backAfter)
	}
	time.Sleep(jobAfter)
	if err := d.submit("5c0e7a21d94b36ff", fmt.Sprintf(`{"spec":"run 2000","steps":[{"count":1,"cpu":%d,"taskMemoryMb":4000,"estimatedMs":2000}]}`, taskCPU)); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

const (
	fullBody, smallBody = 262144, 8192
	// appliedAfter is configApplyMs and a second more.
	appliedAfter = 3 * time.Second
)

// playLimits has a configuration raise the limit of the length of bodies while clients have
// connections open, on which they then send what the older version doesn't allow.
func playLimits(d *deployment) (string, error) {
	if err := d.prepare(); err != nil {
		return "", err
	}
	const pool = "bantay-resv"
	first := fullBody
	if d.trouble {
		first = smallBody
	}
	if err := d.configureBody(3, pool, first); err != nil {
		return "", err
	}
	if err := d.addWorkers(pool, upkeepWorkers); err != nil {
		return "", err
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
	step := `{"count":1,"cpu":500,"taskMemoryMb":256,"estimatedMs":100}`
	small := `{"spec":"run 100","steps":[` + step + `]}`
	for i := range daemons {
		// The connection stays open: the client keeps one for each daemon.
		status, text := d.call(i, "POST", fmt.Sprintf("%s5c0e7a21d94b36a%d", queuePath, i), small)
		d.rec.add("POST of %d bytes at daemon %d, on its open connection: %d %s", len(small), i, status, text)
		if status != 200 {
			return "", fmt.Errorf("a small job was answered %d", status)
		}
	}
	if d.trouble {
		if err := d.configureBody(7, pool, fullBody); err != nil {
			return "", err
		}
	}
	time.Sleep(appliedAfter)
	large := `{"spec":"run 100","steps":[` + strings.Repeat(step+",", 199) + step + `]}`
	refused := map[int]int{}
	for i := range daemons {
		path := fmt.Sprintf("%s5c0e7a21d94b36b%d", queuePath, i)
		status, text := d.call(i, "POST", path, large)
		d.rec.add("POST of %d bytes at daemon %d, on its open connection: %d %s", len(large), i, status, text)
		if status == 400 || status == 413 {
			refused[i] = status
		}
	}
	client.CloseIdleConnections()
	broken := ""
	for i := range daemons {
		path := fmt.Sprintf("%s5c0e7a21d94b36b%d", queuePath, i)
		status, text := d.call(i, "POST", path, large)
		d.rec.add("the same POST at daemon %d, on a new connection: %d %s", i, status, text)
		if refused[i] != 0 && status == 200 {
			broken = fmt.Sprintf("CONFIG: daemon %d refuses a body of %d bytes with %d, %v after a version was stored that allows %d", i, len(large), refused[i], appliedAfter, fullBody)
		}
	}
	return broken, nil
}

const (
	firstWaveS, longerWaveS = 26, 26
	// judgedAfter is how long after the longer wave's time it is looked at.
	judgedAfter = 10 * time.Second
)

// putWave has the operator write wave 1.
func (d *deployment) putWave(durationS int, machines ...string) error {
	d.cloud.mu.Lock()
	for _, m := range machines {
		d.cloud.waveMachines[m] = true
	}
	d.cloud.mu.Unlock()
	d.rec.add("operator: wave 1 of %v, %d s, one at once", machines, durationS)
	return d.store.Put("op", "wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": durationS, "maxCount": 1})
}

// waveState returns the state of wave 1 as operators read it.
func (d *deployment) waveState() string {
	resp, err := http.Get("http://" + d.store.Address() + "/v1/log-newest?topic=keyed.status&part=0")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	var page struct {
		Items []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"items"`
	}
	if json.Unmarshal(data, &page) != nil {
		return ""
	}
	for _, it := range page.Items {
		var s struct {
			State string `json:"state"`
		}
		if it.Key == "wave/1" && json.Unmarshal(it.Value, &s) == nil {
			return s.State
		}
	}
	return ""
}

// upkeptOf returns those of some machines whose upkeep has begun.
func (d *deployment) upkeptOf(machines ...string) (out []string) {
	d.cloud.mu.Lock()
	defer d.cloud.mu.Unlock()
	for _, m := range machines {
		if d.cloud.upkept[m] {
			out = append(out, m)
		}
	}
	return out
}

// playWave has the operator add a machine to a wave that is completed.
func playWave(d *deployment) (string, error) {
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
	time.Sleep(2 * time.Second)
	machines := []string{"m0", "m1"}
	if err := d.putWave(firstWaveS, machines...); err != nil {
		return "", err
	}
	if err := await("the wave is completed", 30*time.Second, func() bool { return d.waveState() == "completed" }); err != nil {
		return "", err
	}
	d.rec.add("status/wave/1 is completed; upkeep has begun on %v", d.upkeptOf(machines...))
	if d.trouble {
		machines = append(machines, "m2")
		if err := d.putWave(longerWaveS, machines...); err != nil {
			return "", err
		}
	}
	broken := ""
	start := time.Now()
	for time.Since(start) < longerWaveS*time.Second+judgedAfter {
		time.Sleep(2 * time.Second)
		state, upkept := d.waveState(), d.upkeptOf(machines...)
		d.rec.add("status/wave/1 is %s; of %v the upkeep has begun on %v", state, machines, upkept)
		if time.Since(start) > longerWaveS*time.Second && state == "completed" && len(upkept) < len(machines) {
			broken = fmt.Sprintf("MIXED: wave 1 is said to be completed; of its machines %v the upkeep has begun on %v, %v after the operator's last word", machines, upkept, time.Since(start).Round(time.Second))
		}
	}
	return broken, nil
}

const (
	manyDaemons = 10
	// movedPart is the partition of the intake to which the jobs would go.
	movedPart = 2
	partDown  = 4400 * time.Millisecond
	// movedJobs come at one daemon, resetJobs of them on connections that are reset.
	movedJobs, resetJobs = 10, 5
	resetAfter           = 200 * time.Millisecond
	againAfter           = 300 * time.Millisecond
	// askedAfter is finish_s and 3 s more.
	askedAfter = 17 * time.Second
)

// configureMoved has the operator write a configuration that sends the queue to one of two
// services.
func (d *deployment) configureMoved(version int, pool string, pools ...string) error {
	services := []any{}
	for _, p := range pools {
		services = append(services, map[string]any{"name": p, "admissionCheck": false})
	}
	d.rec.add("operator: version %d sends the queue to %s", version, pool)
	return d.store.Put("op", "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": fmt.Sprintf("q%d", version), "host": queueHost, "pathPrefix": queuePath, "service": pool, "timeoutMs": 3000,
			"targetLatencyMs": 2500, "priority": 0, "maxAttempts": 3, "stretch": 2.2,
		}},
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": fullBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// post sends a request on a connection of its own and returns the connection.
func (d *deployment) post(daemon int, id, body string) (net.Conn, error) {
	c, err := net.Dial("tcp", d.clients[daemon])
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", queuePath, id, queueHost, len(body), body)
	return c, err
}

// playMoved has the store be down in part as jobs come whose queue a configuration just sends to
// another service, and the connections of their clients break, which send them again.
func playMoved(d *deployment) (string, error) {
	daemons = manyDaemons
	if err := d.prepare(); err != nil {
		return "", err
	}
	var err error
	if d.proxy, err = newStoreProxy(d.store.Address(), d.rec); err != nil {
		return "", err
	}
	const a, b = "imbak-stock", "kuwenta"
	if err := d.configureMoved(3, a, a, b); err != nil {
		return "", err
	}
	for _, pool := range []string{a, b} {
		if err := d.addWorkers(pool, 4); err != nil {
			return "", err
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
	const body = `{"spec":"run 500","steps":[{"count":1,"cpu":500,"taskMemoryMb":256,"estimatedMs":500}]}`
	for i := range 2 * daemons {
		if err := d.submit(fmt.Sprintf("5c0e7a21d94b35%02x", i), body); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	if d.trouble {
		d.proxy.silence("keyed.jobs."+a, []int{joblog.ProgressPartition(a).Part, movedPart}, partDown)
	}
	filler, err := d.post(0, "5c0e7a21d94b36f0", body)
	if err != nil {
		return "", err
	}
	defer func() { _ = filler.Close() }()
	time.Sleep(50 * time.Millisecond)
	var conns []net.Conn
	// The IDs are those whose requests go to one of the intake's partitions.
	var ids []string
	for n := 0; len(ids) < movedJobs; n++ {
		if s := fmt.Sprintf("5c0e7a21d94c%04x", n); joblog.IntakePartition(a, job.ID(s)).Part == movedPart {
			ids = append(ids, s)
		}
	}
	id := func(i int) string { return ids[i] }
	for i := range movedJobs {
		d.rec.add("POST %s at daemon 0", id(i))
		c, err := d.post(0, id(i), body)
		if err != nil {
			return "", err
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	time.Sleep(50 * time.Millisecond)
	if err := d.configureMoved(7, b, a, b); err != nil {
		return "", err
	}
	time.Sleep(resetAfter - time.Since(start))
	if d.trouble {
		for i, c := range conns[:resetJobs] {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			d.rec.add("the connection of %s is reset, without an answer", id(i))
		}
	}
	time.Sleep(againAfter - time.Since(start))
	var calls sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]bool{}
	for i := range resetJobs {
		calls.Go(func() {
			status, text := d.call(i+1, "POST", queuePath+id(i), body)
			d.rec.add("POST %s again, at daemon %d: %d %s", id(i), i+1, status, text)
			mu.Lock()
			defer mu.Unlock()
			if status == 200 {
				accepted[id(i)] = true
			}
		})
	}
	calls.Wait()
	d.proxy.logUse()
	time.Sleep(partDown + askedAfter - time.Since(start))
	lost := 0
	for i := range resetJobs {
		if !accepted[id(i)] {
			continue
		}
		gone := false
		for daemon := range daemons {
			status, text := d.call(daemon, "GET", queuePath+id(i), "")
			d.rec.add("GET %s at daemon %d: %d %s", id(i), daemon, status, text)
			gone = gone || status == 410
		}
		if gone {
			lost++
		}
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d of %d jobs that were answered 200 are unknown (410)", lost, len(accepted)), nil
	}
	return "", nil
}
