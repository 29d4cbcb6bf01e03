package steerer

import (
	"math"
	"time"
)

// FaultModel holds the parameters of the hidden Markov model behind a Belief.
type FaultModel struct {
	// HealthyFailureRate and FaultyFailureRate are the fractions of requests that
	// a healthy and a faulty server fail, between 0 and 1 exclusive.
	HealthyFailureRate, FaultyFailureRate float64
	// MeanTimeHealthy and MeanTimeFaulty are the mean durations of a server's
	// healthy and faulty periods. Both must be positive.
	MeanTimeHealthy, MeanTimeFaulty time.Duration
}

// DefaultFaultModel describes servers that occasionally fail most of their requests
// for a few seconds.
var DefaultFaultModel = FaultModel{
	HealthyFailureRate: 0.015,
	FaultyFailureRate:  0.75,
	MeanTimeHealthy:    14 * time.Second,
	MeanTimeFaulty:     6 * time.Second,
}

// prior returns the stationary probability that a server is faulty.
func (m FaultModel) prior() float64 {
	return float64(m.MeanTimeFaulty) / float64(m.MeanTimeFaulty+m.MeanTimeHealthy)
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
func newBelief(now time.Time, model FaultModel) Belief {
	return Belief{faulty: model.prior(), updatedAt: now}
}

// At returns the probability that the server is faulty at the given time.
func (b Belief) At(now time.Time, model FaultModel) float64 {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return b.faulty
	}
	rate := 1/model.MeanTimeHealthy.Seconds() + 1/model.MeanTimeFaulty.Seconds()
	prior := model.prior()
	return prior + (b.faulty-prior)*math.Exp(-rate*elapsed.Seconds())
}

// update applies Bayes' rule for good and bad responses observed at the given
// time.
func (b *Belief) update(now time.Time, model FaultModel, good, bad uint64) {
	faulty := b.At(now, model)
	b.updatedAt = now
	logOdds := math.Log(faulty / (1 - faulty))
	logOdds += float64(bad) * math.Log(model.FaultyFailureRate/model.HealthyFailureRate)
	logOdds += float64(good) * math.Log((1-model.FaultyFailureRate)/(1-model.HealthyFailureRate))
	// Larger odds would delay the detection of a change of the server's state.
	logOdds = math.Min(math.Max(logOdds, -maxLogOdds), maxLogOdds)
	b.faulty = 1 / (1 + math.Exp(-logOdds))
}

// maxLogOdds bounds the absolute value of the natural log odds of a belief.
const maxLogOdds = 6

// failureProbability returns the probability that the server fails the next
// request.
func (b Belief) failureProbability(now time.Time, model FaultModel) float64 {
	faulty := b.At(now, model)
	return faulty*model.FaultyFailureRate + (1-faulty)*model.HealthyFailureRate
}
