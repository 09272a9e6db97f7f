package attempt_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"greengagedeck/internal/attempt"
)

// Every request fails and asks for as many retries as it is allowed.
func TestRetriesUnderTotalFailureAddTenPercent(t *testing.T) {
	g := NewWithT(t)
	b := attempt.NewBudget(attempt.BudgetOptions{})
	const requests = 10_000
	retries := 0
	for range requests {
		b.Request("labada")
		for range 3 {
			if b.Retry("labada") {
				retries++
			}
		}
	}
	g.Expect(retries).To(Equal(requests / 10))
	g.Expect(b.Retry("kuwenta")).To(BeFalse(), "a pool without requests")
}

func TestRetryBurstIsLimited(t *testing.T) {
	g := NewWithT(t)
	b := attempt.NewBudget(attempt.BudgetOptions{Burst: 3})
	for range 1000 {
		b.Request("labada")
	}
	retries := 0
	for range 100 {
		if b.Retry("labada") {
			retries++
		}
	}
	g.Expect(retries).To(Equal(3))
}

func TestRetriesNeverExceedTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := attempt.NewBudget(attempt.BudgetOptions{})
		requests, retries := 0, 0
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(t, "retry") {
			if !retry {
				b.Request("p")
				requests++
			} else if b.Retry("p") {
				retries++
			}
			if retries*10 > requests {
				t.Fatalf("%d retries of %d requests", retries, requests)
			}
		}
	})
}
