package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	queueHost  = "desk.example"
	deadlineMs = 3000
	graceTime  = 6 * time.Second
)

// daemon is an entry host with its current process.
type daemon struct {
	name     string
	callers  string
	ready    string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec     *recorder
	dir     string
	binary  string
	root    string
	store   *store
	cloud   net.Listener
	workers []*worker
	daemons []*daemon
	client  *http.Client

	mu sync.Mutex
}

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	maxAttempts           int
}

func (r route) body() map[string]any {
	return map[string]any{
		"name": r.name, "host": queueHost, "pathPrefix": r.prefix, "service": r.service, "timeoutMs": deadlineMs,
		"priority": 0, "maxAttempts": r.maxAttempts, "stretch": 1.6, "targetLatencyMs": 600,
	}
}

func (d *deployment) configure(version int, services []string, routes ...route) {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "admissionCheck": false})
	}
	bodies := []map[string]any{}
	for _, r := range routes {
		bodies = append(bodies, r.body())
	}
	d.store.put("op", "config", map[string]any{
		"version": version, "routes": bodies, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 262144, "headerTimeoutMs": 2000, "idleTimeoutMs": 15000},
	})
	d.rec.event("operator writes configuration %d: %v", version, routes)
}

// newDeployment starts the stand-ins of the platform.
func newDeployment(rec *recorder, root string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "greengagedeck-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		rec: rec, dir: dir, root: root, binary: filepath.Join(root, "target", "greengaged"),
		client: &http.Client{Timeout: deadlineMs * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	if _, err := os.Stat(d.binary); err != nil {
		return nil, err
	}
	if d.store, err = startStore(rec); err != nil {
		return nil, err
	}
	if d.cloud, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(d.cloud, http.HandlerFunc(d.serveCloud)) }()
	return d, nil
}

func (d *deployment) serveCloud(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/machines" {
		body, _ := io.ReadAll(r.Body)
		d.rec.event("cloud gets %s %s", r.URL.Path, body)
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	list := []map[string]any{}
	d.mu.Lock()
	for _, k := range d.workers {
		state := "up"
		k.mu.Lock()
		if !k.up {
			state = "down"
		}
		k.mu.Unlock()
		list = append(list, map[string]any{"machine": k.machine, "pool": k.service, "state": state, "zone": "north-a", "labels": []string{"a", k.rack}, "capacity": k.size, "id": k.id})
	}
	d.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
}

// addWorkers starts n workers of a service, four to a rack.
func (d *deployment) addWorkers(service string, n int, onStart func(*worker, runKey)) error {
	for i := range n {
		k := &worker{
			rec: d.rec, store: d.store, id: fmt.Sprintf("i-%s-%d", service, i), machine: fmt.Sprintf("m-%s-%d", service, i), service: service,
			rack: fmt.Sprintf("r-%s-%d", service, i/4), size: capacity{CPU: 32000, TaskMemoryMB: 65536}, onStart: onStart,
		}
		if err := k.start(); err != nil {
			return err
		}
		d.mu.Lock()
		d.workers = append(d.workers, k)
		d.mu.Unlock()
		d.rec.event("worker %v of %s", k, service)
	}
	return nil
}

// freeAddresses returns n loopback addresses and a port from which on ten ports are
// free on each of them.
func freeAddresses(n int) ([]string, int, error) {
	for range 100 {
		base := 20000 + rand.IntN(30000)
		var ips []string
		free := true
		for i := range n {
			ip := fmt.Sprintf("127.0.0.%d", 11+i)
			ips = append(ips, ip)
			for p := range 10 {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+p))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			return ips, base, nil
		}
	}
	return nil, 0, errors.New("no free ports")
}

