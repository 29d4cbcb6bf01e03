// Package scheduler decides which waiting request runs next when there are more
// requests than capacity.
//
// Ranks are priority classes. The most urgent rank runs first, but each lower
// rank has a guaranteed share of the capacity, measured in slot time, so that a
// flood of urgent requests does not starve it. The queue is work-conserving: other
// ranks use the part of its share that a rank does not need. Within a rank, callers
// are served round robin, so that a flood from one caller delays only that
// caller's own requests. A request that can no longer meet its deadline is shed
// before one that can, and without delay, so that its caller can send it
// elsewhere.
//
// Shares are enforced by credit, as in deficit round robin (M. Shreedhar and
// G. Varghese, "Efficient Fair Queueing Using Deficit Round Robin", SIGCOMM
// 1995), with slot time in place of bytes. While requests of a rank wait, the
// rank earns its share of the capacity. Each start is charged the mean service
// time, and the difference from the actual service time is settled when the
// request ends. A rank with enough credit for a start runs before more urgent
// ranks.
package scheduler

import (
	"time"

	"lagoonstile"
)

// Shares maps a rank to the fraction of the capacity that it is guaranteed during
// a flood of more urgent requests. The sum of all shares must be less than 1.
type Shares map[lagoonstile.Rank]float64

// DefaultShares leaves most of the capacity to the most urgent rank that has
// requests.
var DefaultShares = Shares{
	lagoonstile.RankLookups:   0.2,
	lagoonstile.RankDownloads: 0.1,
}

// Ticket is one request in the queue.
type Ticket struct {
	Rank     lagoonstile.Rank
	Caller   lagoonstile.CallerID
	Deadline time.Time
	// Decided is for use by the owner of the queue; the queue never reads or writes
	// it.
	Decided chan Decision

	state   state
	started time.Time
	// charged is the credit that was deducted at the start.
	charged time.Duration
}

// state is the position of a ticket in its life cycle.
type state int

const (
	stateNew state = iota
	stateWaiting
	stateRunning
	stateDone
)

// Decision is the result of scheduling a ticket.
type Decision string

// The decisions: run now, wait in the queue, or be rejected (shed).
const (
	DecisionRun  Decision = "run"
	DecisionWait Decision = "wait"
	DecisionShed Decision = "shed"
)

// Action reports the decision on a ticket that was waiting, for the owner of the
// queue to carry out.
type Action struct {
	Ticket   *Ticket
	Decision Decision
}

// Limits of a queue.
const (
	// waitingPerSlot is the maximum number of waiting requests of a rank for each
	// slot of the capacity.
	waitingPerSlot = 8
	// minWaitingLimit is the smallest limit on the waiting requests of a rank. It
	// applies to very small capacities.
	minWaitingLimit = 32
	// maxCreditTime is the time for which a rank can accumulate its unused share.
	maxCreditTime = time.Second
	// maxDebtTime is the time in which a rank earns back its maximum debt. A rank
	// goes into debt when it uses more than its share because no other rank needs
	// the slots. addCredit allows a larger debt to a rank with long requests.
	maxDebtTime = 50 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the exponentially
	// weighted mean service time.
	serviceTimeWeight = 0.05
	// lateScanInterval is the minimum time between searches of a full rank for
	// tickets that can no longer meet their deadline.
	lateScanInterval = 5 * time.Millisecond
)

// Queue schedules tickets. It is not safe for concurrent use.
type Queue struct {
	shares Shares
	// capacity is the maximum number of running tickets, at least 1.
	capacity int
	running  map[lagoonstile.Rank]int
	waiting  map[lagoonstile.Rank]*callerQueue
	// credit is the slot time that each rank has earned and not used. It is
	// negative for a rank that has used more than it earned. addCredit keeps it
	// within its bounds.
	credit map[lagoonstile.Rank]time.Duration
	// accruedUntil is the time up to which credit has been added.
	accruedUntil time.Time
	// meanServiceTime is the exponentially weighted mean service time of each
	// rank, 0 before the first sample.
	meanServiceTime map[lagoonstile.Rank]time.Duration
	// lastLateScan is when each rank was last searched for tickets that can no
	// longer meet their deadline.
	lastLateScan map[lagoonstile.Rank]time.Time
}

