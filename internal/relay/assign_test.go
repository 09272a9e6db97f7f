package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/worker"
)

// target returns a worker of a zone.
func target(i int, zone string) worker.Target {
	return worker.Target{ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: zone}
}

// A pool with few workers must not need other daemons.
func TestFewWorkersAreAssignedToTheHolder(t *testing.T) {
	g := NewWithT(t)
	a := newAssignments(member("h", "a", 0.4))
	a.setRelays([]duty.Member{member("r", "a", 0.8)}, 0)
	for i := range 32 {
		g.Expect(a.relayOf(target(i, "a"), 0)).To(Equal(direct))
	}
	g.Expect(a.relayOf(target(32, "a"), 0)).To(Equal("r#1"))
	a.setRelays([]duty.Member{member("r", "a", 0.8)}, 0)
	g.Expect(a.relayOf(target(0, "a"), 0)).To(Equal(direct))
}

// Guards against a holder with a thousand workers that sends their orders itself, and
// against relays that get more than they can carry.
func TestWorkersAreSpreadOverIdleDaemons(t *testing.T) {
	g := NewWithT(t)
	zones := []string{"a", "b", "c"}
	var relays []duty.Member
	for i := range 60 {
		relays = append(relays, member(fmt.Sprint("small", i), zones[i%3], 0.2))
	}
	for i := range 3 {
		relays = append(relays, member(fmt.Sprint("large", i), zones[i], 0.8))
	}
	a := newAssignments(member("h", "a", 0.8))
	a.setRelays(relays, 0)
	zoneOf := map[string]string{}
	for _, r := range relays {
		zoneOf[r.ID()] = r.Zone
	}
	for i := range 1000 {
		to := target(i, zones[i%3])
		if id := a.relayOf(to, 0); id != direct {
			g.Expect(zoneOf[id]).To(Equal(to.Zone))
		}
	}
	a.setRelays(relays, 0)
	for i := range 1000 {
		a.relayOf(target(i, zones[i%3]), 0)
	}
	g.Expect(a.counts[direct]).To(BeZero())
	for _, r := range relays {
		g.Expect(float64(a.counts[r.ID()])).To(BeNumerically("<=", capacity(r)))
	}
	// Few relays carry many orders in a message each.
	g.Expect(len(a.counts)).To(BeNumerically("<=", 10))
}

// Guards against workers that are called over new connections all the time.
func TestAssignmentStays(t *testing.T) {
	g := NewWithT(t)
	a := newAssignments(member("h", "a", 0))
	first := []duty.Member{member("x", "a", 0.5), member("y", "a", 0.5)}
	a.setRelays(first, 0)
	before := map[int]string{}
	for i := range 200 {
		before[i] = a.relayOf(target(i, "a"), 0)
	}
	a.setRelays(append(first, member("z", "a", 1)), time.Second)
	for i := range 200 {
		g.Expect(a.relayOf(target(i, "a"), time.Second)).To(Equal(before[i]))
	}
}

// Guards against orders for a relay that has gone or got a duty, and against counts
// that keep workers which are gone.
func TestAssignmentsEnd(t *testing.T) {
	g := NewWithT(t)
	a := newAssignments(member("h", "a", 0))
	a.setRelays([]duty.Member{member("x", "a", 1)}, 0)
	g.Expect(a.relayOf(target(1, "a"), 0)).To(Equal("x#1"))
	a.setRelays([]duty.Member{member("y", "b", 1)}, time.Second)
	g.Expect(a.relayOf(target(1, "a"), time.Second)).To(Equal("y#1"))
	a.setRelays([]duty.Member{member("y", "b", 1)}, time.Minute)
	g.Expect(a.byWorker).To(BeEmpty())
	g.Expect(a.counts).To(BeEmpty())
	a.setRelays(nil, time.Minute)
	g.Expect(a.relayOf(target(1, "a"), time.Minute)).To(Equal(direct))
}
