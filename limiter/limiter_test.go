package limiter_test

import (
	"testing"

	"lagoonstile/limiter"
)

// TestLimitFindsShare lets two instances share a server with 6 slots and a
// queue of 6 that sheds beyond. Their limits come to like shares and fill it.
func TestLimitFindsShare(t *testing.T) {
	const room = 12
	a, b := limiter.New(6), limiter.New(6)
	var sum, difference int
	for i := range 2000 {
		shed := uint64(max(a.Value()+b.Value()-room, 0))
		a.Update(limiter.Period{Answered: 10, Shed: shed, Peak: a.Value()})
		b.Update(limiter.Period{Answered: 10, Shed: shed, Peak: b.Value()})
		if i >= 1000 {
			sum += a.Value() + b.Value()
			difference += a.Value() - b.Value()
		}
	}
	if mean := float64(sum) / 1000; mean < 0.7*room || mean > room {
		t.Errorf("the limits add up to %.1f on average, want 70%% to 100%% of %d", mean, room)
	}
	if mean := float64(difference) / 1000; mean < -1 || mean > 1 {
		t.Errorf("the limits differ by %.1f on average", mean)
	}
}

// TestLimitStaysInBounds neither grows unused nor falls under one.
func TestLimitStaysInBounds(t *testing.T) {
	limit := limiter.New(6)
	for range 100 {
		limit.Update(limiter.Period{Answered: 10, Peak: 1})
	}
	if limit.Value() != 6 {
		t.Errorf("an unused limit grew to %d", limit.Value())
	}
	for range 100 {
		limit.Update(limiter.Period{Answered: 10, Peak: 100})
	}
	if limit.Value() != 12 {
		t.Errorf("the limit grew to %d, want twice the slots", limit.Value())
	}
	for range 100 {
		limit.Update(limiter.Period{Shed: 1})
	}
	if limit.Value() != 1 {
		t.Errorf("the limit fell to %d, want 1", limit.Value())
	}
}
