// Package ejector decides which servers of a service are used and with what
// weight.
//
// Failing servers are ejected in descending order of their score, as long as the
// healthy servers that remain are at least the service's floor. Servers that
// this instance has ejected or routes around, servers that a peer has reported
// as ejected, and servers that are draining, on trial or warming up do not count
// as healthy. At the floor, a failing server stays in use with a lower weight:
// some bad answers are better than a service with too few servers.
//
// Once a peer has ejected a server, half of the threshold suffices for this
// instance to eject it too. An instance merges the same evidence in another
// order and may therefore fall short of the threshold. The peer applied the full
// threshold, so following it adds no false ejections. Without this rule, the
// last instances would take longer to reach the threshold, because an instance
// that has ejected the server sends it no more requests and so reports no more
// bad answers.
//
// An ejected server returns through a trial. After a back-off it gets a little
// traffic. A few good answers start a warm-up that raises its weight; another
// failure doubles the back-off. The back-off is kept between ejections, so a
// flapping server is ejected for longer each time. It is halved at intervals
// while the server stays in use.
package ejector

import (
	"cmp"
	"slices"
	"time"

	"lagoonstile"
	"lagoonstile/detector"
)

// State is how a server is used.
type State string

// The states.
const (
	// StateInUse: the server has full weight.
	StateInUse State = "in-use"
	// StateWarming: the server is new or has returned; its weight grows with time.
	StateWarming State = "warming"
	// StateEjected: the server gets no traffic from this instance, because the
	// evidence of all instances together is against it.
	StateEjected State = "ejected"
	// StateSteered: the server gets no traffic from this instance, because the
	// evidence of this instance alone is against it, for example a failing path.
	StateSteered State = "steered"
	// StateTrial: the server gets a little traffic to find out whether it has
	// recovered.
	StateTrial State = "trial"
	// StateHeld: the server is failing but stays in use because of the floor.
	StateHeld State = "held"
	// StateDraining: the server is draining and gets no new traffic.
	StateDraining State = "leaving"
)

// Timing and weights.
const (
	firstBackOff      = 5 * time.Second
	maxBackOff        = 10 * time.Minute
	firstSteerBackOff = time.Second
	maxSteerBackOff   = 30 * time.Second
	// backOffHalvingTime is the time in use after which the back-off is halved.
	backOffHalvingTime = 5 * time.Minute
	warmUpTime         = 5 * time.Second
	coldWeight         = 0.2
	trialWeight        = 0.1
	heldWeight         = 0.05
	// trialGoodAnswers is the number of good answers in a row that ends a trial
	// successfully.
	trialGoodAnswers = 5
	// followThresholdShare is the share of the threshold at which a server is
	// ejected if a peer has ejected it.
	followThresholdShare = 0.5
	// trialThresholdShare is the share of the threshold at which a trial fails.
	trialThresholdShare = 0.4
	// minDrainTime is the minimum time that a server stays in StateDraining. It is
	// long enough for a server that will not return to be removed from the
	// inventory first.
	minDrainTime = 5 * time.Minute
)

// Notice holds what is known about a server besides its answers.
type Notice struct {
	// Draining reports whether the server has announced to this instance or to a
	// peer that it is draining.
	Draining bool
	// PeerEjected reports whether any live peer has ejected the server.
	PeerEjected bool
}

// Transition describes a state transition of a server, for the audit trail.
type Transition struct {
	Server   lagoonstile.ServerID
	From, To State
	// Finding is the detector's result at the time of the transition.
	Finding detector.Finding
	// BackOff is how long an ejected or steered server gets no traffic. It is 0
	// for other transitions.
	BackOff time.Duration
}

// Decision states how a server is to be used.
type Decision struct {
	Server lagoonstile.ServerID
	State  State
	// Weight is the server's share of the traffic of a server in full use, from
	// 0 for no traffic to 1.
	Weight float64
}

// Service decides for the servers of one service. It is not safe for
// concurrent use.
type Service struct {
	servers map[lagoonstile.ServerID]*server
	order   []*server
	// started is set by the first call of SetServers. The first servers skip the
	// warm-up, because they were in use before this instance started.
	started bool
}

