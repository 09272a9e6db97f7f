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

func newAdminAPI(s Settings, reports *burn.Reporter, self membership.Member, view *stateView, fo *replica.Follower, a *replica.Appender, d *membership.Detector, st *stage, traces *decision.TraceLog, l zerolog.Logger, m metrics) *gateway.AdminAPI {
	page := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
	return gateway.NewAdminAPI(gateway.AdminOptions{
		Self:     self.ID,
		Tokens:   s.Tokens,
		State:    view.replica.State,
		Appender: a,
		Status:   func() gateway.Status { return daemonStatus(view, fo, d, st) },
		// A daemon that was paused starts no requests until it has caught up.
		Ready:   func() bool { return st.ready() && !d.Paused() },
		Reports: reports,
		Traces:  traces,
		Metrics: fasthttpadaptor.NewFastHTTPHandler(page),
		Logger:  l,
	})
}

func daemonStatus(view *stateView, fo *replica.Follower, d *membership.Detector, st *stage) gateway.Status {
	s := view.replica.State()
	out := gateway.Status{
		Daemon:           view.self.ID,
		Host:             view.self.Host,
		Zone:             view.self.Zone,
		Release:          release.String(),
		Ready:            st.ready(),
		Draining:         st.value.Load() == stageDraining,
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
