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

// StopTimeout is how long a daemon may take to end after SIGTERM.
const StopTimeout = 30 * time.Second

// Daemon is one daemon's host: its addresses stay, its processes come and go.
type Daemon struct {
	Host   string
	Zone   string
	Caller string
	Admin  string
	Peer   string

	fleet   *Fleet
	process *process
}

// Load returns the daemon as the load tool sees it.
func (d *Daemon) Load() loadgen.Daemon {
	return loadgen.Daemon{URL: "http://" + d.Caller, ReadyURL: "http://" + d.Admin + "/readyz"}
}

// Listed returns the daemon's host as the platform lists it.
func (d *Daemon) Listed() httpplatform.HostResponse {
	return httpplatform.HostResponse{ID: d.Host, Address: d.Peer, Zone: d.Zone, Entry: true}
}

// Start runs a new process, which is a new incarnation.
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
		"-caller-address", d.Caller,
		"-admin-address", d.Admin,
		"-peer-address", d.Peer,
		"-platform-url", d.fleet.opts.PlatformURL,
		"-peers", strings.Join(d.fleet.peers(), ","),
	}
	return append(args, d.fleet.opts.DaemonArgs...)
}

// LogFile is where the output of the daemon's processes goes.
func (d *Daemon) LogFile() string { return filepath.Join(d.fleet.opts.Dir, d.Host+".log") }

// Stop ends the process gracefully.
func (d *Daemon) Stop() error {
	if err := d.process.stop(StopTimeout); err != nil {
		return fmt.Errorf("stop %s: %w", d.Host, err)
	}
	return nil
}

// Kill ends the process at once.
func (d *Daemon) Kill() { d.process.kill() }

// Pause stops the process without ending it, Resume lets it go on.
func (d *Daemon) Pause() error  { return d.process.signal(syscall.SIGSTOP) }
func (d *Daemon) Resume() error { return d.process.signal(syscall.SIGCONT) }

// ended returns an error when the process has ended by itself.
func (d *Daemon) ended() error {
	return d.process.ended(d.Host)
}

// Ready reports whether the daemon says that it is ready.
func (d *Daemon) Ready() bool { return getOK("http://" + d.Admin + "/readyz") }

// Tail returns the end of the daemon's log.
func (d *Daemon) Tail() string { return tail(d.LogFile()) }

// PID returns the process ID of the daemon's current process.
func (d *Daemon) PID() int { return d.process.cmd.Process.Pid }
