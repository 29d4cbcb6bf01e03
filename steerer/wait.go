package steerer

import (
	"slices"
	"time"
)

// Parameters of the estimate of a ticket's wait.
const (
	// grantRateSamples is the number of grants that the grant rate is computed
	// from. Without that many in grantRateWindow, the rate is unknown.
	grantRateSamples = 8
	grantRateWindow  = 3 * time.Second
	// minWaitFraction is the fraction of the estimated wait that is taken as the
	// lower bound of the actual wait.
	minWaitFraction = 0.6
	// noServerWait is the wait reported when the service has no server for a
	// request.
	noServerWait = time.Second
	// minTicketsAhead is the number of tickets ahead of another one below which it is
	// not refused: the estimate is too uncertain.
	minTicketsAhead = 4
	// minWait is the smallest estimate, also used when the grant rate is unknown.
	minWait = 300 * time.Millisecond
)

// grantRate measures how fast waiting tickets are granted servers. The zero value
// has no samples.
type grantRate struct {
	// grants are the times of the last grants, oldest first.
	grants []time.Time
}

func (r *grantRate) add(now time.Time) {
	r.grants = append(r.grants, now)
	if len(r.grants) > grantRateSamples {
		r.grants = slices.Delete(r.grants, 0, 1)
	}
}

// meanInterval returns the mean time between grants, or false if there are too
// few recent grants.
func (r *grantRate) meanInterval(now time.Time) (time.Duration, bool) {
	if len(r.grants) < grantRateSamples || now.Sub(r.grants[0]) > grantRateWindow {
		return 0, false
	}
	return now.Sub(r.grants[0]) / grantRateSamples, true
}

// ExpectedWait estimates how long a ticket waits with the given number of tickets
// ahead of it. It returns minWait when the grant rate is unknown.
func (s *Service) ExpectedWait(now time.Time, ahead int) time.Duration {
	interval, known := s.grantRate.meanInterval(now)
	if !known {
		return minWait
	}
	return max(time.Duration(ahead+1)*interval, minWait)
}

// refuse reports whether a ticket will not get a server in time, and if so sets its
// Refused and RetryAfter. A ticket is refused when every server was already tried or
// is leaving, when no server may be used before its deadline, or when it is unlikely to
// be granted one by then. Until the service has had its first server, no ticket is
// refused for lack of servers: an instance that has just started may learn of them at
// any moment.
func (s *Service) refuse(now time.Time, ticket *Ticket) bool {
	if s.hadServers && !s.hasServerFor(ticket) {
		ticket.Refused, ticket.RetryAfter = true, noServerWait
		return true
	}
	if next, ok := s.nextUsable(); ok && next.After(ticket.Deadline) {
		ticket.Refused, ticket.RetryAfter = true, next.Sub(now)
		return true
	}
	if !s.isUnlikely(now, ticket, s.aheadOf(now, ticket)) {
		return false
	}
	ticket.Refused, ticket.RetryAfter = true, s.ExpectedWait(now, len(s.waiting))
	return true
}

// RefuseWaiting refuses all waiting tickets and returns them.
func (s *Service) RefuseWaiting() []*Ticket {
	refused := s.waiting
	s.waiting = nil
	for _, ticket := range refused {
		ticket.waiting = false
		ticket.Refused = true
	}
	return refused
}

// refuseWaitingInVain refuses the waiting tickets whose deadline is before the time
// at which the first server may be used again, and returns them. The caller must remove
// them from the waiting tickets.
func (s *Service) refuseWaitingInVain(now time.Time) []*Ticket {
	next, ok := s.nextUsable()
	if !ok {
		return nil
	}
	var refused []*Ticket
	for _, ticket := range s.waiting {
		if next.After(ticket.Deadline) {
			ticket.waiting = false
			ticket.Refused, ticket.RetryAfter = true, next.Sub(now)
			refused = append(refused, ticket)
		}
	}
	return refused
}

// isUnlikely reports whether a ticket with the given queue ahead of it is unlikely
// to be granted a server before its deadline. One that can't be on time has to queue
// with the late ones.
func (s *Service) isUnlikely(now time.Time, ticket *Ticket, ahead queueAhead) bool {
	if ahead.onTime+ahead.late < minTicketsAhead {
		return false
	}
	late := s.isLate(now.Add(s.leastWait(now, ahead.grantsBefore(false))), ticket)
	return s.leastWait(now, ahead.grantsBefore(late)) > ticket.Deadline.Sub(now)
}

// leastWait returns the lower bound of the wait of a ticket with the given number of
// grants before it.
func (s *Service) leastWait(now time.Time, grants int) time.Duration {
	return time.Duration(minWaitFraction * float64(s.ExpectedWait(now, grants)))
}

// hasServerFor reports whether there is a server that is not leaving and that the
// ticket's request was not sent to yet.
func (s *Service) hasServerFor(ticket *Ticket) bool {
	for _, server := range s.order {
		if !server.entry.Draining && !server.gone && !server.leaving && !slices.Contains(ticket.Tried, server) {
			return true
		}
	}
	return false
}
