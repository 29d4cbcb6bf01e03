// Package steerer decides which server of a service a request is sent to, and
// when a request has to wait for one.
//
// # Inputs
//
// The steerer keeps three kinds of information about a server. Responses seen by
// any instance update a Belief, the probability that the server is currently
// faulty. Failures to connect to it count only for the instance that saw them,
// and keep that instance from using the server for a while. The requests in
// flight, this instance's own and those last reported by peers, tell whether one
// of the server's slots is free.
//
// # Decisions
//
// A request is sent to the server with the lowest cost, mainly its probability of
// failing the request, among those with a free slot. When no slot is free, the
// request waits in the steerer's queue rather than in a server's, because a
// request that was sent can no longer be redirected. Waiting requests are ordered
// by priority; within a priority, those that can be answered on time come first. A
// request that can no longer be answered is refused.
//
// A Service is deterministic for a given random source: it reads no clock and
// starts no goroutines. Package allocator adds locking and the current time.
package steerer

import (
	"math/rand/v2"
	"slices"
	"time"

	"lagoonstile"
	"lagoonstile/estimator"
	"lagoonstile/gossiper"
)

// Outcome is the result of one attempt to send a request to a server.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeGood is a complete response that is not a failure of the server.
	OutcomeGood Outcome = "good"
	// OutcomeBad is a failure of the server: an error response, an aborted
	// response, or bytes that are not a valid response to the request.
	OutcomeBad Outcome = "bad"
	// OutcomeShed means that the server reported overload and did not execute the
	// request.
	OutcomeShed Outcome = "shed"
	// OutcomeUnreached means that no connection was available and nothing was sent.
	OutcomeUnreached Outcome = "unreached"
	// OutcomeGone means that another server has the address, or that the server is
	// leaving.
	OutcomeGone Outcome = "gone"
	// OutcomeTimeout means that no response arrived before the request's deadline.
	OutcomeTimeout Outcome = "silent"
	// OutcomeNone means that nothing new was learned about the server, for example
	// because the client disconnected.
	OutcomeNone Outcome = "none"
)

// Timing, thresholds and weights of the state of servers.
const (
	// shedPause is how long a server that shed a request is not used.
	shedPause = 150 * time.Millisecond
	// minUnreachedPause and maxUnreachedPause bound the pause after a failure to
	// connect, which doubles with each consecutive failure.
	minUnreachedPause = 500 * time.Millisecond
	maxUnreachedPause = 4 * time.Second
	// gonePause is how long a server is not used after OutcomeGone or a peer's report
	// with Gone set. When it ends, the registry shows that the server is leaving.
	gonePause = 10 * time.Second
	// peerLoadMaxAge is how long the number of requests in a peer's report counts.
	peerLoadMaxAge = 1500 * time.Millisecond
	// reportGoodAbove is the belief above which a good response is reported to all
	// peers, and farLoad the number of requests at a server from which every grant and
	// response there is. Others are not, so that the message rate of the fleet does not
	// grow with its traffic.
	reportGoodAbove = 0.04
	farLoad         = 4
	// busyShare is the percentage of a server's slots that must be taken for its load to
	// be news for the nearest peers, and for instances to take turns at it.
	busyShare = 67
	// doubtAt and trustAt are the beliefs at which a BeliefChange marks a server as
	// doubted and as trusted again. Decisions use the belief itself.
	doubtAt = 0.5
	trustAt = 0.2
	// A request is slow once it has taken longer than slowQuantile of the others, but not
	// before slowFactor times the mean latency or minSlowThreshold. With heavy-tailed work
	// the mean alone would often take sound servers for faulty. initialSlowThreshold
	// applies until a latency is known.
	slowQuantile         = 0.98
	slowFactor           = 2.5
	initialSlowThreshold = 1500 * time.Millisecond
	minSlowThreshold     = 100 * time.Millisecond
	// A request is hedged after hedgeShare of its objective or hedgeFactor times the
	// mean latency, whichever is later, but no later than when it is slow.
	hedgeShare  = 0.6
	hedgeFactor = 1.3
	// meanLatencyWeight is the weight of a new response in the mean latency.
	meanLatencyWeight = 0.05
)

