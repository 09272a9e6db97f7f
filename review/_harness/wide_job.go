package main

import (
	"fmt"
	"time"
)

// wideJob hands in a job with many small tasks beside ordinary ones.
func wideJob(d *deployment, trouble bool) (outcome, error) {
	const (
		service = "bantay-resv"
		others  = 20
	)
	wide := 40
	if trouble {
		wide = 6000
	}
	d.configure(3, []string{service}, route{"r-quick", "/quick/", service, 4}, route{"r-batch", "/batch/", service, 4})
	if err := d.addWorkers(service, 4, nil); err != nil {
		return outcome{}, err
	}
	if err := d.addDaemons(3); err != nil {
		return outcome{}, err
	}
	if err := d.awaitReady(service); err != nil {
		return outcome{}, err
	}
	d.submit(0, "/batch/"+jobID(9, 0), jobBody("work=2000", step{"count": wide, "cpu": 10, "taskMemoryMb": 5, "estimatedMs": 2000}))
	var accepted []string
	for n := range others {
		path := "/quick/" + jobID(1, n)
		if d.submit(n, path, jobBody("work=500", step{"count": 2, "cpu": 1800, "taskMemoryMb": 1024, "estimatedMs": 500})) {
			accepted = append(accepted, path)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	waiting := 0
	for _, path := range accepted {
		if d.state(path) != "completed" {
			waiting++
		}
	}
	n, _ := d.rec.count(func(t *taskRuns) bool { return t.starts > 0 })
	return outcome{waiting > 0, fmt.Sprintf("LOST: %d of %d accepted ordinary jobs have not completed 30 s after the last was accepted, though the workers are idle; %d tasks were started in all", waiting, len(accepted), n)}, nil
}
