// Package steerer decides which server of a service a request goes to, and when
// a request waits for one.
//
// # What is known of a server
//
// Three things, kept apart. Answers of all instances move a Belief: how likely
// the server is to be faulty now. Failures to reach it count for the instance
// that saw them only, and close the path for a while. And the requests at it,
// this instance's own and those that peers last told of, say whether one of its
// slots is free.
//
// # What follows
//
// A request goes to the server where it is least likely to fail, among those
// with a free slot. When no slot is free it waits here and not at a server,
// where nothing could be decided about it any more: the most urgent request
// goes first, and within a priority the one that came first.
//
// The type is pure: it reads no clock and starts nothing. Package allocator puts
// it between goroutines.
package steerer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonstile"
	"lagoonstile/gossiper"
)

// Outcome is how one send of a request to a server ended.
type Outcome string

// The outcomes.
const (
	// OutcomeGood: a whole answer that is not the server's own failure.
	OutcomeGood Outcome = "good"
	// OutcomeBad: the server failed the request, or broke off, or sent bytes
	// that are no answer to it.
	OutcomeBad Outcome = "bad"
	// OutcomeShed: the server said that it was too busy and did not run it.
	OutcomeShed Outcome = "shed"
	// OutcomeUnreached: nothing was sent, for there was no connection.
	OutcomeUnreached Outcome = "unreached"
	// OutcomeGone: another server has the address, or the server is leaving.
	OutcomeGone Outcome = "gone"
	// OutcomeSilent: no answer in the time that the request had.
	OutcomeSilent Outcome = "silent"
	// OutcomeNone: nothing was learnt, for the client went away.
	OutcomeNone Outcome = "none"
)

// Timing and weights of the choice.
const (
	// shedPause is how long a server that was too busy gets nothing.
	shedPause = 150 * time.Millisecond
	// firstUnreached and mostUnreached bound how long a path is closed.
	firstUnreached = 500 * time.Millisecond
	mostUnreached  = 4 * time.Second
	// gonePause is how long a server that said it is leaving gets nothing; by
	// then its entry says so too.
	gonePause = 10 * time.Second
	// heardFor is how long what a peer told of its requests counts.
	heardFor = 1500 * time.Millisecond
	// newsAbove is the belief above which a good answer is news to peers, and
	// busyLoad the requests at a server from which on peers should know of each.
	// Where nothing is news, the messages of a fleet don't grow with its traffic.
	newsAbove = 0.04
	busyLoad  = 4
	// doubtAt and trustAt are the beliefs at which the log says that a server is
	// doubted, and no longer. Decisions go by the belief itself.
	doubtAt = 0.5
	trustAt = 0.2
	// slowFactor times the mean time of good answers is slow.
	slowFactor = 2.5
	firstSlow  = 1500 * time.Millisecond
	leastSlow  = 100 * time.Millisecond
	// hedgeShare of the objective, and hedgeFactor times the mean, is when a
	// second server is tried.
	hedgeShare  = 0.6
	hedgeFactor = 1.3
	// meanWeight is the weight of an answer in the mean.
	meanWeight = 0.05
)

// Server is one run of one server as its service's steerer knows it.
type Server struct {
	// Backend is the entry that the run first registered. It never changes, for
	// requests read it while entries are taken in.
	Backend lagoonstile.Backend
	// Key names the server in messages to peers.
	Key gossiper.Key

	// entry is the latest one of the run.
	entry  lagoonstile.Backend
	belief Belief
	// doubted is what the last Change said.
	doubted bool
	// inFlight is how many requests of this instance are at the server.
	inFlight int
	// others is what each peer told last.
	others map[Peer]heard
	// good and bad count this instance's own answers.
	good, bad uint64
	// changed is when the last report that peers should hear came about.
	changed time.Time
	// offered is when any instance last offered the server a request.
	offered time.Time
	// warm is when the server is past its start.
	warm time.Time
	// pausedUntil is when the server may be used again, for whatever reason.
	pausedUntil time.Time
	// unreached is the last pause for want of a connection; 0 after success.
	unreached time.Duration
	gone      bool
}

// heard is what a peer said of a server.
type heard struct {
	good, bad uint64
	inFlight  int
	at        time.Time
}

// Ticket is one request that wants a server.
type Ticket struct {
	Priority   int
	Idempotent bool
	// Large says that the answer is large.
	Large   bool
	Arrived time.Time
	// Until is the last time at which a server is of use.
	Until time.Time
	// Tried lists the servers that had the request already.
	Tried []*Server
	// Server is set when the ticket is granted.
	Server *Server
	// Granted is for the owner of the steerer, who is told of grants.
	Granted chan struct{}
	// Basis is what the choice of the server rested on.
	Basis Basis
	// Refused says that no server will come in time, and Wait after which time one
	// may.
	Refused bool
	Wait    time.Duration

	waiting bool
}

