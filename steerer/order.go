package steerer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lagoonstile"
)

// Parameters of the order in which waiting tickets are granted servers.
const (
	// lateShare is the fraction, as one in so many, of the grants that late tickets
	// have precedence for. The others go to tickets that can still be on time, since
	// work that is late anyway would otherwise make all work behind it late. Without
	// a share of their own, late tickets would starve.
	lateShare = 4
	// serviceFactor is the time that a response is expected to take, as a multiple of
	// the mean latency, when a ticket is judged to be late.
	serviceFactor = 1.6
	// accountMemory is the time constant over which the grants to an account count
	// against it, and maxAccounts the number of accounts above which those with hardly
	// any are forgotten.
	accountMemory = 500 * time.Millisecond
	maxAccounts   = 1024
	// minServiceFraction is the fraction of the mean latency that must be left before
	// the deadline for a response to be possible.
	minServiceFraction = 0.6
)

// isLate reports whether a request that is sent now is not expected to be answered
// on time.
func (s *Service) isLate(now time.Time, ticket *Ticket) bool {
	return !ticket.OnTimeUntil.IsZero() && now.After(s.sendBy(ticket))
}

// sendBy returns the latest time at which a request can be sent and is expected to
// be answered on time. The ticket must have OnTimeUntil.
func (s *Service) sendBy(ticket *Ticket) time.Time {
	return ticket.OnTimeUntil.Add(-time.Duration(serviceFactor * float64(s.meanLatency)))
}

// isHopeless reports whether a request that is sent now can't be answered before its
// deadline.
func (s *Service) isHopeless(now time.Time, ticket *Ticket) bool {
	least := time.Duration(minServiceFraction * float64(s.meanLatency))
	return now.Add(least).After(ticket.Deadline)
}

// inOrder returns the waiting tickets in the order in which they are granted servers:
// by priority, within a priority those that can be on time before late ones, each by
// the turns of their accounts, and then by arrival. One grant in lateShare goes to late
// tickets first.
func (s *Service) inOrder(now time.Time) []*Ticket {
	order := make([]*Ticket, 0, len(s.waiting))
	for rest := s.waiting; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].Priority == rest[0].Priority {
			n++
		}
		order = s.appendInOrder(now, order, rest[:n])
		rest = rest[n:]
	}
	return order
}

// appendInOrder appends tickets of one priority, which are sorted by arrival.
func (s *Service) appendInOrder(now time.Time, order, tickets []*Ticket) []*Ticket {
	lateFirst := s.grants%lateShare == lateShare-1
	turns := s.turnsOf(now, tickets)
	for _, late := range []bool{lateFirst, !lateFirst} {
		first := len(order)
		for _, ticket := range tickets {
			if s.isLate(now, ticket) == late {
				order = append(order, ticket)
			}
		}
		if turns != nil {
			slices.SortStableFunc(order[first:], func(a, b *Ticket) int { return cmp.Compare(turns[a], turns[b]) })
		}
	}
	return order
}

// turnsOf returns, for each ticket of one priority, how many requests of its account
// count before it: those granted servers lately and those that wait longer. In the order
// of these numbers, accounts that wait get as many servers each, and one that is alone
// gets all. Tickets without an account come first. It returns nil if none has one.
func (s *Service) turnsOf(now time.Time, tickets []*Ticket) map[*Ticket]float64 {
	var turns map[*Ticket]float64
	var next map[lagoonstile.CallerID]float64
	for _, ticket := range tickets {
		account := ticket.Account
		if account == "" {
			continue
		}
		if turns == nil {
			turns, next = make(map[*Ticket]float64, len(tickets)), make(map[lagoonstile.CallerID]float64)
		}
		if _, known := next[account]; !known {
			next[account] = s.grantedLately(now, account)
		}
		turns[ticket] = next[account]
		next[account]++
	}
	return turns
}

// noteGrant counts a grant to an account.
func (s *Service) noteGrant(now time.Time, account lagoonstile.CallerID) {
	if account == "" {
		return
	}
	if s.accounts == nil {
		s.accounts = make(map[lagoonstile.CallerID]recentGrants)
	}
	if len(s.accounts) >= maxAccounts {
		maps.DeleteFunc(s.accounts, func(_ lagoonstile.CallerID, r recentGrants) bool { return r.at(now) < 1 })
	}
	s.accounts[account] = recentGrants{count: s.grantedLately(now, account) + 1, countedAt: now}
}

func (s *Service) grantedLately(now time.Time, account lagoonstile.CallerID) float64 {
	return s.accounts[account].at(now)
}

// recentGrants is a count of grants that decays with the time constant accountMemory.
type recentGrants struct {
	count     float64
	countedAt time.Time
}

func (r recentGrants) at(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.countedAt).Seconds()/accountMemory.Seconds())
}

// waitingPrecedes reports whether a waiting ticket precedes the given one.
func (s *Service) waitingPrecedes(now time.Time, ticket *Ticket) bool {
	late := s.isLate(now, ticket)
	for _, other := range s.waiting {
		if !precedes(other, ticket) {
			return false
		}
		if other.Priority < ticket.Priority || late || !s.isLate(now, other) {
			return true
		}
	}
	return false
}

// queueAhead counts the waiting tickets that are granted servers before another one.
type queueAhead struct {
	// onTime counts those that can be on time and those of higher priority, late the
	// late ones of the same priority.
	onTime, late int
}

// aheadOf returns the waiting tickets ahead of the given one.
func (s *Service) aheadOf(now time.Time, ticket *Ticket) queueAhead {
	var ahead queueAhead
	turns := s.turnsWith(now, ticket)
	for _, other := range s.waiting {
		switch {
		case other == ticket || !s.isAhead(other, ticket, turns):
		case other.Priority < ticket.Priority || !s.isLate(now, other):
			ahead.onTime++
		default:
			ahead.late++
		}
	}
	return ahead
}

// turnsWith returns the turns of the waiting tickets of a ticket's priority and of the
// ticket itself, or nil if none of them has an account.
func (s *Service) turnsWith(now time.Time, ticket *Ticket) map[*Ticket]float64 {
	hasAccount := func(other *Ticket) bool { return other.Account != "" }
	if !hasAccount(ticket) && !slices.ContainsFunc(s.waiting, hasAccount) {
		return nil
	}
	var tickets []*Ticket
	for _, other := range s.waiting {
		if other.Priority == ticket.Priority && other != ticket {
			tickets = append(tickets, other)
		}
	}
	at, _ := slices.BinarySearchFunc(tickets, ticket, compareTickets)
	return s.turnsOf(now, slices.Insert(tickets, at, ticket))
}

// isAhead reports whether a waiting ticket is granted a server before another one that
// is as likely to be on time, given the turns of those of the latter's priority.
func (s *Service) isAhead(a, b *Ticket, turns map[*Ticket]float64) bool {
	if a.Priority == b.Priority && turns != nil && turns[a] != turns[b] {
		return turns[a] < turns[b]
	}
	return precedes(a, b)
}

// grantsBefore returns how many grants are expected before that of a ticket with
// the given queue ahead of it.
func (q queueAhead) grantsBefore(late bool) int {
	if late {
		return q.onTime + q.late
	}
	return q.onTime + min(q.late, q.onTime/(lateShare-1))
}