// server is the state of one server.
type server struct {
	id    lagoonstile.ServerID
	state State
	// since is when the state was entered or the back-off was last halved. until
	// is the earliest end of StateEjected, StateSteered and StateDraining.
	since, until time.Time
	// backOff and steerBackOff are the durations of the last ejection and of the
	// last period in StateSteered. While backOff is above 0, both are halved for
	// every backOffHalvingTime in use, and set to 0 once backOff falls below
	// firstBackOff.
	backOff      time.Duration
	steerBackOff time.Duration
	finding      detector.Finding
	notice       Notice
}

// SetServers sets the list of servers. Servers that remain keep their state.
func (s *Service) SetServers(now time.Time, ids []lagoonstile.ServerID) {
	kept := make(map[lagoonstile.ServerID]*server, len(ids))
	s.order = s.order[:0]
	for _, id := range ids {
		next := s.servers[id]
		if next == nil {
			next = &server{id: id, state: StateInUse, since: now}
			if s.started {
				next.state = StateWarming
			}
		}
		kept[id] = next
		s.order = append(s.order, next)
	}
	s.servers = kept
	s.started = true
}

// Update applies the current findings and notices. It returns a decision for
// each server, in the order of SetServers, and the state transitions. It calls
// resetTest for each server whose detector test must be reset.
func (s *Service) Update(now time.Time, minServers int, findings []detector.Finding, notices map[lagoonstile.ServerID]Notice, resetTest func(lagoonstile.ServerID)) ([]Decision, []Transition) {
	for _, finding := range findings {
		if server := s.servers[finding.Server]; server != nil {
			server.finding = finding
			server.notice = notices[finding.Server]
		}
	}
	u := &update{service: s, now: now, minServers: minServers, resetTest: resetTest}
	u.startDraining()
	u.applyTimers()
	u.endTrials()
	u.ejectFailing()
	u.restoreFloor()
	decisions := make([]Decision, 0, len(s.order))
	for _, server := range s.order {
		decisions = append(decisions, Decision{Server: server.id, State: server.state, Weight: server.weight(now)})
	}
	return decisions, u.transitions
}

// weight returns the weight of the server in its current state.
func (s *server) weight(now time.Time) float64 {
	switch s.state {
	case StateInUse:
		return 1
	case StateWarming:
		grown := float64(now.Sub(s.since)) / float64(warmUpTime)
		return min(coldWeight+(1-coldWeight)*grown, 1)
	case StateTrial:
		return trialWeight
	case StateHeld:
		return max(1-s.finding.BadShare, heldWeight)
	}
	return 0
}

// failing reports whether the server should be ejected: it was found failing, or
// a peer has ejected it and this instance's corroborated evidence reaches
// followThresholdShare of the threshold.
func (s *server) failing() bool {
	if s.finding.Failing {
		return true
	}
	return s.notice.PeerEjected && s.finding.Corroborated && s.finding.Score >= followThresholdShare*s.finding.Threshold
}

// excluded reports whether the server gets no traffic from this instance.
func (s *server) excluded() bool {
	return s.state == StateEjected || s.state == StateSteered || s.state == StateDraining
}

// countsTowardsFloor reports whether the server counts towards the floor.
func (s *server) countsTowardsFloor() bool {
	return !s.excluded() && s.state != StateTrial && s.state != StateWarming && !s.notice.PeerEjected
}

// update is the state of one call of Service.Update.
type update struct {
	service     *Service
	now         time.Time
	minServers  int
	resetTest   func(lagoonstile.ServerID)
	transitions []Transition
}

// transition moves the server to another state and records the transition.
func (u *update) transition(server *server, to State) {
	transition := Transition{Server: server.id, From: server.state, To: to, Finding: server.finding}
	if to == StateEjected || to == StateSteered {
		transition.BackOff = server.until.Sub(u.now)
	}
	server.state = to
	server.since = u.now
	u.transitions = append(u.transitions, transition)
}

// startDraining moves draining servers to StateDraining.
func (u *update) startDraining() {
	for _, server := range u.service.order {
		if server.notice.Draining && server.state != StateDraining {
			server.until = u.now.Add(minDrainTime)
			u.transition(server, StateDraining)
		}
	}
}

