// Package retrier decides whether a request may be retried or hedged.
//
// Retries must not turn a partial failure into an overload. Retries and hedges
// therefore draw on a common budget that is filled only by successes: when a
// service stops answering, its retries stop as well. With a share of 0.1, a service
// receives at most 1.1 times its load plus one burst, whatever fails.
//
// A Window is a separate limit: it keeps one instance within its share of a budget
// that covers the whole fleet and a sliding window of time.
package retrier

import "sync"

// scale is the fixed-point representation of one token.
const scale = 1 << 16

const (
	// burstTokens is the maximum number of retries in a burst, at the start or after a
	// time with few retries. Even with little traffic, a failing server is ejected
	// after fewer retries.
	burstTokens = 10
)

// Budget is the retry budget of a service: a token bucket with one token for each
// retry. It is safe for concurrent use. The zero value is empty and is never
// filled; use New.
type Budget struct {
	mu sync.Mutex
	// share is the part of a token that is added for each success, in units of
	// 1/scale.
	share int64
	// tokens is the number of available tokens, in units of 1/scale, between 0 and
	// burstTokens.
	tokens int64
}

// New returns a budget that adds the given share of a retry for each success. It
// starts with a full burst, or empty if the share is 0.
func New(share float64) *Budget {
	b := &Budget{}
	b.SetShare(share)
	if share > 0 {
		b.tokens = burstTokens * scale
	}
	return b
}

// SetShare changes the share that is added for each success from now on. A share of
// 0 empties the budget.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = int64(share * scale)
	if b.share == 0 {
		b.tokens = 0
	}
}

// RecordSuccess adds the share of one success to the budget.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, burstTokens*scale)
}

// Take removes one token for a retry. It returns false if there is no whole token.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < scale {
		return false
	}
	b.tokens -= scale
	return true
}
