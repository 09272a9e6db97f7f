package ctl_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
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

// immediateAppender applies each record at once, without a log.
type immediateAppender struct {
	r       *replica.Replica
	logDown bool
}

func (f *immediateAppender) Append(_ context.Context, rec record.Record) (replica.ApplyResult, error) {
	if f.logDown {
		return replica.ApplyResult{}, replica.ErrOutcomePending
	}
	data, err := record.Encode(rec)
	if err != nil {
		return replica.ApplyResult{}, err
	}
	f.r.Apply([]platform.LogRecord{{Offset: f.r.State().Offset + 1, Data: data}})
	d, _ := f.r.State().Decisions.ByID(rec.ID)
	out := record.Outcome{Accepted: d.Accepted, Reason: d.Refusal, Subjects: d.Subjects}
	return replica.ApplyResult{Offset: d.Offset, Outcome: out}, nil
}

type noTraces struct{}

func (noTraces) Trace(context.Context, string) []decision.Trace { return nil }

type noReports struct{}

func (noReports) Burn(string) (string, []byte, error)     { return "text/plain", []byte("burn\n"), nil }
func (noReports) Measures(string) (string, []byte, error) { return "text/plain", []byte("m\n"), nil }

// adminServer is one daemon's administration API on a loopback listener.
type adminServer struct {
	url      string
	appender *immediateAppender
}

func newAdminServer(tokens ...gateway.Token) *adminServer {
	r := replica.New()
	f := &adminServer{appender: &immediateAppender{r: r}}
	admin := gateway.NewAdminAPI(gateway.AdminOptions{
		Self: "d1", Tokens: tokens, State: r.State, Appender: f.appender,
		Status: func() gateway.Status {
			return gateway.Status{Daemon: "d1", CatalogueVersion: r.State().Catalogue.Version}
		},
		Ready:   func() bool { return true },
		Reports: noReports{}, Traces: noTraces{}, Logger: zerolog.Nop(),
		Metrics: func(*fasthttp.RequestCtx) {},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &fasthttp.Server{Handler: admin.Handler()}
	go func() { _ = s.Serve(ln) }()
	DeferCleanup(s.Shutdown)
	f.url = "http://" + ln.Addr().String()
	return f
}

func (f *adminServer) run(args ...string) (code int, out, errOut string) {
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

// writeCatalogue returns the path of a catalogue file with the content.
func writeCatalogue(content string) string {
	p := filepath.Join(GinkgoT().TempDir(), "c.yaml")
	Expect(os.WriteFile(p, []byte(content), 0o600)).To(Succeed())
	return p
}

const (
	example  = "../../examples/kumot.yaml"
	oneTeam  = "teams:\n  - {name: stock, rate: 5, burst: 5, weight: 1}\n"
	badOwner = "pools:\n  - {name: p, owner: nobody}\n"
)

func TestCommandLine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "greengagectl")
}

var _ = Describe("catalogue", func() {
	var f *adminServer

	BeforeEach(func() { f = newAdminServer() })

	It("applies a file and reports when nothing changes", func() {
		code, out, errOut := f.run("catalogue", "apply", example)
		Expect(code).To(Equal(ctl.ExitOK), errOut)
		Expect(out).To(ContainSubstring("version 1: changed 69 objects"))
		code, out, _ = f.run("catalogue", "apply", example)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("nothing to change"))
	})

	It("prints a file that can be applied again", func() {
		f.run("catalogue", "apply", example)
		code, out, _ := f.run("catalogue", "get")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("version: 1"))
		code, _, errOut := f.run("catalogue", "apply", writeCatalogue(out))
		Expect(code).To(Equal(ctl.ExitOK), errOut)
	})

	It("changes only the objects of a partial file and explains the change", func() {
		f.run("catalogue", "apply", example)
		code, out, _ := f.run("catalogue", "apply", "-operator", "ana", writeCatalogue(oneTeam))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("changed 1 objects: team/stock"))
		code, out, _ = f.run("explain", "team", "stock")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("edit by ana"))
	})

	It("reports the conflicting edit on a version conflict", func() {
		f.run("catalogue", "apply", example)
		f.run("catalogue", "apply", "-operator", "ana", writeCatalogue(oneTeam))
		stale := writeCatalogue("version: 1\nteams:\n  - {name: stock, rate: 6, burst: 5, weight: 1}\n")
		code, _, errOut := f.run("catalogue", "apply", stale)
		Expect(code).To(Equal(ctl.ExitConflict))
		Expect(errOut).To(ContainSubstring("team/stock was changed by ana at version 2"))
		code, out, _ := f.run("catalogue", "history")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("refused"))
	})

	It("applies a repeated edit only once", func() {
		id := "01M904GS00RPVNAV3ZEEHW8BY5"
		_, first, _ := f.run("catalogue", "apply", "-id", id, example)
		code, again, _ := f.run("catalogue", "apply", "-id", id, writeCatalogue(oneTeam))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(again).To(Equal(first))
		Expect(f.appender.r.State().Offset).To(BeEquivalentTo(1))
	})

	It("asks to retry while the log is down", func() {
		f.appender.logDown = true
		code, _, errOut := f.run("catalogue", "apply", example)
		Expect(code).To(Equal(ctl.ExitUnavailable))
		Expect(errOut).To(ContainSubstring("send it again with this id"))
	})
})

