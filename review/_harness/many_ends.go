package main

import (
	"fmt"
	"time"
)

// manyEnds has the store down for a few seconds while small tasks end, so that a
// worker has more ends to list than one answer holds.
func manyEnds(d *deployment, trouble bool) (outcome, error) {
	const (
		service = "bantay-resv"
		jobs    = 80
		tasks   = 20
		every   = 50 * time.Millisecond
		workMs  = 6000
		downFor = 4500 * time.Millisecond
	)
	d.configure(3, []string{service}, route{"r-quick", "/quick/", service, 4})
	if err := d.addWorkers(service, 2, nil); err != nil {
		return outcome{}, err
	}
	if err := d.addDaemons(3); err != nil {
		return outcome{}, err
	}
	if err := d.awaitReady(service); err != nil {
		return outcome{}, err
	}
	accepted := make(chan bool, jobs)
	for n := range jobs {
		go func() {
			body := jobBody(fmt.Sprintf("work=%d", workMs), step{"count": tasks, "cpu": 35, "taskMemoryMb": 60, "estimatedMs": workMs})
			accepted <- d.submit(n, "/quick/"+jobID(1, n), body)
		}()
		time.Sleep(every)
	}
	for range jobs {
		if !<-accepted {
			return outcome{}, fmt.Errorf("a job was not accepted")
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if n, _ := d.rec.count(func(t *taskRuns) bool { return !t.doneAt.IsZero() }); n >= 20 {
			break
		}
		if time.Now().After(end) {
			return outcome{}, fmt.Errorf("no task ends")
		}
	}
	if trouble {
		d.storeDown(downFor, nil)
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n, _ := d.rec.count(func(t *taskRuns) bool { return t.acknowledged() && t.active == 0 }); n == jobs*tasks {
			break
		}
	}
	time.Sleep(2 * time.Second)
	n, first := d.rec.startedTwice()
	again, _ := d.rec.count(func(t *taskRuns) bool { return t.starts > 1 })
	done, _ := d.rec.count(func(t *taskRuns) bool { return !t.doneAt.IsZero() })
	lapsed, _ := d.rec.count(func(t *taskRuns) bool { return t.lapsed })
	return outcome{n > 0, fmt.Sprintf("TWICE: %d of %d tasks were started again after a run had ended done, whose end was acknowledged (first %s); %d had more than one start, %d ended done, %d lapsed", n, jobs*tasks, first, again, done, lapsed)}, nil
}
