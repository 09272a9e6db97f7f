package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/verdict"
)

func TestVerdictOfErrors(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want verdict.Verdict
	}{
		{"success", nil, verdict.Ran},
		{"not run", verdict.NewNotRun(verdict.ReasonQuota, "x"), verdict.NotRun},
		{"wrapped not run", fmt.Errorf("y: %w", verdict.NewNotRun(verdict.ReasonQuota, "x")), verdict.NotRun},
		{"may have run", verdict.NewMayHaveRun(verdict.ReasonTimeout, "x"), verdict.MayHaveRun},
		{"error without a verdict", errors.New("z"), verdict.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			NewWithT(t).Expect(verdict.Of(tt.err)).To(Equal(tt.want))
		})
	}
}

func TestParseIsInverseOfString(t *testing.T) {
	g := NewWithT(t)
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		got, err := verdict.Parse(v.String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(v))
	}
	_, err := verdict.Parse("maybe")
	g.Expect(err).To(HaveOccurred())
}
