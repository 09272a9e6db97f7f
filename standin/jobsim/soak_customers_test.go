package jobsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore/logtest"
)

const (
	// versionGrace is how long a version may take to be in effect where daemons reach others.
	versionGrace = 3 * time.Second
	// limitGrace is for how long after its successor a version's limits count.
	limitGrace = 5 * time.Second
	publicPath = "/open/"
)

// callers are no customer, which uses the public entry or keys that never existed, and the
// customers. hot sends ten times as much as each of the others.
var callers = []job.CustomerID{"", "hot", "b", "c", "d"}

// customerVersion is what a version of the configuration says of customers.
type customerVersion struct {
	at     time.Time
	owners map[string]job.CustomerID // by key; the empty key is that of the public entry
	limits map[job.CustomerID]job.Resources
}

// cutOff is a time in which a daemon, or all if it is empty, reached neither the store nor
// another daemon. to is far ahead until it is over.
type cutOff struct {
	daemon   string
	from, to time.Time
}

// customerJob is a job and how it is submitted.
type customerJob struct {
	id        job.ID
	by        job.CustomerID
	key, path string
}

type customerSoak struct {
	*soak
	changes map[job.CustomerID]string // what differs from usual
	pools   []string                  // of the entries
	// publishing guards the changes, the pools and the version.
	publishing sync.Mutex
	// unconfigured is a daemon that was started while it cannot read the configuration.
	unconfigured string
	// What follows is guarded by mu, like unconfigured. counts is how often each judged situation occurred.
	jobs            []customerJob
	owners          map[job.ID]job.CustomerID
	versions        []customerVersion
	cutOffs         []*cutOff
	counts          map[string]int
	limitViolations []string
}

// locked calls f with mu held.
func (s *customerSoak) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// publish publishes a version of the configuration with the present changes.
func (s *customerSoak) publish() {
	s.version++
	v, rows := customerVersion{time.Now(), map[string]job.CustomerID{"": ""}, map[job.CustomerID]job.Resources{"": {CPU: 1 << 30, MemoryMB: 1 << 30}}}, []any{}
	for _, c := range callers[1:] {
		// Customers without a row have no limit, like work of no customer.
		cores := map[string]int{"": 8, "revoked": 8, "lowered": 1, "raised": 24, "dropped": 1 << 20}[s.changes[c]]
		v.limits[c] = job.Resources{CPU: 1000 * cores, MemoryMB: 512 * cores}
		keys := []string{fmt.Sprint("0 of ", c), fmt.Sprint("1 of ", c)}
		if s.changes[c] == "dropped" {
			continue
		} else if s.changes[c] == "revoked" {
			keys = nil
		}
		for _, k := range keys {
			v.owners[k] = c
		}
		rows = append(rows, map[string]any{"name": c, "apiKeys": keys, "weight": 20, "maxCount": map[string]int{"cpu": 1000 * cores, "taskMemoryMb": 512 * cores}})
	}
	s.locked(func() { s.versions = append(s.versions, v) })
	entry := func(path, pool string) any {
		return map[string]any{"name": path, "host": soakHost, "pathPrefix": path, "service": pool, "maxAttempts": 3, "public": path == publicPath}
	}
	s.g.Expect(s.store.Put("op", "config", map[string]any{
		"version": s.version, "tenants": rows, "services": []any{map[string]any{"name": "p"}, map[string]any{"name": "q"}},
		"routes": []any{entry("/q/", s.pools[0]), entry("/u/", s.pools[1]), entry(publicPath, "p")},
	})).To(Succeed())
}

// change publishes a version with another change of a customer or none, and at times with
// the entries in each other's pool.
func (s *customerSoak) change(r *rand.Rand) {
	s.publishing.Lock()
	s.changes[callers[1+r.IntN(len(callers)-1)]] = []string{"", "", "dropped", "revoked", "lowered", "raised"}[r.IntN(6)]
	if r.IntN(6) == 0 {
		slices.Reverse(s.pools)
	}
	s.publish()
	s.publishing.Unlock()
	time.Sleep(time.Duration(r.IntN(1600)) * time.Millisecond)
}