// Basis is what was known of a server when it was chosen.
type Basis struct {
	// Failing is how likely it was to fail the request.
	Failing float64
	// Age is how old the last answer was that this rests on.
	Age time.Duration
	// Load is how many requests were at the server, Waiting how many waited here.
	Load, Waiting int
}

// Change is a server that is believed faulty from now on, or no longer.
type Change struct {
	Service lagoonstile.ServiceID
	Server  lagoonstile.ServerID
	Doubted bool
	// From is the peer whose report moved the belief; empty for own answers.
	From lagoonstile.InstanceID
	// Failing is how likely the server now is to fail a request.
	Failing   float64
	Good, Bad uint64
}

// Service steers the requests of one service. It is not safe for concurrent
// use.
type Service struct {
	rules   Rules
	near    lagoonstile.FailureDomain
	random  *rand.Rand
	servers map[lagoonstile.ServerID]*Server
	// hadServers says that there ever were some.
	hadServers bool
	byKey      map[gossiper.Key]*Server
	// order lists the servers by id, for loops that must give the same result
	// every time.
	order []*Server
	// waiting is sorted by priority and arrival.
	waiting []*Ticket
	// strain tells whether many requests fail.
	strain strain
	// pace tells how fast waiting tickets get servers.
	pace pace
	// mean is the smoothed time of good answers; 0 before the first.
	mean time.Duration
	// changes are those since the last call of Changes.
	changes []Change
	// fleet is this instance's place among the live ones.
	fleet Fleet
}

// Fleet is an instance's place among those that look at idle servers. The zero
// value is an instance on its own.
type Fleet struct {
	// Place is from 0 up to Size.
	Place, Size int
}

// SetFleet says who else looks at idle servers.
func (s *Service) SetFleet(fleet Fleet) { s.fleet = fleet }

// New returns a steerer without servers for an instance in the given failure
// domain.
func New(rules Rules, near lagoonstile.FailureDomain, random *rand.Rand) *Service {
	return &Service{
		rules:   rules,
		near:    near,
		random:  random,
		servers: make(map[lagoonstile.ServerID]*Server),
		byKey:   make(map[gossiper.Key]*Server),
	}
}

// KeyOf returns the name of a run of a server in messages.
func KeyOf(backend lagoonstile.Backend) gossiper.Key {
	digest := xxhash.New()
	for _, part := range []string{string(backend.Service), string(backend.ID), backend.Address} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return gossiper.Key(digest.Sum64() ^ uint64(backend.Born))
}

// SetBackends takes the registered servers of the service and returns the
// tickets that can go now. A server that started again is another one.
func (s *Service) SetBackends(now time.Time, backends []lagoonstile.Backend) []*Ticket {
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
				belief:  newBelief(now, s.rules),
				others:  make(map[Peer]heard),
			}
		}
		server.entry = backend
		server.warm = now.Add(backend.WarmupLeft)
		kept[backend.ID] = server
		s.byKey[key] = server
		s.order = append(s.order, server)
	}
	slices.SortFunc(s.order, func(a, b *Server) int {
		return compare(a.Backend.ID, b.Backend.ID)
	})
	s.servers = kept
	s.hadServers = s.hadServers || len(kept) > 0
	return s.fill(now)
}

// Servers returns how many servers may get requests at the given time.
func (s *Service) Servers(now time.Time) int {
	n := 0
	for _, server := range s.order {
		if server.usable(now) {
			n++
		}
	}
	return n
}

// Waiting returns how many tickets wait.
func (s *Service) Waiting() int { return len(s.waiting) }

// Arrive grants a server to a ticket, makes it wait, or refuses it at once when
// none will come in time. It reports whether it was granted.
func (s *Service) Arrive(now time.Time, ticket *Ticket) bool {
	if len(ticket.Tried) == 0 {
		s.strain.request(now, ticket.Idempotent)
	}
	if !s.overtaken(ticket) {
		if server := s.choose(now, ticket); server != nil {
			s.grant(now, ticket, server)
			return true
		}
	}
	at, _ := slices.BinarySearchFunc(s.waiting, ticket, func(a, b *Ticket) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	if s.refuse(now, ticket, at) {
		return false
	}
	ticket.waiting = true
	s.waiting = slices.Insert(s.waiting, at, ticket)
	return false
}

// overtaken reports whether a ticket that waits goes before the given one.
func (s *Service) overtaken(ticket *Ticket) bool {
	return len(s.waiting) > 0 && before(s.waiting[0], ticket)
}

func before(a, b *Ticket) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return !b.Arrived.Before(a.Arrived)
}

