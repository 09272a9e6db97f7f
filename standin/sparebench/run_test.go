package sparebench

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Compares the daemon's policy with the others over one day that follows a day of
// the same demand. All bounds are relative to other policies of the same run.
func TestPredictivePolicyScoresBest(t *testing.T) {
	g := NewWithT(t)
	scenarios, err := Scenarios(Options{Examples: "../../examples", Seed: 1, Days: 2, Warmup: 1})
	g.Expect(err).NotTo(HaveOccurred())
	for _, sc := range scenarios {
		results, err := Compare(sc)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Print(os.Stdout, sc, results)).To(Succeed())
		none, threshold, predictive := results[0], results[1], results[len(results)-1]
		for _, r := range results {
			g.Expect(r.LimitViolations).To(BeZero(), "%s: pool limits violated by policy %s", sc.Name, r.Policy)
		}
		g.Expect(predictive.BufferHours).To(BeNumerically("<", none.BufferHours))
		g.Expect(predictive.Unmet).To(BeNumerically("<", none.Unmet))
		g.Expect(predictive.Moves).To(BeNumerically("<", threshold.Moves))
		scores := Scores(sc.Weights, results)
		for _, score := range scores {
			g.Expect(scores[len(scores)-1]).To(BeNumerically("<=", score), sc.Name)
		}
	}
}

func TestDemandKeepsMeanRate(t *testing.T) {
	g := NewWithT(t)
	d := newDemand(1, "p", 2, nil)
	var sum float64
	const hours = 24
	for s := range hours * 3600 {
		offered, mean := d.at(time.Duration(s) * time.Second)
		g.Expect(mean).To(Equal(2.0))
		sum += offered
	}
	g.Expect(sum / (hours * 3600)).To(BeNumerically("~", 2, 0.2))
}
