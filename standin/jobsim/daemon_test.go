package jobsim

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"greengagedeck/standin/fleet"
)

var daemonBinary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "greengagedeck-jobs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonBinary = filepath.Join(dir, "greengaged")
	cmd := exec.Command("go", "build", "-o", daemonBinary, "./cmd/greengaged")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	return m.Run()
}

// coreShare is the share of a core that a host is said to have: so little that the orders
// for most workers go through other daemons.
const coreShare = 0.0125

// daemon is an entry host with its settings file and its current process.
type daemon struct {
	name          string
	callerAddress string
	adminAddress  string
	settingsFile  string
	logFile       string
	cmd           *exec.Cmd
	// starts counts the processes that were started.
	starts int
}

// newDaemon picks free ports for an entry host and writes its settings file. Workers allow leases of
// at most allowedLease.
func newDaemon(dir, name, store string, allowedLease time.Duration) (*daemon, error) {
	firstPort, err := fleet.FreePortRange(4)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		name:          name,
		callerAddress: fmt.Sprintf("127.0.0.1:%d", firstPort),
		adminAddress:  fmt.Sprintf("127.0.0.1:%d", firstPort+3),
		settingsFile:  filepath.Join(dir, name+".conf"),
		logFile:       filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf("nodeName=%s\nzone=a\nlistenAddresses.frontend=%s\nlistenAddresses.ready=127.0.0.1:%d\ninternalPorts=%d,%d\n"+
		"platform.address=%s\nplatform.recordBytes=%d\ncloud.address=%s\nbounds.holdMaxMs=%d\nbounds.graceS=%g\nlimits.cores=1\nlimits.cpuShare=%g\nlimits.linkMbps=1000\n",
		name, d.callerAddress, firstPort+1, firstPort+2, firstPort+3, store, storeLimits.RecordBytes, store, allowedLease.Milliseconds(), daemonGrace.Seconds(), coreShare)
	return d, os.WriteFile(d.settingsFile, []byte(text), 0o600)
}

// start runs the daemon. The kernel kills it when this process dies.
func (d *daemon) start() error {
	logFile, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	d.cmd = exec.Command(daemonBinary, "fleet", "-settings-file", d.settingsFile)
	d.cmd.Stdout, d.cmd.Stderr = logFile, logFile
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.starts++
	return d.cmd.Start()
}

// awaitMain waits until the process that was started last takes signals: before main each has
// its default effect.
func (d *daemon) awaitMain() {
	for end := time.Now().Add(firstAcceptance); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if data, err := os.ReadFile(d.logFile); err == nil && bytes.Count(data, []byte(`"message":"starting"`)) >= d.starts {
			return
		}
	}
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// logText returns a line of the daemon's log that holds some text, or "" if none does.
func (d *daemon) logText(text string) (string, error) {
	data, err := os.ReadFile(d.logFile)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			return line, nil
		}
	}
	return "", nil
}

// kill sends SIGKILL and waits for the process to exit.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	_ = d.cmd.Wait()
}
