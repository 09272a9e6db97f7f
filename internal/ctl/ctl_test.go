package ctl_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/ctl"
	"greengagedeck/internal/decision"
	"greengagedeck/internal/gateway"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
	"greengagedeck/internal/replica"
)

// folding is an appender that folds at once, without a log.
type folding struct {
	r    *replica.Replica
	down bool
}

func (f *folding) Append(_ context.Context, rec record.Record) (replica.Applied, error) {
	if f.down {
		return replica.Applied{}, replica.ErrUndecided
	}
	data, err := record.Encode(rec)
	if err != nil {
		return replica.Applied{}, err
	}
	f.r.Fold([]platform.LogRecord{{Offset: f.r.State().Offset + 1, Data: data}})
	d, _ := f.r.State().Decisions.ByID(rec.ID)
	out := record.Outcome{Accepted: d.Accepted, Reason: d.Refusal, Subjects: d.Subjects}
	return replica.Applied{Offset: d.Offset, Outcome: out}, nil
}

type noTraces struct{}

func (noTraces) Trace(context.Context, string) []decision.Trace { return nil }

type noReports struct{}

func (noReports) Burn(string) (string, []byte, error)     { return "text/plain", []byte("burn\n"), nil }
func (noReports) Measures(string) (string, []byte, error) { return "text/plain", []byte("m\n"), nil }

// fleet is one daemon's administration API on a loopback listener.
type fleet struct {
	url string
	app *folding
}

func newFleet(t *testing.T, tokens ...gateway.Token) *fleet {
	t.Helper()
	g := NewWithT(t)
	r := replica.New()
	f := &fleet{app: &folding{r: r}}
	admin := gateway.NewAdmin(gateway.AdminOptions{
		Self: "d1", Tokens: tokens, State: r.State, Appender: f.app,
		Status: func() gateway.Status {
			return gateway.Status{Daemon: "d1", CatalogueVersion: r.State().Catalogue.Version}
		},
		Ready:   func() bool { return true },
		Reports: noReports{}, Traces: noTraces{}, Logger: zerolog.Nop(),
		Metrics: func(*fasthttp.RequestCtx) {},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := &fasthttp.Server{Handler: admin.Handler()}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	f.url = "http://" + ln.Addr().String()
	return f
}

func (f *fleet) run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	n := len(args)
	if n > 0 && !strings.HasPrefix(args[0], "-") && args[0] != "nothing" {
		at := 1
		if args[0] == "catalogue" || args[0] == "report" {
			at = 2
		}
		args = append(append(append([]string{}, args[:at]...), "-server", f.url), args[at:]...)
	}
	code = ctl.Run(context.Background(), args, ctl.Options{Out: &o, ErrOut: &e, Release: "r1"})
	return code, o.String(), e.String()
}

func write(t *testing.T, content string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), "c.yaml")
	NewWithT(t).Expect(os.WriteFile(p, []byte(content), 0o600)).To(Succeed())
	return p
}

const example = "../../examples/kumot.yaml"

func TestApplyGetAndEdit(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	code, out, errOut := f.run("catalogue", "apply", example)
	g.Expect(code).To(Equal(ctl.ExitOK), errOut)
	g.Expect(out).To(ContainSubstring("version 1: changed 69 objects"))

	code, out, _ = f.run("catalogue", "apply", example)
	g.Expect(code).To(Equal(ctl.ExitOK))
	g.Expect(out).To(ContainSubstring("nothing to change"))

	code, out, _ = f.run("catalogue", "get")
	g.Expect(code).To(Equal(ctl.ExitOK))
	g.Expect(out).To(ContainSubstring("version: 1"))
	code, _, errOut = f.run("catalogue", "apply", write(t, out))
	g.Expect(code).To(Equal(ctl.ExitOK), errOut)

	one := write(t, "teams:\n  - {name: stock, rate: 5, burst: 5, weight: 1}\n")
	code, out, _ = f.run("catalogue", "apply", "-operator", "ana", one)
	g.Expect(code).To(Equal(ctl.ExitOK))
	g.Expect(out).To(ContainSubstring("changed 1 objects: team/stock"))

	stale := write(t, "version: 1\nteams:\n  - {name: stock, rate: 6, burst: 5, weight: 1}\n")
	code, _, errOut = f.run("catalogue", "apply", stale)
	g.Expect(code).To(Equal(ctl.ExitConflict))
	g.Expect(errOut).To(ContainSubstring("team/stock was changed by ana at version 2"))

	code, out, _ = f.run("catalogue", "history")
	g.Expect(code).To(Equal(ctl.ExitOK))
	g.Expect(out).To(ContainSubstring("refused"))
	code, out, _ = f.run("explain", "team", "stock")
	g.Expect(code).To(Equal(ctl.ExitOK))
	g.Expect(out).To(ContainSubstring("edit by ana"))
}

func TestRepeatedEditIsDecidedOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	id := "01M904GS00RPVNAV3ZEEHW8BY5"
	_, first, _ := f.run("catalogue", "apply", "-id", id, example)
	one := write(t, "teams:\n  - {name: stock, rate: 5, burst: 5, weight: 1}\n")
	code, again, _ := f.run("catalogue", "apply", "-id", id, one)
	g.Expect(code).To(Equal(ctl.ExitOK))
	g.Expect(again).To(Equal(first))
	g.Expect(f.app.r.State().Offset).To(BeEquivalentTo(1))
}

func TestExitCodes(t *testing.T) {
	bad := write(t, "pools:\n  - {name: p, owner: nobody}\n")
	f := newFleet(t)
	tests := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"version", []string{"-version"}, ctl.ExitOK, "r1"},
		{"help", []string{"-help"}, ctl.ExitOK, "catalogue"},
		{"unknown command", []string{"nothing"}, ctl.ExitUsage, `unknown command "nothing"`},
		{"unknown flag", []string{"status", "-colour"}, ctl.ExitUsage, "colour"},
		{"no file", []string{"catalogue", "apply"}, ctl.ExitUsage, "exactly one FILE"},
		{"missing file", []string{"catalogue", "validate", "none.yaml"}, ctl.ExitFailure, "none.yaml"},
		{"invalid file", []string{"catalogue", "validate", bad}, ctl.ExitFailure, `c.yaml:2: pool/p: unknown team "nobody"`},
		{"invalid file at the daemon", []string{"catalogue", "apply", bad}, ctl.ExitFailure, `c.yaml:2: pool/p: unknown team "nobody"`},
		{"nothing known", []string{"explain", "host", "none"}, ctl.ExitNotFound, "nothing is known about host/none"},
		{"report", []string{"report", "burn"}, ctl.ExitOK, "burn"},
		{"status", []string{"status"}, ctl.ExitOK, "catalogue version 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			code, out, errOut := f.run(tt.args...)
			g.Expect(code).To(Equal(tt.code), out+errOut)
			g.Expect(out + errOut).To(ContainSubstring(tt.says))
		})
	}
	g := NewWithT(t)
	g.Expect(f.app.r.State().Offset).To(BeZero(), "nothing changed")
}

func TestEditWhileTheLogIsDown(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.app.down = true
	code, _, errOut := f.run("catalogue", "apply", example)
	g.Expect(code).To(Equal(ctl.ExitUnavailable))
	g.Expect(errOut).To(ContainSubstring("send it again with this id"))
}

func TestTeamEditsItsOwnEntriesOnly(t *testing.T) {
	f := newFleet(t, gateway.Token{Team: "admin", Secret: "a"}, gateway.Token{Team: "stock", Secret: "s"})
	NewWithT(t).Expect(first(f.run("catalogue", "apply", "-token", "a", example))).To(Equal(ctl.ExitOK))
	entry := func(name, owner string) string {
		return "entries:\n  - {name: " + name + ", owner: " + owner + ", pool: imbak-stock, class: short, limits: {deadline: 1s}}\n"
	}
	tests := []struct {
		name, token, file string
		code              int
	}{
		{"no token", "", entry("restock", "stock"), ctl.ExitFailure},
		{"wrong token", "x", entry("restock", "stock"), ctl.ExitFailure},
		{"own entry", "s", entry("restock", "stock"), ctl.ExitOK},
		{"another team's entry", "s", entry("reserve", "stock"), ctl.ExitFailure},
		{"giving an entry away", "s", entry("restock", "laundry"), ctl.ExitFailure},
		{"a pool", "s", "pools:\n  - {name: imbak-stock, owner: stock, slots_per_host: 8, connections_per_host: 64}\n", ctl.ExitFailure},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, out, errOut := f.run("catalogue", "apply", "-token", tt.token, write(t, tt.file))
			NewWithT(t).Expect(code).To(Equal(tt.code), out+errOut)
		})
	}
	g := NewWithT(t)
	_, out, _ := f.run("catalogue", "get", "-token", "s")
	g.Expect(out).To(ContainSubstring("name: restock"))
	g.Expect(out).NotTo(ContainSubstring("name: reserve\n"))
}

func first(code int, _, _ string) int { return code }

func TestNextServerAnswersWhenTheFirstIsGone(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	gone := "http://" + ln.Addr().String()
	g.Expect(ln.Close()).To(Succeed())
	f := newFleet(t)
	var out, errOut bytes.Buffer
	code := ctl.Run(context.Background(), []string{"status", "-server", gone + "," + f.url}, ctl.Options{Out: &out, ErrOut: &errOut})
	g.Expect(code).To(Equal(ctl.ExitOK), errOut.String())
}
