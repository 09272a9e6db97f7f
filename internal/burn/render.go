package burn

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

const (
	contentTypeText = "text/plain; charset=utf-8"
	contentTypeJSON = "application/json"
	contentTypeHTML = "text/html; charset=utf-8"
)

func renderJSON(v any) (contentType string, body []byte, err error) {
	body, err = json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", nil, eris.Wrap(err, "encode report")
	}
	return contentTypeJSON, append(body, '\n'), nil
}

// writeTable writes rows as aligned columns.
func writeTable(w io.Writer, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	tw.Flush()
}

// renderBurnTable returns the report as text for a terminal.
func renderBurnTable(r Report) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "Service-level burn at %s\n", r.GeneratedAt.Format("2006-01-02 15:04 UTC"))
	if r.Stale != "" {
		fmt.Fprintf(&b, "The newest counts may be missing: %s\n", r.Stale)
	}
	fmt.Fprintln(&b)
	writeTable(&b, burnRows("SERVICE", r.Services))
	fmt.Fprintln(&b)
	writeTable(&b, burnRows("ENTRY", r.Entries))
	return b.Bytes()
}

func burnRows(kind string, subjects []Subject) [][]string {
	head := []string{kind, "OWNER", "OBJECTIVE", "BUDGET LEFT"}
	for _, w := range windowSpecs {
		head = append(head, "BURN "+w.name)
	}
	rows := [][]string{append(head, "BURN "+monthWindow, "REQUESTS", "BAD", "P99", "BURNED BY")}
	for _, s := range subjects {
		row := []string{s.Name, dashIfEmpty(s.Owner), s.ObjectiveText(), s.BudgetText()}
		for _, w := range s.Windows {
			row = append(row, fmt.Sprintf("%.2f", w.Burn))
		}
		month := s.Month()
		rows = append(rows, append(row,
			fmt.Sprint(month.Requests), fmt.Sprint(month.Bad), fmt.Sprintf("%.0fms", s.P99), causesText(month)))
	}
	return rows
}

// Month returns the 30-day window, which the budget applies to.
func (s Subject) Month() Window { return s.Windows[len(s.Windows)-1] }

// ObjectiveText returns the availability objective in percent, or "none".
func (s Subject) ObjectiveText() string {
	if s.Availability == 0 {
		return "none"
	}
	return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.4f", 100*s.Availability), "0"), ".") + "%"
}

// BudgetText returns the remaining budget in percent, or "-" without an
// objective.
func (s Subject) BudgetText() string {
	if s.Availability == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*s.BudgetLeft)
}

func causesText(w Window) string {
	parts := make([]string, 0, len(w.Causes))
	for _, c := range w.Causes {
		parts = append(parts, fmt.Sprintf("%s %d", c.Cause, c.Count))
	}
	return dashIfEmpty(strings.Join(parts, ", "))
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// renderMeasuresTable returns the measures as text for a terminal.
func renderMeasuresTable(m Measures) []byte {
	var b bytes.Buffer
	if m.Stale != "" {
		fmt.Fprintf(&b, "The newest counts may be missing: %s\n\n", m.Stale)
	}
	rows := [][]string{{"MEASURE", "VALUE", "UNIT", "REFERENCE"}}
	for _, s := range m.Scores {
		rows[0] = append(rows[0], "WEIGHT "+s.User)
	}
	for i, v := range m.Values {
		row := []string{v.Name, fmt.Sprintf("%.3f", v.Value), v.Unit, fmt.Sprintf("%g", v.Reference)}
		for _, s := range m.Scores {
			row = append(row, fmt.Sprintf("%.2f", s.Weights[i]))
		}
		rows = append(rows, row)
	}
	score := []string{"score (lower is better)", "", "", ""}
	for _, s := range m.Scores {
		score = append(score, fmt.Sprintf("%.3f", s.Value))
	}
	writeTable(&b, append(rows, score))
	return b.Bytes()
}
