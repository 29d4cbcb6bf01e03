package limiter_test

import (
	"testing"

	"lagoonstile/limiter"
)

// TestLimitsConvergeToEqualShares updates the limits of two instances that share a
// server with 6 slots and a queue of 6, which sheds all further requests. It checks
// that the limits become similar and use most of the capacity.
func TestLimitsConvergeToEqualShares(t *testing.T) {
	const capacity = 12
	a, b := limiter.New(6), limiter.New(6)
	var sum, difference int
	for i := range 2000 {
		shed := uint64(max(a.Value()+b.Value()-capacity, 0))
		a.Update(limiter.Period{Answered: 10, Shed: shed, Peak: a.Value()})
		b.Update(limiter.Period{Answered: 10, Shed: shed, Peak: b.Value()})
		if i >= 1000 {
			sum += a.Value() + b.Value()
			difference += a.Value() - b.Value()
		}
	}
	if mean := float64(sum) / 1000; mean < 0.7*capacity || mean > capacity {
		t.Errorf("the sum of the limits is %.1f on average, want 70%% to 100%% of %d", mean, capacity)
	}
	if mean := float64(difference) / 1000; mean < -1 || mean > 1 {
		t.Errorf("the limits differ by %.1f on average, want at most 1", mean)
	}
}

// TestLimitStaysInBounds checks that a limit that is not reached does not grow, and
// that the limit stays between 1 and twice the number of slots.
func TestLimitStaysInBounds(t *testing.T) {
	limit := limiter.New(6)
	for range 100 {
		limit.Update(limiter.Period{Answered: 10, Peak: 1})
	}
	if limit.Value() != 6 {
		t.Errorf("the limit changed to %d although it was not reached, want 6", limit.Value())
	}
	for range 100 {
		limit.Update(limiter.Period{Answered: 10, Peak: 100})
	}
	if limit.Value() != 12 {
		t.Errorf("the limit grew to %d, want 12", limit.Value())
	}
	for range 100 {
		limit.Update(limiter.Period{Shed: 1})
	}
	if limit.Value() != 1 {
		t.Errorf("the limit fell to %d, want 1", limit.Value())
	}
}