// New returns an empty queue with the given capacity in slots. A capacity of less
// than 1 counts as 1.
func New(capacity int, shares Shares) *Queue {
	q := &Queue{
		shares:          shares,
		capacity:        max(capacity, 1),
		running:         make(map[lagoonstile.Rank]int),
		waiting:         make(map[lagoonstile.Rank]*callerQueue),
		credit:          make(map[lagoonstile.Rank]time.Duration),
		meanServiceTime: make(map[lagoonstile.Rank]time.Duration),
		lastLateScan:    make(map[lagoonstile.Rank]time.Time),
	}
	for _, rank := range lagoonstile.Ranks() {
		q.waiting[rank] = &callerQueue{}
	}
	return q
}

// Running returns the number of running tickets.
func (q *Queue) Running() int {
	n := 0
	for _, running := range q.running {
		n += running
	}
	return n
}

// Waiting returns the number of waiting tickets of a rank.
func (q *Queue) Waiting(rank lagoonstile.Rank) int { return q.waiting[rank].len() }

// Capacity returns the maximum number of running tickets.
func (q *Queue) Capacity() int { return q.capacity }

// Submit adds a new ticket and returns the decision on it. The actions list other
// tickets that were shed to make room for it.
func (q *Queue) Submit(now time.Time, ticket *Ticket) (Decision, []Action) {
	q.accrueCredit(now)
	if !q.canMeetDeadline(now, ticket) {
		ticket.state = stateDone
		return DecisionShed, nil
	}
	if q.Running() < q.capacity && q.noneWaiting() {
		q.start(now, ticket)
		return DecisionRun, nil
	}
	queue := q.waiting[ticket.Rank]
	var actions []Action
	if queue.len() >= q.waitingLimit() {
		if now.Sub(q.lastLateScan[ticket.Rank]) >= lateScanInterval {
			actions = q.shedLate(now, ticket.Rank)
		}
		if len(actions) == 0 {
			ticket.state = stateDone
			return DecisionShed, nil
		}
	}
	ticket.state = stateWaiting
	queue.push(ticket)
	return DecisionWait, actions
}

// Release ends a running ticket. It returns the waiting tickets that can now run,
// and those that were shed because they can no longer meet their deadline. It
// does nothing if the ticket is not running.
func (q *Queue) Release(now time.Time, ticket *Ticket) []Action {
	if ticket.state != stateRunning {
		return nil
	}
	q.accrueCredit(now)
	ticket.state = stateDone
	q.running[ticket.Rank]--
	duration := now.Sub(ticket.started)
	q.addCredit(ticket.Rank, ticket.charged-duration)
	q.recordServiceTime(ticket.Rank, duration)
	return q.startWaiting(now)
}

// Cancel removes a waiting ticket from the queue. It returns false if the ticket
// is not waiting; the owner then has to receive the decision already made, so
// that the slot of a ticket that was started is not lost.
func (q *Queue) Cancel(ticket *Ticket) bool {
	if ticket.state != stateWaiting {
		return false
	}
	ticket.state = stateDone
	q.waiting[ticket.Rank].remove(ticket)
	return true
}

// Resize changes the capacity. It returns the waiting tickets that can now run,
// and those that were shed because they can no longer meet their deadline.
func (q *Queue) Resize(now time.Time, capacity int) []Action {
	q.accrueCredit(now)
	q.capacity = max(capacity, 1)
	return q.startWaiting(now)
}

// Expire sheds every waiting ticket that can no longer meet its deadline.
func (q *Queue) Expire(now time.Time) []Action {
	q.accrueCredit(now)
	var actions []Action
	for _, rank := range lagoonstile.Ranks() {
		actions = append(actions, q.shedLate(now, rank)...)
	}
	return actions
}

// startWaiting starts waiting tickets while slots are free, and sheds those that
// can no longer meet their deadline when their turn comes.
func (q *Queue) startWaiting(now time.Time) []Action {
	var actions []Action
	for q.Running() < q.capacity {
		rank, ok := q.nextRank()
		if !ok {
			return actions
		}
		ticket := q.waiting[rank].pop()
		if !q.canMeetDeadline(now, ticket) {
			ticket.state = stateDone
			actions = append(actions, Action{Ticket: ticket, Decision: DecisionShed})
			continue
		}
		q.start(now, ticket)
		actions = append(actions, Action{Ticket: ticket, Decision: DecisionRun})
	}
	return actions
}

