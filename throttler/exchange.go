package throttler

import (
	"slices"
	"time"

	"lagoonstile"
)

// The exchange of questions and answers between instances.

// Answer answers the question of a member. It returns false if the sender is not known
// as one: then it must get no answer, which it would take for a confirmation.
func (t *Throttler) Answer(now time.Time, from lagoonstile.InstanceID, ask Ask) (Answer, bool) {
	answer := Answer{Nonce: ask.Nonce}
	if t.peers[from] == nil || ask.Account == "" {
		return answer, t.peers[from] != nil
	}
	a := t.accounts[ask.Account]
	if a == nil || a.share == 0 || now.Before(t.accruesFrom) {
		answer.NoShare, answer.Wait = true, milliseconds(noShareWait)
		return answer, true
	}
	wanted := min(max(ask.Wanted, 1), maxWanted)
	a.bucket.refill(now, t.accruesFrom, a.rate(), a.size())
	answer.Granted = a.bucket.take(wanted)
	if answer.Granted < wanted {
		answer.Wait = milliseconds(a.queue(now))
	}
	return answer, true
}

// queue returns the time until the bucket has a token for one more instance that found
// it empty.
func (a *account) queue(now time.Time) time.Duration {
	next := now.Add(a.bucket.timeTo(1, a.rate()))
	if a.queueEnd.After(next) {
		next = a.queueEnd
	}
	wait := next.Sub(now)
	if end := next.Add(time.Duration(float64(time.Second) / a.rate())); end.Sub(now) <= maxQueueTime {
		a.queueEnd = end
	}
	return wait
}

// Receive applies the answer of a member. An answer that comes after its tokens have
// lapsed, again, or from another member than was asked has no effect.
func (t *Throttler) Receive(now time.Time, from lagoonstile.InstanceID, answer Answer) {
	ask, found := t.takePending(from, answer.Nonce)
	if !found {
		return
	}
	ask.peer.silentUntil = time.Time{}
	ask.peer.confirmed = true
	a := ask.account
	if a == nil || t.accounts[a.id] != a {
		return
	}
	a.answeredAt = now
	if answer.Granted > 0 {
		a.leases = append(a.leases, lease{tokens: min(answer.Granted, ask.wanted), expires: ask.sentAt.Add(leaseTime)})
	}
	if answer.Granted < ask.wanted {
		a.setEmpty(ask.peer, now.Add(max(answer.Wait.Duration(), time.Millisecond)))
	}
	a.noteCrowd(now, answer)
	if a.asking && a.askNonce == ask.nonce {
		a.asking = false
		t.settle(now, a)
		return
	}
	t.serveWaiting(now, a)
}

// setEmpty sets the time before which an owner is not to be asked.
func (a *account) setEmpty(p *peer, until time.Time) {
	for i := range a.owners {
		if a.owners[i].peer == p {
			a.owners[i].emptyUntil = until
		}
	}
}

// noteCrowd notes whether an owner's answer shows that the account is over its limit.
func (a *account) noteCrowd(now time.Time, answer Answer) {
	if answer.NoShare {
		return
	}
	wait := answer.Wait.Duration()
	if answer.Granted > 0 || wait.Seconds()*a.ownerRate() <= crowdedTokens {
		a.crowded = 0
		return
	}
	if until := now.Add(wait); a.crowded == 0 || until.Before(a.crowdedUntil) {
		a.crowdedUntil = until
	}
	a.crowded++
}

// takePending removes and returns the question to a member that has a nonce.
func (t *Throttler) takePending(from lagoonstile.InstanceID, nonce uint32) (pendingAsk, bool) {
	for i, ask := range t.pending {
		if ask.nonce == nonce && ask.peer.id == from {
			t.pending = append(t.pending[:i], t.pending[i+1:]...)
			return ask, true
		}
	}
	return pendingAsk{}, false
}

// settle serves the waiting requests of an account after an owner has answered or has
// not done so in time, and asks the next owner for those that are left.
func (t *Throttler) settle(now time.Time, a *account) {
	t.serveWaiting(now, a)
	mayAsk := a.nextOwner(now) != nil
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if mayAsk && now.Sub(w.since) < maxWait || t.mayHold(now, a, w, len(kept)) {
			kept = append(kept, w)
			continue
		}
		t.refuse(now, a, w)
	}
	a.waiting = kept
	if mayAsk && len(a.waiting) > 0 {
		t.askNext(now, a)
	}
}

