// Package limiter works out how many requests one instance should have at one
// server at once, from what the server answers and sheds.
//
// It adds one while the limit is used and nothing is shed, and cuts by a share
// when something is shed (additive increase, multiplicative decrease: D. Chiu
// and R. Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
// Avoidance in Computer Networks", Computer Networks and ISDN Systems 17,
// 1989). Instances that share a server come to like shares of its slots
// without talking about it.
package limiter

import "math"

// Bounds and steps of a limit.
const (
	// startPerSlot is the first limit for each slot of the server.
	startPerSlot = 1.0
	// mostPerSlot lets a queue as long as the slots build up at the server.
	mostPerSlot = 2.0
	least       = 1.0
	cut         = 0.7
)

// Limit is the state for one server. The zero value has no slots; use New.
type Limit struct {
	// value stays between least and most.
	value float64
	most  float64
}

// New returns the limit that a server with so many slots starts with.
func New(slots int) *Limit {
	return &Limit{value: startPerSlot * float64(slots), most: mostPerSlot * float64(slots)}
}

// Period is what was seen of a server since the last update.
type Period struct {
	// Answered and Shed count the server's answers.
	Answered, Shed uint64
	// Peak is the most requests in flight.
	Peak int
}

// Update settles one period and reports whether the limit was cut.
func (l *Limit) Update(period Period) bool {
	before := l.Value()
	switch {
	case period.Shed > 0:
		l.value = math.Max(least, l.value*cut)
	case period.Answered > 0 && period.Peak >= before:
		l.value = math.Min(l.most, l.value+1)
	}
	return l.Value() < before
}

// Value returns the limit in requests. At least 1.
func (l *Limit) Value() int {
	return int(math.Max(least, math.Floor(l.value)))
}
