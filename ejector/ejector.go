// Package ejector decides which servers of a service are used, and how much.
//
// A convicted server is ejected, the worst first, as long as the servers that
// remain in use stay at or above the service's floor. What counts against the
// floor is everything that takes capacity away: ejected here, ejected by a
// peer as it last said, leaving, and cold. At the floor a convicted server
// stays in use with less weight: some bad answers are better than a service
// with too few servers.
//
// An instance follows a peer that ejected a server when its own evidence, put
// together in another order, falls short of the threshold by less than half.
// The peer kept the full threshold, so following adds no false ejections of its
// own; and without it the last instances would wait for bad answers that the
// first one no longer causes.
//
// An ejected server comes back by trial: after a back-off it gets a little
// traffic, and good answers raise its weight step by step, while a new
// conviction sends it away for twice as long. The back-off remembers, so a
// server that flaps is away more and more, and forgets after a long good time.
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
	// StateInUse: full weight.
	StateInUse State = "in-use"
	// StateWarming: new or back, weight grows with time.
	StateWarming State = "warming"
	// StateEjected: no traffic.
	StateEjected State = "ejected"
	// StateSteered: no traffic from this instance, for its own path is bad.
	StateSteered State = "steered"
	// StateTrial: a little traffic, to see.
	StateTrial State = "trial"
	// StateHeld: convicted, and kept in use for the floor's sake.
	StateHeld State = "held"
	// StateLeaving: no new traffic, for good.
	StateLeaving State = "leaving"
)

// Timing and weights.
const (
	firstBackOff = 5 * time.Second
	mostBackOff  = 10 * time.Minute
	firstSteer   = time.Second
	mostSteer    = 30 * time.Second
	// forgetAfter is the good time that halves the next back-off.
	forgetAfter = 5 * time.Minute
	warmUp      = 5 * time.Second
	coldWeight  = 0.2
	trialWeight = 0.1
	heldWeight  = 0.05
	// trialGood is how many good answers in a row end a trial.
	trialGood = 5
	// followScore is the share of the threshold that suffices once a peer has
	// ejected the server.
	followScore = 0.5
	// trialScore is the share of the threshold that ends a trial the other way.
	trialScore = 0.4
	// leavingFor is how long a notice of leaving holds. A server that leaves
	// for good is taken out of the inventory before that.
	leavingFor = 5 * time.Minute
)

// Notice tells of what is known about a server besides its answers.
type Notice struct {
	// Draining says that the server itself said so, here or to a peer.
	Draining bool
	// PeerEjected says that some peer has it ejected.
	PeerEjected bool
}

// Change is a transition of a server, for the audit trail.
type Change struct {
	Server   lagoonstile.ServerID
	From, To State
	// Finding has the figures that led to it.
	Finding detector.Finding
	// BackOff is how long an ejected or steered server stays away.
	BackOff time.Duration
}

// Decision is how a server is used now.
type Decision struct {
	Server lagoonstile.ServerID
	State  State
	// Weight is 0 for a server that gets no traffic, and at most 1.
	Weight float64
}

// Service decides for the servers of one service. It is not safe for
// concurrent use.
type Service struct {
	servers map[lagoonstile.ServerID]*server
	order   []*server
	// started is false until the first servers came: those start warm, as they
	// were in use before this instance was there.
	started bool
}

type server struct {
	id    lagoonstile.ServerID
	state State
	// since is when the state began, until when an absence ends.
	since, until time.Time
	// backOff is the length of the last absence; 0 when there was none lately.
	backOff time.Duration
	steer   time.Duration
	finding detector.Finding
	notice  Notice
}

// SetServers keeps the state of servers that stay and forgets the others.
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

// Update takes the findings and notices of this moment, and returns the
// decisions, in the order of SetServers, and what changed. Forgive is called
// for each server whose test must start anew.
func (s *Service) Update(now time.Time, minServers int, findings []detector.Finding, notices map[lagoonstile.ServerID]Notice, forgive func(lagoonstile.ServerID)) ([]Decision, []Change) {
	for _, finding := range findings {
		if server := s.servers[finding.Server]; server != nil {
			server.finding = finding
			server.notice = notices[finding.Server]
		}
	}
	u := &update{service: s, now: now, minServers: minServers, forgive: forgive}
	u.leave()
	u.comeBack()
	u.endTrials()
	u.eject()
	u.holdFloor()
	decisions := make([]Decision, 0, len(s.order))
	for _, server := range s.order {
		decisions = append(decisions, Decision{Server: server.id, State: server.state, Weight: server.weight(now)})
	}
	return decisions, u.changes
}

// weight returns the share of a full server's traffic.
func (v *server) weight(now time.Time) float64 {
	switch v.state {
	case StateInUse:
		return 1
	case StateWarming:
		grown := float64(now.Sub(v.since)) / float64(warmUp)
		return min(coldWeight+(1-coldWeight)*grown, 1)
	case StateTrial:
		return trialWeight
	case StateHeld:
		return max(1-v.finding.BadShare, heldWeight)
	}
	return 0
}

