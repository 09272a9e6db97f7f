package limits

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
)

const (
	schedulePools = 3
	scheduleSteps = 500
	// maxLimit is the largest limit of a schedule, and maxTask the largest task.
	maxLimit, maxTask = 12, 3
)

var scheduleCustomers = []customer.ID{"a", "b"}

// scheduleHolder is a holder of a pool. It adopts the logged bounds after its registration.
type scheduleHolder struct {
	pool            *schedulePool
	token, sequence int64
	grants          Grants
	adopted         bool
}

// schedulePool is a pool. Its tasks outlive its holders.
type schedulePool struct {
	name    string
	holder  *scheduleHolder
	running map[customer.ID][]int
	// config is the version of the limits that the holder's grants were last made under.
	config int64
}

func (p *schedulePool) used(c customer.ID) int {
	n := 0
	for _, size := range p.running[c] {
		n += size
	}
	return n
}

// scheduleAllocator is an allocator that takes part until it learns of a later one.
type scheduleAllocator struct {
	*Allocator
	config InEffect
	// mustRead is set while the outcome of an append is not known.
	mustRead bool
}

type scheduleRequest struct {
	q    ExchangeRequest
	from *scheduleHolder
}

// scheduleResponse is a response under limits. Without grants it confirms the applied ones.
type scheduleResponse struct {
	r       ExchangeResponse
	to      *scheduleHolder
	applied Version
	config  int64
}

type scheduleAppend struct {
	p    *Proposal
	from *scheduleAllocator
}

// schedule runs pools and allocators against an in-memory partition. Each step is one event:
// messages and appends stay on their way until a step delivers, carries out or drops them.
type schedule struct {
	*rapid.T
	rand       *rand.Rand
	now        time.Duration
	records    []logstore.Record
	pools      []*schedulePool
	allocators []*scheduleAllocator
	token      int64
	limits     []InEffect
	requests   []scheduleRequest
	responses  []scheduleResponse
	appends    []scheduleAppend
	// fitted is the last version of the limits that the logged bounds were within.
	fitted int64
	// changing is set if limits change, and starts counts the tasks started.
	changing bool
	starts   int
}

func newSchedule(t *rapid.T) *schedule {
	s := &schedule{T: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Hour, token: 10, fitted: 1}
	for i := range schedulePools {
		s.pools = append(s.pools, &schedulePool{name: fmt.Sprintf("p%d", i), running: map[customer.ID][]int{}, config: 1})
	}
	s.changeLimits()
	for _, p := range s.pools {
		s.replaceHolder(p)
		s.adopt(p.holder)
	}
	s.replaceAllocator()
	return s
}

// pick returns a number below n. Those of rapid would be mostly small, with few later kinds.
func (s *schedule) pick(n int) int { return s.rand.IntN(n) }

