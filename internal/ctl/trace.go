package ctl

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/telemetry"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// logLine is one line of a daemon's log.
type logLine struct {
	time    time.Time
	host    string
	level   string
	message string
	// fields are the line's other fields.
	fields map[string]any
}

// commonFields are the fields that every line has.
var commonFields = []string{"time", "host", "level", "message", "zone", "daemon"}

// parseLine parses a line. Text before its first brace is skipped: log collectors
// may put a time or a name there.
func parseLine(text string) (logLine, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return logLine{}, false
	}
	l := logLine{fields: map[string]any{}}
	if err := json.Unmarshal([]byte(text[at:]), &l.fields); err != nil {
		return logLine{}, false
	}
	str := func(name string) string {
		s, _ := l.fields[name].(string)
		return s
	}
	l.host, l.level, l.message = str("host"), str("level"), str("message")
	var err error
	if l.time, err = time.Parse(time.RFC3339Nano, str("time")); err != nil {
		return logLine{}, false
	}
	for _, name := range commonFields {
		delete(l.fields, name)
	}
	return l, true
}

// mentions reports whether a field of the line names a job, one of its tasks, a
// worker, a pool or any other object with that ID.
func (l logLine) mentions(id string) bool {
	for _, v := range l.fields {
		s, ok := v.(string)
		if ok && (s == id || strings.HasPrefix(s, id+".") || strings.HasSuffix(s, "/"+id)) {
			return true
		}
	}
	return false
}

func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-5s %s: %s", l.time.Format("15:04:05.000"), l.level, l.host, l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}

// tellsGap reports whether the line says that lines before it were dropped.
func (l logLine) tellsGap() bool { return l.message == telemetry.DroppedMessage }

// readLines returns the lines of a log that mention an ID, and those that tell of gaps in
// it. Lines in another format are skipped.
func readLines(r io.Reader, id string) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if !strings.Contains(s.Text(), id) && !strings.Contains(s.Text(), telemetry.DroppedMessage) {
			continue
		}
		if l, ok := parseLine(s.Text()); ok && (l.mentions(id) || l.tellsGap()) {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// trace prints the lines that mention an ID from the logs of several daemons, and those
// that tell of gaps in these logs, ordered by time.
func (a *app) trace(_ context.Context, args []string) error {
	if len(args) < 2 {
		return usagef("trace needs an ID and the files to search")
	}
	id, files := args[0], args[1:]
	var lines []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "log")
		}
		got, err := readLines(f, id)
		_ = f.Close()
		if err != nil {
			return eris.Wrapf(err, "log %s", name)
		}
		lines = append(lines, got...)
	}
	if !slices.ContainsFunc(lines, func(l logLine) bool { return l.mentions(id) }) {
		return eris.Errorf("no line in %d files names %s, and %d tell of dropped lines", len(files), id, len(lines))
	}
	slices.SortStableFunc(lines, func(x, y logLine) int {
		return cmp.Or(x.time.Compare(y.time), cmp.Compare(x.host, y.host))
	})
	for _, l := range lines {
		fmt.Fprintln(a.out, l)
	}
	return nil
}
