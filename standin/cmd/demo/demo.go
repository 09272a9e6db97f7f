package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/request"
	"greengagedeck/standin/deployment"
	"greengagedeck/standin/fleet"
	"greengagedeck/standin/loadgen"
)

const (
	readyTimeout = 20 * time.Second
	// rolloutLimit is the time within which an accepted catalogue must be in
	// force on all daemons, leavingLimit the time after which a leaving host
	// must not get new work.
	rolloutLimit = 5 * time.Second
	leavingLimit = 5 * time.Second
	// replaceAfter and drainAfter are times since the start of the mixed load.
	replaceAfter = 2 * time.Second
	drainAfter   = 4 * time.Second
)

// The demand for each entry of a class.
const (
	shortRate    = 40
	shortService = 20 * time.Millisecond
	longRate     = 4
	longService  = 1500 * time.Millisecond
	burstPeriod  = 6 * time.Second
	bodyBytes    = 512
)

// daemonsPerZone is the number of entry hosts in each zone of a deployment, with
// the zones in order of name.
var daemonsPerZone = map[string][]int{
	"kumot":    {2, 2, 2, 2},
	"ruedasol": {3, 2, 2},
}

type settings struct {
	deployment string
	bin        string
	examples   string
	logs       string
	seed       uint64
	shortOnly  time.Duration
	mixed      time.Duration
}

// demo is one run of the demonstration.
type demo struct {
	settings settings
	file     string
	doc      catalogue.Document
	standin  *fleet.Standin
	fleet    *fleet.Fleet
	report   report
}

func newDemo(s settings) (*demo, error) {
	d := &demo{settings: s, file: filepath.Join(s.examples, s.deployment+".yaml")}
	data, err := os.ReadFile(d.file)
	if err != nil {
		return nil, err
	}
	if d.doc, err = catalogue.Load(d.file, data); err != nil {
		return nil, err
	}
	if err := d.reassignHostAddresses(); err != nil {
		return nil, err
	}
	ports, err := fleet.FreePorts(1)
	if err != nil {
		return nil, err
	}
	d.fleet, err = fleet.New(fleet.Options{
		Bin: s.bin, Dir: s.logs, PlatformURL: "http://" + ports[0], Sites: d.sites(),
	})
	if err != nil {
		return nil, err
	}
	d.standin, err = fleet.StartStandin(s.bin, s.logs, ports[0], d.file, d.fleet)
	return d, err
}

// reassignHostAddresses gives the workers other addresses if any of theirs is in
// use, so that two demonstrations can run at the same time.
func (d *demo) reassignHostAddresses() error {
	free := true
	for _, h := range d.doc.Hosts {
		free = free && fleet.AddressFree(h.Address)
	}
	if free {
		return nil
	}
	ports, err := fleet.FreePorts(len(d.doc.Hosts))
	if err != nil {
		return err
	}
	for i := range d.doc.Hosts {
		d.doc.Hosts[i].Address = ports[i]
	}
	data, err := yaml.Marshal(d.doc)
	if err != nil {
		return err
	}
	d.file = filepath.Join(d.settings.logs, d.settings.deployment+".yaml")
	fmt.Println("workers' addresses are in use, using the addresses in", d.file)
	return os.WriteFile(d.file, data, 0o600)
}

// sites returns the entry hosts of the deployment.
func (d *demo) sites() []fleet.Site {
	var zones []string
	for _, h := range d.doc.Hosts {
		if !slices.Contains(zones, h.Zone) {
			zones = append(zones, h.Zone)
		}
	}
	slices.Sort(zones)
	var out []fleet.Site
	for i, n := range daemonsPerZone[d.settings.deployment] {
		for k := range n {
			out = append(out, fleet.Site{Host: fmt.Sprintf("%s-gw%d", zones[i], k+1), Zone: zones[i]})
		}
	}
	return out
}