// addDaemons writes the settings of n entry hosts and starts their daemons. extra
// are further lines of the settings.
func (d *deployment) addDaemons(n int, extra ...string) error {
	ips, base, err := freeAddresses(n)
	if err != nil {
		return err
	}
	for i, ip := range ips {
		x := &daemon{
			name:     fmt.Sprintf("frontend-north-%d", i+1),
			callers:  fmt.Sprintf("%s:%d", ip, base+4),
			ready:    fmt.Sprintf("%s:%d", ip, base+2),
			settings: filepath.Join(d.dir, fmt.Sprintf("settings-%d.conf", i+1)),
		}
		lines := append([]string{
			"nodeName=" + x.name, "role=entry", "machineClass=frontend", "serves=frontend", "ip=" + ip,
			fmt.Sprintf("zone=north-%c", 'a'+i%3), "region=north", "zones.north-a=north", "zones.north-b=north", "zones.north-c=north",
			"listenAddresses.frontend=" + x.callers, "listenAddresses.ready=" + x.ready,
			fmt.Sprintf("internalPorts=%d,%d", base+5, base+9), "bootstrap=true", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284",
			"limits.fileDescriptors=4100", "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=virtual_ip", "heartbeatMs=1500",
			"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
			"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.configApplyMs=2000", "bounds.recoveryS=12",
			"bounds.holdMaxMs=10000", "bounds.stopMs=200", "bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
			"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.noticeMs=4500", "bounds.migrationS=1.5", "bounds.maintenanceS=2",
			"bounds.fencingEnforced=false", "bounds.leaseMs=3000", "bounds.paceMs=100", "bounds.interferenceMs=4000", "orders=invocation",
			"platform.address=" + d.store.address(), "platform.form=log", "platform.writesPerS=600", "platform.readsPerS=2000", "platform.parts=16",
			"platform.recordBytes=262144", "platform.callBytes=2097152", "platform.keep_s=300",
			"cloud.address=" + d.cloud.Addr().String(), "cloud.ratePerS=64.0", "cloud.dutyPerS=64.0",
		}, extra...)
		if err := os.WriteFile(x.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		if x.log, err = os.Create(filepath.Join(d.dir, x.name+".log")); err != nil {
			return err
		}
		d.daemons = append(d.daemons, x)
		if err := d.startDaemon(x); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon runs the command of the deploy file.
func (d *deployment) startDaemon(x *daemon) error {
	x.cmd = exec.Command(d.binary, "fleet")
	x.cmd.Dir = d.root
	x.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GREENGAGEDECK_NODE_FILE=" + x.settings}
	x.cmd.Stdout, x.cmd.Stderr = x.log, x.log
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := x.cmd.Start(); err != nil {
		return err
	}
	x.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(x.cmd, x.exited)
	d.rec.event("%s starts", x.name)
	return nil
}

func (d *deployment) signal(x *daemon, s syscall.Signal) {
	d.rec.event("%s gets %v", x.name, s)
	_ = x.cmd.Process.Signal(s)
}

// stopAndStart does a planned restart: SIGTERM, SIGKILL after the grace period, and
// a new start. It returns at once.
func (d *deployment) stopAndStart(x *daemon) {
	exited := x.exited
	d.signal(x, syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(graceTime):
			d.signal(x, syscall.SIGKILL)
			<-exited
		}
		if err := d.startDaemon(x); err != nil {
			d.rec.event("%s does not start: %v", x.name, err)
		}
	}()
}

// storeDown has the store answer every call with status 503 for a time. meanwhile, if
// set, is called as soon as it is down.
func (d *deployment) storeDown(duration time.Duration, meanwhile func()) {
	d.rec.event("the store is down")
	d.store.down.Store(true)
	if meanwhile != nil {
		meanwhile()
	}
	time.Sleep(duration)
	d.store.down.Store(false)
	d.rec.event("the store is back")
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, x := range d.daemons {
		_ = x.cmd.Process.Signal(syscall.SIGCONT)
		_ = x.cmd.Process.Kill()
		<-x.exited
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			if data, err := os.ReadFile(x.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(x.log.Name())), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.dir)
}

// holder returns the daemon that last claimed a duty, as the store shows it.
func (d *deployment) holder(duty string) *daemon {
	value := d.store.value("duty", "0", duty)
	for _, x := range d.daemons {
		if bytes.Contains(value, []byte(x.name)) {
			return x
		}
	}
	return nil
}

// awaitReady waits until every daemon is ready and the pools have holders.
func (d *deployment) awaitReady(services ...string) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, x := range d.daemons {
			resp, err := d.client.Get("http://" + x.ready + "/v1/readiness")
			if err != nil {
				ready = false
				continue
			}
			_ = resp.Body.Close()
			ready = ready && resp.StatusCode == http.StatusOK
		}
		for _, s := range services {
			ready = ready && d.holder("pool/"+s) != nil
		}
		if ready {
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return errors.New("the daemons are not ready")
}

// call sends a client's request and returns the status, 0 without an answer.
func (d *deployment) call(x *daemon, method, path string, body any) (status int, answer []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+x.callers+path, reader)
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMs))
	resp, err := d.client.Do(req)
	if err == nil {
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	if err != nil {
		status = 0
	}
	d.rec.event("client: %s %s at %s -> %d %s", method, path, x.name, status, bytes.TrimSpace(answer))
	return status, answer
}

// submit hands a job in at one daemon after the other until it is accepted.
func (d *deployment) submit(first int, path string, body any) bool {
	for i := range 20 {
		status, _ := d.call(d.daemons[(first+i)%len(d.daemons)], http.MethodPost, path, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns the state of a job, "" if no daemon tells it.
func (d *deployment) state(path string) string {
	for _, x := range d.daemons {
		status, answer := d.call(x, http.MethodGet, path, nil)
		var a struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(answer, &a) == nil {
			return a.State
		}
	}
	return ""
}

// awaitState waits until a job is shown in a state.
func (d *deployment) awaitState(path, state string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if d.state(path) == state {
			return true
		}
	}
	return false
}

// step is a step of a job.
type step map[string]any

func jobBody(spec string, steps ...step) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

func jobID(prefix, n int) string { return fmt.Sprintf("%04x%012x", prefix, n+1) }
