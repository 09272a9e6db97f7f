package ctl_test

import (
	"bytes"
	"context"
	"net"
	"time"

	"github.com/fasthttp/router"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/ctl"
	"greengagedeck/internal/customer"
	"greengagedeck/internal/duty"
	"greengagedeck/internal/fleetview"
	"greengagedeck/internal/job"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
)

// fleetPool is a pool that the daemon that is asked holds.
type fleetPool struct{}

func (fleetPool) Customers() []scheduler.CustomerStatus {
	return []scheduler.CustomerStatus{{
		Customer: "labada", JobsRunning: 2, TasksRunning: 4, TasksWaiting: 3, Used: job.Resources{CPU: 800, MemoryMB: 64},
		Wanted: job.Resources{CPU: 600}, OldestWait: 1500 * time.Millisecond, Grant: &job.Resources{CPU: 900}, Weight: 2, Share: 0.125,
		Waits: map[scheduler.NoRunReason]int{scheduler.NoRunCustomerLimit: 2, scheduler.NoRunNoLabel: 1},
	}}
}

func (fleetPool) Explain(id job.ID) (scheduler.JobExplanation, bool) {
	return scheduler.JobExplanation{
		ID: id, Phase: job.Running, Customer: "labada", Entry: "e", Pool: "p", Open: true, Age: time.Second, Objective: 3 * time.Second,
		Steps: []scheduler.StepExplanation{{Tasks: 2, Running: 1, Waiting: 1, Reason: scheduler.NoRunNoResources, WaitingFor: time.Second, MostFreeCPU: 40}},
		Runs:  []scheduler.RunExplanation{{Task: string(id) + ".0.0.0", Number: 1, Worker: "w-7", Active: true, Since: time.Second}},
	}, id == "00000000000000aa"
}

func (fleetPool) Lookup(job.ID) (scheduler.JobStatus, bool) { return scheduler.JobStatus{}, true }

// fleetHolders has the daemon hold every pool but "q", which has no holder.
type fleetHolders struct{}

func (fleetHolders) Holder(n duty.Name) (duty.Claim, bool) {
	return duty.Claim{Duty: n}, n != duty.OfPool("q")
}

// newFleetServer returns the address of a fleet daemon's administration port.
func newFleetServer(pools ...policy.Pool) string {
	p := policy.New(1, nil, pools, policy.Limits{})
	p.Customers = customer.NewDirectory([]customer.Row{{Customer: customer.Customer{ID: "imbak", Weight: 1.5, Limit: job.Resources{CPU: 4000}}, Keys: []string{"k-3f9a77c1"}}})
	current := &policy.Current{}
	current.Set(p)
	r := router.New()
	fleetview.NewService(fleetview.Options{
		Policy: current, Holders: fleetHolders{}, Local: func(string) (fleetview.Runner, bool) { return fleetPool{}, true },
	}).Route(r)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &fasthttp.Server{Handler: r.Handler}
	go func() { _ = s.Serve(ln) }()
	DeferCleanup(s.Shutdown)
	return "http://" + ln.Addr().String()
}

// Guards against output that leaves out a customer, a reason or a pool that did not
// answer, that shows a key, and against exit codes that differ from those of other commands.
var _ = DescribeTable("customers and jobs of a fleet",
	func(code int, want []string, args ...string) {
		pools := []policy.Pool{{Name: "p"}, {Name: "q"}}
		if args[0] == "answered" {
			pools, args = pools[:1], args[1:]
		}
		var out, errOut bytes.Buffer
		args = append([]string{args[0], "-server", newFleetServer(pools...)}, args[1:]...)
		got := ctl.Run(context.Background(), args, ctl.Options{Out: &out, ErrOut: &errOut})
		text := out.String() + errOut.String()
		Expect(got).To(Equal(code), "%s", text)
		for _, w := range want {
			Expect(text).To(MatchRegexp(w))
		}
		Expect(text).NotTo(ContainSubstring("k-3f9a77c1"))
	},
	Entry("list", ctl.ExitOK, []string{
		`imbak +1.5 +cpu 4000 +0 +0 +0 +0 +0 +0 +- +0 `, `labada +- +- +cpu 800 mb 64 +cpu 600 +2 +0 +4 +3 +1.5s +1 +customer-limit 2, no-label 1`,
		`1 of 2 pools did not answer`, `pool q, held by no daemon: no daemon is known to hold the pool`,
	}, "customers"),
	Entry("list as JSON", ctl.ExitOK, []string{`"unanswered":\[\{"pool":"q"`}, "customers", "-o", "json"),
	Entry("list after a name", ctl.ExitOK, []string{`CUSTOMER.*\nlabada`}, "customers", "-after", "imbak"),
	Entry("list with an argument", ctl.ExitUsage, []string{"takes no argument"}, "customers", "imbak"),
	Entry("customer", ctl.ExitOK, []string{
		"customer labada, weight -, limit -, uses cpu 800 mb 64, wants cpu 600 more", `p +cpu 900 +cpu 800 mb 64 +cpu 600 +12.5% +2 +2 +0 +4 +3 +1.5s +customer-limit 2, no-label 1`, "1 of 2 pools",
	}, "explain", "customer", "labada"),
	Entry("customer without work", ctl.ExitOK, []string{"customer imbak, weight 1.5, limit cpu 4000, uses 0"}, "explain", "customer", "imbak"),
	Entry("unknown customer", ctl.ExitNotFound, []string{`no customer "nobody"`}, "answered", "explain", "customer", "nobody"),
	Entry("customer that a silent pool may know", ctl.ExitUnavailable, []string{"no answer came for pool q"}, "explain", "customer", "nobody"),
	Entry("customer without a name", ctl.ExitUsage, []string{"needs a name"}, "explain", "customer", ""),
	Entry("job", ctl.ExitOK, []string{
		"job 00000000000000aa, running, customer labada, pool p", "entry e, priority 0, age 1s, objective 3s", `0.0 +2 +0 +1 +1 +1s +no-resources \(most free: cpu 40\)`, `00000000000000aa.0.0.0 +1 +w-7 +active +1s`,
	}, "explain", "job", "00000000000000aa"),
	Entry("unknown job", ctl.ExitNotFound, []string{"no pool knows job 00000000000000ff"}, "answered", "explain", "job", "00000000000000ff"),
	Entry("malformed job ID", ctl.ExitFailure, []string{"16 digits"}, "explain", "job", "00ff"),
)
