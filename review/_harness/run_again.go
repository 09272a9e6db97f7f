package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// runAgain has jobs accepted while a pool changes hands by a planned restart, and
// the store down for a few seconds after they have completed. After the time for which
// their state is kept, the pool changes hands again by a planned restart.
func runAgain(d *deployment, trouble bool) (outcome, error) {
	const service = "bantay-resv"
	keep := 60
	if n, err := strconv.Atoi(os.Getenv("STATUS_S")); err == nil {
		keep = n
	}
	d.configure(3, []string{service}, route{"r-quick", "/quick/", service, 4})
	if err := d.addWorkers(service, 4, nil); err != nil {
		return outcome{}, err
	}
	if err := d.addDaemons(3, fmt.Sprintf("bounds.status_s=%d", keep)); err != nil {
		return outcome{}, err
	}
	if err := d.awaitReady(service); err != nil {
		return outcome{}, err
	}
	h := d.holder("pool/" + service)
	d.stopAndStart(h)
	paths := d.submitDuring(h, 4, 30)
	if len(paths) == 0 {
		return outcome{}, fmt.Errorf("no job was accepted")
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if n, _ := d.rec.count((*taskRuns).acknowledged); n == 2*len(paths) {
			break
		}
		if time.Now().After(end) {
			return outcome{}, fmt.Errorf("the jobs do not end")
		}
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		d.storeDown(4500*time.Millisecond, nil)
	}
	for _, path := range paths {
		if !d.awaitState(path, "completed", 10*time.Second) {
			return outcome{}, fmt.Errorf("%s does not complete", path)
		}
	}
	time.Sleep(time.Duration(keep+3) * time.Second)
	d.stopAndStart(d.holder("pool/" + service))
	time.Sleep(8 * time.Second)
	n, first := d.rec.startedTwice()
	return outcome{n > 0, fmt.Sprintf("TWICE: %d tasks of %d completed jobs were started again after their ends done were acknowledged (first %s)", n, len(paths), first)}, nil
}

// submitDuring has a number of clients hand in jobs, each job after the last, at
// daemons other than one. It returns the accepted jobs.
func (d *deployment) submitDuring(leaving *daemon, clients, jobs int) []string {
	var others []*daemon
	for _, x := range d.daemons {
		if x != leaving {
			others = append(others, x)
		}
	}
	var mu sync.Mutex
	var paths []string
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			for n := range jobs {
				path := "/quick/" + jobID(1+c, n)
				body := jobBody("work=200", step{"count": 2, "cpu": 500, "taskMemoryMb": 256, "estimatedMs": 200})
				if status, _ := d.call(others[(c+n)%len(others)], "POST", path, body); status == 200 {
					mu.Lock()
					paths = append(paths, path)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return paths
}
