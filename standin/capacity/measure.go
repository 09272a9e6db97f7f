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

// Options configures a measurement.
type Options struct {
	// Bin is the directory of the programs, Dir the directory for logs and
	// catalogue files.
	Bin, Dir string
	// Workers lists the numbers of workers to measure.
	Workers []int
	// Settle is the delay between the start and the first reading.
	Settle time.Duration
	// Period is the length of each phase of the measurement.
	Period time.Duration
	// EditEvery is the interval between edits in the second phase.
	EditEvery time.Duration
	Out       io.Writer
}

// Row holds the resource usage of one daemon, averaged over all daemons.
type Row struct {
	Size Size
	// IdleCPU and EditCPU are the shares of one core used without and with edits.
	IdleCPU, EditCPU float64
	// IdleBytes is the number of control bytes per second without edits, MaxBytes
	// the same for the busiest daemon.
	IdleBytes, MaxBytes float64
	RSSMB               float64
	// RolloutTime is the longest time from an edit until it is in force on all
	// daemons.
	RolloutTime time.Duration
	Edits       int
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
		r.Size.Workers, r.Size.Pools, r.Size.Teams, r.Size.Daemons, 100*r.IdleCPU, 100*r.EditCPU,
		r.IdleBytes, r.MaxBytes, r.RSSMB, r.RolloutTime.Round(time.Millisecond), r.Edits)
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
	if err := sendToEveryPool(f, doc); err != nil {
		return row, err
	}
	time.Sleep(opt.Settle)
	if err := row.measureIdle(f, opt.Period); err != nil {
		return row, err
	}
	return row, row.measureEdits(f, opt, doc)
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

// sendToEveryPool sends one request to each pool through each daemon, so that
// every daemon uses every pool.
func sendToEveryPool(f *fleet.Fleet, doc catalogue.Document) error {
	for _, d := range f.Daemons {
		requested := map[string]bool{}
		for _, e := range doc.Entries {
			if requested[e.Pool] {
				continue
			}
			requested[e.Pool] = true
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

// measureUsage returns the mean usage of all daemons while during runs, the
// control bytes per second of the busiest daemon, and the duration.
func measureUsage(f *fleet.Fleet, during func() error) (mean usage, maxBytes float64, seconds float64, err error) {
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
		bytes := (after[i].controlBytes - before[i].controlBytes) / seconds
		mean.controlBytes += bytes / n
		maxBytes = max(maxBytes, bytes)
		mean.cpu += (after[i].cpu - before[i].cpu) / time.Duration(len(after))
		mean.rssKB += after[i].rssKB / len(after)
	}
	return mean, maxBytes, seconds, nil
}

func readAll(f *fleet.Fleet) ([]usage, error) {
	var out []usage
	for _, d := range f.Daemons {
		u, err := readUsage(d)
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

func (r *Row) measureIdle(f *fleet.Fleet, period time.Duration) error {
	mean, maxBytes, seconds, err := measureUsage(f, func() error {
		time.Sleep(period)
		return nil
	})
	r.IdleCPU = mean.cpu.Seconds() / seconds
	r.IdleBytes = mean.controlBytes
	r.MaxBytes = maxBytes
	r.RSSMB = float64(mean.rssKB) / 1024
	return err
}

// measureEdits edits an entry every EditEvery for the whole period. After each
// edit it waits until the new version is in force on all daemons.
func (r *Row) measureEdits(f *fleet.Fleet, opt Options, doc catalogue.Document) error {
	file := filepath.Join(opt.Dir, "edit.yaml")
	mean, _, seconds, err := measureUsage(f, func() error {
		for end := time.Now().Add(opt.Period); time.Now().Before(end); {
			next := time.Now().Add(opt.EditEvery)
			if err := r.editOnce(f, file, doc.Entries[r.Edits%len(doc.Entries)]); err != nil {
				return err
			}
			time.Sleep(time.Until(next))
		}
		return nil
	})
	r.EditCPU = mean.cpu.Seconds() / seconds
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
	r.RolloutTime = max(r.RolloutTime, time.Since(began))
	return nil
}
