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
	b := attempt.NewRetryBudget(attempt.RetryBudgetOptions{})
	const requests = 10_000
	retries := 0
	for range requests {
		b.RecordRequest("labada")
		for range 3 {
			if b.AllowRetry("labada") {
				retries++
			}
		}
	}
	g.Expect(retries).To(Equal(requests / 10))
	g.Expect(b.AllowRetry("kuwenta")).To(BeFalse(), "a pool without requests")
}

func TestRetryBurstIsLimited(t *testing.T) {
	g := NewWithT(t)
	b := attempt.NewRetryBudget(attempt.RetryBudgetOptions{Burst: 3})
	for range 1000 {
		b.RecordRequest("labada")
	}
	retries := 0
	for range 100 {
		if b.AllowRetry("labada") {
			retries++
		}
	}
	g.Expect(retries).To(Equal(3))
}

func TestRetriesNeverExceedTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := attempt.NewRetryBudget(attempt.RetryBudgetOptions{})
		requests, retries := 0, 0
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(t, "retry") {
			if !retry {
				b.RecordRequest("p")
				requests++
			} else if b.AllowRetry("p") {
				retries++
			}
			if retries*10 > requests {
				t.Fatalf("%d retries of %d requests", retries, requests)
			}
		}
	})
}