// knownBy returns when a version has to be in effect on a daemon.
func (s *customerSoak) knownBy(daemon string, published time.Time) time.Time {
	by := published.Add(versionGrace)
	for _, o := range s.cutOffs {
		if (o.daemon == "" || o.daemon == daemon) && o.from.Before(by) && o.to.After(published) {
			by = o.to.Add(versionGrace)
		}
	}
	return by
}

// ask makes a call and judges its answer. REFUSED is a key that every version that may be in
// effect holds, as refused by a daemon without a configuration, which has to answer 503.
// REVOKED is a call served with a key that was revoked for longer than versionGrace, as by a
// daemon that asks no other one while the store rejects its calls. UNKNOWN is one served
// with a key that no version ever held.
func (s *customerSoak) ask(d *daemon, key, method, path string, body []byte) int {
	from, before := time.Now(), ""
	s.locked(func() { before = s.unconfigured })
	status, _ := s.callWithKey(d, key, method, path, body)
	held, missing, kind := false, false, "UNKNOWN"
	s.locked(func() {
		unconfigured := before == d.name && s.unconfigured == d.name
		for i, v := range s.versions {
			_, ok := v.owners[key]
			if ok {
				kind = "REVOKED"
			}
			if i+1 == len(s.versions) || !s.knownBy(d.name, s.versions[i+1].at).Before(from) {
				held, missing = held || ok, missing || !ok
			}
		}
		if unconfigured {
			missing = false
			s.counts[fmt.Sprint("unconfigured ", status)]++
		}
		s.counts[fmt.Sprintf("%s %s %t %d", d.name, kind, held, status)]++
	})
	if status == 401 && !missing {
		kind = "REFUSED"
	} else if held || slices.Contains([]int{0, 401, 503}, status) {
		return status
	}
	s.checker.report("%s: %s answers %d to %q", kind, d.name, status, key)
	return status
}

// judgeStart guards against pools that together run more of a customer than 1.1 times the
// highest limit that counts, and one task. The lock of the RunChecker must be held.
func (s *customerSoak) judgeStart(t job.TaskID, worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, needs := s.owners[t.Job], s.checker.needs
	var used, limit job.Resources
	for other := range s.checker.running {
		if s.owners[other.Job] == owner && other != t {
			used = used.Add(needs[other.Job][other.Step])
		}
	}
	for i, v := range s.versions {
		if i+1 == len(s.versions) || time.Since(s.versions[i+1].at) <= limitGrace {
			limit = job.Resources{CPU: max(limit.CPU, v.limits[owner].CPU), MemoryMB: max(limit.MemoryMB, v.limits[owner].MemoryMB)}
		}
	}
	s.counts[fmt.Sprintf("start above half the limit %t", !used.Times(2).FitsIn(limit))]++
	if !used.Times(100).FitsIn(limit.Times(110)) {
		s.limitViolations = append(s.limitViolations, fmt.Sprintf("%s %s starts %s on %s, which needs %+v, beside %+v of %+v", time.Now().UTC().Format(timeFormat), owner, t, worker, needs[t.Job][t.Step], used, limit))
	}
}

