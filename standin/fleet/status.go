package fleet

import (
	"fmt"
	"time"
)

// Status is what the tests and the demonstration read of a daemon's status.
type Status struct {
	Daemon           string `json:"daemon"`
	Ready            bool   `json:"ready"`
	LogDown          bool   `json:"log_down"`
	Offset           uint64 `json:"offset"`
	CatalogueVersion uint64 `json:"catalogue_version"`
}

// Status asks the daemon for its status.
func (d *Daemon) Status() (Status, error) {
	var s Status
	err := GetJSON("http://"+d.Admin+"/v1/status", &s)
	return s, err
}

// Host is a worker as a daemon's state has it.
type Host struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Phase string `json:"phase"`
	// Since is the offset of the host's last change.
	Since uint64 `json:"since"`
}

// Hosts asks the daemon for all workers.
func (d *Daemon) Hosts() ([]Host, error) {
	var out []Host
	err := GetJSON("http://"+d.Admin+"/v1/hosts", &out)
	return out, err
}

// WaitAlive waits until every daemon answers its administration API.
func (f *Fleet) WaitAlive(timeout time.Duration) error {
	return Poll(timeout, func() error {
		for _, d := range f.Daemons {
			if err := d.ended(); err != nil {
				return err
			}
			if !getOK("http://" + d.Admin + "/healthz") {
				return fmt.Errorf("%s does not answer\n%s", d.Host, d.Tail())
			}
		}
		return nil
	})
}

// WaitVersion waits until every daemon has a catalogue version in force, or a
// later one.
func (f *Fleet) WaitVersion(version uint64, timeout time.Duration) error {
	return Poll(timeout, func() error {
		for _, d := range f.Daemons {
			got, err := d.Status()
			if err != nil {
				return err
			}
			if got.CatalogueVersion < version {
				return fmt.Errorf("%s has version %d, want %d", d.Host, got.CatalogueVersion, version)
			}
		}
		return nil
	})
}
