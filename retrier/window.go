package retrier

import (
	"math"
	"sync"
	"time"
)

// FleetBudget is the budget of the whole fleet for the repeats (retries and hedges) of
// a service. The share of an instance is Ratio times its own requests plus an equal
// part of Slack. The fleet stays within the budget if each instance stays within its
// share, so the instances need not communicate during a failure.
type FleetBudget struct {
	// Ratio is the number of repeats allowed for each request.
	Ratio float64
	// Slack is the number of additional repeats allowed for the whole fleet.
	Slack float64
	// Span is the duration of the window in which requests and repeats are counted.
	Span time.Duration
}

// safetyFactor is the fraction of its share that an instance uses. The rest allows
// for instances that count in different windows, and for the delay between counting
// a request here and its arrival at a server.
const safetyFactor = 0.92

// clearDeviations is the number of standard deviations by which one of two counts of
// requests must be larger to be clearly larger.
const clearDeviations = 2

// checkedWindows is the number of windows, evenly spread over the time in which a repeat
// counts, in which the repeats must be within the budget.
const checkedWindows = 4

// Window counts requests and repeats of one service in a sliding window. The zero
// value is ready to use. It is safe for concurrent use.
type Window struct {
	mu       sync.Mutex
	requests []time.Time
	repeats  []time.Time
}

// RecordRequest records a request from a client.
func (w *Window) RecordRequest(now time.Time, budget FleetBudget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now, budget.Span)
	w.requests = append(w.requests, now)
}

// Take records one repeat and returns true, or returns false without recording it if
// the repeat would exceed the share of this instance in a fleet of the given number
// of instances, now or as part of a window that ends later.
func (w *Window) Take(now time.Time, budget FleetBudget, instances int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now, budget.Span)
	slack := budget.Slack / float64(max(instances, 1))
	for step := range checkedWindows {
		end := now.Add(budget.Span * time.Duration(step) / checkedWindows)
		limit := safetyFactor * (budget.Ratio*w.requestsFor(now, end, budget.Span) + slack)
		if float64(countBetween(w.repeats, end.Add(-budget.Span), now)+1) > limit {
			return false
		}
	}
	w.repeats = append(w.repeats, now)
	return true
}

// requestsFor returns the number of requests by which the repeats in the window that
// ends at the given time are judged, as far as it is known now. Repeats often follow a
// burst of requests, so it is the maximum over three windows, of which the others end
// half a span and one span earlier. Those that have not ended do not count. An earlier
// one counts only if it has clearly more requests: by chance one of them has a few more
// at almost every instance, but not in the whole fleet.
func (w *Window) requestsFor(now, end time.Time, span time.Duration) float64 {
	requests := -1.0
	for _, back := range []time.Duration{0, span / 2, span} {
		until := end.Add(-back)
		if until.After(now) {
			continue
		}
		count := float64(countBetween(w.requests, until.Add(-span), until))
		if requests < 0 || count > requests+clearDeviations*math.Sqrt(count) {
			requests = count
		}
	}
	return requests
}

// expire drops the times that no later call of Take needs: it looks at requests of
// the last two spans and at repeats of the last one.
func (w *Window) expire(now time.Time, span time.Duration) {
	w.requests = dropUntil(w.requests, now.Add(-2*span))
	w.repeats = dropUntil(w.repeats, now.Add(-span))
}

// dropUntil returns the sorted times without those at or before until.
func dropUntil(times []time.Time, until time.Time) []time.Time {
	n := 0
	for n < len(times) && !times[n].After(until) {
		n++
	}
	return times[n:]
}

// countBetween returns the number of times that are later than after and not later
// than until.
func countBetween(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}
