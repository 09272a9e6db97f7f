package fleet

import (
	"fmt"
	"time"
)

// Status holds the fields of a daemon's status that the tests and the demonstration
// use.
type Status struct {
	Daemon           string `json:"daemon"`
	Ready            bool   `json:"ready"`
	LogDown          bool   `json:"log_down"`
	Offset           uint64 `json:"offset"`
	CatalogueVersion uint64 `json:"catalogue_version"`
}

// Status fetches the daemon's status.
func (d *Daemon) Status() (Status, error) {
	var s Status
	err := GetJSON("http://"+d.AdminAddress+"/v1/status", &s)
	return s, err
}

// Host is a worker in a daemon's state.
type Host struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Phase string `json:"phase"`
	// Since is the offset of the host's last change.
	Since uint64 `json:"since"`
}

// Hosts fetches all workers from the daemon.
func (d *Daemon) Hosts() ([]Host, error) {
	var out []Host
	err := GetJSON("http://"+d.AdminAddress+"/v1/hosts", &out)
	return out, err
}

// WaitAlive waits until /healthz of every daemon returns 200.
func (f *Fleet) WaitAlive(timeout time.Duration) error {
	return Poll(timeout, func() error {
		for _, d := range f.Daemons {
			if err := d.exitError(); err != nil {
				return err
			}
			if !getOK("http://" + d.AdminAddress + "/healthz") {
				return fmt.Errorf("%s does not respond to /healthz\n%s", d.Host, d.LogTail())
			}
		}
		return nil
	})
}

// WaitCatalogueVersion waits until the catalogue version in force on every daemon is
// at least version.
func (f *Fleet) WaitCatalogueVersion(version uint64, timeout time.Duration) error {
	return Poll(timeout, func() error {
		for _, d := range f.Daemons {
			got, err := d.Status()
			if err != nil {
				return err
			}
			if got.CatalogueVersion < version {
				return fmt.Errorf("%s has catalogue version %d, want %d or later", d.Host, got.CatalogueVersion, version)
			}
		}
		return nil
	})
}
