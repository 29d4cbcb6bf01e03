// Package sampler selects the instances that a directory answer names.
//
// A client connects to one of the addresses of an answer, each with the same chance,
// and gives up connections to instances that a later answer does not name. So an
// instance's load follows the share of the answers that name it, and answers to one
// client must stay the same.
//
// Sample therefore draws the instances of an answer without replacement, each with a
// chance that is proportional to its weight, by a hash of the client and the instance
// in place of a random number: the instances with the lowest exponentially distributed
// keys (order sampling; B. Rosén, "Asymptotic theory for order sampling", Journal of
// Statistical Planning and Inference 62, 1997). The chances are nearly those sought. Every
// instance that is asked draws the same ones for a client. When an instance comes or
// goes, the answers that named it, or name it from then on, change in one address,
// and few of the others change.
package sampler

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lagoonstile"
)

// Sizes of answers and bounds of weights.
const (
	// minSize is the smallest number of instances to draw. A client whose first ones
	// have failed has others.
	minSize = 8
	// alikeRatio is the ratio of the largest weight to the smallest up to which the
	// instances count as alike.
	alikeRatio = 1.5
	// maxWeight is the largest weight that counts, far above that of any machine.
	maxWeight = 1e12
	// maxRate bounds the rate of an instance that nearly every answer names, so that
	// small changes of its chance move nothing.
	maxRate = 3
)

// Candidate is an instance that an answer may name.
type Candidate struct {
	ID      lagoonstile.InstanceID
	Address string
	// Weight is the instance's capacity, in any unit, or 0 if it is unknown.
	Weight float64
}

// What a request takes of an instance, for comparing instances.
const (
	requestProcessorSeconds = 0.005
	requestMegabits         = 0.08
)

// Weight returns the number of requests a second that an instance can carry, or 0 if
// its capacity is unknown.
func Weight(capacity lagoonstile.Capacity) float64 {
	if capacity.Processors <= 0 {
		return 0
	}
	seconds := requestProcessorSeconds / capacity.Processors
	if capacity.LinkMbps > 0 {
		seconds += requestMegabits / capacity.LinkMbps
	}
	return 1 / seconds
}

// Sample returns the addresses for a client, at most the given number. While the
// candidates are alike, these are all of them if there is room. Otherwise there are so
// few that the largest candidate can get its share.
func Sample(candidates []Candidate, client string, most int) []string {
	weights := weightsOf(candidates)
	size := max(min(sizeOf(weights), most), 0)
	if size >= len(candidates) {
		return addresses(candidates)
	}
	return addresses(draw(candidates, chances(weights, size), client, size))
}

// Shares returns the share of the clients' connections that each candidate gets.
func Shares(candidates []Candidate) []float64 {
	weights := weightsOf(candidates)
	size := sizeOf(weights)
	shares := make([]float64, len(candidates))
	if size >= len(candidates) {
		for n := range shares {
			shares[n] = 1 / float64(len(candidates))
		}
		return shares
	}
	for n, chance := range chances(weights, size) {
		shares[n] = chance / float64(size)
	}
	return shares
}

// weightsOf returns the weights of the candidates, with the median of the known ones
// in place of the unknown.
func weightsOf(candidates []Candidate) []float64 {
	var known []float64
	for _, candidate := range candidates {
		if isKnown(candidate.Weight) {
			known = append(known, candidate.Weight)
		}
	}
	median := 1.0
	if len(known) > 0 {
		slices.Sort(known)
		median = known[len(known)/2]
	}
	weights := make([]float64, len(candidates))
	for n, candidate := range candidates {
		weights[n] = candidate.Weight
		if !isKnown(candidate.Weight) {
			weights[n] = median
		}
	}
	return weights
}

// isKnown reports whether a weight is a number that can be compared with others.
func isKnown(weight float64) bool { return weight > 0 && weight <= maxWeight }

// sizeOf returns the number of instances to draw. With more, the largest one would be
// named by every answer and still get less than its share.
func sizeOf(weights []float64) int {
	if len(weights) == 0 || slices.Max(weights) <= alikeRatio*slices.Min(weights) {
		return len(weights)
	}
	return max(int(sum(weights)/slices.Max(weights)), minSize)
}

// chances returns the chance of each candidate to be among those drawn. They add up to
// size, are proportional to the weights and at most 1.
func chances(weights []float64, size int) []float64 {
	out := make([]float64, len(weights))
	certain := make([]bool, len(weights))
	for {
		left, rest := float64(size), 0.0
		for n, weight := range weights {
			if certain[n] {
				left--
			} else {
				rest += weight
			}
		}
		capped := false
		for n, weight := range weights {
			switch {
			case certain[n]:
				out[n] = 1
			case weight*left >= rest:
				certain[n], capped = true, true
			default:
				out[n] = weight * left / rest
			}
		}
		if !capped {
			return out
		}
	}
}

// draw returns the candidates with the lowest keys. A key is an exponential variate of
// the rate at which the candidate is among them with its chance.
func draw(candidates []Candidate, chances []float64, client string, size int) []Candidate {
	type entry struct {
		key float64
		Candidate
	}
	entries := make([]entry, len(candidates))
	for n, candidate := range candidates {
		rate := min(-math.Log1p(-chances[n]), maxRate)
		entries[n] = entry{key: exponential(client, candidate.ID) / rate, Candidate: candidate}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.ID, b.ID))
	})
	out := make([]Candidate, size)
	for n := range out {
		out[n] = entries[n].Candidate
	}
	return out
}

// exponential returns a number that is exponentially distributed over the instances
// and clients.
func exponential(client string, instance lagoonstile.InstanceID) float64 {
	hash := xxhash.Sum64String(client + "/" + string(instance))
	return -math.Log((float64(hash>>11) + 0.5) / (1 << 53))
}

// addresses returns the addresses of the candidates.
func addresses(candidates []Candidate) []string {
	out := make([]string, 0, len(candidates))
	for _, candidate := range candidates {
		out = append(out, candidate.Address)
	}
	return out
}

func sum(numbers []float64) float64 {
	total := 0.0
	for _, number := range numbers {
		total += number
	}
	return total
}
