// Package scheduler decides which waiting request runs next when there is more
// work than capacity.
//
// Urgent ranks go first, but each lower rank has a guaranteed share of the
// capacity, measured in slot time, so that a flood of urgent work does not
// starve it. Shares that a rank does not use go to the others: the queue is
// work-conserving. Within a rank, callers take turns, so one caller's flood
// waits behind itself. A request that can no longer meet its deadline is shed
// before one that can, and at once, so that its caller may go elsewhere.
//
// Shares are kept by credit in the manner of deficit round robin (M. Shreedhar
// and G. Varghese, "Efficient Fair Queueing Using Deficit Round Robin",
// SIGCOMM 1995), with slot time in place of bytes: while a rank waits, it earns
// its share of the capacity, and it pays the mean service time for each start
// and the difference to the real one at the end. A rank that has earned a start
// goes before more urgent ones.
package scheduler

import (
	"time"

	"lagoonstile"
)

// Shares maps a rank to the share of capacity that it keeps in a flood of more
// urgent work. Their sum is under 1.
type Shares map[lagoonstile.Rank]float64

// DefaultShares leave most of the capacity to whatever is most urgent.
var DefaultShares = Shares{
	lagoonstile.RankLookups:   0.2,
	lagoonstile.RankDownloads: 0.1,
}

// Ticket is one request in the queue.
type Ticket struct {
	Rank     lagoonstile.Rank
	Caller   lagoonstile.CallerID
	Deadline time.Time
	// Grant is for the owner of the queue; the queue does not touch it.
	Grant chan Decision

	state   state
	started time.Time
	// paid is the credit that the start cost.
	paid time.Duration
}

type state int

const (
	stateNew state = iota
	stateWaiting
	stateRunning
	stateDone
)

// Decision is what becomes of a ticket.
type Decision string

// The decisions.
const (
	DecisionRun  Decision = "run"
	DecisionWait Decision = "wait"
	DecisionShed Decision = "shed"
)

// Action tells the owner of the queue that a waiting ticket was decided on.
type Action struct {
	Ticket   *Ticket
	Decision Decision
}

// Limits of a queue.
const (
	// waitingPerSlot bounds how many requests of a rank wait for each slot.
	waitingPerSlot = 8
	// minWaiting is the bound for very small capacities.
	minWaiting = 32
	// creditSpan bounds how much unused share a rank may save up.
	creditSpan = time.Second
	// debtSpan bounds how long a rank pays for slots that nobody else wanted.
	debtSpan = 50 * time.Millisecond
	// smoothing is the weight of a new sample in the mean service time.
	smoothing = 0.05
	// lateInterval is how often a full queue looks for tickets that are late.
	lateInterval = 5 * time.Millisecond
)

// Queue is the state of one scheduler. It is not safe for concurrent use.
type Queue struct {
	shares Shares
	// capacity is how many tickets may run at once. Never under 1.
	capacity int
	running  map[lagoonstile.Rank]int
	waiting  map[lagoonstile.Rank]*callerQueue
	// credit is slot time that a rank has earned and not used. Kept within
	// creditSpan and debtSpan times its share of the capacity.
	credit map[lagoonstile.Rank]time.Duration
	// accounted is the time up to which credit has been settled.
	accounted time.Time
	// mean is the smoothed service time of each rank.
	mean map[lagoonstile.Rank]time.Duration
	// lookedForLate is when a full rank was last searched for late tickets.
	lookedForLate map[lagoonstile.Rank]time.Time
}

// New returns an empty queue.
func New(capacity int, shares Shares) *Queue {
	q := &Queue{
		shares:   shares,
		capacity: max(capacity, 1),
		running:  make(map[lagoonstile.Rank]int),
		waiting:  make(map[lagoonstile.Rank]*callerQueue),
		credit:   make(map[lagoonstile.Rank]time.Duration),
		mean:     make(map[lagoonstile.Rank]time.Duration),

		lookedForLate: make(map[lagoonstile.Rank]time.Time),
	}
	for _, rank := range lagoonstile.Ranks() {
		q.waiting[rank] = &callerQueue{}
	}
	return q
}

// Running returns how many tickets run.
func (q *Queue) Running() int {
	n := 0
	for _, running := range q.running {
		n += running
	}
	return n
}

// Waiting returns how many tickets of a rank wait.
func (q *Queue) Waiting(rank lagoonstile.Rank) int { return q.waiting[rank].len() }

// Capacity returns how many tickets may run at once.
func (q *Queue) Capacity() int { return q.capacity }

