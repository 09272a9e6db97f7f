package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/standin/deployment"
	"greengagedeck/standin/loadgen"
	"greengagedeck/standin/targetsim"
)

func TestEvaluateReportsEachViolation(t *testing.T) {
	since := time.Now()
	valid := func() (*report, *deployment.Report) {
		r := &report{leavingHost: "w1", leavingSince: since, rolloutTime: time.Second}
		r.mixed.ByVerdict = map[string]int{loadgen.VerdictRan: 10}
		return r, &deployment.Report{Targets: []targetsim.Stats{{Name: "w1", LastStart: since.Add(leavingLimit)}}}
	}
	tests := map[string]func(*report, *deployment.Report){
		"wrong answer":       func(r *report, _ *deployment.Report) { r.shortOnly.WrongAnswers = 1 },
		"not-run that ran":   func(r *report, _ *deployment.Report) { r.mixed.FalseNotRun = 1 },
		"ran more than once": func(r *report, _ *deployment.Report) { r.mixed.RanMoreThanOnce = 1 },
		"ran that did not":   func(r *report, _ *deployment.Report) { r.mixed.FalseRan = 1 },
		"connection lost":    func(r *report, _ *deployment.Report) { r.mixed.ByVerdict[loadgen.VerdictLost] = 1 },
		"peer lost":          func(r *report, _ *deployment.Report) { r.mixed.ByReason = map[string]int{"may-have-run/peer-lost": 1} },
		"no request ran":     func(r *report, _ *deployment.Report) { r.mixed.ByVerdict = nil },
		"slow rollout":       func(r *report, _ *deployment.Report) { r.rolloutTime = rolloutLimit + 1 },
		"two pools at once":  func(_ *report, d *deployment.Report) { d.PoolOverlaps = 1 },
		"work on a leaving host": func(_ *report, d *deployment.Report) {
			d.Targets[0].LastStart = since.Add(leavingLimit + 1)
		},
	}
	r, observed := valid()
	r.evaluate(*observed)
	NewWithT(t).Expect(r.violations).To(BeEmpty())
	for name, addFault := range tests {
		t.Run(name, func(t *testing.T) {
			r, observed := valid()
			addFault(r, observed)
			r.evaluate(*observed)
			NewWithT(t).Expect(r.violations).To(HaveLen(1))
		})
	}
}
