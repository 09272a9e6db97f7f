package deployment

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"greengagedeck/standin/platformsim"
	"greengagedeck/standin/targetsim"
)

// AllTargets names every target in the admin paths.
const AllTargets = "all"

func (d *Deployment) routes() {
	r := d.Platform.Router()
	r.GET("/admin/report", func(ctx *fasthttp.RequestCtx) { platformsim.WriteJSON(ctx, d.Report()) })
	r.POST("/admin/executions", d.executions)
	r.GET("/admin/targets/{target}", d.getTarget)
	r.PUT("/admin/targets/{target}", d.putTarget)
	r.POST("/admin/targets/{target}/reboot", d.rebootTarget)
}

// executions answers a JSON list of request IDs with how often each ran.
func (d *Deployment) executions(ctx *fasthttp.RequestCtx) {
	var ids []string
	if err := json.Unmarshal(ctx.PostBody(), &ids); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	platformsim.WriteJSON(ctx, d.Book.Counts(ids))
}

// selected returns the targets that a path names.
func (d *Deployment) selected(ctx *fasthttp.RequestCtx) []*targetsim.Target {
	name, _ := ctx.UserValue("target").(string)
	var out []*targetsim.Target
	for n, t := range d.Targets {
		if n == name || name == AllTargets {
			out = append(out, t)
		}
	}
	if len(out) == 0 {
		ctx.Error("no such target", fasthttp.StatusNotFound)
	}
	return out
}

func (d *Deployment) getTarget(ctx *fasthttp.RequestCtx) {
	stats := map[string]targetsim.Switches{}
	for _, t := range d.selected(ctx) {
		stats[t.Stats().Name] = t.Switches()
	}
	platformsim.WriteJSON(ctx, stats)
}

func (d *Deployment) putTarget(ctx *fasthttp.RequestCtx) {
	for _, t := range d.selected(ctx) {
		platformsim.Patch(ctx, t.Switches(), t.SetSwitches)
	}
}

func (d *Deployment) rebootTarget(ctx *fasthttp.RequestCtx) {
	for _, t := range d.selected(ctx) {
		t.Reboot()
	}
}
