package main

import (
	"fmt"
	"os"
	"strconv"
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
	var paths []string
	for n := range 60 {
		x := d.daemons[n%len(d.daemons)]
		if x == h {
			x = d.daemons[(n+1)%len(d.daemons)]
		}
		path := "/quick/" + jobID(1, n)
		if status, _ := d.call(x, "POST", path, jobBody("work=200", step{"count": 2, "cpu": 500, "taskMemoryMb": 256, "estimatedMs": 200})); status == 200 {
			paths = append(paths, path)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if len(paths) == 0 {
		return outcome{}, fmt.Errorf("no job was accepted")
	}
	for _, path := range paths {
		if !d.awaitState(path, "completed", 10*time.Second) {
			return outcome{}, fmt.Errorf("%s does not complete", path)
		}
	}
	if trouble {
		d.storeDown(4500*time.Millisecond, nil)
	}
	time.Sleep(time.Duration(keep+3) * time.Second)
	d.stopAndStart(d.holder("pool/" + service))
	time.Sleep(8 * time.Second)
	n, first := d.rec.startedTwice()
	return outcome{n > 0, fmt.Sprintf("TWICE: %d tasks of %d completed jobs were started again after their ends done were acknowledged (first %s)", n, len(paths), first)}, nil
}