func (d *demo) run(ctx context.Context) error {
	if err := d.fleet.Start(); err != nil {
		return err
	}
	if err := d.apply(); err != nil {
		return err
	}
	if err := d.fleet.WaitReady(readyTimeout); err != nil {
		return err
	}
	before, err := d.pools()
	if err != nil {
		return err
	}
	if d.report.shortOnly, err = d.load(ctx, d.settings.shortOnly, false); err != nil {
		return err
	}
	var work sync.WaitGroup
	var replaceErr, drainErr error
	work.Go(func() { replaceErr = d.replace(ctx) })
	work.Go(func() { drainErr = d.drain(ctx) })
	d.report.mixed, err = d.load(ctx, d.settings.mixed, true)
	work.Wait()
	if err = errors.Join(err, replaceErr, drainErr); err != nil {
		return err
	}
	after, err := d.pools()
	if err != nil {
		return err
	}
	for name, pool := range after {
		if before[name] != pool {
			d.report.moves++
		}
	}
	return d.evaluate()
}

// pools returns the pool of every worker.
func (d *demo) pools() (map[string]string, error) {
	hosts, err := d.fleet.Daemons[0].Hosts()
	out := make(map[string]string, len(hosts))
	for _, h := range hosts {
		out[h.Name] = h.Pool
	}
	return out, err
}

// apply applies the catalogue and measures the time until it is in force on all
// daemons.
func (d *demo) apply() error {
	if err := d.fleet.WaitAlive(readyTimeout); err != nil {
		return err
	}
	start := time.Now()
	edit, err := d.fleet.Apply(nil, d.file)
	if err != nil {
		return err
	}
	err = d.fleet.WaitCatalogueVersion(edit.Version, readyTimeout)
	d.report.rolloutTime = time.Since(start)
	return err
}

func (d *demo) load(ctx context.Context, length time.Duration, long bool) (loadgen.Summary, error) {
	return loadgen.Run(ctx, loadgen.Options{
		Seed:     d.settings.seed,
		Duration: length,
		Daemons:  d.fleet.LoadgenDaemons(),
		Entries:  d.demand(long),
		CheckURL: d.standin.URL,
	})
}

// demand returns the load for the entries of the catalogue, with entries of long
// work only if long is set.
func (d *demo) demand(long bool) []loadgen.Entry {
	var out []loadgen.Entry
	for _, e := range d.doc.Entries {
		l := loadgen.Entry{
			Name:       e.Name,
			Rate:       shortRate,
			Class:      string(e.Class),
			Idempotent: e.Idempotent,
			Service:    shortService,
			Deadline:   e.Limits.Deadline,
			BodyBytes:  bodyBytes,
			Period:     burstPeriod,
		}
		if e.Class == request.ClassLong {
			l.Rate, l.Service, l.Period = longRate, longService, 0
		}
		if long || e.Class != request.ClassLong {
			out = append(out, l)
		}
	}
	return out
}

// replace stops one daemon gracefully and starts it again on the same host.
func (d *demo) replace(ctx context.Context) error {
	if !wait(ctx, replaceAfter) {
		return ctx.Err()
	}
	replaced := d.fleet.Daemons[len(d.fleet.Daemons)-1]
	if err := replaced.Stop(); err != nil {
		return err
	}
	if err := replaced.Start(); err != nil {
		return err
	}
	return d.fleet.WaitReady(readyTimeout)
}

// drain makes the platform mark one host as leaving.
func (d *demo) drain(ctx context.Context) error {
	if !wait(ctx, drainAfter) {
		return ctx.Err()
	}
	d.report.leavingHost = d.doc.Hosts[0].Name
	d.report.leavingSince = time.Now()
	path := d.standin.URL + "/admin/hosts/" + url.PathEscape(d.report.leavingHost)
	return fleet.PutJSON(path, map[string]bool{"leaving": true})
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// evaluate reads the report of the stand-ins and checks the results.
func (d *demo) evaluate() error {
	var observed deployment.Report
	if err := fleet.GetJSON(d.standin.URL+"/admin/report", &observed); err != nil {
		return err
	}
	d.report.evaluate(observed)
	return nil
}

// stop stops the daemons and the stand-ins.
func (d *demo) stop() {
	if err := d.fleet.Stop(); err != nil {
		d.report.addViolation("planned stop: %v", err)
	}
	d.standin.Stop()
}
