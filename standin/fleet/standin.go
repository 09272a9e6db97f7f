package fleet

import (
	"path/filepath"
	"strings"
	"time"
)

// Standin is the process of the stand-ins.
type Standin struct {
	// URL is the platform's base URL; the switches are below /admin.
	URL     string
	process *process
}

// StartStandin runs the stand-ins of a catalogue file at address and waits
// until they serve. The list shows the fleet's hosts from the start.
func StartStandin(bin, dir, address, file string, f *Fleet) (*Standin, error) {
	var entry []string
	for _, d := range f.Daemons {
		entry = append(entry, d.Host+"="+d.Zone+"="+d.Peer)
	}
	p, err := startProcess(filepath.Join(dir, "standin.log"), filepath.Join(bin, "standin"),
		"-platform", address, "-catalogue", file, "-entry-hosts", strings.Join(entry, ","))
	if err != nil {
		return nil, err
	}
	s := &Standin{URL: "http://" + address, process: p}
	err = Poll(StopTimeout, func() error {
		if err := p.ended("standin"); err != nil {
			return err
		}
		return GetJSON(s.URL+"/admin/log", nil)
	})
	return s, err
}

// Stop ends the process.
func (s *Standin) Stop() {
	_ = s.process.stop(time.Second)
}