var _ = DescribeTable("exit codes",
	func(code int, want string, args ...string) {
		f := newAdminServer()
		for i, a := range args {
			if a == "BAD" {
				args[i] = writeCatalogue(badOwner)
			}
		}
		got, out, errOut := f.run(args...)
		Expect(got).To(Equal(code), out+errOut)
		Expect(out + errOut).To(ContainSubstring(want))
		Expect(f.appender.r.State().Offset).To(BeZero(), "nothing changed")
	},
	Entry("version", ctl.ExitOK, "r1", "-version"),
	Entry("help", ctl.ExitOK, "catalogue", "-help"),
	Entry("unknown command", ctl.ExitUsage, `unknown command "nothing"`, "nothing"),
	Entry("unknown flag", ctl.ExitUsage, "colour", "status", "-colour"),
	Entry("no file", ctl.ExitUsage, "exactly one FILE", "catalogue", "apply"),
	Entry("missing file", ctl.ExitFailure, "none.yaml", "catalogue", "validate", "none.yaml"),
	Entry("invalid file", ctl.ExitFailure, `c.yaml:2: pool/p: unknown team "nobody"`, "catalogue", "validate", "BAD"),
	Entry("invalid file at the daemon", ctl.ExitFailure, `c.yaml:2: pool/p: unknown team "nobody"`, "catalogue", "apply", "BAD"),
	Entry("unknown subject", ctl.ExitNotFound, "nothing is known about host/none", "explain", "host", "none"),
	Entry("report", ctl.ExitOK, "burn", "report", "burn"),
	Entry("status", ctl.ExitOK, "catalogue version 0", "status"),
)

func entryFile(name, owner string) string {
	return "entries:\n  - {name: " + name + ", owner: " + owner + ", pool: imbak-stock, class: short, limits: {deadline: 1s}}\n"
}

var _ = Describe("a team's token", func() {
	var f *adminServer

	BeforeEach(func() {
		f = newAdminServer(gateway.Token{Team: "admin", Secret: "a"}, gateway.Token{Team: "stock", Secret: "s"})
		code, _, errOut := f.run("catalogue", "apply", "-token", "a", example)
		Expect(code).To(Equal(ctl.ExitOK), errOut)
	})

	DescribeTable("edits its own entries only",
		func(code int, token, file string) {
			got, out, errOut := f.run("catalogue", "apply", "-token", token, writeCatalogue(file))
			Expect(got).To(Equal(code), out+errOut)
		},
		Entry("no token", ctl.ExitFailure, "", entryFile("restock", "stock")),
		Entry("wrong token", ctl.ExitFailure, "x", entryFile("restock", "stock")),
		Entry("own entry", ctl.ExitOK, "s", entryFile("restock", "stock")),
		Entry("another team's entry", ctl.ExitFailure, "s", entryFile("reserve", "stock")),
		Entry("transferring an entry", ctl.ExitFailure, "s", entryFile("restock", "laundry")),
		Entry("a pool", ctl.ExitFailure, "s", "pools:\n  - {name: imbak-stock, owner: stock, slots_per_host: 8, connections_per_host: 64}\n"),
	)

	It("reads its own entries only", func() {
		_, out, _ := f.run("catalogue", "get", "-token", "s")
		Expect(out).To(ContainSubstring("name: restock"))
		Expect(out).NotTo(ContainSubstring("name: reserve\n"))
	})
})

var _ = Describe("servers", func() {
	It("are tried in order", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gone := "http://" + ln.Addr().String()
		Expect(ln.Close()).To(Succeed())
		f := newAdminServer()
		var out, errOut bytes.Buffer
		code := ctl.Run(context.Background(), []string{"status", "-server", gone + "," + f.url}, ctl.Options{Out: &out, ErrOut: &errOut})
		Expect(code).To(Equal(ctl.ExitOK), errOut.String())
	})
})
