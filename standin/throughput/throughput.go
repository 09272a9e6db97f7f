// Package throughput measures how many requests per second a daemon forwards,
// compared with a plain forwarder in the same run.
package throughput

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/request"
	"greengagedeck/standin/fleet"
)

// Options configures a run.
type Options struct {
	// Bin is the directory of the programs, Dir the directory for logs and other
	// files.
	Bin, Dir string
	// Procs is the GOMAXPROCS of the daemon and of the forwarder. The limit
	// makes them, and not the load generator, the bottleneck.
	Procs int
	// Connections is the number of concurrent requests.
	Connections int
	// Rounds is how often the forwarder and the daemon are measured, in turns,
	// each time for Period.
	Rounds int
	Period time.Duration
	Out    io.Writer
}

const (
	hosts        = 4
	slotsPerHost = 1024
	zone         = "a"
	startTimeout = 30 * time.Second
	bodyBytes    = 256
)

// Run measures the forwarder and the daemon and prints their requests per second
// and the ratio.
func Run(opt Options) error {
	if err := os.Setenv("GOMAXPROCS", fmt.Sprint(opt.Procs)); err != nil {
		return err
	}
	addresses, err := startTargets()
	if err != nil {
		return err
	}
	ports, err := fleet.FreePorts(2)
	if err != nil {
		return err
	}
	stop, err := startForwarder(opt.Bin, ports[0], addresses)
	if err != nil {
		return err
	}
	defer stop()
	f, stopFleet, err := startDaemon(opt, ports[1], addresses)
	if err != nil {
		return err
	}
	defer stopFleet()
	return compare(opt, "http://"+ports[0]+"/x", "http://"+f.Daemons[0].CallerAddress+"/v1/entries/echo/x")
}

// startTargets starts targets in this process that answer immediately, and
// returns their addresses.
func startTargets() ([]string, error) {
	body := make([]byte, bodyBytes)
	handler := func(ctx *fasthttp.RequestCtx) { ctx.SetBody(body) }
	var out []string
	for range hosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go func() { _ = fasthttp.Serve(ln, handler) }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

func startForwarder(bin, listen string, targets []string) (stop func(), err error) {
	cmd := exec.Command(filepath.Join(bin, "forwarder"), "-listen", listen, "-targets", strings.Join(targets, ","))
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}, nil
}

func startDaemon(opt Options, platform string, targets []string) (*fleet.Fleet, func(), error) {
	file := filepath.Join(opt.Dir, "catalogue.yaml")
	empty := filepath.Join(opt.Dir, "no-hosts.yaml")
	if err := writeDocument(file, document(targets)); err != nil {
		return nil, nil, err
	}
	if err := writeDocument(empty, catalogue.Document{}); err != nil {
		return nil, nil, err
	}
	f, err := fleet.New(fleet.Options{
		Bin: opt.Bin, Dir: opt.Dir, PlatformURL: "http://" + platform,
		Sites: []fleet.Site{{Host: "gw-1", Zone: zone}},
	})
	if err != nil {
		return nil, nil, err
	}
	sim, err := fleet.StartStandin(opt.Bin, opt.Dir, platform, empty, f)
	if err != nil {
		return nil, nil, err
	}
	stop := func() {
		_ = f.Stop()
		sim.Stop()
	}
	if err := start(f, file); err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}

func start(f *fleet.Fleet, file string) error {
	if err := f.Start(); err != nil {
		return err
	}
	if err := f.WaitReady(startTimeout); err != nil {
		return err
	}
	e, err := f.Apply(nil, file)
	if err != nil {
		return err
	}
	return f.WaitCatalogueVersion(e.Version, startTimeout)
}

func writeDocument(file string, doc catalogue.Document) error {
	data, err := yaml.Marshal(doc)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

func document(targets []string) catalogue.Document {
	d := catalogue.Document{
		Teams: []catalogue.Team{{Name: "load"}},
		Pools: []catalogue.Pool{{
			Name: "echo", Owner: "load", SlotsPerHost: slotsPerHost, ConnectionsPerHost: slotsPerHost, LongShare: 0.5,
		}},
		Entries: []catalogue.Entry{{
			Name: "echo", Owner: "load", Pool: "echo", Class: request.ClassShort, Idempotent: true,
			Limits: catalogue.Limits{Queue: slotsPerHost, Deadline: 10 * time.Second},
		}},
	}
	for i, t := range targets {
		d.Hosts = append(d.Hosts, catalogue.Host{
			Name: fmt.Sprintf("w-%d", i), Address: t, Zone: zone, Rack: "r", Pool: "echo",
		})
	}
	return d
}

// compare measures the forwarder and the daemon in turns and prints every round
// and the median ratio.
func compare(opt Options, forwarder, daemon string) error {
	fmt.Fprintf(opt.Out, "%d connections, %d processors each, %s a round\n", opt.Connections, opt.Procs, opt.Period)
	fmt.Fprintf(opt.Out, "%6s %14s %14s %8s\n", "round", "forwarder /s", "daemon /s", "ratio")
	var ratios []float64
	for i := range opt.Rounds {
		base, err := measureRate(opt, forwarder)
		if err != nil {
			return fmt.Errorf("forwarder: %w", err)
		}
		got, err := measureRate(opt, daemon)
		if err != nil {
			return fmt.Errorf("daemon: %w", err)
		}
		ratios = append(ratios, got/base)
		fmt.Fprintf(opt.Out, "%6d %14.0f %14.0f %8.2f\n", i+1, base, got, got/base)
	}
	slices.Sort(ratios)
	fmt.Fprintf(opt.Out, "median ratio %.2f\n", ratios[len(ratios)/2])
	return nil
}

// measureRate sends requests over all connections, each as soon as the previous
// one is answered, and returns the answers per second.
func measureRate(opt Options, url string) (float64, error) {
	client := &fasthttp.Client{MaxConnsPerHost: opt.Connections}
	defer client.CloseIdleConnections()
	var answers, failures atomic.Int64
	end := time.Now().Add(opt.Period)
	began := time.Now()
	var wg sync.WaitGroup
	for range opt.Connections {
		wg.Go(func() {
			for time.Now().Before(end) {
				if sendOne(client, url) {
					answers.Add(1)
				} else {
					failures.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if failures.Load() > 0 {
		return 0, fmt.Errorf("%d of %d requests failed", failures.Load(), answers.Load()+failures.Load())
	}
	return float64(answers.Load()) / time.Since(began).Seconds(), nil
}

func sendOne(client *fasthttp.Client, url string) bool {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	err := client.DoTimeout(req, resp, startTimeout)
	return err == nil && resp.StatusCode() == fasthttp.StatusOK
}
