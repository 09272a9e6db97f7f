package fleet

import (
	"fmt"
	"time"
)

// status is what the tests and the demonstration read of a daemon's status.
type status struct {
	Version uint64 `json:"version"`
}

// Version returns the catalogue version in force on the daemon.
func (d *Daemon) Version() (uint64, error) {
	var s status
	err := GetJSON("http://"+d.Admin+"/v1/status", &s)
	return s.Version, err
}

// WaitAlive waits until every daemon answers its administration API.
func (f *Fleet) WaitAlive(timeout time.Duration) error {
	return Poll(timeout, func() error {
		for _, d := range f.Daemons {
			if exited, err := d.Exited(); exited {
				return fmt.Errorf("%s ended: %v\n%s", d.Host, err, d.Tail())
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
			got, err := d.Version()
			if err != nil {
				return err
			}
			if got < version {
				return fmt.Errorf("%s has version %d, want %d", d.Host, got, version)
			}
		}
		return nil
	})
}
