package steerer

import (
	"slices"
	"time"
)

// Weights, timing and thresholds of server selection. The weights are added to a
// server's failure probability and are in the same unit.
const (
	// loadWeight is the cost of a load of as many requests as the server has slots.
	// Smaller loads cost less in proportion. It is added once more if no slot is
	// free.
	loadWeight = 0.06
	// remoteWeight and remoteLargeWeight are the cost of a server in another
	// failure domain, the latter for requests with large responses.
	remoteWeight      = 0.08
	remoteLargeWeight = 0.35
	// warmupWeight is the cost of a server that is still warming up.
	warmupWeight = 0.05
	// jitterWeight scales a random cost that makes instances with the same
	// information choose different servers.
	jitterWeight = 0.01
	// A server may be sent one request beyond its slots for every overcommitShare of
	// them: where slots are few, the request would wait there for long, and could not be
	// sent elsewhere. In another failure domain it is at least one, so that no slot is
	// idle while the next request is in transit.
	overcommitShare = 4
	// exploreIdempotentAfter and exploreOtherAfter are how long a server must have
	// been sent no request by any instance before a request is sent there to probe
	// it. Idempotent requests are used earlier because they are cheap to retry.
	exploreIdempotentAfter = 900 * time.Millisecond
	exploreOtherAfter      = 1700 * time.Millisecond
	// nearClaim is how many times its even part of the slots of a contended server in
	// its own failure domain an instance may take.
	nearClaim = 3
	// claimTurn is how long one set of instances may take the slots of a contended
	// server in another failure domain. At least one in farClaimants instances is in it.
	// maxClaimed is how many requests each of them may have in flight there.
	farClaimants = 6
	claimTurn    = 100 * time.Millisecond
	maxClaimed   = 2
	// exploreTurn is how long one set of instances may explore an idle server, and
	// exploreShare is the fraction of the fleet in that set. Turns keep the instances
	// from all sending their next request to the same server.
	exploreTurn  = 700 * time.Millisecond
	exploreShare = 0.125
	// exploreIdempotentBelow and exploreOtherBelow are the beliefs below which a
	// server is explored.
	exploreIdempotentBelow = 0.6
	exploreOtherBelow      = 0.4
	// While the service is degraded (see errorRate.degraded), a server is explored if its
	// belief is below exploreDegradedBelow, and at the latest after the idle time
	// that degradedExploreAfter returns. That time is at least exploreDegradedAfter,
	// and longer if exploring would use more than exploreDegradedShare of the
	// requests. Without this, a few trusted servers would have to carry the whole
	// load.
	exploreDegradedAfter = 1300 * time.Millisecond
	exploreDegradedBelow = 0.8
	exploreDegradedShare = 0.2
	// While many requests fail, at least minUsedShare of the servers without a failure
	// in the last soundAfter are kept in use: those idle for narrowExploreAfter are
	// explored.
	minUsedShare       = 0.75
	soundAfter         = 2 * time.Second
	narrowExploreAfter = 1100 * time.Millisecond
	// The tolerance is the largest failure probability at which a server is
	// acceptable for a request. It is initialTolerance or initialToleranceIdempotent
	// when the request arrives, and grows to 1 at the fraction fullToleranceAt of the
	// time that the request can wait. It is at least onTimeTolerance when the request
	// is about to be late: a server that is more likely to fail than not would lose
	// more requests than it saves from being late.
	initialTolerance           = 0.15
	initialToleranceIdempotent = 0.4
	fullToleranceAt            = 0.7
	onTimeTolerance            = 0.5
	// A server is also acceptable if its failure probability exceeds that of the best
	// one by at most toleranceOverBest: when all servers fail alike, waiting for a
	// better one is useless.
	toleranceOverBest = 0.1
)

