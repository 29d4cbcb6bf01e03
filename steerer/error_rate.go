package steerer

import (
	"math"
	"time"
)

// Time constants and thresholds of the error rate.
const (
	// failureWindow and requestWindow are the time constants over which failures
	// and requests are averaged.
	failureWindow = time.Second
	requestWindow = 8 * time.Second
	// failingWindow is the time constant of the failures that failingAt applies to. It
	// is long enough that a few failures by chance do not exceed it.
	failingWindow = 2 * time.Second
	// minKnownShare is the smallest share of the averaging window that is assumed
	// to be observed, so that the first events don't give an excessive rate.
	minKnownShare = 0.1
	// degradedAt is the share of failed requests above which a service is degraded.
	degradedAt = 0.1
	// unexpectedBelow is the belief below which a failure is unexpected. Only
	// unexpected failures count: failures at servers that are being explored must not
	// trigger more exploration.
	unexpectedBelow = 0.15
	// failingAt is the share of failed requests above which all servers must be kept
	// in use (see Service.narrow). It is below a tenth, from which on servers without
	// requests count as starved.
	failingAt = 0.07
)

// decayingRate is an exponentially decaying average of events per second. The
// zero value has seen no events. All calls must pass the same time constant.
type decayingRate struct {
	sum                   float64
	firstEvent, updatedAt time.Time
}

func (r *decayingRate) add(now time.Time, n float64, timeConstant time.Duration) {
	if r.firstEvent.IsZero() {
		r.firstEvent = now
	}
	r.sum = r.sum*decayFactor(now.Sub(r.updatedAt), timeConstant) + n
	r.updatedAt = now
}

// rate returns the events per second. The time before the first event is treated
// as unobserved, not as a time without events.
func (r *decayingRate) rate(now time.Time, timeConstant time.Duration) float64 {
	known := max(1-decayFactor(now.Sub(r.firstEvent), timeConstant), minKnownShare)
	return r.sum * decayFactor(now.Sub(r.updatedAt), timeConstant) / (timeConstant.Seconds() * known)
}

// decayFactor returns the weight of an event of the given age.
func decayFactor(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / timeConstant.Seconds())
}

// errorRate measures the share of a service's requests that fail. It compares the
// failures seen by all instances with this instance's own requests, assuming that
// each instance receives about the same number.
type errorRate struct {
	// failures counts the unexpected failures, and undoubtedFailures all but those of
	// doubted servers, which are sent requests only to explore them: they must not
	// make the service look worse, and so lead to more exploration.
	failures, undoubtedFailures, requests, nonIdempotent decayingRate
}

func (e *errorRate) addRequest(now time.Time, idempotent bool) {
	e.requests.add(now, 1, requestWindow)
	if !idempotent {
		e.nonIdempotent.add(now, 1, requestWindow)
	}
}

// addFailures counts failures of a server that was believed to be faulty with the
// given probability.
func (e *errorRate) addFailures(now time.Time, n uint64, belief float64) {
	if belief < doubtAt {
		e.undoubtedFailures.addFailures(now, n, failingWindow)
	}
	if belief < unexpectedBelow {
		e.failures.addFailures(now, n, failureWindow)
	}
}

func (r *decayingRate) addFailures(now time.Time, n uint64, timeConstant time.Duration) {
	if r.firstEvent.IsZero() {
		// Treat the time before the first failure as observed without failures.
		r.firstEvent = now.Add(-timeConstant * 8)
	}
	r.add(now, float64(n), timeConstant)
}

// degraded reports whether failures that can't be retried exceed degradedAt of the
// requests of the whole fleet, given its number of instances.
func (e *errorRate) degraded(now time.Time, instances int) bool {
	return e.lostShare(now, e.failures.rate(now, failureWindow), instances) > degradedAt
}

// failing reports whether failures of undoubted servers that can't be retried exceed
// failingAt.
func (e *errorRate) failing(now time.Time, instances int) bool {
	return e.lostShare(now, e.undoubtedFailures.rate(now, failingWindow), instances) > failingAt
}

// lostShare returns the share of the requests of the whole fleet that failed and
// can't be retried, given the failures per second and the number of instances.
func (e *errorRate) lostShare(now time.Time, failures float64, instances int) float64 {
	requests := e.requests.rate(now, requestWindow)
	if requests <= 0 {
		return 0
	}
	notRetried := failures * e.nonIdempotent.rate(now, requestWindow) / requests
	return notRetried / (requests * float64(max(instances, 1)))
}
