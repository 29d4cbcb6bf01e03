package steerer

import (
	"slices"
	"time"
)

// Weights and timing of the choice of a server.
const (
	// loadWeight is the cost of a full server against an idle one, as a
	// probability of failing.
	loadWeight = 0.06
	// farWeight and farLargeWeight are the cost of another failure domain.
	farWeight      = 0.03
	farLargeWeight = 0.35
	// coldWeight is the cost of a server that is still slow after its start.
	coldWeight = 0.05
	// jitterWeight spreads instances that know the same.
	jitterWeight = 0.01
	// spareSlots lets requests queue at a server so that no slot is idle while
	// the next request is on its way.
	spareSlots = 1
	// exploreIdempotent and exploreOther are how long no instance has offered a
	// server anything when a request is sent there to see. Repeating an
	// idempotent one costs little, so those go first.
	exploreIdempotent = 900 * time.Millisecond
	exploreOther      = 1700 * time.Millisecond
	// claimTurn is how long the same instances may take slots of a server that
	// many want, and mostClaimed how many requests each may have there.
	claimTurn   = 100 * time.Millisecond
	mostClaimed = 2
	// exploreTurn is how long the same instances look at an idle server, and
	// exploreShare the share of the fleet that does, so that not all of them send
	// their next request there.
	exploreTurn  = 700 * time.Millisecond
	exploreShare = 0.125
	// exploreIdempotentBelow and exploreOtherBelow are the beliefs under which a
	// server is worth such a request.
	exploreIdempotentBelow = 0.6
	exploreOtherBelow      = 0.4
	// exploreStrained and exploreStrainedBelow take their place while many requests
	// of the service fail: then few servers must not be left to carry it all.
	exploreStrained      = 1300 * time.Millisecond
	exploreStrainedBelow = 0.8
	exploreStrainedShare = 0.2
	// firstTolerance is how likely a server may be to fail a request that has not
	// waited yet, and firstToleranceIdempotent the same for one that can be
	// repeated. Tolerance grows with the time that a request has waited, and is
	// full when it has waited this share of the time that it can.
	firstTolerance           = 0.15
	firstToleranceIdempotent = 0.4
	fullToleranceAt          = 0.7
	// bestTolerance is what a server may be worse than the best one. When all
	// servers fail alike, waiting for a better one helps nobody.
	bestTolerance = 0.1
)

// choose returns the server for a ticket, or nil when it must wait.
func (s *Service) choose(now time.Time, ticket *Ticket) *Server {
	if server := s.explore(now, ticket); server != nil {
		return server
	}
	var best *Server
	bestCost := 0.0
	tolerance := s.tolerance(now, ticket)
	for _, server := range s.order {
		if !server.usable(now) || slices.Contains(ticket.Tried, server) {
			continue
		}
		load := server.load(now)
		if load >= server.entry.Slots+spareSlots || server.belief.failing(now, s.rules) > tolerance {
			continue
		}
		if (ticket.waiting || len(s.waiting) > 0 || load >= busyLoad) && !s.mayClaim(now, server) {
			continue
		}
		cost := s.cost(now, ticket, server, load)
		if best == nil || cost < bestCost {
			best, bestCost = server, cost
		}
	}
	return best
}

// explore returns the server that was offered nothing for longest, if it is time
// to look at it.
func (s *Service) explore(now time.Time, ticket *Ticket) *Server {
	if len(ticket.Tried) > 0 {
		return nil
	}
	after, below := exploreOther, exploreOtherBelow
	if ticket.Idempotent {
		after, below = exploreIdempotent, exploreIdempotentBelow
	}
	if s.strain.high(now, s.fleet.Size) {
		after, below = min(after, s.strainedPause(now)), exploreStrainedBelow
	}
	var idle *Server
	for _, server := range s.order {
		if !server.usable(now) || now.Sub(server.offered) < after || server.load(now) > 0 || !s.looksAt(now, server) {
			continue
		}
		if server.belief.At(now, s.rules) >= below || (ticket.Large && server.entry.FailureDomain != s.near) {
			continue
		}
		if idle == nil || server.offered.Before(idle.offered) {
			idle = server
		}
	}
	return idle
}

// strainedPause returns how long a server may be idle while many requests fail.
// Looking at all of them takes exploreStrainedShare of the requests at most.
func (s *Service) strainedPause(now time.Time) time.Duration {
	requests := s.strain.requests.now(now, requestMemory) * float64(max(s.fleet.Size, 1))
	pause := float64(len(s.order)) / max(exploreStrainedShare*requests, 1)
	return max(time.Duration(pause*float64(time.Second)), exploreStrained)
}

// mayClaim reports whether it is this instance's turn to take a slot of a server
// that many want. What peers told of its load is old by a beat, and without
// turns all of them would take the same free slot at once.
func (s *Service) mayClaim(now time.Time, server *Server) bool {
	claimants := max(server.entry.Slots/2, 1)
	if s.fleet.Size <= claimants {
		return true
	}
	return server.inFlight < mostClaimed && s.inTurn(now, server, claimTurn, float64(claimants))
}

// looksAt reports whether it is this instance's turn to look at an idle server.
func (s *Service) looksAt(now time.Time, server *Server) bool {
	return s.fleet.Size <= 1 || s.inTurn(now, server, exploreTurn, max(exploreShare*float64(s.fleet.Size), 1))
}

// inTurn reports whether this instance is among those, so many in number, whose
// turn it is at a server. Turns go around the fleet by the time of day; clocks
// that differ only make more or fewer instances act at once.
func (s *Service) inTurn(now time.Time, server *Server, length time.Duration, instances float64) bool {
	turn := uint64(now.UnixMilli() / length.Milliseconds())
	first := (uint64(server.Key) + turn*turnStep) % uint64(s.fleet.Size)
	distance := (uint64(s.fleet.Place) + uint64(s.fleet.Size) - first) % uint64(s.fleet.Size)
	return float64(distance) < instances
}

// turnStep goes on to other instances with each turn; it is prime, so that all
// come in turn for fleets of almost any size.
const turnStep = 7919

// tolerance returns how likely the server of a ticket may be to fail it.
func (s *Service) tolerance(now time.Time, ticket *Ticket) float64 {
	first := firstTolerance
	if ticket.Idempotent {
		first = firstToleranceIdempotent
	}
	waited := 1.0
	if span := ticket.Until.Sub(ticket.Arrived); span > 0 {
		waited = min(float64(now.Sub(ticket.Arrived))/(fullToleranceAt*float64(span)), 1)
	}
	tolerance := first + (1-first)*waited*waited
	return max(tolerance, s.least(now, ticket)+bestTolerance)
}

// least returns how likely the best server is to fail a ticket, whether it has a
// free slot or not.
func (s *Service) least(now time.Time, ticket *Ticket) float64 {
	least := 1.0
	for _, server := range s.order {
		if server.usable(now) && !slices.Contains(ticket.Tried, server) {
			least = min(least, server.belief.failing(now, s.rules))
		}
	}
	return least
}

// cost weighs what may go wrong at a server, as a probability of failing.
func (s *Service) cost(now time.Time, ticket *Ticket, server *Server, load int) float64 {
	cost := server.belief.failing(now, s.rules)
	cost += loadWeight * float64(load) / float64(server.entry.Slots)
	if load >= server.entry.Slots {
		cost += loadWeight
	}
	if server.entry.FailureDomain != s.near {
		if ticket.Large {
			cost += farLargeWeight
		} else {
			cost += farWeight
		}
	}
	if now.Before(server.warm) {
		cost += coldWeight
	}
	return cost + jitterWeight*s.random.Float64()
}