// submitAs submits a job until it is accepted or its key is refused. A job of which all
// submissions were rejected must not run, which guards against keys that are checked after
// the job is stored, nor one with a key that never existed, whatever the answer is.
func (s *customerSoak) submitAs(r *rand.Rand, j customerJob) {
	need := job.Resources{CPU: 250 * (1 + r.IntN(4)), MemoryMB: 64 << r.IntN(3)}
	body := fmt.Appendf(nil, `{"spec":"%d","steps":[{"count":%d,"cpu":%d,"taskMemoryMb":%d},{"count":1,"cpu":%[3]d,"taskMemoryMb":%[4]d,"after":[0]}]}`,
		50+r.IntN(350), 1+r.IntN(3), need.CPU, need.MemoryMB)
	s.checker.Submitted(j.id, []job.Resources{need, need})
	s.locked(func() { s.owners[j.id] = j.by })
	rejected, status := true, 0
	for n := 0; n < 12 && status != 200 && status != 401; n++ {
		time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
		status = s.ask(s.daemons[r.IntN(len(s.daemons))], j.key, fasthttp.MethodPost, j.path, body)
		rejected = rejected && slices.Contains([]int{401, 429, 503}, status)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if rejected || j.by == "" && j.key != "" {
		s.rejected = append(s.rejected, j.id)
	} else if status == 200 {
		s.jobs = append(s.jobs, j)
	}
}

// newJob returns a job of a caller.
func newJob(r *rand.Rand, by job.CustomerID) customerJob {
	id := job.ID(fmt.Sprintf("%016x", r.Uint64()))
	if by == "" && r.IntN(2) == 0 {
		return customerJob{id, by, "", publicPath + string(id)}
	}
	return customerJob{id, by, fmt.Sprintf("%d of %s", r.IntN(2), by), []string{"/q/", "/u/"}[r.IntN(2)] + string(id)}
}

// intrude reads or cancels one of the last jobs of a customer as another caller, which must
// not see it. A cancel may be stored while no holder is reached; the job must complete.
func (s *customerSoak) intrude(d *daemon, r *rand.Rand) {
	time.Sleep(10 * time.Millisecond)
	as, recent := newJob(r, callers[r.IntN(len(callers))]), []customerJob{{}}
	s.locked(func() { recent = append(recent, s.jobs[max(0, len(s.jobs)-10):]...) })
	j := recent[r.IntN(len(recent))]
	if as.by == j.by || j.by == "" {
		return
	}
	method, path := []string{"GET", "DELETE"}[r.IntN(2)], strings.Replace(as.path, string(as.id), string(j.id), 1)
	status := s.ask(d, as.key, method, path, nil)
	if status == 200 && method == "GET" {
		s.checker.report("FOREIGN: %s shows job %s of %s to %q", d.name, j.id, j.by, as.by)
	}
}

var customerFaults = []string{"kill", "stop", "pause", "store rejects some", "store answers some not", "store rejects all", "start without configuration"}

func (s *customerSoak) injectCustomerFault(kind string, r *rand.Rand) {
	order, duration, cut := r.Perm(len(s.daemons)), time.Duration(300+r.IntN(1000))*time.Millisecond, []int{}
	d, off, lost := s.daemons[order[0]], &cutOff{from: time.Now(), to: time.Now().Add(time.Hour)}, kind == "store answers some not"
	switch kind {
	case "pause":
		off.daemon = d.name
		defer d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGSTOP)
	case "start without configuration":
		cut, duration = order[:1], duration+time.Second
	case "store rejects all":
		cut = order
	case "store rejects some", "store answers some not":
		cut, duration = order[:1+r.IntN(3)], duration+versionGrace
	}
	if kind == "store rejects some" {
		s.publishing.Lock()
		defer s.publishing.Unlock()
		clear(s.changes)
		s.publish()
		time.Sleep(duration / 8)
	}
	if kind == "pause" || kind == "store rejects all" {
		s.locked(func() { s.cutOffs = append(s.cutOffs, off) })
		defer s.locked(func() { off.to = time.Now() })
	}
	s.store.Log.SetFault(func(c logtest.Call) logtest.Fault {
		hit := slices.ContainsFunc(cut, func(i int) bool { return s.daemons[i].name == c.Client })
		// A daemon that starts listens once it has read the claims of duties.
		hit = hit && (kind != "start without configuration" || c.Partition.Topic == "op")
		return logtest.Fault{Rejected: hit && !lost, NoResponse: hit && lost, Executed: hit && lost}
	})
	defer s.store.Log.SetFault(nil)
	if kind == "store rejects some" {
		// Daemons that ask no others serve the keys until the store answers. Reads that
		// wait for a version when the fault begins end within a second.
		time.Sleep(time.Second)
		s.changes["b"], s.changes["hot"] = "revoked", "revoked"
		s.publish()
	}
	if sig, ok := map[string]syscall.Signal{"kill": syscall.SIGKILL, "stop": syscall.SIGTERM, "start without configuration": syscall.SIGKILL}[kind]; ok {
		d.signal(sig)
		_ = d.cmd.Wait()
		if kind == "start without configuration" {
			s.locked(func() { s.unconfigured = d.name })
			defer s.locked(func() { s.unconfigured = "" })
		}
		s.g.Expect(d.start()).To(Succeed())
	}
	time.Sleep(duration)
}

