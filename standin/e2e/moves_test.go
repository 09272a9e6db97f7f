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
	edit, err := c.fleet.Apply(nil, c.writeCatalogue("move.yaml", catalogue.Document{Hosts: []catalogue.Host{h}}))
	c.Expect(err).NotTo(HaveOccurred())
	c.version = edit.Version
	return h
}

// hostState returns a host's state as one daemon has it.
func (c *cluster) hostState(d *fleet.Daemon, name string) fleet.Host {
	hosts, err := d.Hosts()
	c.Expect(err).NotTo(HaveOccurred())
	for _, h := range hosts {
		if h.Name == name {
			return h
		}
	}
	return fleet.Host{}
}

// waitServing waits until every daemon has the host serving the pool.
func (c *cluster) waitServing(name, pool string) {
	c.Expect(fleet.Poll(waitTimeout, func() error {
		for _, d := range c.fleet.Daemons {
			if h := c.hostState(d, name); h.Pool != pool || h.Phase != phaseServing {
				return fmt.Errorf("%s has %s %s in %s", d.Host, name, h.Phase, h.Pool)
			}
		}
		return nil
	})).To(Succeed())
}

func (c *cluster) targetStats(name string) targetsim.Stats { return c.standin.Targets[name].Stats() }

// slowPickups gives labada requests of 3 s, which keep its hosts busy and make them slow
// to drain, and kuwenta enough load to use each additional host at once.
func slowPickups(o *loadgen.Options) {
	o.Entries[0].Rate, o.Entries[0].Service = 5, 3*time.Second
	o.Entries[1].Rate = 100
	o.Entries[2].Rate, o.Entries[2].Service = 100, 20*time.Millisecond
	// A newly started fleet rejects the first non-idempotent requests.
	o.Entries[0].Idempotent, o.Entries[2].Idempotent = true, true
}

func TestHostMoveUnderLoad(t *testing.T) {
	c := start(t)
	r := c.startLoadWith(slowPickups)
	hostName := c.hosts[0].Name
	c.Eventually(func() int { return c.standin.Targets[hostName].Usage().BusySlots }, waitTimeout).Should(BeNumerically(">", 2))
	busy := c.moveHost(0, "kuwenta")
	c.waitServing(busy.Name, busy.Pool)
	spare := c.moveHost(3, "labada")
	c.waitServing(spare.Name, spare.Pool)
	c.Eventually(func() int { return c.targetStats(spare.Name).Executions }, waitTimeout).Should(BeNumerically(">", 0))
	sum := c.finishLoad(r)
	c.Expect(sum.Interrupted()).To(BeZero())
}

func TestMoveWaitsForPausedDaemon(t *testing.T) {
	c := start(t, "-pause-threshold", "1s")
	r := c.startLoad()
	c.awaitExecutions(50)
	paused, other := c.fleet.Daemons[0], c.fleet.Daemons[1]
	c.Expect(paused.Pause()).To(Succeed())
	busy := c.hosts[0]
	from := busy.Pool
	busy.Pool = "kuwenta"
	_, err := c.fleet.Apply(c.fleet.Daemons[1:], c.writeCatalogue("move.yaml", catalogue.Document{Hosts: []catalogue.Host{busy}}))
	c.Expect(err).NotTo(HaveOccurred())
	c.awaitExecutions(300)
	c.Expect(c.hostState(other, busy.Name).Pool).To(Equal(from), "the paused daemon may still run requests there")
	c.Expect(paused.Resume()).To(Succeed())
	c.waitServing(busy.Name, busy.Pool)
	c.finishLoad(r)
}

func TestDaemonPausedDuringMove(t *testing.T) {
	c := start(t, "-pause-threshold", "1s")
	r := c.startLoadWith(slowPickups)
	hostName := c.hosts[0].Name
	c.Eventually(func() int { return c.standin.Targets[hostName].Usage().BusySlots }, waitTimeout).Should(BeNumerically(">", 2))
	paused, other := c.fleet.Daemons[0], c.fleet.Daemons[1]
	moved := c.moveHost(0, "kuwenta")
	c.Eventually(func() string { return c.hostState(other, hostName).Phase }, waitTimeout).Should(Equal(phaseDraining))
	c.Expect(paused.Pause()).To(Succeed())
	c.awaitExecutions(500)
	c.Expect(paused.Resume()).To(Succeed())
	c.waitServing(hostName, moved.Pool)
	c.finishLoad(r)
}

func TestLeavingHostGetsNoTasks(t *testing.T) {
	const limit = 5 * time.Second
	c := start(t)
	r := c.startLoad()
	c.awaitExecutions(50)
	name := c.hosts[0].Name
	c.Expect(c.targetStats(name).Executions).To(BeNumerically(">", 0))
	marked := time.Now()
	c.Expect(c.standin.Platform.MarkLeaving(name, true)).To(BeTrue())
	c.Eventually(time.Now, 2*limit).Should(BeTemporally(">", marked.Add(limit)))
	before := c.targetStats(name).Executions
	c.awaitExecutions(200)
	c.Expect(c.targetStats(name).Executions).To(Equal(before))
	sum := c.finishLoad(r)
	c.Expect(sum.Interrupted()).To(BeZero())
}

func TestWaveRespectsMaxUnavailable(t *testing.T) {
	c := start(t)
	r := c.startLoad()
	c.awaitExecutions(50)
	doc := waveDocument(1)
	w := &doc.Waves[0]
	w.Pool, w.Paused, w.MaxParallel = "labada", false, 4
	w.Start, w.Deadline = time.Now().Add(-time.Hour), time.Now().Add(time.Minute)
	c.apply(doc)
	c.Eventually(c.rebootCount, waitTimeout).Should(Equal(1))
	c.awaitExecutions(300)
	c.Expect(c.rebootCount()).To(Equal(1), "labada has max_unavailable 1, and the first host is still in its settle time")
	sum := c.finishLoad(r)
	c.Expect(sum.Interrupted()).To(BeZero())
}

// rebootCount counts the workers that have rebooted.
func (c *cluster) rebootCount() int {
	n := 0
	for _, h := range c.hosts {
		if c.targetStats(h.Name).Boots > 1 {
			n++
		}
	}
	return n
}

func TestZoneLossAndRecovery(t *testing.T) {
	c := start(t)
	r := c.startLoad()
	c.awaitExecutions(50)
	lost := c.fleet.Daemons[3:]
	for _, d := range lost {
		d.Kill()
		c.standin.Platform.DropHost(d.Host)
	}
	c.awaitExecutions(200)
	for _, d := range lost {
		c.standin.Platform.PutHost(d.HostListEntry())
		c.Expect(d.Start()).To(Succeed())
	}
	c.Expect(c.fleet.WaitReady(waitTimeout)).To(Succeed())
	inZone := c.hosts[4].Name
	before := c.targetStats(inZone).Executions
	c.Eventually(func() int { return c.targetStats(inZone).Executions }, waitTimeout).Should(BeNumerically(">", before))
	c.finishLoad(r)
}
