// Command _harness3 plays the scripts of the review's cases: a small deployment of the
// project's daemons as separate processes, with stand-ins of store, cloud, workers and clients
// in this one. It writes what was sent, answered and run to a file, and exits with 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
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

	"greengagedeck/internal/logstore"
	"greengagedeck/standin/jobsim"
)

// record is what is written to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// daemons is how many daemons a case starts.
var daemons = 3

const (
	queueHost = "pule25.example"
	queuePath = "/puxa400/"
)

// deployment is what a case runs against.
type deployment struct {
	rec   *record
	dir   string
	store *jobsim.Store
	// proxy stands before the store, if the case needs it.
	proxy   *storeProxy
	cloud   *cloud
	workers []*worker
	clients []string
	procs   []*exec.Cmd
	trouble bool
}

func main() { os.Exit(run1()) }

func run1() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "greengagedeck-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &deployment{rec: &record{start: time.Now(), out: out}, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	d.rec.add("case %s, with its disruption: %v", os.Args[1], d.trouble)
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	broken, err := play(d)
	d.stop()
	switch {
	case err != nil:
		d.rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case broken != "":
		d.rec.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	d.rec.add("the rule held")
	fmt.Println("held")
	return 0
}

// prepare starts store and cloud.
func (d *deployment) prepare() (err error) {
	if d.store, err = jobsim.StartStore(jobsim.IdleTimeouts{}); err != nil {
		return err
	}
	limits := logstore.Limits{RecordBytes: 262144, AppendBytes: 2097152}
	d.store.Log.SetLimits(limits, limits)
	d.cloud, err = newCloud(d.rec)
	return err
}

// addWorkers starts workers of a pool.
func (d *deployment) addWorkers(pool string, n int) error {
	for range n {
		i := len(d.workers)
		w, err := newWorker(fmt.Sprintf("m%d", i), fmt.Sprintf("r%d", i/4), pool, d.store, d.rec)
		if err != nil {
			return err
		}
		d.workers = append(d.workers, w)
		d.cloud.mu.Lock()
		d.cloud.machines = append(d.cloud.machines, w)
		d.cloud.mu.Unlock()
	}
	return nil
}

// freePorts returns the first of n ports in a row that are free.
func freePorts(n int) (int, error) {
	for first := 21000 + rand.IntN(11000); first < 60000; first += n {
		free := true
		for p := first; p < first+n && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// startDaemons starts the project's daemons with the command of the deploy file.
func (d *deployment) startDaemons() error {
	first, err := freePorts(8 * daemons)
	if err != nil {
		return err
	}
	for i := range daemons {
		p := first + 8*i
		name := fmt.Sprintf("frontend-a-%d", i)
		lines := []string{
			"nodeName=" + name, "role=entry", "machineClass=frontend", "serves=frontend", "ip=127.0.0.1", "zone=a", "region=r", "zones.a=r",
			fmt.Sprintf("listenAddresses.frontend=127.0.0.1:%d", p), fmt.Sprintf("listenAddresses.ready=127.0.0.1:%d", p+1),
			fmt.Sprintf("internalPorts=%d,%d", p+2, p+7), "bootstrap=true",
			"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.fileDescriptors=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
			"discovery=platform", "entry=virtual_ip", fmt.Sprintf("heartbeatMs=%d", heartbeatMs),
			"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
			"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.configApplyMs=2000",
			"bounds.recoveryS=12", fmt.Sprintf("bounds.holdMaxMs=%d", maxLease.Milliseconds()), "bounds.stopMs=200", "bounds.gangTimeoutMs=3000",
			"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
			"bounds.remoteFactor=1.5", "bounds.checkpointS=2", "bounds.restoreMs=250", "bounds.noticeMs=4500", "bounds.migrationS=1.5",
			"bounds.maintenanceS=2", "bounds.fencingEnforced=false", "bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.paceMs=100",
			"bounds.interferenceMs=4000", "orders=invocation", "platform.address=" + d.storeAddress(), "platform.form=log",
			"platform.writesPerS=600", "platform.readsPerS=2000", "platform.parts=16", "platform.appendMs=3.0",
			"platform.recordBytes=262144", "platform.callBytes=2097152", "platform.keep_s=20", "platform.partitionMb=200", "platform.ttlMinMs=1000",
			"cloud.address=" + d.cloud.address(), "cloud.ratePerS=64.0", "cloud.dutyPerS=64.0",
		}
		file := filepath.Join(d.dir, name+".conf")
		if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(d.dir, name+".log"))
		if err != nil {
			return err
		}
		cmd := exec.Command("target/greengaged", "fleet")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GREENGAGEDECK_NODE_FILE=" + file}
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return err
		}
		_ = log.Close()
		d.procs = append(d.procs, cmd)
		d.clients = append(d.clients, fmt.Sprintf("127.0.0.1:%d", p))
	}
	return nil
}

// storeAddress returns the address at which the daemons reach the store.
func (d *deployment) storeAddress() string {
	if d.proxy != nil {
		return d.proxy.listener.Addr().String()
	}
	return d.store.Address()
}

// stop ends the daemons that were started.
func (d *deployment) stop() {
	for _, p := range d.procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(d.dir))
	}
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends one request of a client to one daemon. The status is 0 if there was no answer.
func (d *deployment) call(daemon int, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+d.clients[daemon]+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data := make([]byte, 4096)
	n, _ := resp.Body.Read(data)
	return resp.StatusCode, string(data[:n])
}

// submit hands a job in, again at other daemons while there is no final answer.
func (d *deployment) submit(id, body string) error {
	for end, i := time.Now().Add(12*time.Second), 0; time.Now().Before(end); i++ {
		status, text := d.call(i%daemons, http.MethodPost, queuePath+id, body)
		d.rec.add("POST %s at daemon %d: %d %s", id, i%daemons, status, text)
		if status == 200 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// await waits until a condition holds.
func await(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("waited %v for: %s", limit, what)
}