// Arrive takes a new ticket and returns its decision. Actions tell of other
// tickets that were shed for it.
func (q *Queue) Arrive(now time.Time, ticket *Ticket) (Decision, []Action) {
	q.settle(now)
	if !q.canMeet(now, ticket) {
		ticket.state = stateDone
		return DecisionShed, nil
	}
	if q.Running() < q.capacity && q.nobodyWaits() {
		q.start(now, ticket)
		return DecisionRun, nil
	}
	queue := q.waiting[ticket.Rank]
	var actions []Action
	if queue.len() >= q.waitingLimit() {
		if now.Sub(q.lookedForLate[ticket.Rank]) >= lateInterval {
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

// Release ends a running ticket and returns the tickets that it makes room
// for, and those found too late on the way.
func (q *Queue) Release(now time.Time, ticket *Ticket) []Action {
	if ticket.state != stateRunning {
		return nil
	}
	q.settle(now)
	ticket.state = stateDone
	q.running[ticket.Rank]--
	took := now.Sub(ticket.started)
	q.earn(ticket.Rank, ticket.paid-took)
	q.observe(ticket.Rank, took)
	return q.fill(now)
}

// Cancel takes a waiting ticket out of the queue. It reports false when the
// ticket does not wait, so that a grant under way is not lost.
func (q *Queue) Cancel(ticket *Ticket) bool {
	if ticket.state != stateWaiting {
		return false
	}
	ticket.state = stateDone
	q.waiting[ticket.Rank].remove(ticket)
	return true
}

// Resize changes the capacity and returns the tickets that now may run.
func (q *Queue) Resize(now time.Time, capacity int) []Action {
	q.settle(now)
	q.capacity = max(capacity, 1)
	return q.fill(now)
}

// Expire sheds every waiting ticket that can no longer meet its deadline.
func (q *Queue) Expire(now time.Time) []Action {
	q.settle(now)
	var actions []Action
	for _, rank := range lagoonstile.Ranks() {
		actions = append(actions, q.shedLate(now, rank)...)
	}
	return actions
}

// fill starts waiting tickets while there is room.
func (q *Queue) fill(now time.Time) []Action {
	var actions []Action
	for q.Running() < q.capacity {
		rank, ok := q.nextRank()
		if !ok {
			return actions
		}
		ticket := q.waiting[rank].pop()
		if !q.canMeet(now, ticket) {
			ticket.state = stateDone
			actions = append(actions, Action{Ticket: ticket, Decision: DecisionShed})
			continue
		}
		q.start(now, ticket)
		actions = append(actions, Action{Ticket: ticket, Decision: DecisionRun})
	}
	return actions
}

// nextRank returns the waiting rank with the most credit for its share among
// those that have earned a start, or else the most urgent waiting rank.
func (q *Queue) nextRank() (lagoonstile.Rank, bool) {
	var best lagoonstile.Rank
	var bestCredit float64
	for _, rank := range lagoonstile.Ranks() {
		if q.waiting[rank].len() == 0 || q.shares[rank] == 0 || q.credit[rank] < q.cost(rank) {
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

// cost returns the credit that a start takes. A rank that has not run yet is
// taken to cost as much as the longest one; and no cost is more than a rank can
// save up.
func (q *Queue) cost(rank lagoonstile.Rank) time.Duration {
	cost := q.mean[rank]
	if cost == 0 {
		for _, mean := range q.mean {
			cost = max(cost, mean)
		}
	}
	return min(cost, q.most(rank))
}

// most returns the credit that a rank may save up.
func (q *Queue) most(rank lagoonstile.Rank) time.Duration {
	return time.Duration(q.shares[rank] * float64(q.capacity) * float64(creditSpan))
}

// settle brings the credit of each rank up to now.
func (q *Queue) settle(now time.Time) {
	elapsed := now.Sub(q.accounted)
	q.accounted = now
	for rank, share := range q.shares {
		if q.waiting[rank].len() == 0 {
			// A rank that wants nothing saves nothing up.
			q.credit[rank] = 0
			continue
		}
		q.earn(rank, time.Duration(share*float64(q.capacity)*float64(elapsed)))
	}
}

// earn changes the credit of a rank within its bounds. The debt must have room
// for a few starts, or a rank with long requests would get more than its share.
func (q *Queue) earn(rank lagoonstile.Rank, amount time.Duration) {
	entitled := q.shares[rank] * float64(q.capacity)
	least := -max(time.Duration(entitled*float64(debtSpan)), 2*q.mean[rank])
	q.credit[rank] = min(max(q.credit[rank]+amount, least), q.most(rank))
}

func (q *Queue) start(now time.Time, ticket *Ticket) {
	ticket.state = stateRunning
	ticket.started = now
	ticket.paid = q.mean[ticket.Rank]
	q.running[ticket.Rank]++
	q.earn(ticket.Rank, -ticket.paid)
}

// shedLate sheds the waiting tickets of a rank that cannot meet their deadline.
func (q *Queue) shedLate(now time.Time, rank lagoonstile.Rank) []Action {
	q.lookedForLate[rank] = now
	late := q.waiting[rank].removeIf(func(ticket *Ticket) bool { return !q.canMeet(now, ticket) })
	actions := make([]Action, 0, len(late))
	for _, ticket := range late {
		ticket.state = stateDone
		actions = append(actions, Action{Ticket: ticket, Decision: DecisionShed})
	}
	return actions
}

// canMeet reports whether the ticket would end in time if it ran now. It asks
// for half the mean service time only: the mean of a mix of short and long
// requests says little of a short one.
func (q *Queue) canMeet(now time.Time, ticket *Ticket) bool {
	return now.Add(q.mean[ticket.Rank] / 2).Before(ticket.Deadline)
}

func (q *Queue) observe(rank lagoonstile.Rank, duration time.Duration) {
	if q.mean[rank] == 0 {
		q.mean[rank] = duration
		return
	}
	q.mean[rank] += time.Duration(smoothing * float64(duration-q.mean[rank]))
}

func (q *Queue) nobodyWaits() bool {
	for _, queue := range q.waiting {
		if queue.len() > 0 {
			return false
		}
	}
	return true
}

func (q *Queue) waitingLimit() int {
	return max(waitingPerSlot*q.capacity, minWaiting)
}
