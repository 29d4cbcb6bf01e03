// Package locator answers callers' question which addresses of the fleet to
// use for a service.
//
// There is no balancer before the fleet, so these answers are the balance: each
// names several instances, the first one by two random choices on load, the
// others spread over failure domains. A lost instance then takes its fair
// share of callers only, and each of those has somewhere to go at once. A
// leaving instance, a silent one, and one that reaches few of the service's
// servers are not named while others are there.
package locator

import (
	"math/rand/v2"
	"time"

	"lagoonstile"
)

// maxAddresses bounds how many addresses an answer names.
const maxAddresses = 4

// Candidate is an instance that an answer could name.
type Candidate struct {
	Home          lagoonstile.Home
	Address       string
	FailureDomain lagoonstile.FailureDomain
	// Load is its requests in flight.
	Load int
	// Leaving says that it takes no new callers.
	Leaving bool
	// Poor says that it reaches less than half of the service's servers.
	Poor bool
}

// Address is one address of an answer.
type Address struct {
	Address       string                    `json:"address"`
	FailureDomain lagoonstile.FailureDomain `json:"failure-domain"`
}

// Answer tells a caller where to go. The first address is the home.
type Answer struct {
	Addresses []Address `json:"addresses"`
	// Home starts the idempotency key of every order made with this answer.
	Home       string `json:"home"`
	ValidForMs int64  `json:"valid-for-ms"`
}

// Locate makes an answer out of the candidates. It returns false when there is
// none to name.
func Locate(candidates []Candidate, near lagoonstile.FailureDomain, validFor time.Duration, random *rand.Rand) (Answer, bool) {
	pool := usable(candidates)
	if len(pool) == 0 {
		return Answer{}, false
	}
	random.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	first := choose(pool, near)
	answer := Answer{Home: first.Home.String(), ValidForMs: validFor.Milliseconds()}
	for _, candidate := range spread(pool, first) {
		answer.Addresses = append(answer.Addresses, Address{Address: candidate.Address, FailureDomain: candidate.FailureDomain})
	}
	return answer, true
}

// usable leaves out instances that are leaving, and those that reach few
// servers while others reach more.
func usable(candidates []Candidate) []Candidate {
	var good, poor []Candidate
	for _, candidate := range candidates {
		switch {
		case candidate.Leaving:
		case candidate.Poor:
			poor = append(poor, candidate)
		default:
			good = append(good, candidate)
		}
	}
	if len(good) > 0 {
		return good
	}
	return poor
}

// choose takes the less loaded of two random candidates, in the caller's
// failure domain where it named one that has any.
func choose(shuffled []Candidate, near lagoonstile.FailureDomain) Candidate {
	var pair []Candidate
	for _, candidate := range shuffled {
		if near != "" && candidate.FailureDomain == near {
			pair = append(pair, candidate)
		}
	}
	if len(pair) == 0 {
		pair = shuffled
	}
	if len(pair) > 1 && pair[1].Load < pair[0].Load {
		return pair[1]
	}
	return pair[0]
}

// spread orders the candidates after the first one so that each next address
// is in a failure domain used least so far.
func spread(pool []Candidate, first Candidate) []Candidate {
	out := []Candidate{first}
	used := map[lagoonstile.FailureDomain]int{first.FailureDomain: 1}
	taken := map[string]bool{first.Address: true}
	for len(out) < maxAddresses {
		best := -1
		for i, candidate := range pool {
			if taken[candidate.Address] {
				continue
			}
			if best < 0 || used[candidate.FailureDomain] < used[pool[best].FailureDomain] {
				best = i
			}
		}
		if best < 0 {
			return out
		}
		out = append(out, pool[best])
		taken[pool[best].Address] = true
		used[pool[best].FailureDomain]++
	}
	return out
}
