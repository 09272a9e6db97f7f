package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const prefix = "/puxa400/"

var twoServices = []service{{"huvo11a", 3}, {"kafi81c", 3}}

// The queue under prefix in both configurations. The second one removes the route and adds
// another one for the same requests, whose jobs another service runs.
var (
	oldRoute = route{"r-u6wsjnb", prefix, "huvo11a"}
	newRoute = route{"r-m68k7b2", prefix, "kafi81c"}
	otherA   = route{"r-anfqasn", "/cufi501/", "huvo11a"}
	otherB   = route{"r-ex5wa5x", "/zizi35/", "kafi81c"}
)

// begin starts a deployment with the first configuration and waits until it serves.
func begin(rec *recorder, dir string, daemons int) (*deployment, error) {
	d, err := newDeployment(rec, dir, daemons, twoServices)
	if err != nil {
		return nil, err
	}
	d.configure(twoServices, oldRoute, otherA, otherB)
	if err := d.startAll(); err != nil {
		return d, err
	}
	if err := d.awaitReady(prefix, otherA.prefix, otherB.prefix); err != nil {
		return d, err
	}
	// No disruption is near any more.
	time.Sleep(4 * time.Second)
	return d, nil
}

// move has the operator send the queue to the other service.
func (d *deployment) move() { d.configure(twoServices, newRoute, otherA, otherB) }

// judgeTwice fails if a task ran on two minions at once.
func (d *deployment) judgeTwice() error {
	if n := d.watch.doubled(); n > 0 {
		return fmt.Errorf("%w: TWICE, %d tasks ran on two minions at the same time", errBroken, n)
	}
	return nil
}