// nextRank returns the rank to start a ticket from. Among the ranks with waiting
// tickets and enough credit for a start, that is the one with the most credit in
// proportion to its share. If there is none, it is the most urgent rank with
// waiting tickets. It returns false if no ticket is waiting.
func (q *Queue) nextRank() (lagoonstile.Rank, bool) {
	var best lagoonstile.Rank
	var bestCredit float64
	for _, rank := range lagoonstile.Ranks() {
		if q.waiting[rank].len() == 0 || q.shares[rank] == 0 || q.credit[rank] < q.startCost(rank) {
			continue
		}
		if credit := float64(q.credit[rank]) / q.shares[rank]; credit > bestCredit {
			best, bestCredit = rank, credit
		}
	}
	if bestCredit > 0 {
		return best, true
	}
	for _, rank := range lagoonstile.Ranks() {
		if q.waiting[rank].len() > 0 {
			return rank, true
		}
	}
	return "", false
}

// startCost returns the credit that a rank needs for a start: its mean service
// time. A rank without a sample is assumed to take as long as the rank with the
// longest mean. The cost never exceeds the credit that the rank can accumulate;
// otherwise the rank could never start a ticket by credit.
func (q *Queue) startCost(rank lagoonstile.Rank) time.Duration {
	cost := q.meanServiceTime[rank]
	if cost == 0 {
		for _, mean := range q.meanServiceTime {
			cost = max(cost, mean)
		}
	}
	return min(cost, q.maxCredit(rank))
}

// maxCredit returns the maximum credit that a rank can accumulate.
func (q *Queue) maxCredit(rank lagoonstile.Rank) time.Duration {
	return time.Duration(q.shares[rank] * float64(q.capacity) * float64(maxCreditTime))
}

// accrueCredit adds the credit that each rank has earned up to now.
func (q *Queue) accrueCredit(now time.Time) {
	elapsed := now.Sub(q.accruedUntil)
	q.accruedUntil = now
	for rank, share := range q.shares {
		if q.waiting[rank].len() == 0 {
			// A rank without waiting tickets loses its credit and its debt.
			q.credit[rank] = 0
			continue
		}
		q.addCredit(rank, time.Duration(share*float64(q.capacity)*float64(elapsed)))
	}
}

// addCredit adds the amount, which may be negative, to the credit of a rank and
// clamps the result. The lower bound allows a debt of at least two mean service
// times; otherwise a rank with long requests would get more than its share.
func (q *Queue) addCredit(rank lagoonstile.Rank, amount time.Duration) {
	entitledSlots := q.shares[rank] * float64(q.capacity)
	minCredit := -max(time.Duration(entitledSlots*float64(maxDebtTime)), 2*q.meanServiceTime[rank])
	q.credit[rank] = min(max(q.credit[rank]+amount, minCredit), q.maxCredit(rank))
}

// start marks a ticket as running and deducts the mean service time from the
// credit of its rank.
func (q *Queue) start(now time.Time, ticket *Ticket) {
	ticket.state = stateRunning
	ticket.started = now
	ticket.charged = q.meanServiceTime[ticket.Rank]
	q.running[ticket.Rank]++
	q.addCredit(ticket.Rank, -ticket.charged)
}

// shedLate sheds the waiting tickets of a rank that can no longer meet their
// deadline.
func (q *Queue) shedLate(now time.Time, rank lagoonstile.Rank) []Action {
	q.lastLateScan[rank] = now
	late := q.waiting[rank].removeIf(func(ticket *Ticket) bool { return !q.canMeetDeadline(now, ticket) })
	actions := make([]Action, 0, len(late))
	for _, ticket := range late {
		ticket.state = stateDone
		actions = append(actions, Action{Ticket: ticket, Decision: DecisionShed})
	}
	return actions
}

// canMeetDeadline reports whether the ticket is likely to end before its deadline
// if it runs now. It assumes only half the mean service time, because the mean over
// a mix of short and long requests overestimates the short ones.
func (q *Queue) canMeetDeadline(now time.Time, ticket *Ticket) bool {
	return now.Add(q.meanServiceTime[ticket.Rank] / 2).Before(ticket.Deadline)
}

// recordServiceTime updates the mean service time of a rank.
func (q *Queue) recordServiceTime(rank lagoonstile.Rank, duration time.Duration) {
	if q.meanServiceTime[rank] == 0 {
		q.meanServiceTime[rank] = duration
		return
	}
	q.meanServiceTime[rank] += time.Duration(serviceTimeWeight * float64(duration-q.meanServiceTime[rank]))
}

// noneWaiting reports whether no ticket of any rank is waiting.
func (q *Queue) noneWaiting() bool {
	for _, queue := range q.waiting {
		if queue.len() > 0 {
			return false
		}
	}
	return true
}

// waitingLimit returns the maximum number of waiting tickets of a rank.
func (q *Queue) waitingLimit() int {
	return max(waitingPerSlot*q.capacity, minWaitingLimit)
}
