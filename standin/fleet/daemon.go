package fleet

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"greengagedeck/internal/platform/httpplatform"
	"greengagedeck/standin/loadgen"
)

// StopTimeout is how long a process may take to exit after SIGTERM.
const StopTimeout = 30 * time.Second

// Daemon is the host of one daemon. Its addresses stay the same over all processes
// that are started on it.
type Daemon struct {
	Host          string
	Zone          string
	CallerAddress string
	AdminAddress  string
	PeerAddress   string

	fleet   *Fleet
	process *process
}

// LoadgenDaemon returns the URLs of the daemon for the load tool.
func (d *Daemon) LoadgenDaemon() loadgen.Daemon {
	return loadgen.Daemon{URL: "http://" + d.CallerAddress, ReadyURL: "http://" + d.AdminAddress + "/readyz"}
}

// HostListEntry returns the daemon's host as an entry of the platform's host list.
func (d *Daemon) HostListEntry() httpplatform.HostResponse {
	return httpplatform.HostResponse{ID: d.Host, Address: d.PeerAddress, Zone: d.Zone, Entry: true}
}

// Start runs a new process, which is a new incarnation of the daemon.
func (d *Daemon) Start() error {
	p, err := startProcess(d.LogFile(), filepath.Join(d.fleet.opts.Bin, "greengaged"), d.args()...)
	if err != nil {
		return fmt.Errorf("start %s: %w", d.Host, err)
	}
	d.process = p
	return nil
}

func (d *Daemon) args() []string {
	args := []string{
		"-host", d.Host,
		"-zone", d.Zone,
		"-caller-address", d.CallerAddress,
		"-admin-address", d.AdminAddress,
		"-peer-address", d.PeerAddress,
		"-platform-url", d.fleet.opts.PlatformURL,
		"-peers", strings.Join(d.fleet.peerAddresses(), ","),
	}
	return append(args, d.fleet.opts.DaemonArgs...)
}

// LogFile returns the path of the log file. All of the daemon's processes append to
// it.
func (d *Daemon) LogFile() string { return filepath.Join(d.fleet.opts.Dir, d.Host+".log") }

// Stop sends SIGTERM and waits for the process to exit.
func (d *Daemon) Stop() error {
	if err := d.process.stop(StopTimeout); err != nil {
		return fmt.Errorf("stop %s: %w", d.Host, err)
	}
	return nil
}

// Kill sends SIGKILL and waits for the process to exit.
func (d *Daemon) Kill() { d.process.kill() }

// Pause suspends the process with SIGSTOP.
func (d *Daemon) Pause() error { return d.process.signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (d *Daemon) Resume() error { return d.process.signal(syscall.SIGCONT) }

// exitError returns an error when the process has exited unexpectedly.
func (d *Daemon) exitError() error {
	return d.process.exitError(d.Host)
}

// Ready reports whether /readyz of the daemon returns 200.
func (d *Daemon) Ready() bool { return getOK("http://" + d.AdminAddress + "/readyz") }

// LogTail returns the end of the daemon's log.
func (d *Daemon) LogTail() string { return fileTail(d.LogFile()) }

// PID returns the process ID of the daemon's current process.
func (d *Daemon) PID() int { return d.process.cmd.Process.Pid }