// convicted reports whether the server is to be ejected.
func (v *server) convicted() bool {
	if v.finding.Convicted {
		return true
	}
	return v.notice.PeerEjected && v.finding.Corroborated && v.finding.Score >= followScore*v.finding.Threshold
}

// away reports whether the server gets no traffic of this instance.
func (v *server) away() bool {
	return v.state == StateEjected || v.state == StateSteered || v.state == StateLeaving
}

// healthy reports whether the server counts towards the floor.
func (v *server) healthy() bool {
	return !v.away() && v.state != StateTrial && v.state != StateWarming && !v.notice.PeerEjected
}

// update is one run over the servers.
type update struct {
	service    *Service
	now        time.Time
	minServers int
	forgive    func(lagoonstile.ServerID)
	changes    []Change
}

func (u *update) move(v *server, to State) {
	change := Change{Server: v.id, From: v.state, To: to, Finding: v.finding}
	if to == StateEjected || to == StateSteered {
		change.BackOff = v.until.Sub(u.now)
	}
	v.state = to
	v.since = u.now
	u.changes = append(u.changes, change)
}

// leave handles servers that said that they are leaving.
func (u *update) leave() {
	for _, v := range u.service.order {
		if v.notice.Draining && v.state != StateLeaving {
			v.until = u.now.Add(leavingFor)
			u.move(v, StateLeaving)
		}
	}
}

// comeBack ends absences, and warm-ups.
func (u *update) comeBack() {
	for _, v := range u.service.order {
		switch v.state {
		case StateEjected, StateSteered, StateLeaving:
			if u.now.Before(v.until) || (v.state == StateLeaving && v.notice.Draining) {
				continue
			}
			u.forgive(v.id)
			v.finding = detector.Finding{Server: v.id, Threshold: v.finding.Threshold}
			u.move(v, StateTrial)
		case StateWarming:
			if u.now.Sub(v.since) >= warmUp {
				u.move(v, StateInUse)
			}
		case StateInUse:
			if u.now.Sub(v.since) >= forgetAfter && v.backOff > 0 {
				v.backOff /= 2
				v.steer /= 2
				v.since = u.now
				if v.backOff < firstBackOff {
					v.backOff, v.steer = 0, 0
				}
			}
		}
	}
}

// endTrials decides on the servers that are being tried.
func (u *update) endTrials() {
	for _, v := range u.service.order {
		if v.state != StateTrial {
			continue
		}
		failed := v.finding.Score >= trialScore*v.finding.Threshold
		switch {
		case (failed || v.finding.Steer) && u.inUse() <= u.minServers:
			u.move(v, StateHeld)
		case failed:
			u.sendAway(v)
		case v.finding.Steer:
			u.steerAway(v)
		case v.finding.Streak >= trialGood:
			u.move(v, StateWarming)
		}
	}
}

// eject sends convicted servers away, the worst first, down to the floor.
func (u *update) eject() {
	convicted := make([]*server, 0)
	for _, v := range u.service.order {
		if v.away() || v.state == StateTrial {
			continue
		}
		if v.convicted() || v.finding.Steer {
			convicted = append(convicted, v)
		} else if v.state == StateHeld {
			u.move(v, StateWarming)
		}
	}
	slices.SortStableFunc(convicted, func(a, b *server) int { return cmp.Compare(b.finding.Score, a.finding.Score) })
	for _, v := range convicted {
		switch {
		case u.spare(v) < 0:
			if v.state != StateHeld {
				u.move(v, StateHeld)
			}
		case v.convicted():
			u.sendAway(v)
		default:
			u.steerAway(v)
		}
	}
}

// spare returns how many servers over the floor remain without v.
func (u *update) spare(v *server) int {
	healthy := 0
	for _, other := range u.service.order {
		if other != v && other.healthy() {
			healthy++
		}
	}
	return healthy - u.minServers
}

// holdFloor brings servers back when others went away beneath them: peers
// ejected other ones at the same moment, or servers left. The least bad comes
// back first.
func (u *update) holdFloor() {
	for u.inUse() < u.minServers {
		var best *server
		for _, v := range u.service.order {
			if v.state != StateEjected && v.state != StateSteered {
				continue
			}
			if best == nil || v.finding.Score < best.finding.Score {
				best = v
			}
		}
		if best == nil {
			return
		}
		u.move(best, StateHeld)
	}
}

// inUse returns how many servers get traffic of this instance.
func (u *update) inUse() int {
	n := 0
	for _, v := range u.service.order {
		if !v.away() {
			n++
		}
	}
	return n
}

func (u *update) sendAway(v *server) {
	v.backOff = min(max(2*v.backOff, firstBackOff), mostBackOff)
	v.until = u.now.Add(v.backOff)
	u.move(v, StateEjected)
}

func (u *update) steerAway(v *server) {
	v.steer = min(max(2*v.steer, firstSteer), mostSteer)
	v.until = u.now.Add(v.steer)
	u.move(v, StateSteered)
}
