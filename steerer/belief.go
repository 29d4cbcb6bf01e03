package steerer

import (
	"math"
	"time"
)

// FaultModel are the parameters of the fault model that a Belief is computed with.
type FaultModel struct {
	// HealthyFailureRate and FaultyFailureRate are the fractions of requests that
	// a healthy and a faulty server fail, between 0 and 1 exclusive.
	HealthyFailureRate, FaultyFailureRate float64
	// MeanTimeHealthy and MeanTimeFaulty are the mean durations of a server's
	// healthy and faulty periods. Both must be positive.
	MeanTimeHealthy, MeanTimeFaulty time.Duration
}

// DefaultFaultModel describe servers that occasionally fail most of their requests
// for a few seconds.
var DefaultFaultModel = FaultModel{
	HealthyFailureRate: 0.015,
	FaultyFailureRate:  0.75,
	MeanTimeHealthy:    14 * time.Second,
	MeanTimeFaulty:     6 * time.Second,
}

// prior returns the stationary probability that a server is faulty.
func (r FaultModel) prior() float64 {
	return float64(r.MeanTimeFaulty) / float64(r.MeanTimeFaulty+r.MeanTimeHealthy)
}

// Belief is the probability that a server is faulty: the forward filter of a
// hidden Markov model with two states (L. Rabiner, "A Tutorial on Hidden Markov
// Models", Proceedings of the IEEE 77, 1989). Responses update it; without
// responses it decays to the prior.
type Belief struct {
	// faulty is the probability at updatedAt, between 0 and 1.
	faulty    float64
	updatedAt time.Time
}

// newBelief returns the belief about a server without any observations.
func newBelief(now time.Time, rules FaultModel) Belief {
	return Belief{faulty: rules.prior(), updatedAt: now}
}

// At returns the probability that the server is faulty at the given time.
func (b Belief) At(now time.Time, rules FaultModel) float64 {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return b.faulty
	}
	rate := 1/rules.MeanTimeHealthy.Seconds() + 1/rules.MeanTimeFaulty.Seconds()
	prior := rules.prior()
	return prior + (b.faulty-prior)*math.Exp(-rate*elapsed.Seconds())
}

// update applies Bayes' rule for good and bad responses observed at the given
// time.
func (b *Belief) update(now time.Time, rules FaultModel, good, bad uint64) {
	faulty := b.At(now, rules)
	b.updatedAt = now
	logOdds := math.Log(faulty / (1 - faulty))
	logOdds += float64(bad) * math.Log(rules.FaultyFailureRate/rules.HealthyFailureRate)
	logOdds += float64(good) * math.Log((1-rules.FaultyFailureRate)/(1-rules.HealthyFailureRate))
	// With larger odds, a change of the server's state would be detected late.
	logOdds = math.Min(math.Max(logOdds, -maxLogOdds), maxLogOdds)
	b.faulty = 1 / (1 + math.Exp(-logOdds))
}

// maxLogOdds bounds the absolute value of the natural log odds of a belief.
const maxLogOdds = 6

// failureProbability returns the probability that the server fails the next
// request.
func (b Belief) failureProbability(now time.Time, rules FaultModel) float64 {
	faulty := b.At(now, rules)
	return faulty*rules.FaultyFailureRate + (1-faulty)*rules.HealthyFailureRate
}
