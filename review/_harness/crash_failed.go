package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// crashFailed has two workers crash, each shortly after it has started one and the
// same task. No run of the task fails.
func crashFailed(d *deployment, trouble bool) (outcome, error) {
	const (
		service = "bantay-resv"
		crashes = 2
		downFor = time.Second
	)
	path := "/quick/" + jobID(7, 0)
	task := strings.TrimPrefix(path, "/quick/") + ".0.0.0"
	var mu sync.Mutex
	crashed := map[string]bool{}
	onStart := func(w *worker, k runKey) {
		if !trouble || k.task != task {
			return
		}
		mu.Lock()
		more := len(crashed) < crashes && !crashed[w.id]
		if more {
			crashed[w.id] = true
		}
		mu.Unlock()
		if !more {
			return
		}
		time.Sleep(100 * time.Millisecond)
		w.crash()
		time.Sleep(downFor)
		if err := w.start(); err != nil {
			d.rec.event("%s does not start: %v", w.id, err)
			return
		}
		d.rec.event("%s is back", w.id)
	}
	d.configure(3, []string{service}, route{"r-quick", "/quick/", service, 4})
	if err := d.addWorkers(service, 8, onStart); err != nil {
		return outcome{}, err
	}
	if err := d.addDaemons(3); err != nil {
		return outcome{}, err
	}
	if err := d.awaitReady(service); err != nil {
		return outcome{}, err
	}
	body := jobBody("work=1500", step{"count": 1, "cpu": 1800, "taskMemoryMb": 1024, "estimatedMs": 1500})
	if !d.submit(0, path, body) {
		return outcome{}, fmt.Errorf("the job was not accepted")
	}
	state := ""
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if state = d.state(path); state == "failed" || state == "completed" {
			break
		}
	}
	t := d.rec.get(task)
	return outcome{state == "failed" && t.failures == 0, fmt.Sprintf("LOST: the job is shown as %q after %d starts and %d runs that ended failed (maxAttempts 4)", state, t.starts, t.failures)}, nil
}
