// Package locator selects the addresses of the fleet that a caller should use for
// a service.
//
// The addresses are sent to the caller in an entry answer. There is no load
// balancer in front of the fleet, so the entry answers balance the load. Each names
// several instances: the first is the less loaded of two random ones, in the
// caller's failure domain if possible, and the others are spread over the failure
// domains. If an instance fails, only its fair share of the callers is affected,
// and each of them has other addresses to use immediately. The candidates are the
// live instances. An answer names no instance that is leaving. It names instances
// that reach less than half of the service's servers only if there are no others.
package locator

import (
	"math/rand/v2"
	"time"

	"lagoonstile"
)

// maxAddresses is the maximum number of addresses in an answer.
const maxAddresses = 4

// Candidate is an instance that an answer may name.
type Candidate struct {
	Home          lagoonstile.Home
	Address       string
	FailureDomain lagoonstile.FailureDomain
	// Load is the number of the instance's requests, running and waiting.
	Load int
	// Leaving is true if the instance accepts no new callers.
	Leaving bool
	// Degraded is true if the instance reaches less than half of the service's
	// servers.
	Degraded bool
}

// Address is one address in an answer.
type Address struct {
	Address       string                    `json:"address"`
	FailureDomain lagoonstile.FailureDomain `json:"failure-domain"`
}

// Answer is the entry answer to a caller. The first address is that of the home.
type Answer struct {
	Addresses []Address `json:"addresses"`
	// Home is the prefix of the idempotency key of every order that the caller
	// makes with this answer.
	Home string `json:"home"`
	// ValidForMs is how long the caller may use the answer, in milliseconds.
	ValidForMs int64 `json:"valid-for-ms"`
}

// Locate returns an answer that names some of the candidates. The first address is
// in the caller's failure domain if a candidate there may be named. The caller's
// failure domain is empty if it is unknown. The second result is false if there is
// no candidate that may be named.
func Locate(candidates []Candidate, callerDomain lagoonstile.FailureDomain, validFor time.Duration, random *rand.Rand) (Answer, bool) {
	pool := usable(candidates)
	if len(pool) == 0 {
		return Answer{}, false
	}
	random.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	home := chooseHome(pool, callerDomain)
	answer := Answer{Home: home.Home.String(), ValidForMs: validFor.Milliseconds()}
	for _, candidate := range spreadOverDomains(pool, home) {
		answer.Addresses = append(answer.Addresses, Address{Address: candidate.Address, FailureDomain: candidate.FailureDomain})
	}
	return answer, true
}

// usable returns the candidates that may be named. It leaves out the instances
// that are leaving, and the degraded ones unless there are no others.
func usable(candidates []Candidate) []Candidate {
	var good, degraded []Candidate
	for _, candidate := range candidates {
		switch {
		case candidate.Leaving:
		case candidate.Degraded:
			degraded = append(degraded, candidate)
		default:
			good = append(good, candidate)
		}
	}
	if len(good) > 0 {
		return good
	}
	return degraded
}

// chooseHome returns the less loaded of the first two candidates, which are two
// random ones because the candidates are shuffled. It considers only those in the
// caller's failure domain if there are any.
func chooseHome(shuffled []Candidate, callerDomain lagoonstile.FailureDomain) Candidate {
	var eligible []Candidate
	for _, candidate := range shuffled {
		if callerDomain != "" && candidate.FailureDomain == callerDomain {
			eligible = append(eligible, candidate)
		}
	}
	if len(eligible) == 0 {
		eligible = shuffled
	}
	if len(eligible) > 1 && eligible[1].Load < eligible[0].Load {
		return eligible[1]
	}
	return eligible[0]
}

// spreadOverDomains returns up to maxAddresses candidates, starting with first. Each
// of the others is a candidate whose failure domain occurs least often among those
// before it.
func spreadOverDomains(pool []Candidate, first Candidate) []Candidate {
	out := []Candidate{first}
	domainUses := map[lagoonstile.FailureDomain]int{first.FailureDomain: 1}
	selected := map[string]bool{first.Address: true}
	for len(out) < maxAddresses {
		best := -1
		for i, candidate := range pool {
			if selected[candidate.Address] {
				continue
			}
			if best < 0 || domainUses[candidate.FailureDomain] < domainUses[pool[best].FailureDomain] {
				best = i
			}
		}
		if best < 0 {
			return out
		}
		out = append(out, pool[best])
		selected[pool[best].Address] = true
		domainUses[pool[best].FailureDomain]++
	}
	return out
}
