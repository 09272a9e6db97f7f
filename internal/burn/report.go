package burn

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/decision"
)

const (
	// monthDays is the length of the budget window.
	monthDays = 30
	day       = 24 * time.Hour
	// refreshTimeout bounds the time that a report waits for the log.
	refreshTimeout = 5 * time.Second
	// maxDecisions bounds the decisions listed for one service or entry.
	maxDecisions = 20
)

// windowSpec is a time window that burn is reported for.
type windowSpec struct {
	name   string
	length time.Duration
}

var windowSpecs = []windowSpec{
	{"5m", 5 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
	{"3d", 3 * day},
}

// monthWindow is the name of the last window, which the budget applies to.
const monthWindow = "30d"

// Report holds the service-level burn of every service and entry.
type Report struct {
	GeneratedAt time.Time `json:"generated_at"`
	// Stale is the reason why the newest counts may be missing, or empty.
	Stale string `json:"stale,omitempty"`
	// Services has one subject for each pool. Entries has one for each entry of
	// the catalogue and for each entry that was removed during the month.
	Services []Subject `json:"services"`
	Entries  []Subject `json:"entries"`
}

// Subject is the report on one service or entry.
type Subject struct {
	Name  string `json:"name"`
	Owner string `json:"owner,omitempty"`
	Pool  string `json:"pool"`
	// Availability is the availability objective, or 0 without one. The
	// objective of a service is the average of its entries' objectives,
	// weighted by their requests.
	Availability float64 `json:"availability"`
	// BudgetLeft is the remaining share of the month's budget. It is negative
	// when more than the budget has been used.
	BudgetLeft float64 `json:"budget_left"`
	// Windows are the windows that end now, shortest first; the last is the
	// month.
	Windows []Window `json:"windows"`
	// Days are the days of the month, oldest first.
	Days []Day `json:"days"`
	// P50 and P99 are upper bounds of the latency percentiles of the last
	// hour's complete responses, in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// Decisions are the most recent control decisions on the subject.
	Decisions []decision.Decision `json:"decisions,omitempty"`
}

// Window sums up the requests of a time window that ends now.
type Window struct {
	Name     string `json:"name"`
	Requests uint64 `json:"requests"`
	Bad      uint64 `json:"bad"`
	Excluded uint64 `json:"excluded"`
	// Burn is the ratio of bad requests to those that the objective allows. At
	// 1 the budget lasts exactly for the month.
	Burn float64 `json:"burn"`
	// Causes lists every cause with a count above 0.
	Causes []CauseCount `json:"causes,omitempty"`
}

// CauseCount is the number of bad requests with one cause.
type CauseCount struct {
	Cause Cause  `json:"cause"`
	Count uint64 `json:"count"`
}

// Day sums up the requests of one day of the month.
type Day struct {
	Start    time.Time `json:"start"`
	Requests uint64    `json:"requests"`
	Bad      uint64    `json:"bad"`
	// BudgetLeft is the remaining share of the month's budget after this day.
	BudgetLeft float64 `json:"budget_left"`
}

// Entries lists the catalogue's entries.
type Entries interface {
	Entries() []catalogue.Entry
	// PoolOwner returns the team that owns a pool, or "".
	PoolOwner(pool string) string
}

// Decisions looks up the control decisions on a subject such as "pool/labada".
type Decisions interface {
	Decisions(subject string) []decision.Decision
}

// Refresher updates a Store with the newest records.
type Refresher interface {
	Refresh(ctx context.Context) error
}

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	Store     *Store
	Refresher Refresher
	Entries   Entries
	Decisions Decisions
	Buffer    BufferSource
	Rollouts  RolloutSource
	Moves     MoveSource
}

// Reporter builds reports from the counts of all daemons.
type Reporter struct {
	opts ReporterOptions
}

// NewReporter returns a reporter.
func NewReporter(opts ReporterOptions) *Reporter { return &Reporter{opts: opts} }

// Burn renders the burn report as "json", "table" or "html".
func (r *Reporter) Burn(format string) (contentType string, body []byte, err error) {
	rep := r.Report(context.Background(), time.Now())
	switch format {
	case "json":
		return renderJSON(rep)
	case "html":
		return renderHTML(rep)
	case "table", "":
		return contentTypeText, renderBurnTable(rep), nil
	default:
		return "", nil, eris.Errorf("no format %q: there are json, table and html", format)
	}
}

// Report returns the burn report as of now. When the log cannot be read, the
// report is based on what has been read before and Stale has the reason.
func (r *Reporter) Report(ctx context.Context, now time.Time) Report {
	rep := Report{GeneratedAt: now.UTC(), Stale: r.refresh(ctx)}
	data := r.collect(now)
	for _, e := range data.entries {
		s := data.subject(e.Name, []catalogue.Entry{e})
		s.Owner = e.Owner
		s.Decisions = r.decisions("entry/" + e.Name)
		rep.Entries = append(rep.Entries, s)
	}
	for _, pool := range data.pools() {
		s := data.subject(pool, data.entriesOf(pool))
		s.Owner = r.opts.Entries.PoolOwner(pool)
		s.Decisions = r.decisions("pool/" + pool)
		rep.Services = append(rep.Services, s)
	}
	return rep
}

