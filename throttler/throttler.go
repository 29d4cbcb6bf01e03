// Package throttler keeps the requests of client accounts within their quotas over a
// whole fleet, without a server that all instances ask.
//
// # Owners and tokens
//
// Each account has a few owners: some announced members in each failure domain,
// chosen by rendezvous hashing (D. Thaler, C. Ravishankar, "Using name-based mappings
// to increase hit rates", IEEE/ACM Transactions on Networking 6, 1998). An owner has an
// equal share of the quota and keeps it in a token bucket. A request needs one token.
// An instance takes it from its own bucket, or asks an owner for tokens.
//
// The owners follow from the announced members and not from who is live. So two halves
// of a fleet that do not hear each other still agree on the owners and never spend the
// same share. The share of an owner that is dead or out of reach is not used.
//
// # Leases
//
// A token that has left its bucket is a lease: it can be used for leaseTime and then
// lapses. The time runs from the question, on the clock of the instance that asked, so
// the token lapses no later than leaseTime after it left the bucket. A lost message
// loses tokens and never makes any. In a window of length w, an account thus uses at
// most the tokens of w and leaseTime and those that its buckets held before:
// Rate * (w + leaseTime) + Burst + 12, and one more for each restart of an owner.
//
// # Restarts and new members
//
// Buckets have less than one token when a process starts, so that it does not spend again
// what it may have spent before it was killed. If all owners of an account start at
// once, their first whole tokens come one after the other at the rate of the quota. A
// share accrues from the start of a member that was announced before.
//
// A member that was never announced before does not use its shares until all others have
// confirmed that they know it, because the shares of the others become smaller with its
// arrival. It stops waiting for members that are silent for confirmTime.
//
// # Accounts over their limit
//
// An owner whose bucket is empty answers with the time after which to ask again. It
// gives out these times one after the other at the rate of its share, for up to
// maxQueueTime, so that an account far over its limit causes few more questions than it
// has tokens. Until then, and
// while no other owner may be asked, requests are refused without a question.
//
// # Waiting for tokens
//
// A request whose client has time may wait for a token that does not exist yet, for
// example right after a restart, when the buckets are still empty. It waits only as long
// as owners promise a token in time, and behind no more requests than the instance can
// expect tokens for.
//
// The package has no clock, network or goroutines of its own.
package throttler

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"lagoonstile"
)

// Timing and limits.
const (
	// leaseTime is how long a token can be used after it has left its bucket.
	leaseTime = 300 * time.Millisecond
	// askTimeout is how long to wait for the answer of an owner before the next one is
	// asked. A later answer still counts.
	askTimeout = 40 * time.Millisecond
	// silentTime is how long an owner that has not answered is not asked again.
	silentTime = 500 * time.Millisecond
	// maxWait is how long after a request came a further owner is asked for it.
	maxWait = 120 * time.Millisecond
	// heldFactor is how many requests may wait for tokens, as a multiple of those that an
	// equal share of the quota would serve in the time.
	heldFactor = 2
	// maxCrowded is the number of owners in a row after whose answers no further one is
	// asked, if each has more than crowdedTokens tokens to gain before it is this
	// instance's turn. Then the account is over its limit.
	maxCrowded    = 3
	crowdedTokens = 3
	// maxWanted bounds the tokens of one answer.
	maxWanted = 1000
	// maxQueueTime bounds the times that an owner has given out but not yet reached.
	maxQueueTime = time.Second
	// noShareWait is how long an instance that asked a member without a share is told to
	// wait.
	noShareWait = time.Second
	// foundingTime is how long a fleet that starts for the first time takes until all
	// members know each other, and settleTime how long news of a member take to reach
	// those that are announced at the same time.
	foundingTime = time.Second
	settleTime   = 2 * time.Second
	// confirmInterval is the interval between the questions of a new member to those
	// that have not confirmed it, and confirmTime how long it waits for them.
	confirmInterval = 500 * time.Millisecond
	confirmTime     = 30 * time.Second
)

// Ask is a question of one instance to an owner. Without an account it asks only
// whether the receiver knows the sender.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	Account lagoonstile.CallerID
	// Nonce identifies the question among those of the sender.
	Nonce uint32
	// Wanted is the number of tokens.
	Wanted int
}

