package fleetview

import (
	"encoding/json"
	"fmt"
	"net/url"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
)

const jobID job.ID = "00000000000000aa"

// Guards against one holder that does not answer and hides what the others know, holds up
// the answer, or is not named.
func TestPoolsWithoutAnswerAreNamedAndTheOthersShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFakeFleet("gone", "here", "lost", "moved", "none", "well")
		f.silent["lost"], f.gone["gone"], f.released["none"] = true, true, true
		f.runners["moved"] = nil
		f.runners["here"].customers = []scheduler.CustomerStatus{status("labada", 2, 1)}
		f.runners["well"].customers = []scheduler.CustomerStatus{status("", 1, 0), status("labada", 3, 4)}
		f.runners["well"].jobs[jobID] = scheduler.JobExplanation{ID: jobID, Pool: "well"}
		s := f.service(customer.Customer{ID: "imbak", Weight: 2}, customer.Customer{ID: "labada", Weight: 1})
		unanswered := []Unanswered{
			{"gone", "gone#1", "the daemon is not reached"},
			{"lost", "lost#1", "no answer in 400ms"},
			{"moved", "moved#1", errNotHeld.Error()},
			{"none", "", errNoHolder.Error()},
		}

		start := time.Now()
		var list CustomerList
		getInto(g, s, "/v1/customers", &list)
		g.Expect(time.Since(start)).To(Equal(askTimeout))
		g.Expect(list.Unanswered).To(Equal(unanswered))
		g.Expect(list.Pools).To(Equal(6))
		var names []string
		for _, c := range list.Customers {
			names = append(names, fmt.Sprintf("%s %t %d %d", c.Name, c.Configured, c.TasksRunning, c.PoolsUsed))
		}
		g.Expect(names).To(Equal([]string{"- false 1 1", "imbak true 0 0", "labada true 5 2"}))

		var one CustomerView
		getInto(g, s, "/v1/customers/labada", &one)
		g.Expect(one.Unanswered).To(Equal(unanswered))
		g.Expect(one.ByPool).To(HaveLen(2))
		g.Expect(one.OldestWaitMs).To(BeEquivalentTo(4000))
		getInto(g, s, "/v1/customers/-", &one)
		g.Expect(one.TasksRunning).To(Equal(1))

		var view JobView
		getInto(g, s, "/v1/jobs/"+string(jobID), &view)
		g.Expect(view.Daemon).To(Equal("well#1"))
		g.Expect(view.Unanswered).To(Equal(unanswered))
	})
}

// Guards against an answer that says unknown while a pool that may know it is silent, and
// against bad names that are taken for unknown ones.
func TestUnknownAndBadNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFakeFleet("here", "well")
		s := f.service()
		expect := func(path string, want int, message string) {
			got, body := get(s, path)
			g.Expect(got).To(Equal(want), "%s", body)
			var e errorBody
			g.Expect(json.Unmarshal([]byte(body), &e)).To(Succeed())
			g.Expect(e.Error).To(ContainSubstring(message))
		}
		expect("/v1/customers/labada", fasthttp.StatusNotFound, `has no customer "labada", and no pool has work of it`)
		expect("/v1/jobs/"+string(jobID), fasthttp.StatusNotFound, "no pool knows job 00000000000000aa")
		for _, id := range []string{"00aa", "00000000000000AA", "00000000000000aa/x"} {
			expect("/v1/jobs/"+id, fasthttp.StatusBadRequest, "16 digits")
		}
		expect("/v1/customers/%ff", fasthttp.StatusBadRequest, "UTF-8")
		expect("/v1/customers/a%0ab", fasthttp.StatusBadRequest, "control characters")
		expect("/v1/customers?after=a%0ab", fasthttp.StatusBadRequest, "control characters")

		f.runners["well"].lag = maxLag
		expect("/v1/jobs/"+string(jobID), fasthttp.StatusServiceUnavailable, "no answer came for pool well")
		f.silent["well"] = true
		expect("/v1/customers/labada", fasthttp.StatusServiceUnavailable, "no answer came for pool well")
		f.runners["here"].customers = []scheduler.CustomerStatus{status("a/b c", 1, 0)}
		got, _ := get(s, "/v1/customers/"+url.PathEscape("a/b c"))
		g.Expect(got).To(Equal(fasthttp.StatusOK), "a name with a slash and a space")

		s.opt.Policy = &policy.Current{}
		expect("/v1/customers", fasthttp.StatusServiceUnavailable, "no configuration yet")
	})
}

// Guards against answers that grow beyond what a link carries beside other messages: 57
// pools with 250 customers must be answered in under a second.
func TestAnswersOfLargeFleetAreSmall(t *testing.T) {
	const pools, customers = 57, 250
	g := NewWithT(t)
	f := newFakeFleet()
	all, statuses := numbered(customers)
	for i := range pools {
		f.runners[fmt.Sprintf("pool-%02d", i)] = &fakeRunner{customers: statuses}
	}
	s := f.service(all...)
	status, body := get(s, "/v1/customers")
	g.Expect(status).To(Equal(fasthttp.StatusOK))
	g.Expect(f.calls).To(Equal(pools), "one call for each pool")
	total := 0
	for _, n := range f.answerBytes {
		total += n
	}
	t.Logf("%d bytes from %d pools, %d bytes of JSON", total, pools, len(body))
	g.Expect(total).To(BeNumerically("<", 2<<20))
	g.Expect(len(body)).To(BeNumerically("<", 128<<10))

	f.answerBytes = nil
	_, body = get(s, "/v1/customers/customer-0007")
	for _, n := range f.answerBytes {
		g.Expect(n).To(BeNumerically("<", 200), "only the customer that is asked for")
	}
	g.Expect(len(body)).To(BeNumerically("<", 32<<10))
}

