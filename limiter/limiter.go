// Package limiter adapts the number of requests that one instance may have in
// flight to one server, from the server's answers and shed responses.
//
// The limit is increased by one when it was reached and no request was shed, and
// multiplied by a constant factor below 1 when a request was shed (additive
// increase, multiplicative decrease: D. Chiu and R. Jain, "Analysis of the Increase
// and Decrease Algorithms for Congestion Avoidance in Computer Networks", Computer
// Networks and ISDN Systems 17, 1989). Instances that share a server converge to
// similar shares of its slots without communicating with each other.
package limiter

import "math"

// Parameters of the control algorithm.
const (
	// initialPerSlot is the initial limit for each slot of the server.
	initialPerSlot = 1.0
	// maxPerSlot is the maximum limit for each slot of the server. It allows a
	// queue at the server with as many requests as it has slots.
	maxPerSlot = 2.0
	// minLimit is the minimum limit. The limit increases only after an answer, so at
	// least one request must remain possible.
	minLimit = 1.0
	// decreaseFactor is the factor applied to the limit when a request was shed.
	decreaseFactor = 0.7
)

// Limit is the limit for one server. The zero value allows one request and never
// increases; use New.
type Limit struct {
	// value is the limit before rounding down. Update never lowers it below
	// minLimit or raises it above maxValue.
	value    float64
	maxValue float64
}

// New returns the initial limit for a server with the given number of slots.
func New(slots int) *Limit {
	return &Limit{value: initialPerSlot * float64(slots), maxValue: maxPerSlot * float64(slots)}
}

// Period holds what was observed of a server since the last update.
type Period struct {
	// Answered is the number of requests that the server answered, Shed the number
	// that it shed.
	Answered, Shed uint64
	// Peak is the maximum number of requests that were in flight at once.
	Peak int
}

// Update adapts the limit to one period and reports whether Value decreased.
func (l *Limit) Update(period Period) bool {
	before := l.Value()
	switch {
	case period.Shed > 0:
		l.value = math.Max(minLimit, l.value*decreaseFactor)
	case period.Answered > 0 && period.Peak >= before:
		l.value = math.Min(l.maxValue, l.value+1)
	}
	return l.Value() < before
}

// Value returns the maximum number of requests in flight, at least 1.
func (l *Limit) Value() int {
	return int(math.Max(minLimit, math.Floor(l.value)))
}