// Ticket represents one request that needs a server.
type Ticket struct {
	// Priority orders waiting tickets; lower values are served first.
	Priority int
	// Account is the client account of the request, or empty if there is none.
	Account    lagoonstile.CallerID
	Idempotent bool
	// Large is set if the response is expected to be large.
	Large   bool
	Arrived time.Time
	// OnTimeUntil is the time until which a response is on time. The zero value stands
	// for any time.
	OnTimeUntil time.Time
	// Deadline is the latest time at which it is useful to be granted a server.
	Deadline time.Time
	// Tried lists the servers that the request was already sent to.
	Tried []*Server
	// Server is set when the ticket is granted.
	Server *Server
	// Granted lets the caller signal the grant of a waiting ticket. This package does
	// not use it.
	Granted chan struct{}
	// Basis is the information that the choice of the server was based on.
	Basis Basis
	// Refused is set if no server will be available in time, when the ticket is
	// submitted or while it waits. RetryAfter is then the estimated time until one may
	// be.
	Refused    bool
	RetryAfter time.Duration

	waiting bool
}

// Basis is the information about a server when it was chosen.
type Basis struct {
	// FailureProbability is the probability that the server fails the request.
	FailureProbability float64
	// Age is the time since the last response that FailureProbability is based on,
	// or since the server became known if there was none.
	Age time.Duration
	// Load is the number of requests at the server, and Waiting the number of
	// tickets that were waiting in this steerer.
	Load, Waiting int
}

// BeliefChange reports that a server is now believed to be faulty, or no longer is.
type BeliefChange struct {
	Service lagoonstile.ServiceID
	Server  lagoonstile.ServerID
	Doubted bool
	// From is the peer whose report caused the change. It is empty if responses to
	// this instance did.
	From lagoonstile.InstanceID
	// FailureProbability is the probability that the server fails the next request.
	FailureProbability float64
	// Good and Bad count the responses that caused the change.
	Good, Bad uint64
}

// Service chooses servers for the requests of one service. It is not safe for
// concurrent use.
type Service struct {
	model       FaultModel
	localDomain lagoonstile.FailureDomain
	random      *rand.Rand
	servers     map[lagoonstile.ServerID]*Server
	// hadServers is set once the service has had a server.
	hadServers bool
	byKey      map[gossiper.Key]*Server
	// order lists the servers by id, so that iteration is deterministic.
	order []*Server
	// waiting is sorted by priority and arrival. inOrder returns the order in which
	// its tickets are granted servers.
	waiting []*Ticket
	// grants counts the grants to waiting tickets.
	grants int
	// accounts counts the recent grants to each client account.
	accounts map[lagoonstile.CallerID]recentGrants
	// errorRate measures the share of requests that fail.
	errorRate errorRate
	// grantRate measures how fast waiting tickets are granted servers.
	grantRate grantRate
	// meanLatency is the moving average of the latency of good responses; 0 before
	// the first one.
	meanLatency time.Duration
	// latencies holds the latencies of good responses.
	latencies estimator.Histogram
	// changes are the changes since the last call of Changes.
	changes []BeliefChange
	// notices holds what runs of servers have said of themselves.
	notices map[gossiper.Key]keptNotice
	// fleet is this instance's position among the live instances.
	fleet FleetPosition
	// peerLoads expires the peers' reports that are part of the servers' peerLoad.
	peerLoads peerLoadQueue
	// news holds the servers whose requests in flight peers must be told.
	news []*Server
}

// FleetPosition is an instance's position among the live instances, which take turns at
// exploring idle servers and at using contended ones. The zero value stands for a
// single instance.
type FleetPosition struct {
	// Index is in the range [0, Size).
	Index, Size int
}

// SetFleetPosition sets this instance's position among the live instances.
func (s *Service) SetFleetPosition(fleet FleetPosition) { s.fleet = fleet }

// New returns a steerer without servers for an instance in the given failure
// domain.
func New(model FaultModel, localDomain lagoonstile.FailureDomain, random *rand.Rand) *Service {
	return &Service{
		model:       model,
		localDomain: localDomain,
		random:      random,
		servers:     make(map[lagoonstile.ServerID]*Server),
		byKey:       make(map[gossiper.Key]*Server),
	}
}

// SetBackends replaces the registered servers of the service. Like the other methods
// that return tickets, it returns the waiting tickets that were granted a server or
// refused as a result. A restarted server has a different key and is
// treated as a new server.
func (s *Service) SetBackends(now time.Time, backends []lagoonstile.Backend) []*Ticket {
	s.peerLoads.expire(now)
	kept := make(map[lagoonstile.ServerID]*Server, len(backends))
	s.byKey = make(map[gossiper.Key]*Server, len(backends))
	s.order = s.order[:0]
	for _, backend := range backends {
		key := KeyOf(backend)
		server := s.servers[backend.ID]
		if server == nil || server.Key != key {
			server = &Server{
				Backend: backend,
				Key:     key,
				belief:  newBelief(now, s.model),
				peers:   make(map[Peer]peerState),
			}
			server.heed(s.notices[key])
		}
		// The warm-up time of an entry counts from when the entry became known.
		if backend.WarmupLeft != server.entry.WarmupLeft {
			server.warmupEnd = now.Add(backend.WarmupLeft)
		}
		server.entry = backend
		kept[backend.ID] = server
		s.byKey[key] = server
		s.order = append(s.order, server)
	}
	slices.SortFunc(s.order, func(a, b *Server) int {
		return compareServerIDs(a.Backend.ID, b.Backend.ID)
	})
	s.servers = kept
	s.forgetNotices(now)
	s.hadServers = s.hadServers || len(kept) > 0
	return s.grantWaiting(now)
}

