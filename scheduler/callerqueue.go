package scheduler

import (
	"slices"

	"lagoonstile"
)

// callerQueue holds the waiting tickets of one rank. It serves callers round
// robin and each caller's tickets first in, first out. The zero value is an
// empty queue.
type callerQueue struct {
	// callers lists the callers that have tickets, in round-robin order. The first
	// one is served next.
	callers []lagoonstile.CallerID
	// tickets holds at least one ticket for each caller in callers, and no entry
	// for any other caller.
	tickets map[lagoonstile.CallerID][]*Ticket
	// size is the number of tickets of all callers.
	size int
}

func (q *callerQueue) len() int { return q.size }

// push appends a ticket to those of its caller.
func (q *callerQueue) push(ticket *Ticket) {
	if q.tickets == nil {
		q.tickets = make(map[lagoonstile.CallerID][]*Ticket)
	}
	if len(q.tickets[ticket.Caller]) == 0 {
		q.callers = append(q.callers, ticket.Caller)
	}
	q.tickets[ticket.Caller] = append(q.tickets[ticket.Caller], ticket)
	q.size++
}

// pop removes and returns the oldest ticket of the next caller. The queue must
// not be empty.
func (q *callerQueue) pop() *Ticket {
	caller := q.callers[0]
	q.callers = q.callers[1:]
	tickets := q.tickets[caller]
	ticket := tickets[0]
	q.size--
	if len(tickets) == 1 {
		delete(q.tickets, caller)
		return ticket
	}
	q.tickets[caller] = tickets[1:]
	q.callers = append(q.callers, caller)
	return ticket
}

// remove takes a ticket out of the queue. It does nothing if the ticket is not
// in the queue.
func (q *callerQueue) remove(ticket *Ticket) {
	tickets := q.tickets[ticket.Caller]
	index := slices.Index(tickets, ticket)
	if index < 0 {
		return
	}
	q.replaceTickets(ticket.Caller, slices.Delete(slices.Clone(tickets), index, index+1))
	q.size--
}

// removeIf removes and returns every ticket that satisfies the condition.
func (q *callerQueue) removeIf(condition func(*Ticket) bool) []*Ticket {
	var removed []*Ticket
	for _, caller := range slices.Clone(q.callers) {
		var kept []*Ticket
		for _, ticket := range q.tickets[caller] {
			if condition(ticket) {
				removed = append(removed, ticket)
				continue
			}
			kept = append(kept, ticket)
		}
		q.replaceTickets(caller, kept)
	}
	q.size -= len(removed)
	return removed
}

// replaceTickets replaces the tickets of a caller that is in callers. A caller
// without tickets is removed. It does not update size.
func (q *callerQueue) replaceTickets(caller lagoonstile.CallerID, tickets []*Ticket) {
	if len(tickets) > 0 {
		q.tickets[caller] = tickets
		return
	}
	delete(q.tickets, caller)
	index := slices.Index(q.callers, caller)
	q.callers = slices.Delete(slices.Clone(q.callers), index, index+1)
}