// choose returns the server for a ticket with the given tolerance, or nil if the
// ticket must wait.
func (s *Service) choose(now time.Time, ticket *Ticket, tolerance float64) *Server {
	if server := s.explore(now, ticket); server != nil {
		return server
	}
	var best *Server
	bestCost := 0.0
	for _, server := range s.order {
		if !s.hasRoom(now, server) || s.failureProbability(now, server) > tolerance || slices.Contains(ticket.Tried, server) {
			continue
		}
		load := server.load()
		if (ticket.waiting || len(s.waiting) > 0 || load >= server.busyLoad()) && !s.mayClaim(now, server) {
			continue
		}
		cost := s.cost(now, ticket, server, load)
		if best == nil || cost < bestCost {
			best, bestCost = server, cost
		}
	}
	return best
}

// explore returns the server that has gone longest without a request among those
// due for exploration, or nil if there is none. While too few servers are in use, it
// returns the one among them that is least likely to fail.
func (s *Service) explore(now time.Time, ticket *Ticket) *Server {
	if len(ticket.Tried) > 0 {
		return nil
	}
	after, below := exploreOtherAfter, exploreOtherBelow
	if ticket.Idempotent {
		after, below = exploreIdempotentAfter, exploreIdempotentBelow
	}
	if s.errorRate.degraded(now, s.fleet.Size) {
		after, below = min(after, s.degradedExploreAfter(now)), exploreDegradedBelow
	}
	narrow := s.narrow(now)
	if narrow {
		after, below = min(after, narrowExploreAfter), 1
	}
	var idle *Server
	for _, server := range s.order {
		if !server.usable(now) || now.Sub(server.lastRequestAt) < after || server.load() > 0 || !s.mayExplore(now, server) {
			continue
		}
		if server.belief.At(now, s.model) > below || (ticket.Large && !s.isNear(server)) {
			continue
		}
		// To keep enough servers in use, those that fail least do.
		better := idle == nil || server.lastRequestAt.Before(idle.lastRequestAt)
		if narrow && idle != nil {
			better = s.failureProbability(now, server) < s.failureProbability(now, idle)
		}
		if better {
			idle = server
		}
	}
	return idle
}

// narrow reports whether many requests fail while too few of the servers that did
// not fail lately are in use. The others must then be tried, whatever is believed of
// them: their number may hold all that the failing requests need.
func (s *Service) narrow(now time.Time) bool {
	if !s.errorRate.failing(now, s.fleet.Size) {
		return false
	}
	sound, used := 0, 0
	for _, server := range s.order {
		if !server.usable(now) || now.Sub(server.lastFailureAt) < soundAfter {
			continue
		}
		sound++
		if server.load() > 0 || now.Sub(server.lastRequestAt) < narrowExploreAfter {
			used++
		}
	}
	return float64(used) < minUsedShare*float64(sound)
}

// degradedExploreAfter returns how long a server may be idle before it is explored
// while the service is degraded. Exploring all servers that often takes at most
// exploreDegradedShare of the fleet's requests, or one request per second if that
// is more.
func (s *Service) degradedExploreAfter(now time.Time) time.Duration {
	requests := s.errorRate.requests.rate(now, requestWindow) * float64(max(s.fleet.Size, 1))
	seconds := float64(len(s.order)) / max(exploreDegradedShare*requests, 1)
	return max(time.Duration(seconds*float64(time.Second)), exploreDegradedAfter)
}

// isNear reports whether a server is in this instance's failure domain. Most of its
// requests come from the nearest peers, which tell their load at once (see News).
func (s *Service) isNear(server *Server) bool { return server.entry.FailureDomain == s.localDomain }

// hasRoom reports whether the server may be sent another request, whatever its
// failure probability.
func (s *Service) hasRoom(now time.Time, server *Server) bool {
	beyond := server.entry.Slots / overcommitShare
	if !s.isNear(server) {
		beyond = max(beyond, 1)
	}
	return server.usable(now) && server.load() < server.entry.Slots+beyond
}

