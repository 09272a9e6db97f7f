package main

import (
	"fmt"
	"net/http"
	"time"
)

// movedRoute has the configuration send a queue to another service between the
// acceptance of a job and its cancelling.
func movedRoute(d *deployment, trouble bool) (outcome, error) {
	const from, to = "bantay-resv", "imbak-stock"
	services := []string{from, to}
	d.configure(3, services, route{"r-ledger", "/ledger/", from, 4})
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
	id := jobID(5, 0)
	path := "/ledger/" + id
	if !d.submit(0, path, jobBody("lasts", step{"count": 2, "cpu": 1800, "taskMemoryMb": 1024, "estimatedMs": 900, "longRunning": true})) {
		return outcome{}, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.configure(7, services, route{"r-ledger", "/ledger/", to, 4})
		time.Sleep(6 * time.Second)
	}
	status, _ := d.call(d.daemons[1], http.MethodDelete, path, nil)
	if status != http.StatusOK {
		return outcome{}, fmt.Errorf("the cancel was answered %d", status)
	}
	// cancel_ms and stopMs are 3 s and 0.2 s.
	time.Sleep(10 * time.Second)
	state := d.state(path)
	n, first := d.rec.count(func(t *taskRuns) bool { return t.active > 0 })
	return outcome{n > 0, fmt.Sprintf("UNASKED: %d tasks of the job run on 10 s after its cancelling was acknowledged (first %s), its state is %q", n, first, state)}, nil
}
