package deployment

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"greengagedeck/standin/platformsim"
	"greengagedeck/standin/targetsim"
)

// AllTargets selects every target when it is used as the name in an admin path.
const AllTargets = "all"

func (d *Deployment) routes() {
	r := d.Platform.Router()
	r.GET("/admin/report", func(ctx *fasthttp.RequestCtx) { platformsim.WriteJSON(ctx, d.Report()) })
	r.POST("/admin/executions", d.executions)
	r.GET("/admin/targets/{target}", d.getTarget)
	r.PUT("/admin/targets/{target}", d.putTarget)
	r.POST("/admin/targets/{target}/reboot", d.rebootTarget)
}

// executions takes a JSON list of request IDs and replies with how often each
// request ran.
func (d *Deployment) executions(ctx *fasthttp.RequestCtx) {
	var ids []string
	if err := json.Unmarshal(ctx.PostBody(), &ids); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	platformsim.WriteJSON(ctx, d.Executions.Counts(ids))
}

// selectedTargets returns the targets that the path selects, and replies with
// status 404 if there are none.
func (d *Deployment) selectedTargets(ctx *fasthttp.RequestCtx) []*targetsim.Target {
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
	for _, t := range d.selectedTargets(ctx) {
		stats[t.Stats().Name] = t.Switches()
	}
	platformsim.WriteJSON(ctx, stats)
}

func (d *Deployment) putTarget(ctx *fasthttp.RequestCtx) {
	for _, t := range d.selectedTargets(ctx) {
		platformsim.Patch(ctx, t.Switches(), t.SetSwitches)
	}
}

func (d *Deployment) rebootTarget(ctx *fasthttp.RequestCtx) {
	for _, t := range d.selectedTargets(ctx) {
		t.Reboot()
	}
}
