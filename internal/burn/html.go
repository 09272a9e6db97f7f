package burn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"math"
	"strings"

	"github.com/rotisserie/eris"
)

//go:embed report.html.tmpl
var reportTemplate string

var htmlReport = template.Must(template.New("report").Parse(reportTemplate))

// Size of a plot in SVG units, and the margins for its labels.
const (
	plotWidth   = 420
	plotHeight  = 150
	plotLeft    = 44
	plotBottom  = 22
	plotTop     = 10
	innerWidth  = plotWidth - plotLeft - 8
	innerHeight = plotHeight - plotTop - plotBottom
)

// causeColors are distinguishable for colour-blind readers.
var causeColors = [numCauses]string{"#0072b2", "#d55e00", "#e69f00", "#56b4e9", "#cc79a7", "#666666"}

// htmlPage is the data that the template renders.
type htmlPage struct {
	Report Report
	Groups []htmlGroup
	Legend []legendItem
}

type htmlGroup struct {
	Title string
	Cards []htmlCard
}

type legendItem struct {
	Name  string
	Color string
}

// htmlCard holds one service or entry with its plots.
type htmlCard struct {
	Subject
	State  string
	Budget linePlot
	Burn   barPlot
	Causes stackPlot
}

// label is a text at a position in a plot.
type label struct {
	X, Y float64
	Text string
}

// linePlot shows the remaining budget over the month.
type linePlot struct {
	Points string
	Area   string
	ZeroY  float64
	Labels []label
}

// bar is one filled rectangle.
type bar struct {
	X, Y, Width, Height float64
	Color               string
	Title               string
}

// barPlot shows the burn rate by window, with a line at 1.
type barPlot struct {
	Bars   []bar
	OneY   float64
	Labels []label
}

// stackPlot shows the share of each cause, by window.
type stackPlot struct {
	Bars   []bar
	Labels []label
}

// renderHTML returns a self-contained page that loads no other resources.
func renderHTML(r Report) (contentType string, body []byte, err error) {
	page := htmlPage{Report: r, Groups: []htmlGroup{
		{"Services", cards(r.Services)},
		{"Entries", cards(r.Entries)},
	}}
	for _, c := range Causes {
		page.Legend = append(page.Legend, legendItem{c.String(), causeColors[c]})
	}
	var b bytes.Buffer
	if err := htmlReport.Execute(&b, page); err != nil {
		return "", nil, eris.Wrap(err, "render burn report")
	}
	return contentTypeHTML, b.Bytes(), nil
}

func cards(subjects []Subject) []htmlCard {
	out := make([]htmlCard, 0, len(subjects))
	for _, s := range subjects {
		out = append(out, htmlCard{
			Subject: s,
			State:   budgetState(s),
			Budget:  plotBudget(s.Days),
			Burn:    plotBurn(s.Windows),
			Causes:  plotCauses(s.Windows),
		})
	}
	return out
}

// lowBudget is the remaining budget below which a card is marked as low.
const lowBudget = 0.25

func budgetState(s Subject) string {
	switch {
	case s.Availability == 0:
		return "none"
	case s.BudgetLeft < 0:
		return "spent"
	case s.BudgetLeft < lowBudget:
		return "low"
	default:
		return "ok"
	}
}

// plotBudget draws the remaining budget after each day.
func plotBudget(days []Day) linePlot {
	lowest := 0.0
	for _, d := range days {
		lowest = math.Min(lowest, d.BudgetLeft)
	}
	lowest = math.Max(lowest, -1)
	y := func(v float64) float64 {
		v = math.Max(v, lowest)
		return plotTop + innerHeight*(1-v)/(1-lowest)
	}
	p := linePlot{ZeroY: y(0), Labels: []label{
		{plotLeft - 4, y(1) + 4, "100%"}, {plotLeft - 4, y(0) + 4, "0%"},
	}}
	if len(days) == 0 {
		return p
	}
	step := float64(innerWidth) / float64(max(1, len(days)-1))
	var points []string
	for i, d := range days {
		points = append(points, fmt.Sprintf("%.1f,%.1f", plotLeft+float64(i)*step, y(d.BudgetLeft)))
	}
	p.Points = strings.Join(points, " ")
	p.Area = fmt.Sprintf("%d,%.1f %s %.1f,%.1f", plotLeft, y(0), p.Points, plotLeft+float64(innerWidth), y(0))
	for i := 0; i < len(days); i += 7 {
		p.Labels = append(p.Labels, label{plotLeft + float64(i)*step + 14, plotHeight - 6, days[i].Start.Format("2 Jan")})
	}
	return p
}

// plotBurn draws one bar for each window.
func plotBurn(windows []Window) barPlot {
	top := 2.0
	for _, w := range windows {
		top = math.Max(top, w.Burn*1.15)
	}
	y := func(v float64) float64 { return plotTop + innerHeight*(1-v/top) }
	p := barPlot{OneY: y(1), Labels: []label{{plotLeft - 4, y(1) + 4, "1"}, {plotLeft - 4, y(0) + 4, "0"}}}
	column := float64(innerWidth) / float64(max(1, len(windows)))
	for i, w := range windows {
		x := plotLeft + float64(i)*column
		color := causeColors[CauseRejected]
		if w.Burn > 1 {
			color = causeColors[CauseFailed]
		}
		p.Bars = append(p.Bars, bar{x + column*0.2, y(w.Burn), column * 0.6, y(0) - y(w.Burn), color, fmt.Sprintf("%s: burn %.2f", w.Name, w.Burn)})
		p.Labels = append(p.Labels,
			label{x + column*0.5 + 9, plotHeight - 6, w.Name},
			label{x + column*0.5 + 12, y(w.Burn) - 3, fmt.Sprintf("%.2f", w.Burn)})
	}
	return p
}

// plotCauses draws one stacked bar of causes for each window.
func plotCauses(windows []Window) stackPlot {
	var p stackPlot
	row := float64(plotHeight-plotTop) / float64(max(1, len(windows)))
	for i, w := range windows {
		y := plotTop + float64(i)*row
		p.Labels = append(p.Labels, label{plotLeft - 4, y + row*0.5 + 1, w.Name})
		x := float64(plotLeft)
		for _, c := range w.Causes {
			width := innerWidth * float64(c.Count) / float64(w.Bad)
			p.Bars = append(p.Bars, bar{x, y, width, row * 0.7, causeColors[c.Cause], fmt.Sprintf("%s, %s: %d of %d", w.Name, c.Cause, c.Count, w.Bad)})
			x += width
		}
	}
	return p
}
