package pool

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
)

// budgetCase is a state with four hosts of pool p in racks r0, r0, r1 and r2, one
// spare host, and an availability budget of two hosts for p.
type budgetCase struct {
	state     State
	catalogue catalogue.State
}

func newBudgetCase() *budgetCase {
	c := &budgetCase{NewState(), catalogue.NewState()}
	c.catalogue.Pools["p"] = versioned(catalogue.Pool{Name: "p", MinHosts: 3, MaxHosts: 5, MaxUnavailable: 2})
	c.catalogue.Pools["q"] = versioned(catalogue.Pool{Name: "q", MaxUnavailable: 2})
	c.catalogue.Pools["s"] = versioned(catalogue.Pool{Name: "s", Spare: true, MaxUnavailable: 1})
	c.catalogue.Waves["w"] = versioned(catalogue.Wave{Name: "w", MaxParallel: 1})
	for i, rack := range []string{"r0", "r0", "r1", "r2"} {
		c.addHost(fmt.Sprintf("p%d", i), "p", rack)
	}
	c.addHost("s0", "s", "r9")
	return c
}

func versioned[T any](v T) catalogue.Versioned[T] {
	return catalogue.Versioned[T]{Version: 1, Value: v}
}

func (c *budgetCase) addHost(name, pool, rack string) {
	h := catalogue.Host{Name: name, Pool: pool, Zone: "a", Rack: rack}
	c.catalogue.Hosts[name] = versioned(h)
	c.state.Hosts[name] = newHost(1, h)
}

func (c *budgetCase) beginMaintenance(hosts ...string) {
	for _, h := range hosts {
		c.state.BeginDrain(Drain{ID: "d-" + h, Host: h, Purpose: PurposeMaintenance, From: "p", Wave: "other"})
	}
}

func (c *budgetCase) beginMove(host, from, to string) {
	c.state.BeginDrain(Drain{ID: "d-" + host, Host: host, Purpose: PurposeMove, From: from, To: to})
}

func (c *budgetCase) setPool(change func(*catalogue.Pool)) {
	p := c.catalogue.Pools["p"].Value
	change(&p)
	c.catalogue.Pools["p"] = versioned(p)
}

func TestCheckDrainEnforcesBudgets(t *testing.T) {
	maintain := func(host string) StartDrain {
		return StartDrain{Host: host, Purpose: PurposeMaintenance, From: "p", Wave: "w"}
	}
	move := func(host, from, to string) StartDrain {
		return StartDrain{Host: host, Purpose: PurposeMove, From: from, To: to}
	}
	tests := []struct {
		name      string
		setup     func(c *budgetCase)
		drain     StartDrain
		rejection string
	}{
		{"maintenance within budget", nil, maintain("p0"), ""},
		{"move within budget", nil, move("p0", "p", "s"), ""},
		{"second host of a rack exceeds budget", func(c *budgetCase) { c.beginMaintenance("p0") }, maintain("p1"), "could lose a rack of 1"},
		{"second host of a rack within budget", func(c *budgetCase) {
			c.setPool(func(p *catalogue.Pool) { p.MaxUnavailable = 3 })
			c.beginMaintenance("p0")
		}, maintain("p1"), ""},
		{"second rack at the same time", func(c *budgetCase) {
			c.setPool(func(p *catalogue.Pool) { p.MaxUnavailable = 9 })
			c.beginMaintenance("p0")
		}, maintain("p2"), "another rack"},
		{"failed hosts use the budget", func(c *budgetCase) {
			c.state.SetFailed(1, "p2", true)
			c.state.SetFailed(1, "p3", true)
		}, maintain("p0"), "2 hosts unavailable"},
		{"a move uses the budget of maintenance", func(c *budgetCase) { c.beginMove("p3", "p", "s") }, maintain("p0"), "could lose a rack"},
		{"maintenance uses the budget of a move", func(c *budgetCase) {
			c.setPool(func(p *catalogue.Pool) { p.MaxUnavailable = 1 })
			c.beginMaintenance("p0")
		}, move("p3", "p", "s"), "1 hosts unavailable of at most 1"},
		{"a failed host is not counted twice", func(c *budgetCase) {
			c.state.SetFailed(1, "p0", true)
			c.state.SetFailed(1, "p2", true)
		}, maintain("p0"), ""},
		{"budget of zero", func(c *budgetCase) {
			c.setPool(func(p *catalogue.Pool) { p.MaxUnavailable = 0 })
		}, maintain("p0"), "0 hosts unavailable of at most 0"},
		{"minimum of the source pool", func(c *budgetCase) { c.beginMove("p3", "p", "s") }, move("p0", "p", "s"), "would keep 2 hosts of at least 3"},
		{"maximum of the destination pool", func(c *budgetCase) {
			c.setPool(func(p *catalogue.Pool) { p.MaxHosts = 4 })
		}, move("s0", "s", "p"), "would own 5 hosts of at most 4"},
		{"arriving hosts are counted", func(c *budgetCase) {
			c.addHost("s1", "s", "r9")
			c.beginMove("s1", "s", "p")
		}, move("s0", "s", "p"), "at most 5"},
		{"neither pool is spare", nil, move("p0", "p", "q"), "neither"},
		{"unknown pool", nil, move("p0", "p", "nowhere"), "cannot move"},
		{"wrong owner", nil, move("p0", "s", "q"), "belongs to p, not s"},
		{"full wave", func(c *budgetCase) {
			c.setPool(func(p *catalogue.Pool) { p.MaxUnavailable = 3 })
			c.state.BeginDrain(Drain{ID: "d", Host: "p0", Purpose: PurposeMaintenance, From: "p", Wave: "w"})
		}, maintain("p1"), "1 hosts out of at most 1"},
		{"paused wave", func(c *budgetCase) {
			c.catalogue.Waves["w"] = versioned(catalogue.Wave{Name: "w", Paused: true})
		}, maintain("p0"), "paused"},
		{"wave of another pool", func(c *budgetCase) {
			c.catalogue.Waves["w"] = versioned(catalogue.Wave{Name: "w", Pool: "q", MaxParallel: 1})
		}, maintain("p0"), "does not select"},
		{"retiring a host in the catalogue", nil, StartDrain{Host: "p0", Purpose: PurposeRetire, From: "p"}, "still names"},
		{"draining host", func(c *budgetCase) { c.beginMaintenance("p0") }, move("p0", "p", "s"), "draining for maintenance d-p0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			c := newBudgetCase()
			if tt.setup != nil {
				tt.setup(c)
			}
			got := c.state.CheckDrain(&c.catalogue, tt.drain)
			if tt.rejection == "" {
				g.Expect(got).To(BeEmpty())
				return
			}
			g.Expect(got).To(ContainSubstring(tt.rejection))
		})
	}
}
