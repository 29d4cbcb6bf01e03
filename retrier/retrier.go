// Package retrier decides whether a request may be tried again.
//
// A retry must not turn a partial failure into an overload, so retries and
// hedges draw on one budget that only successes fill: when a service stops
// answering, so do its retries. With a share of 0.1 a service gets at most 1.1
// times its load, whatever fails.
package retrier

import "sync"

// scale is the fixed-point unit of a token.
const scale = 1 << 16

// Burst bounds.
const (
	// burstTokens is how many retries may come at once after a quiet time, and
	// at the start. A quiet service ejects a failing server within fewer.
	burstTokens = 10
)

// Budget is a service's store of retries. The zero value has none and earns
// none; use New.
type Budget struct {
	mu sync.Mutex
	// share is tokens earned for each success, in scale units.
	share int64
	// tokens never passes burstTokens nor goes under 0, in scale units.
	tokens int64
}

// New returns a budget that earns the share of a retry for each success.
func New(share float64) *Budget {
	b := &Budget{}
	b.SetShare(share)
	if share > 0 {
		b.tokens = burstTokens * scale
	}
	return b
}

// SetShare changes what a success earns from now on.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = int64(share * scale)
	if b.share == 0 {
		b.tokens = 0
	}
}

// Success earns.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, burstTokens*scale)
}

// Take pays for one retry and reports false when the budget does not reach.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < scale {
		return false
	}
	b.tokens -= scale
	return true
}
