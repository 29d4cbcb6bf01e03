package runner

import (
	"math"

	"lagoonstile"
	"lagoonstile/sampler"
	"lagoonstile/steerer"
)

// maxSeats bounds the seats of one instance.
const maxSeats = 8

// seats holds the number of seats of each instance in the turns that the instances of a
// cell take at servers, if it is not 1. Directory answers name an instance by its
// capacity, and one with several times the requests of the others needs several times
// their turns.
type seats map[lagoonstile.InstanceID]int

// newSeats returns the seats of a fleet. In each failure domain, the instance with the
// smallest share of the clients has one.
func newSeats(members []lagoonstile.Member) seats {
	domains := make(map[lagoonstile.FailureDomain][]sampler.Candidate)
	for _, member := range members {
		domains[member.FailureDomain] = append(domains[member.FailureDomain], candidateOf(&member))
	}
	out := make(seats)
	for _, candidates := range domains {
		shares := sampler.Shares(candidates)
		least := math.Inf(1)
		for _, share := range shares {
			least = min(least, share)
		}
		for n, share := range shares {
			if own := int(math.Round(min(share/least, maxSeats))); own > 1 {
				out[candidates[n].ID] = own
			}
		}
	}
	return out
}

// of returns the number of seats of an instance.
func (s seats) of(id lagoonstile.InstanceID) int { return max(s[id], 1) }

// ownSeats returns the number of seats of this node.
func (n *Node) ownSeats() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seats.of(n.settings.Instance)
}

// candidateOf returns a member as a candidate for directory answers.
func candidateOf(member *lagoonstile.Member) sampler.Candidate {
	return sampler.Candidate{ID: member.ID, Address: member.CallerAddress, Weight: sampler.Weight(member.Capacity)}
}

// turnPosition returns the position of an instance that has own of the seats in total,
// with the given number of seats before its own. An instance with several seats takes
// its turns as if there were only instances of its size, so that it has turns in
// proportion to its seats. They may coincide with another instance's.
func turnPosition(before, own, total int) steerer.FleetPosition {
	size := max((total+own/2)/own, 1)
	return steerer.FleetPosition{Index: before / own % size, Size: size}
}
