package e2e_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/standin/fleet"
	"greengagedeck/standin/loadgen"
	"greengagedeck/standin/targetsim"
)

const (
	phaseServing  = "serving"
	phaseDraining = "draining"
)

// moveHost edits the catalogue so that a host belongs to another pool.
func (c *cluster) moveHost(index int, pool string) catalogue.Host {
	h := c.hosts[index]
	h.Pool = pool
	edit, err := c.fleet.Apply(nil, c.file("move.yaml", catalogue.Document{Hosts: []catalogue.Host{h}}))
	c.Expect(err).NotTo(HaveOccurred())
	c.version = edit.Version
	return h
}

// host asks one daemon where a host stands.
func (c *cluster) host(d *fleet.Daemon, name string) fleet.Host {
	hosts, err := d.Hosts()
	c.Expect(err).NotTo(HaveOccurred())
	for _, h := range hosts {
		if h.Name == name {
			return h
		}
	}
	return fleet.Host{}
}

// waitOwned waits until every daemon has a host in service of a pool.
func (c *cluster) waitOwned(name, pool string) {
	c.Expect(fleet.Poll(patience, func() error {
		for _, d := range c.fleet.Daemons {
			if h := c.host(d, name); h.Pool != pool || h.Phase != phaseServing {
				return fmt.Errorf("%s has %s %s in %s", d.Host, name, h.Phase, h.Pool)
			}
		}
		return nil
	})).To(Succeed())
}

func (c *cluster) stats(name string) targetsim.Stats { return c.standin.Targets[name].Stats() }

// slowPickups keeps the hosts of labada busy for seconds, so that they take as
// long to drain, and has kuwenta use each host that it gets at once.
func slowPickups(o *loadgen.Options) {
	o.Entries[0].Rate, o.Entries[0].Service = 5, 3*time.Second
	o.Entries[1].Rate = 100
	o.Entries[2].Rate, o.Entries[2].Service = 100, 20*time.Millisecond
	// A new fleet refuses the first non-idempotent requests.
	o.Entries[0].Idempotent, o.Entries[2].Idempotent = true, true
}

func TestHostMovesToAnotherPoolUnderLoad(t *testing.T) {
	c := start(t)
	r := c.loadWith(slowPickups)
	name := c.hosts[0].Name
	c.Eventually(func() int { return c.standin.Targets[name].Usage().BusySlots }, patience).Should(BeNumerically(">", 2))
	busy := c.moveHost(0, "kuwenta")
	c.waitOwned(busy.Name, busy.Pool)
	spare := c.moveHost(3, "labada")
	c.waitOwned(spare.Name, spare.Pool)
	c.Eventually(func() int { return c.stats(spare.Name).Executions }, patience).Should(BeNumerically(">", 0))
	sum := c.finish(r)
	c.Expect(sum.Interrupted()).To(BeZero())
}

func TestMoveWaitsForAPausedDaemon(t *testing.T) {
	c := start(t, "-pause-threshold", "1s")
	r := c.load()
	c.ranMore(50)
	paused, other := c.fleet.Daemons[0], c.fleet.Daemons[1]
	c.Expect(paused.Pause()).To(Succeed())
	busy := c.hosts[0]
	from := busy.Pool
	busy.Pool = "kuwenta"
	_, err := c.fleet.Apply(c.fleet.Daemons[1:], c.file("move.yaml", catalogue.Document{Hosts: []catalogue.Host{busy}}))
	c.Expect(err).NotTo(HaveOccurred())
	c.ranMore(300)
	c.Expect(c.host(other, busy.Name).Pool).To(Equal(from), "the paused daemon may still run requests there")
	c.Expect(paused.Resume()).To(Succeed())
	c.waitOwned(busy.Name, busy.Pool)
	c.finish(r)
}

func TestDaemonPausedInMidMove(t *testing.T) {
	c := start(t, "-pause-threshold", "1s")
	r := c.loadWith(slowPickups)
	busy := c.hosts[0].Name
	c.Eventually(func() int { return c.standin.Targets[busy].Usage().BusySlots }, patience).Should(BeNumerically(">", 2))
	paused, other := c.fleet.Daemons[0], c.fleet.Daemons[1]
	moved := c.moveHost(0, "kuwenta")
	c.Eventually(func() string { return c.host(other, busy).Phase }, patience).Should(Equal(phaseDraining))
	c.Expect(paused.Pause()).To(Succeed())
	c.ranMore(500)
	c.Expect(paused.Resume()).To(Succeed())
	c.waitOwned(busy, moved.Pool)
	c.finish(r)
}

func TestLeavingHostGetsNoNewWork(t *testing.T) {
	const limit = 5 * time.Second
	c := start(t)
	r := c.load()
	c.ranMore(50)
	name := c.hosts[0].Name
	c.Expect(c.stats(name).Executions).To(BeNumerically(">", 0))
	marked := time.Now()
	c.Expect(c.standin.Platform.MarkLeaving(name, true)).To(BeTrue())
	c.Eventually(time.Now, 2*limit).Should(BeTemporally(">", marked.Add(limit)))
	before := c.stats(name).Executions
	c.ranMore(200)
	c.Expect(c.stats(name).Executions).To(Equal(before))
	sum := c.finish(r)
	c.Expect(sum.Interrupted()).To(BeZero())
}

func TestWaveTakesNoMoreHostsThanThePoolCanSpare(t *testing.T) {
	c := start(t)
	r := c.load()
	c.ranMore(50)
	doc := wave(1)
	w := &doc.Waves[0]
	w.Pool, w.Paused, w.MaxParallel = "labada", false, 4
	w.Start, w.Deadline = time.Now().Add(-time.Hour), time.Now().Add(time.Minute)
	c.apply(doc)
	c.Eventually(c.rebooted, patience).Should(Equal(1))
	c.ranMore(300)
	c.Expect(c.rebooted()).To(Equal(1), "labada has max_unavailable 1, and the first host has not settled")
	sum := c.finish(r)
	c.Expect(sum.Interrupted()).To(BeZero())
}

// rebooted counts the workers that have rebooted.
func (c *cluster) rebooted() int {
	n := 0
	for _, h := range c.hosts {
		if c.stats(h.Name).Boots > 1 {
			n++
		}
	}
	return n
}

func TestZoneLostAndBack(t *testing.T) {
	c := start(t)
	r := c.load()
	c.ranMore(50)
	lost := c.fleet.Daemons[3:]
	for _, d := range lost {
		d.Kill()
		c.standin.Platform.DropHost(d.Host)
	}
	c.ranMore(200)
	for _, d := range lost {
		c.standin.Platform.PutHost(d.Listed())
		c.Expect(d.Start()).To(Succeed())
	}
	c.Expect(c.fleet.WaitReady(patience)).To(Succeed())
	inZone := c.hosts[4].Name
	before := c.stats(inZone).Executions
	c.Eventually(func() int { return c.stats(inZone).Executions }, patience).Should(BeNumerically(">", before))
	c.finish(r)
}