// refresh reads the newest counts and returns the error text, or "" on success.
func (r *Reporter) refresh(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := r.opts.Refresher.Refresh(ctx); err != nil {
		return err.Error()
	}
	return ""
}

func (r *Reporter) decisions(subject string) []decision.Decision {
	all := r.opts.Decisions.Decisions(subject)
	return all[max(0, len(all)-maxDecisions):]
}

// reportData holds the aggregated counts that a report is built from.
type reportData struct {
	entries []catalogue.Entry
	windows []windowCounts
	days    []dayCounts
}

type windowCounts struct {
	name   string
	counts countsByEntry
}

type dayCounts struct {
	start  time.Time
	counts countsByEntry
}

func (r *Reporter) collect(now time.Time) reportData {
	var data reportData
	// The current minute is included, because daemons that stopped during it
	// have already published their counts.
	until := now.Add(time.Minute)
	for _, w := range windowSpecs {
		data.windows = append(data.windows, windowCounts{w.name, r.opts.Store.between(now.Add(-w.length), until)})
	}
	// Days begin on the hour, because older counts are only kept by the hour.
	start := now.Add(-monthDays * day).Truncate(time.Hour)
	month := countsByEntry{}
	for i := range monthDays {
		from := start.Add(time.Duration(i) * day)
		to := from.Add(day)
		if i == monthDays-1 {
			to = until
		}
		d := r.opts.Store.between(from, to)
		data.days = append(data.days, dayCounts{from.UTC(), d})
		for key, c := range d {
			month.addOne(key, *c)
		}
	}
	data.windows = append(data.windows, windowCounts{monthWindow, month})
	data.entries = withRemovedEntries(r.opts.Entries.Entries(), month)
	return data
}

// withRemovedEntries adds the entries that were counted but are no longer in the
// catalogue. They have no objective.
func withRemovedEntries(entries []catalogue.Entry, month countsByEntry) []catalogue.Entry {
	entries = slices.Clone(entries)
	known := map[string]bool{}
	for _, e := range entries {
		known[e.Name] = true
	}
	for key := range month {
		if !known[key.entry] {
			known[key.entry] = true
			entries = append(entries, catalogue.Entry{Name: key.entry, Pool: key.pool})
		}
	}
	slices.SortFunc(entries, func(a, b catalogue.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return entries
}

func (m reportData) pools() []string {
	var out []string
	for _, e := range m.entries {
		out = append(out, e.Pool)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (m reportData) entriesOf(pool string) []catalogue.Entry {
	var out []catalogue.Entry
	for _, e := range m.entries {
		if e.Pool == pool {
			out = append(out, e)
		}
	}
	return out
}

// subject returns the combined report on entries.
func (m reportData) subject(name string, entries []catalogue.Entry) Subject {
	s := Subject{Name: name, Pool: entries[0].Pool}
	for _, w := range m.windows {
		c, allowed := w.counts.forEntries(entries)
		s.Windows = append(s.Windows, newWindow(w.name, c, allowed))
		if w.name == "1h" {
			s.P50, s.P99 = milliseconds(c.Quantile(0.5)), milliseconds(c.Quantile(0.99))
		}
	}
	month, allowed := m.windows[len(m.windows)-1].counts.forEntries(entries)
	s.Availability = availability(entries, month, allowed)
	s.BudgetLeft = budgetLeft(month.BadTotal(), allowed)
	var bad uint64
	for _, d := range m.days {
		c, _ := d.counts.forEntries(entries)
		bad += c.BadTotal()
		s.Days = append(s.Days, Day{
			Start: d.start, Requests: c.Requests(), Bad: c.BadTotal(), BudgetLeft: budgetLeft(bad, allowed),
		})
	}
	return s
}

// forEntries returns the total counts of entries and the number of their
// requests that may fail under their objectives.
func (s countsByEntry) forEntries(entries []catalogue.Entry) (total Counts, allowed float64) {
	for _, e := range entries {
		var c Counts
		for key, sum := range s {
			if key.entry == e.Name {
				c.Add(*sum)
			}
		}
		total.Add(c)
		if a := e.Objective.Availability; a > 0 {
			allowed += float64(c.Requests()) * (1 - a)
		}
	}
	return total, allowed
}

func availability(entries []catalogue.Entry, month Counts, allowed float64) float64 {
	if len(entries) == 1 {
		return entries[0].Objective.Availability
	}
	if month.Requests() == 0 {
		return 0
	}
	return 1 - allowed/float64(month.Requests())
}

func newWindow(name string, c Counts, allowed float64) Window {
	w := Window{Name: name, Requests: c.Requests(), Bad: c.BadTotal(), Excluded: c.Excluded}
	if allowed > 0 {
		w.Burn = float64(w.Bad) / allowed
	}
	for _, cause := range Causes {
		if n := c.BadBy(cause); n > 0 {
			w.Causes = append(w.Causes, CauseCount{cause, n})
		}
	}
	return w
}

// budgetLeft returns the remaining share of the budget. It is 1 for entries
// without an objective, which have no budget.
func budgetLeft(bad uint64, allowed float64) float64 {
	if bad == 0 || allowed == 0 {
		return 1
	}
	return 1 - float64(bad)/allowed
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
