package fleet

import (
	"path/filepath"
	"strings"
	"time"
)

// Standin is the process that runs the stand-ins of the platform and the targets.
type Standin struct {
	// URL is the platform's base URL; the switches are below /admin.
	URL     string
	process *process
}

// StartStandin starts the stand-ins for a catalogue file at address and waits until
// they serve. The host list contains the hosts of the fleet from the start.
func StartStandin(bin, dir, address, catalogueFile string, f *Fleet) (*Standin, error) {
	var entryHosts []string
	for _, d := range f.Daemons {
		entryHosts = append(entryHosts, d.Host+"="+d.Zone+"="+d.PeerAddress)
	}
	p, err := startProcess(filepath.Join(dir, "standin.log"), filepath.Join(bin, "standin"),
		"-platform", address, "-catalogue", catalogueFile, "-entry-hosts", strings.Join(entryHosts, ","))
	if err != nil {
		return nil, err
	}
	s := &Standin{URL: "http://" + address, process: p}
	err = Poll(StopTimeout, func() error {
		if err := p.exitError("standin"); err != nil {
			return err
		}
		return GetJSON(s.URL+"/admin/log", nil)
	})
	return s, err
}

// Stop stops the process.
func (s *Standin) Stop() {
	_ = s.process.stop(time.Second)
}
