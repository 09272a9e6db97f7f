package main

import (
	"fmt"
	"time"
)

// These are the times of the case lapsed-entry.
const (
	lapsedWork = 3 * time.Second
	// lapsedDown is how long the store is down, and lapsedBack when the entries of
	// the workers are back after its return.
	lapsedDown = 4500 * time.Millisecond
	lapsedBack = 1800 * time.Millisecond
	// lapsedFinish is finish_s, and lapsedIdle the 3 s of the rule.
	lapsedFinish = 14 * time.Second
	lapsedIdle   = 3500 * time.Millisecond
	lapsedRounds = 3
)

// lapsedEntry has the store down for a few seconds while the second steps of four
// jobs, one a service, are planned. The workers' entries lapse meanwhile and come
// back after it. It does so up to lapsedRounds times, until a job is left over.
func lapsedEntry(d *deployment, trouble bool) (outcome, error) {
	services := []string{"bantay-resv", "imbak-stock", "labada", "kuwenta"}
	var routes []route
	for _, s := range services {
		routes = append(routes, route{"r-" + s, "/" + s + "/", s, 4})
	}
	d.configure(3, services, routes...)
	for _, s := range services {
		if err := d.addWorkers(s, 4, nil); err != nil {
			return outcome{}, err
		}
	}
	if err := d.addDaemons(3); err != nil {
		return outcome{}, err
	}
	if err := d.awaitReady(services...); err != nil {
		return outcome{}, err
	}
	var paths, stuck []string
	rounds := 0
	for ; rounds < lapsedRounds && len(stuck) == 0; rounds++ {
		added, err := d.playLapsedEntry(services, rounds, trouble)
		if err != nil {
			return outcome{}, err
		}
		paths = append(paths, added...)
		stuck = d.notCompleted(paths)
	}
	time.Sleep(lapsedFinish)
	active := 0
	for began := time.Now(); time.Since(began) < lapsedIdle; time.Sleep(50 * time.Millisecond) {
		n, _ := d.rec.count(func(t *taskRuns) bool { return t.active > 0 })
		active = max(active, n)
	}
	stuck = d.notCompleted(paths)
	done, _ := d.rec.count(func(t *taskRuns) bool { return !t.doneAt.IsZero() })
	return outcome{len(stuck) > 0 && active == 0, fmt.Sprintf("LOST: after %d rounds %d of %d jobs have not completed (%v); %d of their %d tasks have ended done, and in the last 3.5 s %d tasks were at work, though all workers are up, listed and idle", rounds, len(stuck), len(paths), stuck, done, 9*len(paths), active)}, nil
}

// playLapsedEntry plays one round and returns the jobs that it handed in.
func (d *deployment) playLapsedEntry(services []string, round int, trouble bool) (paths []string, err error) {
	ms := lapsedWork.Milliseconds()
	body := jobBody(fmt.Sprintf("work=%d", ms),
		step{"count": 1, "cpu": 1800, "taskMemoryMb": 1024, "estimatedMs": ms},
		step{"count": 8, "cpu": 1800, "taskMemoryMb": 1024, "estimatedMs": ms, "after": []int{0}, "antiAffinity": 2})
	for n, s := range services {
		path := "/" + s + "/" + jobID(0x30+round, n)
		paths = append(paths, path)
		if !d.submit(n, path, body) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(lapsedWork - 300*time.Millisecond)
	if trouble {
		d.storeDown(lapsedDown, func() {
			for _, w := range d.workers {
				w.setSilent(true)
			}
		})
		time.Sleep(lapsedBack)
		for _, w := range d.workers {
			w.setSilent(false)
		}
		d.rec.event("the entries of the workers are back")
	}
	time.Sleep(2*lapsedWork + 2*time.Second)
	return paths, nil
}

// notCompleted returns those of the jobs that are not shown as completed.
func (d *deployment) notCompleted(paths []string) []string {
	var out []string
	for _, path := range paths {
		if d.state(path) != "completed" {
			out = append(out, path)
		}
	}
	return out
}
