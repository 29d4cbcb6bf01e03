package steerer

import (
	"math"
	"time"
)

// Rules are the figures that the beliefs about servers rest on.
type Rules struct {
	// SoundFailing and FaultyFailing are the shares of requests that a sound and
	// a faulty server fail. Between 0 and 1.
	SoundFailing, FaultyFailing float64
	// SoundFor and FaultyFor are the mean times that a server stays so. Over 0.
	SoundFor, FaultyFor time.Duration
}

// DefaultRules suit servers that fail most of their work for a few seconds now
// and then.
var DefaultRules = Rules{
	SoundFailing:  0.015,
	FaultyFailing: 0.75,
	SoundFor:      14 * time.Second,
	FaultyFor:     6 * time.Second,
}

// prior returns the share of servers that are faulty at any time.
func (r Rules) prior() float64 {
	return float64(r.FaultyFor) / float64(r.FaultyFor+r.SoundFor)
}

// Belief is the probability that a server is faulty: the forward filter of a
// hidden Markov chain of two states (L. Rabiner, "A Tutorial on Hidden Markov
// Models", Proceedings of the IEEE 77, 1989). Answers move it, and time without
// answers takes it back to the share of servers that are faulty at any time.
type Belief struct {
	// faulty stays between 0 and 1.
	faulty float64
	at     time.Time
}

// newBelief returns what is believed of a server that nothing is known of.
func newBelief(now time.Time, rules Rules) Belief {
	return Belief{faulty: rules.prior(), at: now}
}

// At returns the probability that the server is faulty at the given time.
func (b Belief) At(now time.Time, rules Rules) float64 {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return b.faulty
	}
	rate := 1/rules.SoundFor.Seconds() + 1/rules.FaultyFor.Seconds()
	prior := rules.prior()
	return prior + (b.faulty-prior)*math.Exp(-rate*elapsed.Seconds())
}

// observe takes in answers that came by the given time.
func (b *Belief) observe(now time.Time, rules Rules, good, bad uint64) {
	faulty := b.At(now, rules)
	b.at = now
	odds := math.Log(faulty / (1 - faulty))
	odds += float64(bad) * math.Log(rules.FaultyFailing/rules.SoundFailing)
	odds += float64(good) * math.Log((1-rules.FaultyFailing)/(1-rules.SoundFailing))
	// Beyond these odds a change of the server's state would be noticed late.
	odds = math.Min(math.Max(odds, -mostOdds), mostOdds)
	b.faulty = 1 / (1 + math.Exp(-odds))
}

// mostOdds bounds the logarithm of the odds of a belief.
const mostOdds = 6

// failing returns the probability that the server fails the next request.
func (b Belief) failing(now time.Time, rules Rules) float64 {
	faulty := b.At(now, rules)
	return faulty*rules.FaultyFailing + (1-faulty)*rules.SoundFailing
}
