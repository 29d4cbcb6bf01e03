package runner

import (
	"context"
	"math/rand/v2"
	"net/url"
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/recorder"
	"lagoonstile/throttler"
)

// recordedAccounts is the number of accounts with metrics of their own.
const recordedAccounts = 20

// quotas shares one throttler.Throttler between the goroutines that serve requests and
// those that exchange messages with peers.
type quotas struct {
	self lagoonstile.InstanceID
	// send sends a message to a member. It does not wait.
	send func(to lagoonstile.InstanceID, message throttler.Message)

	mu        sync.Mutex
	throttler *throttler.Throttler
	// waiting holds a channel with room for one decision for each waiting request.
	waiting map[throttler.Ticket]chan throttler.Decision
	// knowsStanding is true once the first list of members has shown whether this
	// instance was announced before.
	knowsStanding bool
}

var _ throttler.Quotas = (*quotas)(nil)

// newQuotas returns the quotas of an instance. fleetStart tells whether the whole fleet
// starts for the first time.
func newQuotas(self lagoonstile.InstanceID, domain lagoonstile.FailureDomain, fleetStart bool, send func(lagoonstile.InstanceID, throttler.Message)) *quotas {
	q := &quotas{
		self:      self,
		send:      send,
		throttler: throttler.NewThrottler(time.Now(), self, domain, rand.Uint32()),
		waiting:   make(map[throttler.Ticket]chan throttler.Decision),
	}
	if fleetStart {
		q.knowsStanding = true
		q.throttler.SetStanding(throttler.Founding)
	}
	return q
}

// setAccounts puts the accounts of a plan in force.
func (q *quotas) setAccounts(accounts []lagoonstile.Account) {
	q.mu.Lock()
	q.throttler.SetAccounts(time.Now(), accounts)
	q.unlockAndSend()
}

// setMembers replaces the announced members. The first list has this instance in it
// unless it was never announced before.
func (q *quotas) setMembers(members []lagoonstile.Member) {
	q.mu.Lock()
	if !q.knowsStanding {
		q.knowsStanding = true
		q.throttler.SetStanding(standingAmong(members, q.self))
	}
	q.throttler.SetMembers(time.Now(), members)
	q.unlockAndSend()
}

// standingAmong returns the standing of an instance that starts and finds some
// members announced.
func standingAmong(members []lagoonstile.Member, self lagoonstile.InstanceID) throttler.Standing {
	for i := range members {
		if members[i].ID == self {
			return throttler.Returning
		}
	}
	return throttler.New
}

// Draw draws the credit for one request of an account. It may wait for the answers of
// some owners of the account's quota.
func (q *quotas) Draw(ctx context.Context, account *lagoonstile.Account, until time.Time) (throttler.Credit, *throttler.Refusal) {
	q.mu.Lock()
	decision := q.throttler.Draw(time.Now(), account.ID, until)
	if decision.Verdict != throttler.Waiting {
		q.mu.Unlock()
		return result(decision)
	}
	decided := make(chan throttler.Decision, 1)
	q.waiting[decision.Ticket] = decided
	q.unlockAndSend()
	select {
	case made := <-decided:
		return result(made)
	case <-ctx.Done():
		return q.cancel(account, decision.Ticket, decided)
	}
}

// result converts a decision that was made to the result of Draw.
func result(decision throttler.Decision) (throttler.Credit, *throttler.Refusal) {
	if decision.Verdict == throttler.Granted {
		return decision.Credit, nil
	}
	refusal := decision.Refusal
	return throttler.Credit{}, &refusal
}

// cancel ends the wait of a request whose context has ended.
func (q *quotas) cancel(account *lagoonstile.Account, ticket throttler.Ticket, decided <-chan throttler.Decision) (throttler.Credit, *throttler.Refusal) {
	q.mu.Lock()
	defer q.unlockAndSend()
	delete(q.waiting, ticket)
	select {
	case made := <-decided:
		return result(made)
	default:
		q.throttler.Cancel(account.ID, ticket)
		return throttler.Credit{}, &throttler.Refusal{Quota: account.Quota}
	}
}

// Return gives back the credit of a request that did not run.
func (q *quotas) Return(account *lagoonstile.Account, credit throttler.Credit) {
	q.mu.Lock()
	q.throttler.Return(time.Now(), account.ID, credit)
	q.unlockAndSend()
}

// quotasTickInterval is the interval between two calls of tick.
const quotasTickInterval = 20 * time.Millisecond

// run calls tick until the context ends.
func (q *quotas) run(ctx context.Context) {
	for sleep(ctx, quotasTickInterval) {
		q.tick()
	}
}

// tick does what is due.
func (q *quotas) tick() {
	q.mu.Lock()
	q.throttler.Tick(time.Now())
	q.unlockAndSend()
}

// receive answers a member's questions and applies its answers.
func (q *quotas) receive(from lagoonstile.InstanceID, message throttler.Message) {
	now := time.Now()
	var answers []throttler.Answer
	q.mu.Lock()
	for _, ask := range message.Asks {
		if answer, known := q.throttler.Answer(now, from, ask); known {
			answers = append(answers, answer)
		}
	}
	for _, answer := range message.Answers {
		q.throttler.Receive(now, from, answer)
	}
	q.unlockAndSend()
	if len(answers) > 0 {
		q.send(from, throttler.Message{Answers: answers})
	}
}

// unlockAndSend passes on the decisions that were made, releases q.mu, and sends the
// questions that arose.
func (q *quotas) unlockAndSend() {
	for _, decision := range q.throttler.TakeDecisions() {
		if decided := q.waiting[decision.Ticket]; decided != nil {
			delete(q.waiting, decision.Ticket)
			decided <- decision
		}
	}
	asks := q.throttler.TakeAsks()
	q.mu.Unlock()
	for _, ask := range asks {
		q.send(ask.To, throttler.Message{Asks: []throttler.Ask{ask.Ask}})
	}
}

// usages returns the use of all quotas, those with the most requests first.
func (q *quotas) usages() []throttler.Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.throttler.Usages()
}

// writeMetrics records the use of the quotas of the recordedAccounts accounts that
// asked for most here, and the sum of the others.
func (q *quotas) writeMetrics(r *recorder.Recorder) {
	usages := q.usages()
	gauges := make(map[string]int64)
	var others throttler.Usage
	for i, usage := range usages {
		if i >= recordedAccounts {
			others.Granted += usage.Granted
			others.Refused += usage.Refused
			continue
		}
		name := url.PathEscape(string(usage.Account)) // Metrics are lines of words.
		gauges[name+".granted"] = usage.Granted
		gauges[name+".refused"] = usage.Refused
	}
	r.ReplaceGauges("accounts.", gauges)
	r.SetGauge("other-accounts.granted", others.Granted)
	r.SetGauge("other-accounts.refused", others.Refused)
}