// UsableServers returns the number of servers that are neither draining nor paused
// at the given time.
func (s *Service) UsableServers(now time.Time) int {
	n := 0
	for _, server := range s.order {
		if server.usable(now) {
			n++
		}
	}
	return n
}

// Waiting returns the number of waiting tickets.
func (s *Service) Waiting() int { return len(s.waiting) }

// Submit grants a server to a ticket, queues the ticket, or refuses it if no
// server will be available in time. It reports whether the ticket was granted.
func (s *Service) Submit(now time.Time, ticket *Ticket) bool {
	s.peerLoads.expire(now)
	if len(ticket.Tried) == 0 {
		s.errorRate.addRequest(now, ticket.Idempotent)
	}
	if !s.waitingPrecedes(now, ticket) {
		tolerance := s.toleranceGiven(now, ticket, s.bestServer(now))
		if server := s.choose(now, ticket, tolerance); server != nil {
			s.grant(now, ticket, server)
			return true
		}
	}
	at, _ := slices.BinarySearchFunc(s.waiting, ticket, compareTickets)
	if s.refuse(now, ticket) {
		return false
	}
	ticket.waiting = true
	s.waiting = slices.Insert(s.waiting, at, ticket)
	return false
}

// precedes reports whether a has a lower Priority value than b, or the same one
// and did not arrive later.
func precedes(a, b *Ticket) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return !b.Arrived.Before(a.Arrived)
}

// compareTickets orders tickets by precedes.
func compareTickets(a, b *Ticket) int {
	if precedes(a, b) {
		return -1
	}
	return 1
}

// Cancel removes a waiting ticket. It returns false if the ticket is not waiting,
// for example because it has been granted.
func (s *Service) Cancel(ticket *Ticket) bool {
	if !ticket.waiting {
		return false
	}
	ticket.waiting = false
	at := slices.Index(s.waiting, ticket)
	s.waiting = slices.Delete(s.waiting, at, at+1)
	return true
}

// Settle records the outcome and duration of the attempt that a server was granted
// for. It returns the tickets granted as a result.
func (s *Service) Settle(now time.Time, server *Server, outcome Outcome, took time.Duration) []*Ticket {
	s.peerLoads.expire(now)
	if outcome != OutcomeGood || server.belief.At(now, s.model) > reportGoodAbove || server.load() >= farLoad {
		server.lastChange = now
	}
	server.inFlight--
	s.noteLoad(server, server.inFlight+1)
	switch outcome {
	case OutcomeGood:
		server.good++
		server.unreachedPause = 0
		s.updateMeanLatency(took)
		s.observe(now, server, "", 1, 0)
	case OutcomeBad, OutcomeTimeout:
		server.bad++
		s.observe(now, server, "", 0, 1)
	case OutcomeShed:
		server.pause(now.Add(shedPause))
	case OutcomeUnreached:
		server.unreachedPause = min(max(2*server.unreachedPause, minUnreachedPause), maxUnreachedPause)
		server.pause(now.Add(server.unreachedPause))
	case OutcomeGone:
		server.gone = true
		server.pause(now.Add(gonePause))
	case OutcomeNone:
	}
	return s.grantWaiting(now)
}

// updateMeanLatency adds the latency of a good response to the moving average.
func (s *Service) updateMeanLatency(took time.Duration) {
	s.latencies.Add(took)
	if s.meanLatency == 0 {
		s.meanLatency = took
		return
	}
	s.meanLatency += time.Duration(meanLatencyWeight * float64(took-s.meanLatency))
}

// SlowThreshold returns the duration after which a request is slow compared with
// the mean latency.
func (s *Service) SlowThreshold() time.Duration {
	if s.meanLatency == 0 {
		return initialSlowThreshold
	}
	mean := time.Duration(slowFactor * float64(s.meanLatency))
	return max(s.latencies.Quantile(slowQuantile), mean, minSlowThreshold)
}

