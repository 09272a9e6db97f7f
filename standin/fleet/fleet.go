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
	pollEvery   = 20 * time.Millisecond
	httpTimeout = 5 * time.Second
	// Ports are taken below the kernel's range for outgoing connections, so
	// that none of those can take a port that is free for a while.
	lowestPort  = 10_000
	highestPort = 32_000
	portTries   = 1000
)

var client = &http.Client{Timeout: httpTimeout}

// Site is one daemon's place, before it has addresses.
type Site struct {
	Host string
	Zone string
}

// Options configures a Fleet.
type Options struct {
	// Bin holds the programs greengaged and greengagectl.
	Bin string
	// Dir takes the logs.
	Dir string
	// PlatformURL is the platform's base URL.
	PlatformURL string
	Sites       []Site
	// DaemonArgs are added to every daemon's flags.
	DaemonArgs []string
}

// Fleet is a set of daemons.
type Fleet struct {
	Daemons []*Daemon
	opts    Options
}

// New gives every daemon its addresses. Nothing runs yet.
func New(opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts}
	ports, err := FreePorts(3 * len(opts.Sites))
	if err != nil {
		return nil, err
	}
	for i, s := range opts.Sites {
		_ = os.Remove(filepath.Join(opts.Dir, s.Host+".log"))
		f.Daemons = append(f.Daemons, &Daemon{
			Host:   s.Host,
			Zone:   s.Zone,
			Caller: ports[3*i],
			Admin:  ports[3*i+1],
			Peer:   ports[3*i+2],
			fleet:  f,
		})
	}
	return f, nil
}

// given holds the ports that FreePorts has returned. Most are not listened on
// yet, or for a while, when the next are looked for.
var given = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// FreePorts returns n loopback addresses that nothing listens on. It returns
// none of them again in this process.
func FreePorts(n int) ([]string, error) {
	given.Lock()
	defer given.Unlock()
	var out []string
	for range portTries {
		if len(out) == n {
			return out, nil
		}
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if given.ports[port] || !Free(address) {
			continue
		}
		given.ports[port] = true
		out = append(out, address)
	}
	return nil, errors.New("no free ports")
}

// FreeRange returns the first of n ports in a row that nothing listens on.
func FreeRange(n int) (first int, err error) {
	given.Lock()
	defer given.Unlock()
	for range portTries {
		first := lowestPort + rand.IntN(highestPort-lowestPort-n)
		if !rangeFree(first, n) {
			continue
		}
		for p := first; p < first+n; p++ {
			given.ports[p] = true
		}
		return first, nil
	}
	return 0, errors.New("no free ports in a row")
}

func rangeFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		if given.ports[p] || !Free(fmt.Sprintf("127.0.0.1:%d", p)) {
			return false
		}
	}
	return true
}

// Free reports whether nothing listens on an address. It does not listen there
// itself: another process might want to at that moment.
func Free(address string) bool {
	c, err := net.Dial("tcp", address)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (f *Fleet) peers() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.Peer)
	}
	return out
}

// Start runs every daemon.
func (f *Fleet) Start() error {
	for _, d := range f.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends every daemon gracefully, all at once.
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

// Loads returns the daemons as the load tool sees them.
func (f *Fleet) Loads() []loadgen.Daemon {
	var out []loadgen.Daemon
	for _, d := range f.Daemons {
		out = append(out, d.Load())
	}
	return out
}

// WaitReady waits until every daemon is ready.
func (f *Fleet) WaitReady(timeout time.Duration) error {
	return Poll(timeout, func() error {
		for _, d := range f.Daemons {
			if err := d.ended(); err != nil {
				return err
			}
			if !d.Ready() {
				return fmt.Errorf("%s is not ready\n%s", d.Host, d.Tail())
			}
		}
		return nil
	})
}

// Control runs the operators' command line. It calls the daemons given, or
// all of them, in order.
func (f *Fleet) Control(daemons []*Daemon, args ...string) ([]byte, error) {
	if len(daemons) == 0 {
		daemons = f.Daemons
	}
	var servers []string
	for _, d := range daemons {
		servers = append(servers, "http://"+d.Admin)
	}
	cmd := exec.Command(filepath.Join(f.opts.Bin, "greengagectl"), args...)
	cmd.Env = append(os.Environ(), "GREENGAGECTL_SERVER="+strings.Join(servers, ","))
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return stdout.Bytes(), &ControlError{Args: args, Message: stderr.String(), Err: err}
	}
	return stdout.Bytes(), nil
}

// ControlError is a failed run of the operators' command line.
type ControlError struct {
	Args    []string
	Message string
	Err     error
}

// Error implements error.
func (e *ControlError) Error() string {
	return fmt.Sprintf("greengagectl %s: %v: %s", strings.Join(e.Args, " "), e.Err, e.Message)
}

// ExitCode returns the exit code, or -1 when the program did not run.
func (e *ControlError) ExitCode() int {
	var exit *exec.ExitError
	if errors.As(e.Err, &exit) {
		return exit.ExitCode()
	}
	return -1
}

// Edit is the answer to an applied catalogue.
type Edit struct {
	ID      string   `json:"id"`
	Version uint64   `json:"version"`
	Changed []string `json:"changed"`
}

// Apply puts a catalogue file in force.
func (f *Fleet) Apply(daemons []*Daemon, file string, flags ...string) (Edit, error) {
	args := append([]string{"catalogue", "apply", "-o", "json"}, flags...)
	out, err := f.Control(daemons, append(args, file)...)
	if err != nil {
		return Edit{}, err
	}
	var e Edit
	return e, json.Unmarshal(out, &e)
}

// Poll calls check until it returns nil, a process has ended, or the timeout
// has passed.
func Poll(timeout time.Duration, check func() error) error {
	end := time.Now().Add(timeout)
	for {
		err := check()
		var ended *EndedError
		if err == nil || errors.As(err, &ended) {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %s: %w", timeout, err)
		}
		time.Sleep(pollEvery)
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

// GetJSON reads a JSON answer into v.
func GetJSON(url string, v any) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	return readJSON(resp, v)
}

// PutJSON sends body as JSON, which is how the stand-ins' switches are set.
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
