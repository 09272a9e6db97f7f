package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// pending has all workers of a rack crash, which are those of a service, and asks
// the queue how many of its jobs have not begun.
func pending(d *deployment, trouble bool) (outcome, error) {
	const (
		service = "bantay-resv"
		jobs    = 4
		downFor = 7000 * time.Millisecond
		// visible is visible_ms + 2 s.
		visible = 5 * time.Second
	)
	d.configure(3, []string{service}, route{"r-quick", "/quick/", service, 4})
	if err := d.addWorkers(service, 4, nil); err != nil {
		return outcome{}, err
	}
	if err := d.addDaemons(3); err != nil {
		return outcome{}, err
	}
	if err := d.awaitReady(service); err != nil {
		return outcome{}, err
	}
	began := time.Now()
	if trouble {
		for _, w := range d.workers {
			w.crash()
		}
	}
	accepted := 0
	for n := range jobs {
		if status, _ := d.call(d.daemons[n%3], http.MethodPost, "/quick/"+jobID(1, n), jobBody("work=500", step{"count": 1, "cpu": 1800, "taskMemoryMb": 1024, "estimatedMs": 500})); status == http.StatusOK {
			accepted++
		}
	}
	last := time.Now()
	worst, begun := -1, 0
	for time.Since(began) < downFor {
		time.Sleep(100 * time.Millisecond)
		if time.Since(last) < visible+100*time.Millisecond {
			continue
		}
		for _, x := range d.daemons {
			begun, _ = d.rec.count(func(t *taskRuns) bool { return t.starts > 0 })
			status, answer := d.call(x, http.MethodGet, "/quick/", nil)
			var a struct {
				Pending int `json:"pending"`
			}
			if status == http.StatusOK && json.Unmarshal(answer, &a) == nil && begun < accepted && a.Pending*2 < accepted-begun {
				worst = a.Pending
			}
		}
	}
	for _, w := range d.workers {
		if trouble {
			if err := w.start(); err != nil {
				return outcome{}, err
			}
		}
	}
	time.Sleep(5 * time.Second)
	return outcome{worst >= 0, fmt.Sprintf("MIXED: %d jobs were accepted and %d had begun over 5 s later; the worst answer under half of the others was pending %d (-1: none)", accepted, begun, worst)}, nil
}
