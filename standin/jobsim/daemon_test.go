package jobsim

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"greengagedeck/standin/fleet"
)

var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "greengagedeck-jobs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "greengaged")
	cmd := exec.Command("go", "build", "-o", program, "./cmd/greengaged")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	return m.Run()
}

// daemon is an entry host: its settings, and the process that runs there.
type daemon struct {
	name     string
	callers  string
	settings string
	logFile  string
	cmd      *exec.Cmd
}

// newDaemon writes the settings of an entry host.
func newDaemon(dir, name, store string) (*daemon, error) {
	first, err := fleet.FreePortRange(4)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		name:     name,
		callers:  fmt.Sprintf("127.0.0.1:%d", first),
		settings: filepath.Join(dir, name+".conf"),
		logFile:  filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf("nodeName=%s\nzone=a\nlistenAddresses.frontend=%s\nlistenAddresses.ready=127.0.0.1:%d\ninternalPorts=%d,%d\n"+
		"platform.address=%s\ncloud.address=%s\nbounds.holdMaxMs=%d\nbounds.graceS=3\n",
		name, d.callers, first+1, first+2, first+3, store, store, maxLease.Milliseconds())
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// start runs the daemon. It dies with this process.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	d.cmd = exec.Command(program, "fleet", "-settings-file", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d.cmd.Start()
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// kill ends the process at once.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	_ = d.cmd.Wait()
}
