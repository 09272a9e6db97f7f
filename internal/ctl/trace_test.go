package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// writeLog writes lines to a file and returns its name.
func writeLog(g *WithT, dir, name string, lines ...string) string {
	path := filepath.Join(dir, name)
	g.Expect(os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600)).To(Succeed())
	return path
}

func runTrace(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(context.Background(), append([]string{"trace"}, args...), Options{Out: &o, ErrOut: &e})
	return code, o.String(), e.String()
}

func TestTraceOrdersLinesByTime(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	a := writeLog(g, dir, "a",
		`{"level":"info","host":"a","job":"00aa","time":"2026-03-21T16:19:25.100Z","message":"job accepted"}`,
		`{"level":"info","host":"a","job":"00ab","time":"2026-03-21T16:19:25.2Z","message":"job accepted"}`)
	b := writeLog(g, dir, "b",
		`  1.5 b {"level":"info","host":"b","task":"00aa.0.0.1","run":2,"time":"2026-03-21T16:19:25.900Z","message":"run placed"}`,
		`panic: 00aa`, `{"job":"00aa"}`, `{"half`,
		`{"level":"info","host":"b","job":"00aa","time":"2026-03-21T16:19:25.150Z","message":"job taken in"}`)
	code, out, _ := runTrace("00aa", a, b)
	g.Expect(code).To(Equal(ExitOK))
	g.Expect(out).To(Equal("16:19:25.100 info  a: job accepted job=00aa\n" +
		"16:19:25.150 info  b: job taken in job=00aa\n" +
		"16:19:25.900 info  b: run placed run=2 task=00aa.0.0.1\n"))
}

func TestTraceErrors(t *testing.T) {
	g := NewWithT(t)
	a := writeLog(g, t.TempDir(), "a", `{"time":"2026-03-21T16:19:25Z","job":"x"}`)
	code, _, errOut := runTrace("00aa", a)
	g.Expect(code).To(Equal(ExitFailure))
	g.Expect(errOut).To(ContainSubstring("no line in 1 files names 00aa"))
	code, _, errOut = runTrace("00aa")
	g.Expect(code).To(Equal(ExitUsage))
	g.Expect(errOut).To(ContainSubstring("trace needs an ID"))
	code, _, _ = runTrace("00aa", filepath.Join(t.TempDir(), "missing"))
	g.Expect(code).To(Equal(ExitFailure))
}

// A job's trace must show the lines about the time in which it, or one of its tasks, had
// no run.
func TestTraceShowsJobWithoutRun(t *testing.T) {
	g := NewWithT(t)
	a := writeLog(g, t.TempDir(), "a",
		`{"level":"warn","host":"a","pool":"p","job":"00aa","reason":"start-not-sent","no_run_for":1500,"token":7,"time":"2026-03-21T16:19:25.1Z","message":"job has no run"}`,
		`{"level":"info","host":"a","pool":"p","no-resources":12,"jobs":12,"time":"2026-03-21T16:19:25.1Z","message":"jobs have no run"}`,
		`{"level":"info","host":"a","pool":"p","job":"00aa","task":"00aa.0.0.1","reason":"start-not-sent","no_run_for":1700,"time":"2026-03-21T16:19:25.3Z","message":"job runs again"}`)
	_, out, _ := runTrace("00aa", a)
	g.Expect(out).To(Equal("16:19:25.100 warn  a: job has no run job=00aa no_run_for=1500 pool=p reason=start-not-sent token=7\n" +
		"16:19:25.300 info  a: job runs again job=00aa no_run_for=1700 pool=p reason=start-not-sent task=00aa.0.0.1\n"))
	_, out, _ = runTrace("p", a)
	g.Expect(out).To(ContainSubstring("jobs have no run jobs=12 no-resources=12 pool=p"))
}

// A trace must show where lines may be missing.
func TestTraceShowsGaps(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	gap := `{"level":"warn","host":"b","lines":40,"time":"2026-03-21T16:19:25.2Z","message":"log lines dropped"}`
	a := writeLog(g, dir, "a", `{"level":"info","host":"a","job":"00aa","time":"2026-03-21T16:19:25.1Z","message":"job accepted"}`)
	b := writeLog(g, dir, "b", gap)
	code, out, _ := runTrace("00aa", a, b)
	g.Expect(code).To(Equal(ExitOK))
	g.Expect(out).To(Equal("16:19:25.100 info  a: job accepted job=00aa\n16:19:25.200 warn  b: log lines dropped lines=40\n"))
	code, _, errOut := runTrace("00aa", b)
	g.Expect(code).To(Equal(ExitFailure))
	g.Expect(errOut).To(ContainSubstring("no line in 1 files names 00aa, and 1 tell of dropped lines"))
}
