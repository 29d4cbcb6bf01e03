// Package counter counts the requests in flight at one server and the results of
// earlier ones. The goroutines that handle requests update the counts, and the
// control goroutine reads them.
//
// Counts of results never decrease. The reader takes the difference from its
// previous reading, so no result is lost or counted twice. All counts are atomic:
// updating them never waits for the reader.
package counter

import (
	"sync/atomic"
	"time"
)

// Result is what one attempt to run a request showed about the server.
type Result string

// Results of an attempt.
const (
	// ResultGood is a complete response that is not a failure of the server.
	ResultGood Result = "good"
	// ResultBad is a response that is a failure of the server: one with a 5xx status
	// other than 501, or without a complete body.
	ResultBad Result = "bad"
	// ResultSlow means that there was no result yet when the slow limit of the
	// service passed.
	ResultSlow Result = "slow"
	// ResultLinkFailure means that the connection failed, or that the head of a
	// response was not received.
	ResultLinkFailure Result = "link"
	// ResultShed means that the server reported that it did not run the request.
	ResultShed Result = "shed"
	// ResultNone means that the attempt says nothing about the server, for example
	// because the caller disconnected.
	ResultNone Result = "none"
)

// Server holds the counts of this instance for one server. The zero value is
// ready to use. It is safe for concurrent use.
type Server struct {
	inFlight atomic.Int64
	// peak is the largest value of inFlight since the last call of TakePeak.
	peak         atomic.Int64
	good         atomic.Uint64
	bad          atomic.Uint64
	slow         atomic.Uint64
	linkFailures atomic.Uint64
	shed         atomic.Uint64
	goodNanos    atomic.Uint64
	draining     atomic.Bool
	// reserved is set while the server is reserved for a request that must run
	// alone.
	reserved atomic.Bool
}

// Totals holds the results that a Server has counted since its creation, or those
// between two readings.
type Totals struct {
	Good, Bad, Slow, LinkFailures, Shed uint64
	// GoodDuration is the total duration of the good responses.
	GoodDuration time.Duration
}

// Sub returns the difference from an earlier reading.
func (t Totals) Sub(past Totals) Totals {
	return Totals{
		Good:         t.Good - past.Good,
		Bad:          t.Bad - past.Bad,
		Slow:         t.Slow - past.Slow,
		LinkFailures: t.LinkFailures - past.LinkFailures,
		Shed:         t.Shed - past.Shed,
		GoodDuration: t.GoodDuration - past.GoodDuration,
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

// Observe counts a result. The duration is used for ResultGood only.
func (s *Server) Observe(result Result, duration time.Duration) {
	switch result {
	case ResultGood:
		s.good.Add(1)
		s.goodNanos.Add(uint64(duration))
	case ResultBad:
		s.bad.Add(1)
	case ResultSlow:
		s.slow.Add(1)
	case ResultLinkFailure:
		s.linkFailures.Add(1)
	case ResultShed:
		s.shed.Add(1)
	case ResultNone:
	}
}

// SetDraining records that the server has reported that it is shutting down.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Draining reports whether SetDraining was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Reserve reserves the server for one request that must run alone: until Unreserve,
// the server must get no other new requests. Reserve returns false if the server is
// reserved already.
func (s *Server) Reserve() bool { return s.reserved.CompareAndSwap(false, true) }

// Unreserve ends a reservation.
func (s *Server) Unreserve() { s.reserved.Store(false) }

// Reserved reports whether the server is reserved for one request.
func (s *Server) Reserved() bool { return s.reserved.Load() }

// InFlight returns the number of this instance's requests in flight at the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// TakePeak returns the largest number of requests in flight since the last call
// and starts a new measurement.
func (s *Server) TakePeak() int {
	return int(s.peak.Swap(s.inFlight.Load()))
}

// Totals returns the current counts. They are read one after the other, not as one
// snapshot.
func (s *Server) Totals() Totals {
	return Totals{
		Good:         s.good.Load(),
		Bad:          s.bad.Load(),
		Slow:         s.slow.Load(),
		LinkFailures: s.linkFailures.Load(),
		Shed:         s.shed.Load(),
		GoodDuration: time.Duration(s.goodNanos.Load()),
	}
}