// runCustomerSoak runs a soak until all submissions have ended. All keys are valid then.
func runCustomerSoak(t *testing.T) *customerSoak {
	s := &customerSoak{soak: newSoak(t, 0, IdleTimeouts{}), changes: map[job.CustomerID]string{}, pools: []string{"p", "q"}, owners: map[job.ID]job.CustomerID{}, counts: map[string]int{}}
	s.client.MaxConnsPerHost = 512
	s.checker.onStart = s.judgeStart
	s.publish()
	s.startDaemonsWithViews(t)
	var load sync.WaitGroup
	r, end := rand.New(rand.NewPCG(*soakSeed, 1)), time.Now().Add(*soakDuration)
	repeat := func(f func(r *rand.Rand)) {
		own := rand.New(rand.NewPCG(*soakSeed, r.Uint64()))
		load.Go(func() {
			for time.Now().Before(end) {
				f(own)
			}
		})
	}
	repeat(s.change)
	for _, by := range slices.Concat(callers, slices.Repeat(callers[1:2], 9)) {
		repeat(func(r *rand.Rand) { s.submitAs(r, newJob(r, by)) })
	}
	for _, d := range s.daemons {
		repeat(func(r *rand.Rand) { s.intrude(d, r) })
	}
	for n, order := 0, r.Perm(len(customerFaults)); n < len(order) || time.Now().Before(end); n++ {
		kind := customerFaults[order[n%len(order)]]
		t.Log(time.Now().UTC().Format(timeFormat), kind)
		s.injectCustomerFault(kind, r)
		time.Sleep(time.Duration(100+r.IntN(400)) * time.Millisecond)
	}
	load.Wait()
	clear(s.changes)
	s.publish()
	t.Logf("seed %d: %d accepted, %d rejected, %d versions, %d violations of limits, %v", *soakSeed, len(s.jobs), len(s.rejected), s.version, len(s.limitViolations), s.counts)
	return s
}

// Guards against jobs that run, are read or are cancelled with keys that do not allow it,
// and against accepted jobs that are lost, while keys are revoked and daemons and the store
// fail.
func TestSoakOfKeys(t *testing.T) {
	s := runCustomerSoak(t)
	s.g.Expect(s.checker.Violations()).To(BeEmpty())
	for _, id := range s.rejected {
		s.g.Expect(s.checker.Started(id)).To(BeZero(), "%s was rejected", id)
	}
	s.g.Eventually(func() []customerJob {
		s.jobs = slices.DeleteFunc(s.jobs, func(j customerJob) bool {
			_, body := s.callWithKey(s.daemons[0], j.key, fasthttp.MethodGet, j.path, nil)
			return strings.Contains(string(body), `"`+stateCompleted+`"`)
		})
		return s.jobs
	}, completionTimeout, 200*time.Millisecond).Should(BeEmpty(), "accepted jobs that have not completed")
	s.g.Expect(s.counts).To(HaveKey("unconfigured 503"))
	for _, d := range s.daemons {
		s.g.Expect(s.counts).To(And(HaveKey(d.name+" REVOKED false 401"), HaveKey(d.name+" REVOKED true 410")))
	}
}

// Guards against pools that together run more of a customer than its limit, while limits
// change, entries move, and daemons and the store fail.
func TestSoakOfLimits(t *testing.T) {
	s := runCustomerSoak(t)
	s.g.Expect(s.limitViolations).To(BeEmpty())
	s.g.Expect(s.counts).To(HaveKey("start above half the limit true"))
}
