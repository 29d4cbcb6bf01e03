package retrier_test

import (
	"testing"

	"pgregory.net/rapid"

	"lagoonstile/internal/checker"
	"lagoonstile/retrier"
)

// TestBudgetIsNeverPassed lets requests succeed and fail in any order and never
// grants more retries than the share of the successes and one burst.
func TestBudgetIsNeverPassed(t *testing.T) {
	const burst = 10
	checker.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "share")
		budget := retrier.New(share)
		successes, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"success": func(*rapid.T) {
				budget.Success()
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
					t.Fatal("a retry without a share")
				}
				if float64(retries) > share*float64(successes)+burst {
					t.Fatalf("%d retries for %d successes at share %v", retries, successes, share)
				}
			},
		})
	})
}

// TestBudgetFills grants retries again after successes.
func TestBudgetFills(t *testing.T) {
	budget := retrier.New(0.1)
	for budget.Take() {
	}
	for range 11 {
		budget.Success()
	}
	if !budget.Take() {
		t.Error("eleven successes at a share of 0.1 do not pay for a retry")
	}
}