// mayClaim reports whether this instance may now take a slot of a contended server.
// The load that distant peers report is up to one heartbeat interval old; without turns
// and a limit for each instance, all instances would take the same free slot at once.
func (s *Service) mayClaim(now time.Time, server *Server) bool {
	if s.isNear(server) {
		return server.inFlight < max(nearClaim*server.entry.Slots/max(s.fleet.Size, 1), 1)
	}
	claimants := max(server.entry.Slots/2, (s.fleet.Size+farClaimants-1)/farClaimants)
	if s.fleet.Size <= claimants {
		return true
	}
	return server.inFlight < maxClaimed && s.inTurn(now, server, claimTurn, float64(claimants))
}

// mayExplore reports whether it is this instance's turn to explore an idle server.
func (s *Service) mayExplore(now time.Time, server *Server) bool {
	return s.fleet.Size <= 1 || s.inTurn(now, server, exploreTurn, max(exploreShare*float64(s.fleet.Size), 1))
}

// inTurn reports whether this instance is in the set of the given number of
// instances whose turn it is at a server. Turns of the given length rotate
// through the fleet by wall-clock time. Clock skew only changes how many instances
// act at once.
func (s *Service) inTurn(now time.Time, server *Server, length time.Duration, instances float64) bool {
	turn := uint64(now.UnixMilli() / length.Milliseconds())
	first := (uint64(server.Key) + turn*turnStep) % uint64(s.fleet.Size)
	distance := (uint64(s.fleet.Index) + uint64(s.fleet.Size) - first) % uint64(s.fleet.Size)
	return float64(distance) < instances
}

// turnStep is the number of places by which a turn advances through the fleet. It
// is prime so that every instance gets a turn, unless the fleet size is a multiple
// of it.
const turnStep = 7919

// toleranceGiven returns the largest acceptable failure probability of a server for
// a ticket, given the best server of all.
func (s *Service) toleranceGiven(now time.Time, ticket *Ticket, best *Server) float64 {
	initial := initialTolerance
	if ticket.Idempotent {
		initial = initialToleranceIdempotent
	}
	waited := now.Sub(ticket.Arrived)
	share := shareOf(waited, time.Duration(fullToleranceAt*float64(ticket.Deadline.Sub(ticket.Arrived))))
	tolerance := initial + (1-initial)*share*share
	if !ticket.OnTimeUntil.IsZero() {
		share = shareOf(waited, s.sendBy(ticket).Sub(ticket.Arrived))
		tolerance = max(tolerance, initial+(onTimeTolerance-initial)*share*share)
	}
	if slices.Contains(ticket.Tried, best) {
		best = s.bestServer(now, ticket.Tried...)
	}
	lowest := 1.0
	if best != nil {
		lowest = s.failureProbability(now, best)
	}
	return max(tolerance, lowest+toleranceOverBest)
}

// shareOf returns the share of the limit that has passed, at most 1.
func shareOf(waited, limit time.Duration) float64 {
	if waited >= limit {
		return 1
	}
	return float64(waited) / float64(limit)
}

// bestServer returns the usable server with the lowest failure probability, whether
// or not it has a free slot, except for those given. It returns nil if there is none.
func (s *Service) bestServer(now time.Time, except ...*Server) *Server {
	var best *Server
	for _, server := range s.order {
		if !server.usable(now) || slices.Contains(except, server) {
			continue
		}
		if best == nil || s.failureProbability(now, server) < s.failureProbability(now, best) {
			best = server
		}
	}
	return best
}

// cost returns the cost of sending a ticket's request to a server that has the
// given load: its failure probability plus the weights that apply.
func (s *Service) cost(now time.Time, ticket *Ticket, server *Server, load int) float64 {
	cost := s.failureProbability(now, server)
	cost += loadWeight * float64(load) / float64(server.entry.Slots)
	if load >= server.entry.Slots {
		cost += loadWeight
	}
	if !s.isNear(server) {
		if ticket.Large {
			cost += remoteLargeWeight
		} else {
			cost += remoteWeight
		}
	}
	if now.Before(server.warmupEnd) {
		cost += warmupWeight
	}
	return cost + jitterWeight*s.random.Float64()
}
