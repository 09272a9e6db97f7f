package capacity

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"greengagedeck/internal/catalogue"
	"greengagedeck/standin/fleet"
)

// Options configure a measurement.
type Options struct {
	// Bin holds the programs, Dir takes logs and catalogue files.
	Bin, Dir string
	// Workers are the sizes to measure.
	Workers []int
	// Settle is the time after start before the first reading.
	Settle time.Duration
	// Period is how long each phase is measured.
	Period time.Duration
	// EditEvery is the time between edits in the second phase.
	EditEvery time.Duration
	Out       io.Writer
}

// Row is what one daemon uses, averaged over all daemons.
type Row struct {
	Size Size
	// Idle and Edited are shares of one core without and with edits.
	Idle, Edited float64
	// IdleBytes are control bytes a second without edits, MaxBytes those of
	// the busiest daemon.
	IdleBytes, MaxBytes float64
	RSSMB               float64
	// InForce is the longest time from edit to in force on all daemons.
	InForce time.Duration
	Edits   int
}

// Run measures every size and prints a table.
func Run(opt Options) error {
	fmt.Fprintf(opt.Out, "%8s %6s %6s %8s | %9s %9s %10s %10s | %8s | %9s %6s\n", "workers", "pools", "teams", "daemons",
		"idle cpu", "edit cpu", "idle B/s", "max B/s", "RSS MB", "in force", "edits")
	for _, n := range opt.Workers {
		row, err := measure(opt, scaled(n))
		if err != nil {
			return fmt.Errorf("%d workers: %w", n, err)
		}
		row.print(opt.Out)
	}
	return nil
}

func (r Row) print(w io.Writer) {
	fmt.Fprintf(w, "%8d %6d %6d %8d | %8.2f%% %8.2f%% %10.0f %10.0f | %8.1f | %9s %6d\n",
		r.Size.Workers, r.Size.Pools, r.Size.Teams, r.Size.Daemons, 100*r.Idle, 100*r.Edited,
		r.IdleBytes, r.MaxBytes, r.RSSMB, r.InForce.Round(time.Millisecond), r.Edits)
}

func measure(opt Options, s Size) (Row, error) {
	row := Row{Size: s}
	addresses, err := fleet.FreePorts(1)
	if err != nil {
		return row, err
	}
	doc := Document(s)
	file := filepath.Join(opt.Dir, fmt.Sprintf("catalogue-%d.yaml", s.Workers))
	if err := writeDocument(file, doc); err != nil {
		return row, err
	}
	f, err := fleet.New(fleet.Options{Bin: opt.Bin, Dir: opt.Dir, PlatformURL: "http://" + addresses[0], Sites: sites(s)})
	if err != nil {
		return row, err
	}
	sim, err := fleet.StartStandin(opt.Bin, opt.Dir, addresses[0], file, f)
	if err != nil {
		return row, err
	}
	defer sim.Stop()
	defer func() { _ = f.Stop() }()
	if err := start(f, file); err != nil {
		return row, err
	}
	if err := touch(f, doc); err != nil {
		return row, err
	}
	time.Sleep(opt.Settle)
	if err := row.idle(f, opt.Period); err != nil {
		return row, err
	}
	return row, row.edit(f, opt, doc)
}

func start(f *fleet.Fleet, file string) error {
	if err := f.Start(); err != nil {
		return err
	}
	if err := f.WaitReady(time.Minute); err != nil {
		return err
	}
	e, err := f.Apply(nil, file)
	if err != nil {
		return err
	}
	return f.WaitCatalogueVersion(e.Version, time.Minute)
}

// touch sends one request to each pool through each daemon, so that every
// daemon has every pool in use.
func touch(f *fleet.Fleet, doc catalogue.Document) error {
	for _, d := range f.Daemons {
		touched := map[string]bool{}
		for _, e := range doc.Entries {
			if touched[e.Pool] {
				continue
			}
			touched[e.Pool] = true
			resp, err := http.Get("http://" + d.CallerAddress + "/v1/entries/" + e.Name + "/x")
			if err != nil {
				return err
			}
			if err := resp.Body.Close(); err != nil {
				return err
			}
		}
	}
	return nil
}

func sites(s Size) []fleet.Site {
	var out []fleet.Site
	for i := range s.Daemons {
		out = append(out, fleet.Site{Host: fmt.Sprintf("gw-%02d", i), Zone: ZoneName(i % s.Zones)})
	}
	return out
}

func writeDocument(file string, doc catalogue.Document) error {
	data, err := yaml.Marshal(doc)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

// change is the mean use of all daemons between two readings, and the largest.
func change(f *fleet.Fleet, during func() error) (mean usage, maxBytes float64, seconds float64, err error) {
	before, err := readAll(f)
	if err != nil {
		return mean, 0, 0, err
	}
	began := time.Now()
	if err := during(); err != nil {
		return mean, 0, 0, err
	}
	seconds = time.Since(began).Seconds()
	after, err := readAll(f)
	if err != nil {
		return mean, 0, 0, err
	}
	n := float64(len(after))
	for i := range after {
		bytes := (after[i].control - before[i].control) / seconds
		mean.control += bytes / n
		maxBytes = max(maxBytes, bytes)
		mean.cpu += (after[i].cpu - before[i].cpu) / time.Duration(len(after))
		mean.rssKB += after[i].rssKB / len(after)
	}
	return mean, maxBytes, seconds, nil
}

func readAll(f *fleet.Fleet) ([]usage, error) {
	var out []usage
	for _, d := range f.Daemons {
		u, err := read(d)
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

func (r *Row) idle(f *fleet.Fleet, period time.Duration) error {
	mean, maxBytes, seconds, err := change(f, func() error {
		time.Sleep(period)
		return nil
	})
	r.Idle = mean.cpu.Seconds() / seconds
	r.IdleBytes = mean.control
	r.MaxBytes = maxBytes
	r.RSSMB = float64(mean.rssKB) / 1024
	return err
}

// edit changes one entry again and again and waits each time until the version
// is in force on all daemons.
func (r *Row) edit(f *fleet.Fleet, opt Options, doc catalogue.Document) error {
	file := filepath.Join(opt.Dir, "edit.yaml")
	mean, _, seconds, err := change(f, func() error {
		for end := time.Now().Add(opt.Period); time.Now().Before(end); {
			next := time.Now().Add(opt.EditEvery)
			if err := r.editOnce(f, file, doc.Entries[r.Edits%len(doc.Entries)]); err != nil {
				return err
			}
			time.Sleep(time.Until(next))
		}
		return nil
	})
	r.Edited = mean.cpu.Seconds() / seconds
	r.RSSMB = max(r.RSSMB, float64(mean.rssKB)/1024)
	return err
}

func (r *Row) editOnce(f *fleet.Fleet, file string, e catalogue.Entry) error {
	r.Edits++
	e.Limits.Queue += r.Edits
	if err := writeDocument(file, catalogue.Document{Entries: []catalogue.Entry{e}}); err != nil {
		return err
	}
	began := time.Now()
	edit, err := f.Apply(nil, file)
	if err != nil {
		return err
	}
	if err := f.WaitCatalogueVersion(edit.Version, time.Minute); err != nil {
		return err
	}
	r.InForce = max(r.InForce, time.Since(began))
	return nil
}