// Cancel takes a waiting ticket out. It reports false for a ticket that has
// been granted.
func (s *Service) Cancel(ticket *Ticket) bool {
	if !ticket.waiting {
		return false
	}
	ticket.waiting = false
	at := slices.Index(s.waiting, ticket)
	s.waiting = slices.Delete(s.waiting, at, at+1)
	return true
}

// Settle ends a grant, with the time that it took, and returns the tickets that can go now.
func (s *Service) Settle(now time.Time, server *Server, outcome Outcome, took time.Duration) []*Ticket {
	if outcome != OutcomeGood || server.belief.At(now, s.rules) > newsAbove || server.load(now) >= busyLoad {
		server.changed = now
	}
	server.inFlight--
	switch outcome {
	case OutcomeGood:
		server.good++
		server.unreached = 0
		s.learn(took)
		s.observe(now, server, "", 1, 0)
	case OutcomeBad, OutcomeSilent:
		server.bad++
		s.observe(now, server, "", 0, 1)
	case OutcomeShed:
		server.pause(now.Add(shedPause))
	case OutcomeUnreached:
		server.unreached = min(max(2*server.unreached, firstUnreached), mostUnreached)
		server.pause(now.Add(server.unreached))
	case OutcomeGone:
		server.gone = true
		server.pause(now.Add(gonePause))
	case OutcomeNone:
	}
	return s.fill(now)
}

// learn takes the time of a good answer into the mean.
func (s *Service) learn(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += time.Duration(meanWeight * float64(took-s.mean))
}

// Slow returns how long a request takes that takes much longer than requests
// do.
func (s *Service) Slow() time.Duration {
	if s.mean == 0 {
		return firstSlow
	}
	return max(time.Duration(slowFactor*float64(s.mean)), leastSlow)
}

// Hedge returns after which time a second server is worth trying as well, for
// requests with the given objective.
func (s *Service) Hedge(objective time.Duration) time.Duration {
	after := max(time.Duration(hedgeShare*float64(objective)), time.Duration(hedgeFactor*float64(s.mean)))
	return min(after, s.Slow())
}

// Overdue notes that a request has been at a server for much longer than
// requests take. Its outcome still counts when it comes.
func (s *Service) Overdue(now time.Time, server *Server) {
	server.bad++
	server.changed = now
	s.observe(now, server, "", 0, 1)
}

// Tick returns the tickets that can go because time has passed.
func (s *Service) Tick(now time.Time) []*Ticket { return s.fill(now) }

// fill grants servers to waiting tickets in their order.
func (s *Service) fill(now time.Time) []*Ticket {
	var granted []*Ticket
	kept := s.waiting[:0]
	for _, ticket := range s.waiting {
		server := s.choose(now, ticket)
		if server == nil {
			kept = append(kept, ticket)
			continue
		}
		ticket.waiting = false
		s.pace.granted(now)
		s.grant(now, ticket, server)
		granted = append(granted, ticket)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return granted
}

func (s *Service) grant(now time.Time, ticket *Ticket, server *Server) {
	ticket.Basis = Basis{
		Failing: server.belief.failing(now, s.rules),
		Age:     now.Sub(server.belief.at),
		Load:    server.load(now),
		Waiting: len(s.waiting),
	}
	server.inFlight++
	server.offered = now
	if ticket.Basis.Load >= busyLoad {
		server.changed = now
	}
	ticket.Server = server
}

// observe takes answers of a server into the belief and notes a change of mind.
func (s *Service) observe(now time.Time, server *Server, from lagoonstile.InstanceID, good, bad uint64) {
	if bad > 0 && server.belief.At(now, s.rules) < trustedBelow {
		s.strain.failed(now, bad)
	}
	server.belief.observe(now, s.rules, good, bad)
	faulty := server.belief.faulty
	doubted := faulty >= doubtAt || (server.doubted && faulty > trustAt)
	if doubted == server.doubted {
		return
	}
	server.doubted = doubted
	s.changes = append(s.changes, Change{
		Service: server.Backend.Service, Server: server.Backend.ID, Doubted: doubted,
		From: from, Failing: server.belief.failing(now, s.rules), Good: good, Bad: bad,
	})
}

// Changes returns the changes of mind since the last call.
func (s *Service) Changes() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

func (v *Server) usable(now time.Time) bool {
	return !v.entry.Draining && !now.Before(v.pausedUntil)
}

// load returns how many requests are at the server as far as is known.
func (v *Server) load(now time.Time) int {
	n := v.inFlight
	for _, other := range v.others {
		if now.Sub(other.at) <= heardFor {
			n += other.inFlight
		}
	}
	return n
}

func (v *Server) pause(until time.Time) {
	if until.After(v.pausedUntil) {
		v.pausedUntil = until
	}
}

func compare(a, b lagoonstile.ServerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