// HedgeDelay returns the time after which a request with the given latency
// objective should be hedged by sending it to a second server as well.
func (s *Service) HedgeDelay(objective time.Duration) time.Duration {
	delay := max(time.Duration(hedgeShare*float64(objective)), time.Duration(hedgeFactor*float64(s.meanLatency)))
	return min(delay, s.SlowThreshold())
}

// ObserveFailure counts a failure of a server apart from the outcome of an attempt,
// which counts as well: a request has been there for longer than SlowThreshold, or a
// response failed after its start had been passed on.
func (s *Service) ObserveFailure(now time.Time, server *Server) {
	server.bad++
	server.lastChange = now
	s.observe(now, server, "", 0, 1)
}

// Tick grants servers to the waiting tickets that can be granted one because time
// has passed, and returns these tickets. With time, pauses end, peers' load
// expires, turns change, and the tolerance of waiting tickets grows.
func (s *Service) Tick(now time.Time) []*Ticket {
	s.peerLoads.expire(now)
	return s.grantWaiting(now)
}

// grantWaiting grants servers to waiting tickets in order, skipping tickets for
// which no server is acceptable, and refuses those that could no longer be answered
// before their deadline. It returns both. The cost of a ticket without a server is
// constant as long as a similar one found none.
func (s *Service) grantWaiting(now time.Time) []*Ticket {
	if len(s.waiting) == 0 {
		return nil
	}
	var ended []*Ticket
	var refused refusals
	best := s.bestServer(now)
	if best == nil {
		ended = s.refuseWaitingInVain(now)
	}
	for _, ticket := range s.inOrder(now) {
		if !ticket.waiting {
			continue
		}
		if s.isHopeless(now, ticket) || (s.isLate(now, ticket) && s.isUnlikely(now, ticket, s.aheadOf(now, ticket))) {
			ticket.waiting = false
			ticket.Refused, ticket.RetryAfter = true, s.ExpectedWait(now, len(s.waiting))
			ended = append(ended, ticket)
			continue
		}
		tolerance := s.toleranceGiven(now, ticket, best)
		if refused.covers(ticket, tolerance) {
			continue
		}
		server := s.choose(now, ticket, tolerance)
		if server == nil {
			refused.add(ticket, tolerance)
			continue
		}
		ticket.waiting = false
		s.grants++
		s.grantRate.add(now)
		s.grant(now, ticket, server)
		ended = append(ended, ticket)
	}
	if len(ended) > 0 {
		s.waiting = slices.DeleteFunc(s.waiting, func(ticket *Ticket) bool { return !ticket.waiting })
	}
	return ended
}

func (s *Service) grant(now time.Time, ticket *Ticket, server *Server) {
	ticket.Basis = Basis{
		FailureProbability: s.failureProbability(now, server),
		Age:                now.Sub(server.belief.updatedAt),
		Load:               server.load(),
		Waiting:            len(s.waiting),
	}
	server.inFlight++
	s.noteGrant(now, ticket.Account)
	s.noteLoad(server, server.inFlight-1)
	server.lastRequestAt = now
	if ticket.Basis.Load >= farLoad {
		server.lastChange = now
	}
	ticket.Server = server
}

// observe updates a server's belief with responses and records a BeliefChange if
// its doubted state changes. The parameter from is the peer that saw the responses,
// or empty for this instance.
func (s *Service) observe(now time.Time, server *Server, from lagoonstile.InstanceID, good, bad uint64) {
	if bad > 0 {
		s.errorRate.addFailures(now, bad, server.belief.At(now, s.model))
		server.lastFailureAt = now
	}
	server.belief.update(now, s.model, good, bad)
	server.beliefAt = time.Time{}
	faulty := server.belief.faulty
	doubted := faulty >= doubtAt || (server.doubted && faulty > trustAt)
	if doubted == server.doubted {
		return
	}
	server.doubted = doubted
	s.changes = append(s.changes, BeliefChange{
		Service: server.Backend.Service, Server: server.Backend.ID, Doubted: doubted,
		From: from, FailureProbability: server.belief.failureProbability(now, s.model), Good: good, Bad: bad,
	})
}

// Changes returns the changes since the last call.
func (s *Service) Changes() []BeliefChange {
	changes := s.changes
	s.changes = nil
	return changes
}

// failureProbability returns the probability that the server fails the next
// request. It is kept for calls with the same time.
func (s *Service) failureProbability(now time.Time, server *Server) float64 {
	if !server.beliefAt.Equal(now) || server.beliefAt.IsZero() {
		server.failing = server.belief.failureProbability(now, s.model)
		server.beliefAt = now
	}
	return server.failing
}
