// Package counter holds the live counts of one server as traffic goroutines
// keep them and the control goroutine reads them.
//
// Counts only grow, so a reader takes the difference to what it read before
// and no count is lost or taken twice; traffic never waits for control. The
// zero value is ready to use.
package counter

import (
	"sync/atomic"
	"time"
)

// Result is what one try of a request showed about its server.
type Result string

// The results.
const (
	// ResultGood: a whole answer that was not the server's own fault.
	ResultGood Result = "good"
	// ResultBad: 5xx, truncated, or wrong length.
	ResultBad Result = "bad"
	// ResultSlow: no whole answer after the service's slow limit.
	ResultSlow Result = "slow"
	// ResultLink: the connection failed or no first byte came back.
	ResultLink Result = "link"
	// ResultShed: the server said that it did not run the request.
	ResultShed Result = "shed"
	// ResultNone: nothing was learnt, for the caller went away or the request
	// is suspected itself.
	ResultNone Result = "none"
)

// Server counts what this instance saw of one server.
type Server struct {
	inFlight atomic.Int64
	peak     atomic.Int64
	good     atomic.Uint64
	bad      atomic.Uint64
	slow     atomic.Uint64
	link     atomic.Uint64
	shed     atomic.Uint64
	busy     atomic.Uint64
	draining atomic.Bool
	// reserved is set while one request has the server for itself.
	reserved atomic.Bool
}

// Totals is a reading of the counts since the start of the process.
type Totals struct {
	Good, Bad, Slow, Link, Shed uint64
	// Busy is the summed time of the good answers.
	Busy time.Duration
}

// Minus returns the counts since an earlier reading.
func (t Totals) Minus(past Totals) Totals {
	return Totals{
		Good: t.Good - past.Good,
		Bad:  t.Bad - past.Bad,
		Slow: t.Slow - past.Slow,
		Link: t.Link - past.Link,
		Shed: t.Shed - past.Shed,
		Busy: t.Busy - past.Busy,
	}
}

// Begin counts a request as in flight at the server.
func (s *Server) Begin() {
	n := s.inFlight.Add(1)
	for {
		peak := s.peak.Load()
		if n <= peak || s.peak.CompareAndSwap(peak, n) {
			return
		}
	}
}

// End counts a request as no longer in flight.
func (s *Server) End() { s.inFlight.Add(-1) }

// Observe counts a result. The duration counts for good answers only.
func (s *Server) Observe(result Result, duration time.Duration) {
	switch result {
	case ResultGood:
		s.good.Add(1)
		s.busy.Add(uint64(duration))
	case ResultBad:
		s.bad.Add(1)
	case ResultSlow:
		s.slow.Add(1)
	case ResultLink:
		s.link.Add(1)
	case ResultShed:
		s.shed.Add(1)
	case ResultNone:
	}
}

// SetDraining notes that the server itself said that it is leaving.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Draining reports whether the server itself said that it is leaving.
func (s *Server) Draining() bool { return s.draining.Load() }

// Reserve keeps new requests away for the sake of one that must run alone. It
// reports false when the server is reserved already.
func (s *Server) Reserve() bool { return s.reserved.CompareAndSwap(false, true) }

// Unreserve ends a reservation.
func (s *Server) Unreserve() { s.reserved.Store(false) }

// Reserved reports whether the server is kept for one request.
func (s *Server) Reserved() bool { return s.reserved.Load() }

// InFlight returns how many requests of this instance are at the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// TakePeak returns the most requests in flight since the last call.
func (s *Server) TakePeak() int {
	return int(s.peak.Swap(s.inFlight.Load()))
}

// Totals reads the counts.
func (s *Server) Totals() Totals {
	return Totals{
		Good: s.good.Load(),
		Bad:  s.bad.Load(),
		Slow: s.slow.Load(),
		Link: s.link.Load(),
		Shed: s.shed.Load(),
		Busy: time.Duration(s.busy.Load()),
	}
}