// mayHold reports whether a request may wait for a token that does not exist yet, behind
// a number of others: whether one is promised in time, and the others are no more than
// this instance can expect tokens for.
func (t *Throttler) mayHold(now time.Time, a *account, w waiter, ahead int) bool {
	if now.Add(t.nextToken(now, a)).After(w.until) {
		return false
	}
	equalShare := a.quota.Rate / float64(len(t.peers)+1)
	return float64(ahead) < 1+heldFactor*equalShare*w.until.Sub(w.since).Seconds()
}

// serveWaiting grants waiting requests as long as there are tokens, the oldest first.
func (t *Throttler) serveWaiting(now time.Time, a *account) {
	granted := 0
	for granted < len(a.waiting) {
		credit, ok := t.spend(now, a)
		if !ok {
			break
		}
		t.decisions = append(t.decisions, Decision{Verdict: Granted, Ticket: a.waiting[granted].ticket, Credit: credit})
		granted++
	}
	a.waiting = slices.Delete(a.waiting, 0, granted)
}

// spend takes a token that was granted or one of this instance's own share.
func (t *Throttler) spend(now time.Time, a *account) (Credit, bool) {
	if len(a.leases) > 0 {
		if credit, ok := a.takeLease(now); ok {
			a.granted++
			return credit, true
		}
	}
	if a.share == 0 {
		return Credit{}, false
	}
	a.bucket.refill(now, t.accruesFrom, a.rate(), a.size())
	if a.bucket.take(1) == 0 {
		return Credit{}, false
	}
	a.granted++
	return Credit{expires: now.Add(leaseTime)}, true
}

// refuse refuses a waiting request.
func (t *Throttler) refuse(now time.Time, a *account, w waiter) {
	a.refused++
	t.decisions = append(t.decisions, Decision{Verdict: Refused, Ticket: w.ticket, Refusal: t.refusal(now, a)})
}

// refuseAll refuses all waiting requests of an account.
func (t *Throttler) refuseAll(now time.Time, a *account) {
	for _, w := range a.waiting {
		t.refuse(now, a, w)
	}
	a.waiting = a.waiting[:0]
}

// grantAll grants all waiting requests of an account that has no quota any more.
func (t *Throttler) grantAll(a *account) {
	for _, w := range a.waiting {
		t.decisions = append(t.decisions, Decision{Verdict: Granted, Ticket: w.ticket})
	}
	a.waiting = a.waiting[:0]
}

// nextOwner returns the owner to ask next, or nil if none may be asked.
func (a *account) nextOwner(now time.Time) *ownerState {
	if a.crowded >= maxCrowded {
		if now.Before(a.crowdedUntil) {
			return nil
		}
		a.crowded = 0
	}
	for i := range a.owners {
		owner := &a.owners[i]
		if !now.Before(owner.emptyUntil) && !now.Before(owner.peer.silentUntil) {
			return owner
		}
	}
	return nil
}

// askNext asks the next owner of an account, of which there must be one, for what the
// waiting requests need and a few more.
func (t *Throttler) askNext(now time.Time, a *account) {
	p := a.nextOwner(now).peer
	wanted := min(len(a.waiting)+a.demand.expected(), maxWanted)
	a.asking, a.askNonce = true, t.ask(now, p, a, wanted)
}

// ask puts a question to a member and returns its nonce.
func (t *Throttler) ask(now time.Time, p *peer, a *account, wanted int) uint32 {
	t.nonce++
	ask := Ask{Nonce: t.nonce, Wanted: wanted}
	if a != nil {
		ask.Account = a.id
	}
	t.pending = append(t.pending, pendingAsk{nonce: t.nonce, account: a, peer: p, wanted: wanted, sentAt: now})
	t.asks = append(t.asks, OutgoingAsk{To: p.id, Ask: ask})
	return t.nonce
}

// introduce makes a new member ask those that have not confirmed it. Its shares begin
// to accrue once all have.
func (t *Throttler) introduce(now time.Time) {
	if t.standing != New || !now.Before(t.accruesFrom) || now.Sub(t.introducedAt) < confirmInterval {
		return
	}
	t.introducedAt = now
	unconfirmed := 0
	for _, p := range t.order {
		if !p.confirmed {
			unconfirmed++
			t.ask(now, p, nil, 0)
		}
	}
	if unconfirmed == 0 && len(t.domains) > 0 && now.Sub(t.startedAt) >= settleTime {
		t.accruesFrom = now
	}
}
