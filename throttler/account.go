package throttler

import (
	"cmp"
	"slices"
	"time"

	"lagoonstile"
)

// account is what an instance keeps for one account with a quota.
type account struct {
	id    lagoonstile.CallerID
	hash  uint64
	quota lagoonstile.Quota
	// ownerShare is the part of the quota that each owner has, and share the part that
	// this instance has: the same or 0.
	ownerShare, share float64
	// planned is true if the first plan of this instance had the account.
	planned bool

	bucket bucket
	// queueEnd is the last time given out to an instance that found the bucket empty.
	queueEnd time.Time
	// owners holds the other owners, in the order in which to ask them.
	owners []ownerState

	leases  []lease
	waiting []waiter
	// asking is true while an owner is asked, by the question askNonce.
	asking   bool
	askNonce uint32
	// crowded is the number of the last answers in a row that showed the account over
	// its limit. Once they are maxCrowded, no owner is asked before crowdedUntil.
	crowded      int
	crowdedUntil time.Time
	// answeredAt is when an owner last answered.
	answeredAt time.Time
	demand     demand

	granted, refused int64
}

// ownerState is what an instance knows of an account's share at an owner.
type ownerState struct {
	peer *peer
	// round is its place among the owners of its failure domain.
	round int
	// emptyUntil is the time before which the owner is not to be asked.
	emptyUntil time.Time
}

// lease is a number of tokens that an owner has granted.
type lease struct {
	tokens  int
	expires time.Time
}

// waiter is a request that waits for a token.
type waiter struct {
	ticket Ticket
	since  time.Time
	// until is the latest time for a decision, if that is more than maxWait after since.
	until time.Time
}

// ownerRate returns the tokens per second of the share of any owner.
func (a *account) ownerRate() float64 { return a.quota.Rate * a.ownerShare }

// rate returns the tokens per second of the share.
func (a *account) rate() float64 { return a.quota.Rate * a.share }

// size returns the size of the bucket. The tokens beyond the share of the burst let
// accounts with small shares save whole tokens.
func (a *account) size() float64 {
	switch {
	case a.share == 0:
		return 0
	case a.quota.Rate <= smallRate:
		return a.quota.Burst*a.share + 2
	default:
		return a.quota.Burst*a.share + 1
	}
}

// takeLease takes a token that was granted, the one that lapses first.
func (a *account) takeLease(now time.Time) (Credit, bool) {
	first, kept := -1, 0
	for _, held := range a.leases {
		if held.tokens == 0 || !now.Before(held.expires) {
			continue
		}
		a.leases[kept] = held
		if first < 0 || held.expires.Before(a.leases[first].expires) {
			first = kept
		}
		kept++
	}
	a.leases = a.leases[:kept]
	if first < 0 {
		return Credit{}, false
	}
	a.leases[first].tokens--
	return Credit{expires: a.leases[first].expires}, true
}

// bucket is a token bucket. The zero value is empty.
type bucket struct {
	tokens float64
	// at is the time up to which the tokens have accrued.
	at time.Time
}

// refill adds the tokens that have accrued since the last call, but none for the time
// before from.
func (b *bucket) refill(now, from time.Time, rate, size float64) {
	since := b.at
	if since.Before(from) {
		since = from
	}
	if now.After(since) {
		b.tokens += rate * now.Sub(since).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, size)
}

// take takes up to n whole tokens.
func (b *bucket) take(n int) int {
	n = min(n, int(b.tokens))
	b.tokens -= float64(n)
	return n
}

// timeTo returns the time until the bucket, which must have been refilled, has a number
// of tokens.
func (b *bucket) timeTo(tokens, rate float64) time.Duration {
	return time.Duration(max(tokens-b.tokens, 0) / rate * float64(time.Second))
}

// demand counts the requests of an account in the current and the last period of
// leaseTime.
type demand struct {
	start         time.Time
	current, last int
}

// add counts one request.
func (d *demand) add(now time.Time) {
	switch age := now.Sub(d.start); {
	case age >= 2*leaseTime:
		d.start, d.last, d.current = now, 0, 0
	case age >= leaseTime:
		d.start, d.last, d.current = now, d.current, 0
	}
	d.current++
}

// expected returns the number of requests to expect before a token that is granted now
// lapses. It is half of what came before, since tokens that lapse are lost.
func (d *demand) expected() int { return d.last / 2 }

// Usage is what this instance knows of the use of an account's quota.
type Usage struct {
	Account lagoonstile.CallerID `json:"account"`
	Quota   lagoonstile.Quota    `json:"quota"`
	// Share is the part of the quota that this instance owns.
	Share float64 `json:"share"`
	// Granted and Refused count the requests at this instance. Granted does not include
	// those whose token was given back in time.
	Granted int64 `json:"granted"`
	Refused int64 `json:"refused"`
}

// Usages returns the use of all quotas, those with the most requests first.
func (t *Throttler) Usages() []Usage {
	usages := make([]Usage, 0, len(t.accounts))
	for id, a := range t.accounts {
		usages = append(usages, Usage{Account: id, Quota: a.quota, Share: a.share, Granted: a.granted, Refused: a.refused})
	}
	slices.SortFunc(usages, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Granted+y.Refused, x.Granted+x.Refused), cmp.Compare(x.Account, y.Account))
	})
	return usages
}