// applyTimers starts the trials of servers whose back-off has passed and of
// servers that are no longer draining, ends warm-ups, and halves the back-off of
// servers that have been in use for backOffHalvingTime.
func (u *update) applyTimers() {
	for _, server := range u.service.order {
		switch server.state {
		case StateEjected, StateSteered, StateDraining:
			if u.now.Before(server.until) || (server.state == StateDraining && server.notice.Draining) {
				continue
			}
			u.resetTest(server.id)
			server.finding = detector.Finding{Server: server.id, Threshold: server.finding.Threshold}
			u.transition(server, StateTrial)
		case StateWarming:
			if u.now.Sub(server.since) >= warmUpTime {
				u.transition(server, StateInUse)
			}
		case StateInUse:
			if u.now.Sub(server.since) >= backOffHalvingTime && server.backOff > 0 {
				server.backOff /= 2
				server.steerBackOff /= 2
				server.since = u.now
				if server.backOff < firstBackOff {
					server.backOff, server.steerBackOff = 0, 0
				}
			}
		}
	}
}

// endTrials ends the trials that have failed or succeeded.
func (u *update) endTrials() {
	for _, server := range u.service.order {
		if server.state != StateTrial {
			continue
		}
		failed := server.finding.Score >= trialThresholdShare*server.finding.Threshold
		switch {
		case (failed || server.finding.Steer) && u.inUse() <= u.minServers:
			u.transition(server, StateHeld)
		case failed:
			u.eject(server)
		case server.finding.Steer:
			u.steer(server)
		case server.finding.GoodStreak >= trialGoodAnswers:
			u.transition(server, StateWarming)
		}
	}
}

// ejectFailing ejects or routes around the servers with evidence against them,
// in descending order of their score, as far as the floor permits. The others
// are held. Held servers that have recovered start to warm up.
func (u *update) ejectFailing() {
	candidates := make([]*server, 0)
	for _, server := range u.service.order {
		if server.excluded() || server.state == StateTrial {
			continue
		}
		if server.failing() || server.finding.Steer {
			candidates = append(candidates, server)
		} else if server.state == StateHeld {
			u.transition(server, StateWarming)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *server) int { return cmp.Compare(b.finding.Score, a.finding.Score) })
	for _, server := range candidates {
		switch {
		case u.surplusWithout(server) < 0:
			if server.state != StateHeld {
				u.transition(server, StateHeld)
			}
		case server.failing():
			u.eject(server)
		default:
			u.steer(server)
		}
	}
}

// surplusWithout returns the number of healthy servers above the floor if the
// given server is not used. It is negative if the floor is not met.
func (u *update) surplusWithout(server *server) int {
	healthy := 0
	for _, other := range u.service.order {
		if other != server && other.countsTowardsFloor() {
			healthy++
		}
	}
	return healthy - u.minServers
}

// restoreFloor moves ejected and steered servers to StateHeld while fewer servers
// than the floor are in use, starting with the lowest score. This happens when peers
// ejected other servers at the same time or when servers left.
func (u *update) restoreFloor() {
	for u.inUse() < u.minServers {
		var best *server
		for _, server := range u.service.order {
			if server.state != StateEjected && server.state != StateSteered {
				continue
			}
			if best == nil || server.finding.Score < best.finding.Score {
				best = server
			}
		}
		if best == nil {
			return
		}
		u.transition(best, StateHeld)
	}
}

// inUse returns the number of servers that get traffic from this instance.
func (u *update) inUse() int {
	n := 0
	for _, server := range u.service.order {
		if !server.excluded() {
			n++
		}
	}
	return n
}

// eject excludes the server for twice its last back-off, but at least
// firstBackOff and at most maxBackOff.
func (u *update) eject(server *server) {
	server.backOff = min(max(2*server.backOff, firstBackOff), maxBackOff)
	server.until = u.now.Add(server.backOff)
	u.transition(server, StateEjected)
}

// steer routes around the server for twice its last steer back-off, but at least
// firstSteerBackOff and at most maxSteerBackOff.
func (u *update) steer(server *server) {
	server.steerBackOff = min(max(2*server.steerBackOff, firstSteerBackOff), maxSteerBackOff)
	server.until = u.now.Add(server.steerBackOff)
	u.transition(server, StateSteered)
}