// take removes one element, so that messages are reordered.
func take[E any](s *schedule, list *[]E) (E, bool) {
	var e E
	if len(*list) == 0 {
		return e, false
	}
	i := s.pick(len(*list))
	e = (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return e, true
}

func (s *schedule) end() int64 { return int64(len(s.records)) + 1 }

func (s *schedule) put(entries ...logstore.Entry) {
	for _, e := range entries {
		s.records = append(s.records, logstore.Record{Offset: s.end(), Key: e.Key, Value: e.Value})
	}
}

// list returns the newest records of all keys by offset.
func (s *schedule) list() []logstore.Record {
	newest := map[string]int64{}
	for _, r := range s.records {
		newest[r.Key] = r.Offset
	}
	var out []logstore.Record
	for _, r := range s.records {
		if newest[r.Key] == r.Offset && len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	return out
}

func (s *schedule) changeLimits() {
	e := InEffect{Version: int64(len(s.limits)) + 1, First: 1}
	for _, p := range s.pools {
		e.Pools = append(e.Pools, p.name)
	}
	for _, c := range scheduleCustomers {
		n := 1 + s.pick(maxLimit)
		e.Limits = append(e.Limits, Limit{Customer: c, Amount: amounts{n}, Since: [resourceCount]int64{1}})
	}
	s.limits = append(s.limits, e)
}

// noteFit notes whether the logged bounds of all customers are within the limits in effect.
func (s *schedule) noteFit() {
	for _, l := range s.inEffect().Limits {
		var sum amounts
		for _, r := range s.list() {
			d, _ := decode(r)
			sum = sum.plus(d.bounds[l.Customer])
		}
		if !sum.fitsIn(l.Amount) {
			return
		}
	}
	s.fitted = s.inEffect().Version
}

func (s *schedule) inEffect() InEffect { return s.limits[len(s.limits)-1] }

// allowed returns the highest of the limits in effect since every pool last exchanged.
func (s *schedule) allowed(c customer.ID) int {
	since := s.inEffect().Version
	for _, p := range s.pools {
		since = min(since, p.config)
	}
	allowed := 0
	for _, e := range s.limits[since-1:] {
		l, _ := e.Get(c)
		allowed = max(allowed, l.Amount[0])
	}
	return allowed
}

// replaceHolder registers a later holder of a pool. The earlier one starts nothing more, since
// the pool's log rejects its plans, but sends one more request.
func (s *schedule) replaceHolder(p *schedulePool) {
	if p.holder != nil {
		s.request(p.holder)
	}
	s.token++
	p.holder = &scheduleHolder{pool: p, token: s.token}
	e, err := holderEntry(p.name, s.token)
	s.must(err)
	s.put(e)
}

func (s *schedule) must(err error) {
	if err != nil {
		s.Fatal(err)
	}
}

// adopt has a registered holder read the logged bounds as Client.initialGrants does.
func (s *schedule) adopt(h *scheduleHolder) {
	if h.adopted {
		return
	}
	c := &Client{opt: ClientOptions{PoolName: h.pool.name, Token: h.token, Config: &Config{current: s.inEffect()}}}
	h.grants, h.adopted = c.initialGrants(s.list()), true
	// Bounds from before a limit was lowered count until the holder has exchanged.
	h.pool.config = min(h.pool.config, s.fitted)
}

func (s *schedule) request(h *scheduleHolder) {
	h.sequence++
	q := ExchangeRequest{Pool: h.pool.name, Token: h.token, Sequence: h.sequence, Applied: h.grants.Version, Config: s.inEffect().Version}
	for _, c := range scheduleCustomers {
		wanted := job.Resources{CPU: s.pick(maxLimit)}
		q.Demand = append(q.Demand, Demand{Customer: c, Used: job.Resources{CPU: h.pool.used(c)}, Wanted: wanted})
	}
	s.requests = append(s.requests, scheduleRequest{q, h})
}

func (s *schedule) deliverRequest(a *scheduleAllocator) {
	m, ok := take(s, &s.requests)
	if !ok {
		return
	}
	r, _, err := a.Exchange(m.q, s.now)
	if errors.Is(err, ErrNotRegistered) {
		if s.read(a) {
			r, _, err = a.Exchange(m.q, s.now)
		}
	}
	if err == nil {
		s.responses = append(s.responses, scheduleResponse{r, m.from, m.q.Applied, a.config.Version})
	}
}

func (s *schedule) deliverResponse() {
	m, ok := take(s, &s.responses)
	if !ok || !m.to.adopted {
		return
	}
	confirmed := m.r.Grants == nil && m.applied == m.to.grants.Version
	if m.r.Grants != nil && m.r.Grants.Version.Compare(m.to.grants.Version) > 0 {
		m.to.grants, confirmed = *m.r.Grants, true
	}
	// The grants in force may be those of an allocator that does not know the last limits yet.
	if p := m.to.pool; confirmed && p.holder == m.to {
		p.config = m.config
	}
}

// start starts a task if the grant allows it, and fails if it takes its customer above the limit.
func (s *schedule) start(p *schedulePool) {
	c, size := scheduleCustomers[s.pick(len(scheduleCustomers))], 1+s.pick(maxTask)
	if !p.holder.adopted || p.used(c)+size > p.holder.grants.ByCustomer[c].CPU {
		return
	}
	p.running[c] = append(p.running[c], size)
	s.starts++
	total := 0
	for _, other := range s.pools {
		total += other.used(c)
	}
	if allowed := s.allowed(c); total > allowed {
		s.Fatalf("customer %s uses %d of %d after a start of %d in %s", c, total, allowed, size, p.name)
	}
}

// replaceAllocator adds an allocator that takes over. Earlier ones go on until they learn of it.
func (s *schedule) replaceAllocator() {
	s.token++
	recs := s.list()
	e, err := allocatorEntry(s.token)
	s.must(err)
	s.put(e)
	a := &scheduleAllocator{config: s.inEffect()}
	a.Allocator = NewAllocator(AllocatorOptions{Token: s.token, RetireAfter: time.Hour}, a.config, s.now)
	a.Load(recs, s.end(), true, s.now)
	s.allocators = append(s.allocators, a)
}

// read has an allocator read on, and reports whether it is the last one. If not, it ends.
func (s *schedule) read(a *scheduleAllocator) bool {
	a.mustRead = false
	if a.Load(s.records[a.Next()-1:], s.end(), false, s.now).LaterAllocator == 0 {
		return true
	}
	s.allocators = slices.DeleteFunc(s.allocators, func(x *scheduleAllocator) bool { return x == a })
	return false
}

func (s *schedule) propose(a *scheduleAllocator) {
	if a.mustRead && !s.read(a) {
		return
	}
	p, err := a.Propose(s.now)
	s.must(err)
	if p != nil {
		s.appends = append(s.appends, scheduleAppend{p, a})
	}
}

// append carries an append out. Its answer may be lost.
func (s *schedule) append() {
	m, ok := take(s, &s.appends)
	if !ok {
		return
	}
	done := m.p.At == s.end()
	if done {
		s.put(m.p.Entries...)
		s.noteFit()
	}
	if answered := s.pick(3) > 0; answered && done {
		m.from.Commit(m.p, s.end(), s.now)
	} else {
		m.from.mustRead = true
	}
}

func (s *schedule) step() {
	p := s.pools[s.pick(len(s.pools))]
	a := s.allocators[s.pick(len(s.allocators))]
	switch op := s.pick(100); {
	case op < 18:
		s.request(p.holder)
	case op < 36:
		s.deliverRequest(a)
	case op < 50:
		s.deliverResponse()
	case op < 64:
		s.start(p)
	case op < 72:
		if c := scheduleCustomers[s.pick(len(scheduleCustomers))]; len(p.running[c]) > 0 {
			p.running[c] = p.running[c][1:]
		}
	case op < 80:
		s.propose(a)
	case op < 88:
		s.append()
	case op < 90:
		take(s, &s.requests)
	case op < 92:
		take(s, &s.responses)
	case op < 94:
		s.replaceHolder(p)
	case op < 97:
		s.adopt(p.holder)
	case op < 98:
		s.replaceAllocator()
	case op < 99:
		if s.changing {
			s.changeLimits()
		}
	default:
		a.config = s.inEffect()
		a.SetLimits(a.config, s.now)
	}
	s.now += time.Duration(s.pick(60)) * time.Millisecond
	for _, a := range s.allocators {
		s.must(a.Check())
	}
}

// Guards against a customer above its limit after any order of events: holders and allocators
// that are replaced while earlier ones still send, messages that are lost or reordered, and
// appends whose answer is lost.
func TestLimitHoldsInEverySchedule(t *testing.T) { checkSchedules(t, false) }

// Guards against the same while limits change as well.
func TestChangingLimitHoldsInEverySchedule(t *testing.T) { checkSchedules(t, true) }

func checkSchedules(t *testing.T, changing bool) {
	starts := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSchedule(rt)
		s.changing = changing
		for range scheduleSteps {
			s.step()
		}
		starts += s.starts
	})
	if starts == 0 {
		t.Fatal("no task was started")
	}
	t.Logf("%d tasks were started", starts)
}
