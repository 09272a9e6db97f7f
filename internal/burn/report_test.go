package burn

import (
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/decision"
	"greengagedeck/internal/record"
)

// fakeSources implements all sources of a Reporter except its Store.
type fakeSources struct {
	refreshError error
	entries      []catalogue.Entry
}

func (f fakeSources) Refresh(context.Context) error { return f.refreshError }
func (f fakeSources) Entries() []catalogue.Entry    { return f.entries }
func (f fakeSources) PoolOwner(pool string) string  { return "owner-of-" + pool }
func (f fakeSources) Buffer() Buffer                { return Buffer{SpareHosts: 8, TotalHosts: 40} }
func (f fakeSources) Rollouts(time.Time) []time.Duration {
	return []time.Duration{time.Second, 10 * time.Second}
}
func (f fakeSources) Moves(time.Time) int { return 20 }
func (f fakeSources) Decisions(subject string) []decision.Decision {
	if subject != "entry/quote" {
		return nil
	}
	return []decision.Decision{{
		Kind: "maintenance.take", At: baseTime, Accepted: true,
		Cause: record.Cause{Object: "wave/monthly", Owner: "ops", Version: 7, Reason: "<b>2 of 11 hosts out</b>"},
	}}
}

func entry(name, pool string, availability float64) catalogue.Entry {
	return catalogue.Entry{Name: name, Owner: "team-" + name, Pool: pool, Objective: catalogue.Objective{Availability: availability}}
}

// exampleReporter returns a reporter on a month in which "quote" had bad requests
// for one day and "order" had none. "gone" is no longer in the catalogue.
func exampleReporter(t *testing.T, refreshError error) *Reporter {
	t.Helper()
	s := NewStore()
	for hour := int64(1); hour <= 30*24; hour++ {
		n := minuteOf(baseTime)/60 - hour
		bad := []uint64{}
		if hour >= 100 && hour < 124 {
			bad = []uint64{1, 2, 3, 4, 5, 6}
		}
		m := Message{Rollups: []Rollup{{Hour: n, Covers: map[string]uint64{"a": allMinutes}, Entries: []EntryCounts{
			{Entry: "gone", Pool: "parts", Counts: Counts{Good: 1}},
			{Entry: "order", Pool: "parts", Counts: Counts{Good: 500, Latency: []uint64{0, 0, 500}}},
			{Entry: "quote", Pool: "clinic", Counts: Counts{Good: 1000 - uint64(len(bad))*21/6, Bad: bad, Short: 1000, ShortBlocked: 2500}},
		}}}}
		if err := applyMessages(s, []Message{m}, []int{0}); err != nil {
			t.Fatal(err)
		}
	}
	f := fakeSources{refreshError: refreshError, entries: []catalogue.Entry{entry("quote", "clinic", 0.999), entry("order", "parts", 0.99)}}
	return NewReporter(ReporterOptions{Store: s, Refresher: f, Entries: f, Decisions: f, Buffer: f, Rollouts: f, Moves: f})
}

func TestMonthReport(t *testing.T) {
	g := NewWithT(t)
	rep := exampleReporter(t, nil).Report(context.Background(), baseTime)
	g.Expect(rep.Entries).To(HaveLen(3))
	quote := rep.Entries[2]
	month := quote.Month()
	g.Expect([]any{quote.Name, quote.Owner, quote.Pool}).To(Equal([]any{"quote", "team-quote", "clinic"}))
	g.Expect(month.Requests).To(BeEquivalentTo(720_000))
	g.Expect(month.Bad).To(BeEquivalentTo(24 * 21))
	// The objective allows 720 of 720,000 requests to be bad; 504 were.
	g.Expect(quote.BudgetLeft).To(BeNumerically("~", 0.3, 1e-9))
	g.Expect(month.Burn).To(BeNumerically("~", 0.7, 1e-9))
	g.Expect(month.Causes).To(HaveLen(numCauses))
	g.Expect(month.Causes[CauseLostHost]).To(Equal(CauseCount{CauseLostHost, 24 * 5}))
	g.Expect(quote.Days).To(HaveLen(monthDays))
	g.Expect(quote.Days[0].BudgetLeft).To(Equal(1.0))
	g.Expect(quote.Days[monthDays-1].BudgetLeft).To(BeNumerically("~", 0.3, 1e-9))
	g.Expect(quote.Decisions).To(HaveLen(1))

	order := rep.Entries[1]
	g.Expect(order.BudgetLeft).To(Equal(1.0))
	g.Expect(order.P99).To(BeNumerically("~", 2, 0.001))
	g.Expect(rep.Services).To(HaveLen(2))
	parts := rep.Services[1]
	g.Expect(parts.Name).To(Equal("parts"))
	g.Expect(parts.Month().Requests).To(BeEquivalentTo(720 * 501))
}

