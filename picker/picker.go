// Package picker chooses a server for one try of a request.
//
// It uses the power of two choices: two servers are drawn at random and the
// one with less load for its weight is taken. That keeps the load even without
// a global view, and, unlike "least loaded of all", does not send every
// instance's next request to the same server at the same moment. (M.
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
// TPDS 12(10), 2001.)
package picker

import (
	"math/rand/v2"

	"lagoonstile"
	"lagoonstile/counter"
)

// Target is one server of a pool. Everything but the live counts is fixed
// until the control goroutine publishes another pool.
type Target struct {
	Server lagoonstile.Server
	// Live is shared by all pools that the server was ever in. Never nil.
	Live *counter.Server
	// Weight is the share of a full server's traffic that this one should get,
	// from 0 to 1. A server that gets nothing is not in the pool.
	Weight float64
	// Limit is how many requests of this instance the server takes at once. At
	// least 1.
	Limit int
}

// Load returns this instance's requests in flight. What peers have in flight is
// left out on purpose: by the time it is heard it is history, and instances
// that all steer by the same history flock to the same server.
func (t *Target) Load() int {
	return t.Live.InFlight()
}

// Full reports whether the server has as many requests of this instance as it
// takes.
func (t *Target) Full() bool {
	return t.Live.InFlight() >= t.Limit
}

// slack reports whether a request would find a free slot.
func (t *Target) slack() bool {
	return !t.Full() && t.Load() < t.Server.Slots
}

// closed reports whether the server takes nothing new from this moment on,
// which the pool may not show yet.
func (t *Target) closed() bool {
	return t.Live.Reserved() || t.Live.Draining()
}

// Pool is the servers that a service's traffic may go to.
type Pool struct {
	// Targets are all servers in use, each with a weight over 0.
	Targets []*Target
	// Near are those of them in this instance's failure domain.
	Near []*Target
}

// Picker chooses a target.
type Picker interface {
	// Pick returns a target that is not in tried, or nil when there is none.
	Pick(pool *Pool, tried []*Target) *Target
}

// TwoChoices is the picker of the daemon. The zero value draws from the
// process's own random source; tests give a seeded one.
type TwoChoices struct {
	// Random may be nil. It is not safe for concurrent use.
	Random *rand.Rand
}

var _ Picker = (*TwoChoices)(nil)

// Pick prefers the near failure domain while the better of two servers there
// has slack; a far server with a free slot beats a near one with a queue.
func (p *TwoChoices) Pick(pool *Pool, tried []*Target) *Target {
	if near := p.better(pool.Near, tried); near != nil && near.slack() {
		return near
	}
	return p.better(pool.Targets, tried)
}

// better draws two untried targets and returns the less loaded one.
func (p *TwoChoices) better(targets, tried []*Target) *Target {
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

// draw returns a random target that is neither in tried nor other. It looks at
// a random place first and walks on from there. A target with less than full
// weight is passed over in proportion, so that weights hold when there is
// little load too; when all are passed over, the first one will do.
func (p *TwoChoices) draw(targets, tried []*Target, other *Target) *Target {
	if len(targets) == 0 {
		return nil
	}
	var passedOver *Target
	start := p.intN(len(targets))
	for i := range targets {
		target := targets[(start+i)%len(targets)]
		if target == other || target.closed() || contains(tried, target) {
			continue
		}
		if target.Weight >= 1 || p.float64() < target.Weight {
			return target
		}
		if passedOver == nil {
			passedOver = target
		}
	}
	if other != nil {
		return nil
	}
	return passedOver
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

// contains compares server ids, for a target of a newer pool may stand for a
// server that was tried through an older one.
func contains(tried []*Target, target *Target) bool {
	for _, past := range tried {
		if past.Server.ID == target.Server.ID {
			return true
		}
	}
	return false
}
