package steerer

import (
	"math"
	"time"
)

// Timing and bounds of strain.
const (
	// failureMemory and requestMemory are how long what came counts.
	failureMemory = time.Second
	requestMemory = 8 * time.Second
	// leastKnown is the part of the memory that is taken as filled from the start.
	leastKnown = 0.1
	// strainedAt is the share of failures from which on a service is strained.
	strainedAt = 0.1
	// trustedBelow is the belief below which a failure is one that nobody had to
	// expect. Failures at servers that are looked at must not call for more looks.
	trustedBelow = 0.15
)

// decaying is the rate of events a second, smoothed over a time. The zero value
// has seen none.
type decaying struct {
	sum       float64
	first, at time.Time
}

func (d *decaying) add(now time.Time, n float64, over time.Duration) {
	if d.first.IsZero() {
		d.first = now
	}
	d.sum = d.sum*left(now.Sub(d.at), over) + n
	d.at = now
}

// now returns the rate. What came before the first event is not known, and does
// not count as a time without events.
func (d *decaying) now(now time.Time, over time.Duration) float64 {
	known := max(1-left(now.Sub(d.first), over), leastKnown)
	return d.sum * left(now.Sub(d.at), over) / (over.Seconds() * known)
}

// left returns which part of an event still counts after some time.
func left(age, over time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / over.Seconds())
}

// strain tells whether many requests of a service fail: the failures of all
// instances against this instance's own requests, of which each instance gets
// about the same number.
type strain struct {
	failures, requests, orders decaying
}

func (s *strain) request(now time.Time, idempotent bool) {
	s.requests.add(now, 1, requestMemory)
	if !idempotent {
		s.orders.add(now, 1, requestMemory)
	}
}

func (s *strain) failed(now time.Time, n uint64) {
	if s.failures.first.IsZero() {
		s.failures.first = now.Add(-failureMemory * 8) // It did not fail before.
	}
	s.failures.add(now, float64(n), failureMemory)
}

// high reports whether the failures that can't be made good by a repeat are more
// than strainedAt of the requests.
func (s *strain) high(now time.Time, instances int) bool {
	requests := s.requests.now(now, requestMemory)
	if requests <= 0 {
		return false
	}
	final := s.failures.now(now, failureMemory) * s.orders.now(now, requestMemory) / requests
	return final > strainedAt*requests*float64(max(instances, 1))
}