func TestReportIsMarkedStaleWithoutLog(t *testing.T) {
	g := NewWithT(t)
	r := exampleReporter(t, errors.New("log down"))
	rep := r.Report(context.Background(), baseTime)
	g.Expect(rep.Stale).To(Equal("log down"))
	g.Expect(rep.Entries[2].Month().Requests).To(BeEquivalentTo(720_000))
	g.Expect(string(renderBurnTable(rep))).To(ContainSubstring("log down"))
}

func TestReportAsTable(t *testing.T) {
	g := NewWithT(t)
	text := string(renderBurnTable(exampleReporter(t, nil).Report(context.Background(), baseTime)))
	g.Expect(text).To(MatchRegexp(`(?m)^SERVICE +OWNER +OBJECTIVE +BUDGET LEFT +BURN 5m`))
	g.Expect(text).To(MatchRegexp(`(?m)^quote +team-quote +99.9% +30.0% .* 0.70 +720000 +504 .*refused 24, failed 48, late 72`))
	g.Expect(text).To(MatchRegexp(`(?m)^gone +- +none +- `))
}

func TestReportAsJSON(t *testing.T) {
	g := NewWithT(t)
	contentType, body, err := renderJSON(exampleReporter(t, nil).Report(context.Background(), baseTime))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(contentType).To(Equal("application/json"))
	var got struct {
		Entries []struct {
			Name    string
			Windows []struct{ Name string }
		}
	}
	g.Expect(json.Unmarshal(body, &got)).To(Succeed())
	g.Expect(got.Entries).To(HaveLen(3))
	g.Expect(got.Entries[0].Windows).To(HaveLen(5))
}

// With `go test -artifacts` the page is kept for inspection.
func TestHTMLReportIsSelfContained(t *testing.T) {
	g := NewWithT(t)
	_, body, err := renderHTML(exampleReporter(t, nil).Report(context.Background(), baseTime))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(t.ArtifactDir(), "burn.html"), body, 0o644)).To(Succeed())
	page := string(body)
	for _, outside := range []string{"<script", "http://", "https://", "src=", "@import", "url(", "ZgotmplZ", "NaN", "Inf"} {
		g.Expect(page).NotTo(ContainSubstring(outside))
	}
	g.Expect(page).NotTo(ContainSubstring("<b>2 of 11"), "text is not escaped")
	svgs := regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(page, -1)
	g.Expect(svgs).To(HaveLen(3 * 5))
	for _, svg := range svgs {
		d := xml.NewDecoder(strings.NewReader(svg))
		for err = nil; err == nil; {
			_, err = d.Token()
		}
		g.Expect(err).To(MatchError(io.EOF))
	}
}

func TestMeasuresAndScores(t *testing.T) {
	g := NewWithT(t)
	m := exampleReporter(t, nil).MeasuresReport(context.Background(), baseTime)
	var values []float64
	for _, v := range m.Values {
		values = append(values, v.Value)
	}
	// 8 of 40 hosts, the slower of two roll-outs, 20 moves of 40 hosts.
	g.Expect(values).To(Equal([]float64{0.2, 10, 0.5, 2.5}))
	for _, s := range m.Scores {
		sum := 0.0
		for _, w := range s.Weights {
			sum += w
		}
		g.Expect(sum).To(BeNumerically("~", 1, 1e-9), s.User)
	}
	kumot, ruedasol := m.Scores[0], m.Scores[1]
	g.Expect(kumot.Value).To(BeNumerically("~", 0.35*1+0.35*2+0.1*0.5+0.2*0.25, 1e-9))
	g.Expect(kumot.Weights[3]).To(BeNumerically("<", ruedasol.Weights[3]))
	g.Expect(string(renderMeasuresTable(m))).To(ContainSubstring("WEIGHT Kumot"))
}

func TestReportFormats(t *testing.T) {
	g := NewWithT(t)
	r := exampleReporter(t, nil)
	for format, want := range map[string]string{"": contentTypeText, "table": contentTypeText, "json": contentTypeJSON, "html": contentTypeHTML} {
		contentType, body, err := r.Burn(format)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(contentType).To(Equal(want))
		g.Expect(body).NotTo(BeEmpty())
	}
	contentType, _, err := r.Measures("json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(contentType).To(Equal(contentTypeJSON))
}

func TestUnknownFormatIsRejected(t *testing.T) {
	g := NewWithT(t)
	r := exampleReporter(t, nil)
	_, _, err := r.Burn("pdf")
	g.Expect(err).To(HaveOccurred())
	_, _, err = r.Measures("html")
	g.Expect(err).To(HaveOccurred())
}