// Guards against customers that are lost between two pages, or shown with the work of some
// of their pools only.
func TestCustomersArePaged(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet("a", "b", "here")
	_, statuses := numbered(1234)
	f.runners["a"].customers = statuses
	f.runners["b"].customers = statuses[100:]
	f.runners["here"].customers = statuses[:1200:1200]
	s := f.service()
	seen, tasks, path := 0, 0, "/v1/customers"
	for path != "" {
		var page CustomerList
		getInto(g, s, path, &page)
		g.Expect(len(page.Customers)).To(BeNumerically("<=", maxCustomers))
		for _, c := range page.Customers {
			g.Expect(c.Name).To(Equal(string(statuses[seen].Customer)))
			seen++
			tasks += c.TasksRunning
		}
		if path = ""; page.Next != "" {
			path = "/v1/customers?after=" + url.QueryEscape(page.Next)
		}
	}
	g.Expect(seen).To(Equal(len(statuses)))
	want := 0
	for _, part := range [][]scheduler.CustomerStatus{statuses, statuses[100:], statuses[:1200]} {
		for _, c := range part {
			want += c.TasksRunning
		}
	}
	g.Expect(tasks).To(Equal(want))
}

// Guards against changes of the answers that break what operators' programs read, and
// against a key in an answer.
func TestShapeOfAnswers(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet("here")
	grant := job.Resources{CPU: 500}
	c := status("labada", 2, 1)
	c.Grant, c.Weight, c.Share = &grant, 3, 0.25
	f.runners["here"].customers = []scheduler.CustomerStatus{c}
	f.runners["here"].jobs[jobID] = scheduler.JobExplanation{
		ID: jobID, Phase: job.Running, Customer: "labada", Entry: "e", Pool: "here", Priority: 1, Open: true,
		Age: 2 * time.Second, Objective: time.Second, Slack: -time.Second, Repeats: true, DueIn: time.Second,
		Steps: []scheduler.StepExplanation{{Step: 1, Tasks: 2, Running: 1, Waiting: 1, Reason: scheduler.NoRunNoLabel, WaitingFor: time.Second, Need: job.Resources{GPU: 1}}},
		Runs:  []scheduler.RunExplanation{{Task: "00000000000000aa.0.1.0", Number: 1, Worker: "w", Reason: scheduler.NoRunStopping, Since: time.Second, StopReason: "move"}},
	}
	s := f.service(customer.Customer{ID: "labada", Weight: 3, Limit: job.Resources{CPU: 2000}})
	load := `"jobs_running": 2, "jobs_waiting": 1, "tasks_running": 2, "tasks_waiting": 1, "runs": 2, "oldest_wait_ms": 1000,
		"used": {"cpu": 200, "memory_mb": 0, "gpu": 0}, "wanted": {"cpu": 100, "memory_mb": 0, "gpu": 0}, "waits": {"no-resources": 1}`
	one := `"customer": "labada", "configured": true, "weight": 3, "limit": {"cpu": 2000, "memory_mb": 0, "gpu": 0}, "pools_used": 1, ` + load
	for path, want := range map[string]string{
		"/v1/customers": `{"customers": [{` + one + `}], "pools": 1, "unanswered": []}`,
		"/v1/customers/labada": `{` + one + `, "pools": 1, "unanswered": [], "by_pool": [{
			"pool": "here", "daemon": "here#1", "grant": {"cpu": 500, "memory_mb": 0, "gpu": 0}, "weight": 3, "share": 0.25, ` + load + `}]}`,
		"/v1/jobs/" + string(jobID): `{"job": "00000000000000aa", "phase": "running", "customer": "labada", "entry": "e", "pool": "here",
			"daemon": "here#1", "open": true, "priority": 1, "age_ms": 2000, "objective_ms": 1000, "slack_ms": -1000, "next_due_ms": 1000,
			"steps": [{"occurrence": 0, "step": 1, "tasks": 2, "done": 0, "running": 1, "waiting": 1, "reason": "no-label", "waiting_ms": 1000,
				"need": {"cpu": 0, "memory_mb": 0, "gpu": 1}, "most_free_cpu": 0}], "steps_left_out": 0,
			"runs": [{"task": "00000000000000aa.0.1.0", "run": 1, "worker": "w", "active": false, "reason": "run-stopping",
				"since_ms": 1000, "silent_ms": 0, "stopped_for": "move"}], "runs_left_out": 0, "unanswered": []}`,
	} {
		status, body := get(s, path)
		g.Expect(status).To(Equal(fasthttp.StatusOK))
		g.Expect(body).To(MatchJSON(want))
		g.Expect(body).NotTo(ContainSubstring(secret))
	}
}

// Guards against a type of an answer or message that could carry a key.
func TestAnswersHaveNoRoomForKeys(t *testing.T) {
	g := NewWithT(t)
	var walk func(v reflect.Type)
	walk = func(v reflect.Type) {
		g.Expect(v).NotTo(BeElementOf(reflect.TypeFor[customer.Row](), reflect.TypeFor[customer.Directory]()))
		switch v.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Map:
			walk(v.Elem())
		case reflect.Struct:
			for i := range v.NumField() {
				g.Expect(v.Field(i).Name).NotTo(MatchRegexp("(?i)key|secret|token"))
				if v != reflect.TypeFor[time.Time]() {
					walk(v.Field(i).Type)
				}
			}
		}
	}
	for _, v := range []any{CustomerList{}, CustomerView{}, JobView{}, errorBody{}, CustomersRequest{}, CustomersResponse{}, JobRequest{}, JobResponse{}} {
		walk(reflect.TypeOf(v))
	}
}
