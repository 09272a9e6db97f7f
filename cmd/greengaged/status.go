package main

import (
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"greengagedeck/internal/burn"
	"greengagedeck/internal/decision"
	"greengagedeck/internal/gateway"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/release"
	"greengagedeck/internal/replica"
	"slices"
	"strings"
)

func newAdmin(s Settings, reports *burn.Reporter, self membership.Member, f *inForce, fo *replica.Follower, a *replica.Appender, d *membership.Detector, st *stage, traces *decision.TraceLog, l zerolog.Logger, m metrics) *gateway.AdminAPI {
	page := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
	return gateway.NewAdminAPI(gateway.AdminOptions{
		Self:     self.ID,
		Tokens:   s.Tokens,
		State:    f.replica.State,
		Appender: a,
		Status:   func() gateway.Status { return statusOf(f, fo, d, st) },
		// A daemon that was paused starts nothing until it has caught up.
		Ready:   func() bool { return st.ready() && !d.Paused() },
		Reports: reports,
		Traces:  traces,
		Metrics: fasthttpadaptor.NewFastHTTPHandler(page),
		Logger:  l,
	})
}

func statusOf(f *inForce, fo *replica.Follower, d *membership.Detector, st *stage) gateway.Status {
	s := f.replica.State()
	out := gateway.Status{
		Daemon:           f.self.ID,
		Host:             f.self.Host,
		Zone:             f.self.Zone,
		Release:          release.String(),
		Ready:            st.ready(),
		Draining:         st.v.Load() == stageDraining,
		LogDown:          fo.LogDown(),
		Offset:           s.Offset,
		CatalogueVersion: s.Catalogue.Version,
	}
	for id, m := range s.Members.Members {
		out.Members = append(out.Members, gateway.MemberStatus{
			ID:       id,
			Host:     m.Host,
			Zone:     m.Zone,
			Live:     d.Live(id),
			Draining: d.Draining(id),
			Offset:   d.OffsetOf(id),
		})
	}
	slices.SortFunc(out.Members, func(a, b gateway.MemberStatus) int { return strings.Compare(a.Host, b.Host) })
	return out
}
