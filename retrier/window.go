package retrier

import (
	"sync"
	"time"
)

// Share is the part of a service's retry budget that one instance may spend.
// The fleet keeps its budget if each instance keeps its share, whatever the
// others do, so nothing has to be agreed on when there is no time for it.
type Share struct {
	// Ratio is how many repeats each request earns.
	Ratio float64
	// Slack is how many repeats there may be besides, over the whole fleet.
	Slack float64
	// Span is the time over which both are counted.
	Span time.Duration
}

// kept is the part of the share that is used. Instances may count by different
// spans, and requests reach servers a little later than they are counted here.
const kept = 0.92

// Window counts requests and repeats of one service over a sliding time. The
// zero value is ready to use.
type Window struct {
	mu       sync.Mutex
	requests []time.Time
	repeats  []time.Time
}

// Request notes a request of a client.
func (w *Window) Request(now time.Time, share Share) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now, share.Span)
	w.requests = append(w.requests, now)
}

// Take pays for one repeat and reports false when this instance's share does
// not reach. Instances is the size of the fleet. Repeats often follow a crowd of
// requests, so the span with most requests among the last, the one before it
// and the one half before it counts.
func (w *Window) Take(now time.Time, share Share, instances int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now, share.Span)
	requests := 0
	for _, back := range []time.Duration{0, share.Span / 2, share.Span} {
		requests = max(requests, count(w.requests, now.Add(-back-share.Span), now.Add(-back)))
	}
	most := kept * (share.Ratio*float64(requests) + share.Slack/float64(max(instances, 1)))
	if float64(len(w.repeats)+1) > most {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

func (w *Window) expire(now time.Time, span time.Duration) {
	w.requests = after(w.requests, now.Add(-2*span))
	w.repeats = after(w.repeats, now.Add(-span))
}

// after drops the times up to the given one from the front.
func after(times []time.Time, since time.Time) []time.Time {
	n := 0
	for n < len(times) && !times[n].After(since) {
		n++
	}
	return times[n:]
}

// count returns how many of the sorted times are after one and not after the
// other.
func count(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}
