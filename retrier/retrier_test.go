package retrier_test

import (
	"testing"

	"pgregory.net/rapid"

	"lagoonstile/internal/checker"
	"lagoonstile/retrier"
)

// TestBudgetIsNeverExceeded runs random sequences of successes and failures and
// checks that the budget never grants more retries than its share of the successes
// plus one burst.
func TestBudgetIsNeverExceeded(t *testing.T) {
	const burst = 10
	checker.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "share")
		budget := retrier.New(share)
		successes, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"success": func(*rapid.T) {
				budget.RecordSuccess()
				successes++
			},
			"failures": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "requests") {
					if budget.Take() {
						retries++
					}
				}
			},
			"": func(t *rapid.T) {
				if share == 0 && retries > 0 {
					t.Fatal("a retry was granted with a share of 0")
				}
				if float64(retries) > share*float64(successes)+burst {
					t.Fatalf("%d retries for %d successes with a share of %v", retries, successes, share)
				}
			},
		})
	})
}

// TestBudgetRefills checks that successes refill an empty budget.
func TestBudgetRefills(t *testing.T) {
	budget := retrier.New(0.1)
	for budget.Take() {
	}
	for range 11 {
		budget.RecordSuccess()
	}
	if !budget.Take() {
		t.Error("no retry was granted after 11 successes with a share of 0.1")
	}
}
