package limits

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/policy"
)

// testPolicy returns a configuration with customers that have the given limits.
func testPolicy(version int64, pools []string, limits map[customer.ID]job.Resources) *policy.Policy {
	list := make([]policy.Pool, len(pools))
	for i, name := range pools {
		list[i].Name = name
	}
	p := policy.New(version, nil, list, policy.Limits{})
	if limits != nil {
		var rows []customer.Row
		for id, l := range limits {
			rows = append(rows, customer.Row{Customer: customer.Customer{ID: id, Limit: l}})
		}
		p.Customers = customer.NewDirectory(rows)
	}
	return p
}

// Guards against this failure: daemons wake up for limits although no customer has one, or do not notice the first.
func TestConfigWakesOnlyForLimits(t *testing.T) {
	g := NewWithT(t)
	var p policy.Current
	c := NewConfig(&p)
	_, changed := c.Get()
	p.Set(testPolicy(1, []string{"p"}, nil))
	p.Set(testPolicy(2, []string{"p"}, map[customer.ID]job.Resources{"free": {}}))
	g.Expect(changed).NotTo(BeClosed())
	p.Set(testPolicy(3, []string{"p"}, map[customer.ID]job.Resources{"free": {}, "x": {CPU: 5}}))
	g.Expect(changed).To(BeClosed())
	e, changed := c.Get()
	g.Expect(e.Limits).To(HaveLen(1))
	p.Set(testPolicy(4, []string{"p"}, nil))
	g.Expect(changed).To(BeClosed())
}

// Guards against this failure: a resource that becomes limited counts as one that has long been, so that usage which
// no pool has reported is not waited for.
func TestConfigKnowsSinceWhenResourcesAreLimited(t *testing.T) {
	g := NewWithT(t)
	var p policy.Current
	c := NewConfig(&p)
	for version, l := range []job.Resources{{CPU: 5}, {CPU: 6, GPU: 1}, {GPU: 1}, {CPU: 7, GPU: 1}} {
		p.Set(testPolicy(int64(version+1), nil, map[customer.ID]job.Resources{"x": l}))
	}
	e, _ := c.Get()
	g.Expect(e.First).To(Equal(int64(1)))
	l, limited := e.Get("x")
	g.Expect(limited).To(BeTrue())
	g.Expect(l.Since).To(Equal([resourceCount]int64{4, 0, 2}))
	_, limited = e.Get("y")
	g.Expect(limited).To(BeFalse())
}

// Guards against this failure: a record that another version wrote, or that was damaged, stops the reader, or
// negative bounds add to the quota of others.
func TestMalformedRecordsAreErrors(t *testing.T) {
	g := NewWithT(t)
	e, err := boundsEntry("p", boundsRecord{Config: 3, Bounds: map[customer.ID]job.Resources{"x": {CPU: 4}}})
	g.Expect(err).NotTo(HaveOccurred())
	d, err := decode(logstore.Record{Key: e.Key, Value: e.Value})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d).To(Equal(decoded{kind: kindBounds, pool: "p", config: 3, bounds: map[customer.ID]amounts{"x": {4}}}))
	negative, err := boundsEntry("p", boundsRecord{Bounds: map[customer.ID]job.Resources{"x": {CPU: -4}}})
	g.Expect(err).NotTo(HaveOccurred())
	for _, r := range []logstore.Record{{}, {Key: "z"}, {Key: "a"}, {Key: "ax", Value: e.Value}, {Key: "hp", Value: []byte{1}}, {Key: "bp", Value: []byte{1}}, {Key: "bp", Value: negative.Value}} {
		_, err := decode(r)
		g.Expect(err).To(HaveOccurred(), "%v", r)
	}
}
