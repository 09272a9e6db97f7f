// Package deployment serves the stand-ins of a whole deployment in one process:
// the platform, its admin switches and one target for each host of a catalogue.
package deployment

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/platform/httpplatform"
	"greengagedeck/standin/platformsim"
	"greengagedeck/standin/targetsim"
)

const (
	slotsPerTarget          = 8
	connectionsPerTarget    = 64
	defaultAppendsPerSecond = 500
)

// Options configures a Deployment.
type Options struct {
	// Platform is the IP:port on which the platform listens; port 0 selects a
	// free port.
	Platform string
	// Hosts are the workers.
	Hosts []catalogue.Host
	// EntryHosts are the daemons' hosts that are on the host list at the start.
	EntryHosts []httpplatform.HostResponse
}

// Deployment is a running platform with its targets. Executions counts how often
// the targets ran each request.
type Deployment struct {
	Platform   *platformsim.Platform
	Targets    map[string]*targetsim.Target
	Executions *targetsim.ExecutionCounter
	ln         net.Listener
}

// LoadHosts reads the hosts from a catalogue file.
func LoadHosts(path string) ([]catalogue.Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	doc, err := catalogue.Load(path, data)
	if err != nil {
		return nil, err
	}
	return doc.Hosts, nil
}

// ParseEntryHosts parses a comma-separated list of name=zone=address items.
func ParseEntryHosts(s string) ([]httpplatform.HostResponse, error) {
	var hosts []httpplatform.HostResponse
	for _, item := range strings.FieldsFunc(s, func(r rune) bool { return r == ',' }) {
		parts := strings.Split(item, "=")
		if len(parts) != 3 {
			return nil, fmt.Errorf("entry host %q: want name=zone=address", item)
		}
		hosts = append(hosts, httpplatform.HostResponse{ID: parts[0], Zone: parts[1], Address: parts[2], Entry: true})
	}
	return hosts, nil
}

// Start starts the platform and the targets, which serve until Close.
func Start(opts Options) (*Deployment, error) {
	d := &Deployment{Targets: map[string]*targetsim.Target{}, Executions: targetsim.NewExecutionCounter()}
	list, err := d.startTargets(opts.Hosts)
	if err != nil {
		d.Close()
		return nil, err
	}
	workers := map[string]platformsim.Worker{}
	for name, t := range d.Targets {
		workers[name] = t
	}
	d.Platform = platformsim.New(platformsim.Options{
		Hosts:   append(list, opts.EntryHosts...),
		Workers: workers,
		Log:     platformsim.LogSwitches{AppendsPerSecond: defaultAppendsPerSecond},
	})
	d.routes()
	if d.ln, err = net.Listen("tcp", opts.Platform); err != nil {
		d.Close()
		return nil, err
	}
	go func() { _ = d.Platform.Serve(d.ln) }()
	return d, nil
}

func (d *Deployment) startTargets(hosts []catalogue.Host) ([]httpplatform.HostResponse, error) {
	var list []httpplatform.HostResponse
	for _, h := range hosts {
		t, err := targetsim.Start(targetsim.Options{
			Name: h.Name, Address: h.Address, Slots: slotsPerTarget, Connections: connectionsPerTarget, Counter: d.Executions,
		})
		if err != nil {
			return nil, err
		}
		d.Targets[h.Name] = t
		list = append(list, httpplatform.HostResponse{ID: h.Name, Address: t.Address(), Zone: h.Zone, Rack: h.Rack})
	}
	return list, nil
}

// URL returns the platform's base URL.
func (d *Deployment) URL() string { return "http://" + d.ln.Addr().String() }

// Close stops the platform and the targets.
func (d *Deployment) Close() {
	for _, t := range d.Targets {
		t.Close()
	}
	if d.ln != nil {
		_ = d.ln.Close()
		_ = d.Platform.Close()
	}
}

// Report sums up what all targets and the log have observed.
type Report struct {
	targetsim.Summary
	// PoolOverlaps is the sum of the targets' pool overlaps.
	PoolOverlaps int `json:"pool_overlaps"`
	// Appends and AppendBytes count the appends to the log and their bytes.
	Appends     int               `json:"appends"`
	AppendBytes int               `json:"append_bytes"`
	Targets     []targetsim.Stats `json:"targets"`
}

// Report returns the present report, with the targets ordered by name.
func (d *Deployment) Report() Report {
	r := Report{Summary: d.Executions.Summary()}
	r.Appends, r.AppendBytes = d.Platform.Appends()
	for _, t := range d.Targets {
		s := t.Stats()
		r.PoolOverlaps += s.PoolOverlaps
		r.Targets = append(r.Targets, s)
	}
	slices.SortFunc(r.Targets, func(a, b targetsim.Stats) int { return strings.Compare(a.Name, b.Name) })
	return r
}