// frozenAcceptsIntoOldPool: a machine freezes while requests to hand jobs in are on their way
// to it. Meanwhile the operator sends the queue to another service, and the clients, which
// got no answer, hand the same jobs in at another machine. Then the frozen one wakes.
func frozenAcceptsIntoOldPool(rec *recorder, dir string, trouble bool) error {
	const (
		jobs   = 20
		freeze = 4 * time.Second
	)
	d, err := begin(rec, dir, 5)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	idle, _ := d.idle()
	if len(idle) < 2 {
		return fmt.Errorf("%d daemons hold no duty", len(idle))
	}
	x, y := idle[0], idle[1]
	body := jobBody(1, 500, 8000)
	if trouble {
		d.signal(x, syscall.SIGSTOP)
		rec.event("%s freezes for %v", x.name, freeze)
	}
	frozen := time.Now()
	time.Sleep(100 * time.Millisecond)
	var first sync.WaitGroup
	for i := range jobs {
		first.Add(1)
		go func() {
			defer first.Done()
			d.call(newClient(), x, http.MethodPost, prefix+jobID(i), body)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	d.move()
	first.Wait()
	// The configuration is in force by now on all machines that do not stand still.
	time.Sleep(time.Until(frozen.Add(3200 * time.Millisecond)))
	accepted := make([]bool, jobs)
	each(jobs, func(i int) {
		accepted[i] = d.call(newClient(), y, http.MethodPost, prefix+jobID(i), body).status == http.StatusOK
	})
	time.Sleep(time.Until(frozen.Add(freeze)))
	if trouble {
		d.signal(x, syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	n := 0
	for _, ok := range accepted {
		if ok {
			n++
		}
	}
	rec.event("%d of %d jobs accepted at the second attempt", n, jobs)
	if n == 0 {
		return fmt.Errorf("no job was accepted")
	}
	return d.judgeTwice()
}

// restartForgetsMoves: all processes are killed right after a configuration that sends a
// queue to another service. Seconds later the requests to hand in the jobs that were accepted
// before arrive once more.
func restartForgetsMoves(rec *recorder, dir string, trouble bool) error {
	const jobs = 5
	d, err := begin(rec, dir, 5)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	body := jobBody(1, 500, 15000)
	accepted := make([]bool, jobs)
	each(jobs, func(i int) {
		accepted[i] = d.call(newClient(), d.daemons[i], http.MethodPost, prefix+jobID(i), body).status == http.StatusOK
	})
	for i, ok := range accepted {
		if !ok {
			return fmt.Errorf("job %s was not accepted", jobID(i))
		}
	}
	time.Sleep(time.Second)
	d.move()
	if err := d.killAll(trouble); err != nil {
		return err
	}
	each(jobs, func(i int) {
		for range 4 {
			if r := d.call(newClient(), d.daemons[i], http.MethodPost, prefix+jobID(i), body); r.status == http.StatusOK {
				return
			}
			time.Sleep(time.Second)
		}
	})
	time.Sleep(4 * time.Second)
	return d.judgeTwice()
}

// killAll kills all daemons right after an acknowledgement and starts them again, and waits
// until they are ready.
func (d *deployment) killAll(trouble bool) error {
	if trouble {
		for _, x := range d.daemons {
			d.signal(x, syscall.SIGKILL)
		}
		for _, x := range d.daemons {
			<-x.exited
		}
		time.Sleep(500 * time.Millisecond)
		if err := d.startAll(); err != nil {
			return err
		}
	}
	return d.awaitReady(otherA.prefix, otherB.prefix)
}

// lost counts the requests that ended without a complete answer later than lossSlack after
// they were sent, and before their deadline.
func lost(replies []reply) int {
	n := 0
	for _, r := range replies {
		if r.status == 0 && r.took > lossSlack && r.took < clientDeadline {
			n++
		}
	}
	return n
}

// keptClients returns clients that each keep a connection to a machine open, on which a
// request was answered.
func (d *deployment) keptClients(x *daemon, n int) []*http.Client {
	out := make([]*http.Client, n)
	each(n, func(i int) {
		out[i] = newClient()
		d.call(out[i], x, http.MethodGet, prefix+jobID(i), "")
	})
	return out
}

// stoppedMachine returns a machine that holds no duty.
func (d *deployment) stoppedMachine() (*daemon, error) {
	idle, _ := d.idle()
	if len(idle) == 0 {
		return nil, fmt.Errorf("every daemon holds a duty")
	}
	return idle[0], nil
}

// judgeLost fails if requests were lost.
func judgeLost(replies []reply) error {
	if n := lost(replies); n > 0 {
		return fmt.Errorf("%w: LOST, %d of %d requests ended without a complete answer over %v after they were sent", errBroken, n, len(replies), lossSlack)
	}
	return nil
}

// settingsSignalWhileStopping: a machine is stopped as planned, and the settings change
// meanwhile, which SIGHUP tells it. It has requests in hand.
func settingsSignalWhileStopping(rec *recorder, dir string, trouble bool) error {
	const requests = 8
	d, err := begin(rec, dir, 5)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	x, err := d.stoppedMachine()
	if err != nil {
		return err
	}
	d.move()
	time.Sleep(time.Second)
	clients := d.keptClients(x, requests)
	d.signal(x, syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	replies := make([]reply, requests)
	var calls sync.WaitGroup
	for i := range requests {
		calls.Add(1)
		go func() {
			defer calls.Done()
			replies[i] = d.call(clients[i], x, http.MethodPost, prefix+jobID(i), jobBody(1, 500, 500))
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		d.signal(x, syscall.SIGHUP)
	}
	calls.Wait()
	return judgeLost(replies)
}

// requestCutAtTheEndOfAStop: a machine is stopped as planned. Requests reach it on
// connections that clients have kept open, while it is still in its grace period.
func requestCutAtTheEndOfAStop(rec *recorder, dir string, trouble bool) error {
	const requests = 12
	d, err := begin(rec, dir, 5)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	x, err := d.stoppedMachine()
	if err != nil {
		return err
	}
	clients := d.keptClients(x, requests)
	stopped := time.Now()
	if trouble {
		d.signal(x, syscall.SIGTERM)
	}
	time.Sleep(2 * time.Second)
	d.move()
	replies := make([]reply, requests)
	each(requests, func(i int) {
		time.Sleep(time.Until(stopped.Add(3800*time.Millisecond + time.Duration(i)*40*time.Millisecond)))
		replies[i] = d.call(clients[i], x, http.MethodPost, prefix+jobID(i), jobBody(1, 500, 500))
	})
	return judgeLost(replies)
}

// poisonJobStopsPool: one of the jobs can never be done: each of its tasks fails after some
// work, with the progress that it has saved. Others of the same queue come after it.
func poisonJobStopsPool(rec *recorder, dir string, trouble bool) error {
	const (
		tasks = 2000
		jobs  = 20
	)
	d, err := begin(rec, dir, 5)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	wide := taskSpec{Ms: 2500, Saves: true, Fails: trouble}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":40,"taskMemoryMb":16,"estimatedMs":2500,"checkpointing":true}]}`, wide, tasks)
	if r := d.call(newClient(), d.daemons[0], http.MethodPost, prefix+jobID(0), body); r.status != http.StatusOK {
		return fmt.Errorf("the wide job was not accepted")
	}
	time.Sleep(5 * time.Second)
	accepted := map[string]bool{}
	for i := range jobs {
		id := jobID(100 + i)
		r := d.call(newClient(), d.daemons[i%len(d.daemons)], http.MethodPost, prefix+id, jobBody(1, 100, 100))
		accepted[id] = r.status == http.StatusOK
		time.Sleep(300 * time.Millisecond)
	}
	// What minions have not begun by finish after the end of the traffic had room all the
	// while: nothing else is sent.
	time.Sleep(finish)
	used := 0
	for _, m := range d.minions {
		if m.service == oldRoute.service {
			used = max(used, m.used())
		}
	}
	rec.event("%d tasks run on the busiest of the service's minions", used)
	standing, n := 0, 0
	for id, ok := range accepted {
		if !ok {
			continue
		}
		n++
		r := d.call(newClient(), d.daemons[0], http.MethodGet, prefix+id, "")
		if d.watch.starts(id+".0.0.0") == 0 {
			standing++
			rec.event("job %s was accepted over %v ago and none of its tasks has begun; it is shown as %s", id, finish, strings.TrimSpace(r.body))
		}
	}
	rec.event("%d jobs were accepted, %d of them stand", n, standing)
	switch {
	case n == 0:
		return fmt.Errorf("no job was accepted")
	case standing > 0 && used == 0:
		return fmt.Errorf("%w: LOST, %d of %d accepted jobs have nothing running %v after the end of the traffic, with all minions of the service idle", errBroken, standing, n, finish)
	}
	return nil
}
