// Package picker chooses a server for one attempt of a request.
//
// It uses the power of two choices: two servers are drawn at random and the less
// loaded one is used. A server of low weight is drawn less often. This balances
// the load without a global view. Unlike choosing the least loaded server of all,
// it does not make all instances send their next request to the same server at
// the same time (M. Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", IEEE TPDS 12(10), 2001).
package picker

import (
	"math/rand/v2"

	"lagoonstile"
	"lagoonstile/counter"
)

// Target is one server of a pool. Its fields are never modified, except the counts
// in Live. The control goroutine publishes a new pool to change them.
type Target struct {
	Server lagoonstile.Server
	// Live is shared by all pools that the server was ever part of. It is never nil.
	Live *counter.Server
	// Weight is the traffic that this server should get relative to a server in
	// full use, greater than 0 and at most 1. A server that should get no traffic
	// is not in the pool.
	Weight float64
	// Limit is the maximum number of concurrent requests from this instance to the
	// server. It is at least 1.
	Limit int
}

// Load returns the number of this instance's requests in flight to the server.
// Requests of peers are deliberately not counted: reports of them are outdated on
// arrival, and if all instances acted on the same outdated reports, they would
// overload the same server.
func (t *Target) Load() int {
	return t.Live.InFlight()
}

// Full reports whether this instance has as many requests in flight to the
// server as its limit allows.
func (t *Target) Full() bool {
	return t.Live.InFlight() >= t.Limit
}

// hasFreeSlot reports whether the number of this instance's requests in flight to
// the server is below both the limit and the number of the server's slots.
func (t *Target) hasFreeSlot() bool {
	return !t.Full() && t.Load() < t.Server.Slots
}

// unavailable reports whether the server must get no new requests because it is
// reserved or draining. The pool may still contain such a server.
func (t *Target) unavailable() bool {
	return t.Live.Reserved() || t.Live.Draining()
}

// Pool is the set of servers that the traffic of a service may go to.
type Pool struct {
	// Targets lists the servers in use.
	Targets []*Target
	// SameDomain lists the Targets that are in this instance's failure domain.
	SameDomain []*Target
}

// Picker chooses a target.
type Picker interface {
	// Pick returns an available target whose server is not in tried, or nil if
	// there is none.
	Pick(pool *Pool, tried []*Target) *Target
}

// TwoChoices is the Picker used in production. The zero value uses the global
// random source of math/rand/v2; tests set a seeded one.
type TwoChoices struct {
	// Random is the random source, or nil for the global one. A TwoChoices with its
	// own source is not safe for concurrent use.
	Random *rand.Rand
}

var _ Picker = (*TwoChoices)(nil)

// Pick implements Picker. It returns the less loaded of two servers in this
// instance's failure domain if that server has a free slot, and otherwise the
// less loaded of two servers of the whole pool: a free slot in another failure
// domain is better than a queue in this one.
func (p *TwoChoices) Pick(pool *Pool, tried []*Target) *Target {
	if near := p.lessLoaded(pool.SameDomain, tried); near != nil && near.hasFreeSlot() {
		return near
	}
	return p.lessLoaded(pool.Targets, tried)
}

// lessLoaded draws two targets that are not in tried and returns the less loaded
// one. A target that is not full is preferred to a full one, whatever their loads.
// It returns nil if no target can be drawn.
func (p *TwoChoices) lessLoaded(targets, tried []*Target) *Target {
	first := p.draw(targets, tried, nil)
	if first == nil {
		return nil
	}
	second := p.draw(targets, tried, first)
	if second == nil {
		return first
	}
	if second.Full() != first.Full() {
		if first.Full() {
			return second
		}
		return first
	}
	if second.Load() < first.Load() {
		return second
	}
	return first
}

// draw returns a random available target that is neither in tried nor equal to
// other. It scans the targets from a random index on. A target of weight w below
// 1 is skipped with probability 1-w, so that the weights also take effect when
// the loads are equal. If all targets are skipped, draw returns the first of them
// if other is nil, and otherwise nil.
func (p *TwoChoices) draw(targets, tried []*Target, other *Target) *Target {
	if len(targets) == 0 {
		return nil
	}
	var firstSkipped *Target
	start := p.intN(len(targets))
	for i := range targets {
		target := targets[(start+i)%len(targets)]
		if target == other || target.unavailable() || containsServer(tried, target) {
			continue
		}
		if target.Weight >= 1 || p.float64() < target.Weight {
			return target
		}
		if firstSkipped == nil {
			firstSkipped = target
		}
	}
	if other != nil {
		return nil
	}
	return firstSkipped
}

func (p *TwoChoices) intN(n int) int {
	if p.Random == nil {
		return rand.IntN(n)
	}
	return p.Random.IntN(n)
}

func (p *TwoChoices) float64() float64 {
	if p.Random == nil {
		return rand.Float64()
	}
	return p.Random.Float64()
}

// containsServer reports whether the server of target is in tried. It compares
// server IDs because the server may have been tried through a target of an older
// pool.
func containsServer(tried []*Target, target *Target) bool {
	for _, other := range tried {
		if other.Server.ID == target.Server.ID {
			return true
		}
	}
	return false
}
