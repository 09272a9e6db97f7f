package fleet

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

	"greengagedeck/standin/loadgen"
)

const (
	pollInterval = 20 * time.Millisecond
	httpTimeout  = 5 * time.Second
	// Ports are chosen below the range of the kernel for outgoing connections.
	// Otherwise such a connection could take a port while it has no listener.
	lowestPort   = 10_000
	highestPort  = 32_000
	portAttempts = 1000
)

var client = &http.Client{Timeout: httpTimeout}

// Site is the host and zone of one daemon, without addresses.
type Site struct {
	Host string
	Zone string
}

// Options configures a Fleet.
type Options struct {
	// Bin is the directory of the programs greengaged and greengagectl.
	Bin string
	// Dir is the directory of the log files.
	Dir string
	// PlatformURL is the platform's base URL.
	PlatformURL string
	Sites       []Site
	// DaemonArgs are appended to the command line of every daemon.
	DaemonArgs []string
}

// Fleet is a set of daemons that run as processes.
type Fleet struct {
	Daemons []*Daemon
	opts    Options
}

// New assigns addresses to every daemon. It starts no process.
func New(opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts}
	ports, err := FreePorts(3 * len(opts.Sites))
	if err != nil {
		return nil, err
	}
	for i, s := range opts.Sites {
		_ = os.Remove(filepath.Join(opts.Dir, s.Host+".log"))
		f.Daemons = append(f.Daemons, &Daemon{
			Host:          s.Host,
			Zone:          s.Zone,
			CallerAddress: ports[3*i],
			AdminAddress:  ports[3*i+1],
			PeerAddress:   ports[3*i+2],
			fleet:         f,
		})
	}
	return f, nil
}

// allocated holds the ports that FreePorts and FreePortRange have returned. Most have
// no listener yet, or temporarily none, when further ports are chosen, so a dial alone
// does not show that they are in use.
var allocated = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// FreePorts returns n loopback addresses that nothing listens on. It never returns
// the same address twice in one process.
func FreePorts(n int) ([]string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	var out []string
	for range portAttempts {
		if len(out) == n {
			return out, nil
		}
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if allocated.ports[port] || !AddressFree(address) {
			continue
		}
		allocated.ports[port] = true
		out = append(out, address)
	}
	return nil, errors.New("no free ports")
}

// FreePortRange returns the first of n consecutive ports that nothing listens on.
func FreePortRange(n int) (first int, err error) {
	allocated.Lock()
	defer allocated.Unlock()
	for range portAttempts {
		first := lowestPort + rand.IntN(highestPort-lowestPort-n)
		if !portRangeFree(first, n) {
			continue
		}
		for p := first; p < first+n; p++ {
			allocated.ports[p] = true
		}
		return first, nil
	}
	return 0, errors.New("no free ports in a row")
}

func portRangeFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		if allocated.ports[p] || !AddressFree(fmt.Sprintf("127.0.0.1:%d", p)) {
			return false
		}
	}
	return true
}

// AddressFree reports whether nothing listens on an address. It dials instead of
// listening, because a listener could block another process that binds the address
// at that moment.
func AddressFree(address string) bool {
	c, err := net.Dial("tcp", address)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (f *Fleet) peerAddresses() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.PeerAddress)
	}
	return out
}

// Start starts every daemon.
func (f *Fleet) Start() error {
	for _, d := range f.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all daemons gracefully and in parallel.
func (f *Fleet) Stop() error {
	errs := make([]error, len(f.Daemons))
	var wg sync.WaitGroup
	for i, d := range f.Daemons {
		if d.process == nil {
			continue
		}
		wg.Go(func() {
			_ = d.Resume()
			errs[i] = d.Stop()
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// LoadgenDaemons returns the URLs of all daemons for the load tool.
func (f *Fleet) LoadgenDaemons() []loadgen.Daemon {
	var out []loadgen.Daemon
	for _, d := range f.Daemons {
		out = append(out, d.LoadgenDaemon())
	}
	return out
}

// WaitReady waits until every daemon is ready.
func (f *Fleet) WaitReady(timeout time.Duration) error {
	return Poll(timeout, func() error {
		for _, d := range f.Daemons {
			if err := d.exitError(); err != nil {
				return err
			}
			if !d.Ready() {
				return fmt.Errorf("%s is not ready\n%s", d.Host, d.LogTail())
			}
		}
		return nil
	})
}

// RunCtl runs greengagectl against the given daemons in their order, or against all
// of them when none are given.
func (f *Fleet) RunCtl(daemons []*Daemon, args ...string) ([]byte, error) {
	if len(daemons) == 0 {
		daemons = f.Daemons
	}
	var servers []string
	for _, d := range daemons {
		servers = append(servers, "http://"+d.AdminAddress)
	}
	cmd := exec.Command(filepath.Join(f.opts.Bin, "greengagectl"), args...)
	cmd.Env = append(os.Environ(), "GREENGAGECTL_SERVER="+strings.Join(servers, ","))
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return stdout.Bytes(), &CtlError{Args: args, Message: stderr.String(), Err: err}
	}
	return stdout.Bytes(), nil
}

// CtlError is a failed run of greengagectl.
type CtlError struct {
	Args    []string
	Message string
	Err     error
}

// Error implements error.
func (e *CtlError) Error() string {
	return fmt.Sprintf("greengagectl %s: %v: %s", strings.Join(e.Args, " "), e.Err, e.Message)
}

// ExitCode returns the exit code, or -1 when the program could not be run.
func (e *CtlError) ExitCode() int {
	var exit *exec.ExitError
	if errors.As(e.Err, &exit) {
		return exit.ExitCode()
	}
	return -1
}

// Edit is the output of greengagectl for an applied catalogue.
type Edit struct {
	ID      string   `json:"id"`
	Version uint64   `json:"version"`
	Changed []string `json:"changed"`
}

// Apply applies a catalogue file through greengagectl.
func (f *Fleet) Apply(daemons []*Daemon, file string, flags ...string) (Edit, error) {
	args := append([]string{"catalogue", "apply", "-o", "json"}, flags...)
	out, err := f.RunCtl(daemons, append(args, file)...)
	if err != nil {
		return Edit{}, err
	}
	var e Edit
	return e, json.Unmarshal(out, &e)
}

// Poll calls check until it returns nil, a process has exited unexpectedly, or the
// timeout has passed.
func Poll(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		var exited *ProcessExitedError
		if err == nil || errors.As(err, &exited) {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s: %w", timeout, err)
		}
		time.Sleep(pollInterval)
	}
}

func getOK(url string) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// GetJSON decodes the JSON response to a GET request into v.
func GetJSON(url string, v any) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	return readJSON(resp, v)
}

// PutJSON sends body as JSON, as the stand-ins' switches expect it.
func PutJSON(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	return readJSON(resp, nil)
}

func readJSON(resp *http.Response, v any) error {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", resp.Request.URL, resp.Status, data)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(data, v)
}
