package scheduler

import (
	"slices"

	"lagoonstile"
)

// callerQueue is the waiting tickets of one rank. Callers take turns; each
// caller's tickets keep their order. The zero value is empty.
type callerQueue struct {
	// turns lists the callers that have tickets, the next one first.
	turns []lagoonstile.CallerID
	// tickets holds at least one ticket for each caller in turns, and nothing
	// for any other.
	tickets map[lagoonstile.CallerID][]*Ticket
	size    int
}

func (q *callerQueue) len() int { return q.size }

func (q *callerQueue) push(ticket *Ticket) {
	if q.tickets == nil {
		q.tickets = make(map[lagoonstile.CallerID][]*Ticket)
	}
	if len(q.tickets[ticket.Caller]) == 0 {
		q.turns = append(q.turns, ticket.Caller)
	}
	q.tickets[ticket.Caller] = append(q.tickets[ticket.Caller], ticket)
	q.size++
}

// pop takes the next ticket of the caller whose turn it is. The queue must not
// be empty.
func (q *callerQueue) pop() *Ticket {
	caller := q.turns[0]
	q.turns = q.turns[1:]
	own := q.tickets[caller]
	ticket := own[0]
	q.size--
	if len(own) == 1 {
		delete(q.tickets, caller)
		return ticket
	}
	q.tickets[caller] = own[1:]
	q.turns = append(q.turns, caller)
	return ticket
}

func (q *callerQueue) remove(ticket *Ticket) {
	own := q.tickets[ticket.Caller]
	at := slices.Index(own, ticket)
	if at < 0 {
		return
	}
	q.keep(ticket.Caller, slices.Delete(slices.Clone(own), at, at+1))
	q.size--
}

// removeIf takes out every ticket that the condition holds for.
func (q *callerQueue) removeIf(condition func(*Ticket) bool) []*Ticket {
	var removed []*Ticket
	for _, caller := range slices.Clone(q.turns) {
		var kept []*Ticket
		for _, ticket := range q.tickets[caller] {
			if condition(ticket) {
				removed = append(removed, ticket)
				continue
			}
			kept = append(kept, ticket)
		}
		q.keep(caller, kept)
	}
	q.size -= len(removed)
	return removed
}

// keep replaces the tickets of a caller that has a turn.
func (q *callerQueue) keep(caller lagoonstile.CallerID, tickets []*Ticket) {
	if len(tickets) > 0 {
		q.tickets[caller] = tickets
		return
	}
	delete(q.tickets, caller)
	at := slices.Index(q.turns, caller)
	q.turns = slices.Delete(slices.Clone(q.turns), at, at+1)
}
