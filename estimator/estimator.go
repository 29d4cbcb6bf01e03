// Package estimator learns how long requests take.
//
// A Histogram holds the durations of one kind of request and forgets old ones. It
// gives the mean and quantiles. With heavy-tailed durations, a mean alone would take
// many requests for slow ones.
//
// Only a few numbers are kept, as the monitoring tool PerSyst keeps quantiles (C.
// Guillen, W. Hesse, M. Brehm, "The PerSyst Monitoring Tool"), because a mean hides
// the few that are slow.
package estimator

import (
	"math"
	"time"
)

// Shape of a Histogram.
const (
	// shortest is the upper bound of the first bucket. The bounds grow by bucketRatio.
	shortest    = time.Millisecond
	bucketRatio = 1.2
	buckets     = 64
	// memory is the number of durations after which the weight of an older one has
	// fallen to 1/e.
	memory = 400
	// maxWeight is the weight of a new duration at which all weights are scaled down.
	maxWeight = 1e6
)

// Histogram is a sketch of durations in buckets of exponentially growing width. The
// zero value is empty.
type Histogram struct {
	weights [buckets]float64
	// total is the sum of the weights, and sum that of the durations in seconds, each
	// by its weight.
	total, sum float64
	// next is the weight of the next duration, which grows instead of the others
	// shrinking. 0 stands for 1.
	next float64
}

// Add adds a duration.
func (h *Histogram) Add(d time.Duration) {
	if h.next == 0 {
		h.next = 1
	}
	h.weights[bucketOf(d)] += h.next
	h.total += h.next
	h.sum += h.next * d.Seconds()
	h.next *= 1 + 1.0/memory
	if h.next > maxWeight {
		h.scale(1 / h.next)
	}
}

func (h *Histogram) scale(by float64) {
	for n := range h.weights {
		h.weights[n] *= by
	}
	h.total *= by
	h.sum *= by
	h.next *= by
}

// Mean returns the mean duration, or 0 if the histogram is empty.
func (h *Histogram) Mean() time.Duration {
	if h.total == 0 {
		return 0
	}
	return seconds(h.sum / h.total)
}

// Quantile returns the duration that the given share of the durations does not exceed,
// to the width of a bucket. It is 0 if the histogram is empty.
func (h *Histogram) Quantile(share float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	rest := share * h.total
	for n, weight := range h.weights {
		if weight >= rest && weight > 0 {
			low, high := boundsOf(n)
			return low + time.Duration(rest/weight*float64(high-low))
		}
		rest -= weight
	}
	_, longest := boundsOf(buckets - 1)
	return longest
}

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	n := int(math.Ceil(math.Log(float64(d)/float64(shortest)) / math.Log(bucketRatio)))
	return min(n, buckets-1)
}

// bounds holds the upper bound of each bucket.
var bounds = func() (all [buckets]time.Duration) {
	for n := range all {
		all[n] = time.Duration(float64(shortest) * math.Pow(bucketRatio, float64(n)))
	}
	return all
}()

// boundsOf returns the bounds of a bucket.
func boundsOf(bucket int) (low, high time.Duration) {
	if bucket == 0 {
		return 0, bounds[0]
	}
	return bounds[bucket-1], bounds[bucket]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
