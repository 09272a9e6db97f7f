package main

import (
	"strings"
	"time"

	"greengagedeck/internal/burn"
	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/decision"
	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/replica"
)

// poolConditions reports what affected a pool while a request was served.
type poolConditions struct {
	replica    *replica.Replica
	dispatcher *dispatch.Dispatcher
}

// InMaintenance implements burn.Conditions.
func (c poolConditions) InMaintenance(name string) bool {
	s := &c.replica.State().Pools
	for _, d := range s.Drains {
		if d.Purpose == pool.PurposeMaintenance && d.From == name {
			return true
		}
	}
	return false
}

// LongRequestsHoldSlots implements burn.Conditions.
func (c poolConditions) LongRequestsHoldSlots(name string) bool {
	return c.dispatcher.RunsLongJobs(name)
}

// reportSources reads the data of reports from the replicated state.
type reportSources struct{ replica *replica.Replica }

// Entries implements burn.Entries.
func (r reportSources) Entries() []catalogue.Entry {
	return r.replica.State().Catalogue.Document().Entries
}

// PoolOwner implements burn.Entries.
func (r reportSources) PoolOwner(name string) string {
	return r.replica.State().Catalogue.Pools[name].Value.Owner
}

// Decisions implements burn.Decisions.
func (r reportSources) Decisions(subject string) []decision.Decision {
	s := r.replica.State()
	return s.Decisions.BySubject(subject)
}

// Buffer implements burn.BufferSource.
func (r reportSources) Buffer() burn.Buffer {
	s := r.replica.State()
	b := burn.Buffer{TotalHosts: len(s.Pools.Hosts)}
	for _, h := range s.Pools.Hosts {
		if s.Catalogue.Pools[h.Pool].Value.Spare {
			b.SpareHosts++
		}
	}
	return b
}

// Moves implements burn.MoveSource.
func (r reportSources) Moves(since time.Time) int {
	s := r.replica.State()
	n := 0
	for _, d := range s.Decisions.ByKind(pool.KindDrain) {
		if d.Accepted && d.At.After(since) && countPools(d) > 1 {
			n++
		}
	}
	return n
}

// countPools counts the pools that a decision is about: a move names two.
func countPools(d decision.Decision) int {
	n := 0
	for _, s := range d.Subjects {
		if strings.HasPrefix(s, "pool/") {
			n++
		}
	}
	return n
}