// Answer is the answer to an Ask.
type Answer struct {
	_     struct{} `cbor:",toarray"`
	Nonce uint32
	// Granted is the number of tokens that the receiver may use.
	Granted int
	// Wait is the time after which to ask again, if Granted is less than was wanted.
	Wait Milliseconds
	// NoShare is set if the sender has no share of the quota to give from.
	NoShare bool
}

// Message is what one instance sends to another, all at once.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Asks    []Ask
	Answers []Answer
}

// Quotas is what the goroutines that serve requests need of an instance's throttler.
type Quotas interface {
	// Draw draws the credit for one request of an account. If there is none, it returns
	// why and for how long. It may wait for a short time, and until the given time for
	// credit that is promised by then. The credit covers all attempts of the request.
	Draw(ctx context.Context, account *lagoonstile.Account, until time.Time) (Credit, *Refusal)
	// Return gives back the credit of a request that did not run.
	Return(account *lagoonstile.Account, credit Credit)
}

// Milliseconds is a time in a message.
type Milliseconds uint32

// milliseconds rounds a time up.
func milliseconds(d time.Duration) Milliseconds {
	return Milliseconds((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

// Duration returns the time as a duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// OutgoingAsk is a question to be sent.
type OutgoingAsk struct {
	To  lagoonstile.InstanceID
	Ask Ask
}

// Verdict is the decision on a request.
type Verdict string

// The verdicts.
const (
	Granted Verdict = "granted"
	Refused Verdict = "refused"
	// Waiting means that an owner was asked. The decision follows from a later call.
	Waiting Verdict = "waiting"
)

// Ticket identifies a waiting request.
type Ticket uint64

// Credit is a token that a request has drawn. The zero value cannot be given back.
type Credit struct {
	// expires is when the token lapses.
	expires time.Time
}

// Decision is the decision on one request.
type Decision struct {
	Verdict Verdict
	// Ticket is set unless the decision was made in Draw.
	Ticket Ticket
	// Credit is set if the request was granted, and Refusal if it was refused.
	Credit  Credit
	Refusal Refusal
}

// Refusal tells why a request was refused.
type Refusal struct {
	Quota lagoonstile.Quota
	// Share is the part of the quota that this instance owns.
	Share float64
	// Age is the time since an owner last answered, or 0 if none has yet.
	Age time.Duration
	// RetryAfter is the time until there is a token, as far as this instance knows.
	RetryAfter time.Duration
}

// Standing is what is known of an instance when it starts.
type Standing string

// The standings.
const (
	// Returning means that the instance was announced before.
	Returning Standing = "returning"
	// Founding means that the whole fleet starts for the first time.
	Founding Standing = "founding"
	// New means that the instance was never announced before.
	New Standing = "new"
)

var _ error = (*Refusal)(nil)

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("account has used up its quota: limit %g/s and %g at once, share held here %.3f, owner heard %v ago",
		r.Quota.Rate, r.Quota.Burst, r.Share, r.Age.Round(time.Millisecond))
}

// Throttler decides on the requests at one instance, and holds the shares that it
// owns. It is not safe for concurrent use. Create one with NewThrottler.
type Throttler struct {
	self peer
	// accounts holds the accounts that have a quota.
	accounts map[lagoonstile.CallerID]*account
	// hasPlan is true once there was a list of accounts.
	hasPlan bool
	peers   map[lagoonstile.InstanceID]*peer
	// order holds the peers by id.
	order []*peer
	// domains holds the announced members by failure domain, this instance included.
	domains map[lagoonstile.FailureDomain][]*peer
	// chosen is room for the owners of one account in one failure domain.
	chosen []ranked

	startedAt time.Time
	standing  Standing
	// accruesFrom is when the shares of this instance begin to accrue.
	accruesFrom time.Time
	// introducedAt is when a new member last asked whether the others know it.
	introducedAt time.Time

	nonce  uint32
	ticket Ticket
	// holding holds the accounts with waiting requests.
	holding map[lagoonstile.CallerID]*account
	// pending holds the questions without an answer, the oldest first, each for
	// leaseTime.
	pending   []pendingAsk
	asks      []OutgoingAsk
	decisions []Decision
}

// peer is an announced member.
type peer struct {
	id     lagoonstile.InstanceID
	domain lagoonstile.FailureDomain
	hash   uint64
	// silentUntil is until when the peer is not asked, as it has not answered.
	silentUntil time.Time
	// confirmed is true once the peer has answered this instance.
	confirmed bool
}

// pendingAsk is a question without an answer.
type pendingAsk struct {
	nonce uint32
	// account is nil if the question is whether the peer knows this instance.
	account *account
	peer    *peer
	wanted  int
	sentAt  time.Time
}

// NewThrottler returns a throttler for an instance without accounts and members. The
// first nonce must differ from those of the instance's earlier runs.
func NewThrottler(now time.Time, self lagoonstile.InstanceID, domain lagoonstile.FailureDomain, nonce uint32) *Throttler {
	t := &Throttler{
		self:      peer{id: self, domain: domain, hash: hashOf(string(self))},
		accounts:  make(map[lagoonstile.CallerID]*account),
		holding:   make(map[lagoonstile.CallerID]*account),
		startedAt: now,
		nonce:     nonce,
	}
	t.SetStanding(New)
	return t
}

// SetStanding tells what is known of this instance. Until then it counts as new.
func (t *Throttler) SetStanding(standing Standing) {
	t.standing = standing
	switch standing {
	case Returning:
		t.accruesFrom = t.startedAt
	case Founding:
		t.accruesFrom = t.startedAt.Add(foundingTime)
	case New:
		t.accruesFrom = t.startedAt.Add(confirmTime)
	}
}

// SetAccounts replaces the accounts. Those without a quota are left out.
func (t *Throttler) SetAccounts(now time.Time, accounts []lagoonstile.Account) {
	next := make(map[lagoonstile.CallerID]*account, len(accounts))
	for i := range accounts {
		planned := &accounts[i]
		if !planned.Quota.Limited() {
			continue
		}
		a := t.accounts[planned.ID]
		if a == nil {
			a = &account{id: planned.ID, hash: hashOf(string(planned.ID)), planned: !t.hasPlan}
		}
		if a.quota != planned.Quota {
			if a.ownerShare > 0 {
				a.bucket.refill(now, t.accruesFrom, a.rate(), a.size())
			}
			a.quota = planned.Quota
			t.setOwners(now, a)
		}
		next[planned.ID] = a
	}
	removed := maps.Clone(t.accounts)
	for i := range accounts {
		id := accounts[i].ID
		if a := removed[id]; a != nil && next[id] == nil {
			t.grantAll(a)
		}
		delete(removed, id)
	}
	for _, a := range removed {
		t.refuseAll(now, a)
	}
	t.accounts, t.hasPlan = next, true
}

// SetMembers replaces the announced members. They may include this instance.
func (t *Throttler) SetMembers(now time.Time, members []lagoonstile.Member) {
	peers := make(map[lagoonstile.InstanceID]*peer, len(members))
	changed := len(t.domains) == 0
	for i := range members {
		member := &members[i]
		if member.ID == t.self.id {
			continue
		}
		p := t.peers[member.ID]
		if p == nil || p.domain != member.FailureDomain {
			p = &peer{id: member.ID, domain: member.FailureDomain, hash: hashOf(string(member.ID))}
			changed = true
		}
		peers[member.ID] = p
	}
	changed = changed || len(peers) != len(t.peers)
	t.peers = peers
	if !changed {
		return
	}
	t.order = slices.SortedFunc(maps.Values(peers), func(x, y *peer) int { return cmp.Compare(x.id, y.id) })
	t.domains = map[lagoonstile.FailureDomain][]*peer{t.self.domain: {&t.self}}
	for _, p := range t.order {
		t.domains[p.domain] = append(t.domains[p.domain], p)
	}
	for _, a := range t.accounts {
		t.setOwners(now, a)
	}
}

// Draw draws a token for a request of an account. An account without a quota needs
// none. The request can wait until the given time.
func (t *Throttler) Draw(now time.Time, id lagoonstile.CallerID, until time.Time) Decision {
	a := t.accounts[id]
	if a == nil {
		return Decision{Verdict: Granted}
	}
	a.demand.add(now)
	if len(a.waiting) == 0 {
		if credit, ok := t.spend(now, a); ok {
			return Decision{Verdict: Granted, Credit: credit}
		}
	}
	mayAsk := a.asking || a.nextOwner(now) != nil
	w := waiter{ticket: t.ticket + 1, since: now, until: until}
	if !mayAsk && !t.mayHold(now, a, w, len(a.waiting)) {
		a.refused++
		return Decision{Verdict: Refused, Refusal: t.refusal(now, a)}
	}
	t.ticket++
	a.waiting = append(a.waiting, w)
	t.holding[id] = a
	if mayAsk && !a.asking {
		t.askNext(now, a)
	}
	return Decision{Verdict: Waiting, Ticket: t.ticket}
}

// Cancel ends the wait of a request without a decision.
func (t *Throttler) Cancel(id lagoonstile.CallerID, ticket Ticket) {
	a := t.accounts[id]
	if a == nil {
		return
	}
	for i := range a.waiting {
		if a.waiting[i].ticket == ticket {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return
		}
	}
}

// Return gives back the token of a request that did not run. It can be used until it
// lapses.
func (t *Throttler) Return(now time.Time, id lagoonstile.CallerID, credit Credit) {
	a := t.accounts[id]
	if a == nil || !now.Before(credit.expires) {
		return
	}
	a.granted = max(a.granted-1, 0)
	a.leases = append(a.leases, lease{tokens: 1, expires: credit.expires})
	t.serveWaiting(now, a)
}

// Tick does what is due: it gives up waiting for answers, and it introduces a new
// member. Call it every 20 ms or so.
func (t *Throttler) Tick(now time.Time) {
	t.introduce(now)
	for i := range t.pending {
		ask := &t.pending[i]
		if now.Sub(ask.sentAt) < askTimeout {
			break
		}
		if ask.account != nil && ask.account.asking && ask.account.askNonce == ask.nonce {
			ask.peer.silentUntil = now.Add(silentTime)
			ask.account.asking = false
			t.settle(now, ask.account)
		}
	}
	for id, a := range t.holding {
		if len(a.waiting) > 0 && !a.asking {
			t.settle(now, a)
		}
		if len(a.waiting) == 0 {
			delete(t.holding, id)
		}
	}
	expired := 0
	for expired < len(t.pending) && now.Sub(t.pending[expired].sentAt) >= leaseTime {
		expired++
	}
	t.pending = append(t.pending[:0], t.pending[expired:]...)
}

// TakeAsks returns the questions to be sent since the last call.
func (t *Throttler) TakeAsks() []OutgoingAsk {
	asks := t.asks
	t.asks = nil
	return asks
}

// TakeDecisions returns the decisions on waiting requests since the last call.
func (t *Throttler) TakeDecisions() []Decision {
	decisions := t.decisions
	t.decisions = nil
	return decisions
}

// refusal tells why a request of an account is refused now.
func (t *Throttler) refusal(now time.Time, a *account) Refusal {
	r := Refusal{Quota: a.quota, Share: a.share, RetryAfter: t.nextToken(now, a)}
	if !a.answeredAt.IsZero() {
		r.Age = now.Sub(a.answeredAt)
	}
	return r
}

// nextToken returns the time until an owner has a token, as far as it has said so, but
// at least a millisecond.
func (t *Throttler) nextToken(now time.Time, a *account) time.Duration {
	wait := noShareWait
	if a.share > 0 && !now.Before(t.accruesFrom) {
		wait = a.bucket.timeTo(1, a.rate())
	}
	for i := range a.owners {
		owner := &a.owners[i]
		until := owner.emptyUntil
		if owner.peer.silentUntil.After(until) {
			until = owner.peer.silentUntil
		}
		wait = min(wait, until.Sub(now))
	}
	if a.crowded >= maxCrowded {
		wait = max(wait, a.crowdedUntil.Sub(now))
	}
	return max(wait, time.Millisecond)
}
