package steerer

import (
	"slices"
	"time"
)

// Bounds of what is foretold of a wait.
const (
	// paceGrants is how many grants the pace is taken from, and paceMemory how long
	// they count.
	paceGrants = 8
	paceMemory = 3 * time.Second
	// certain is the part of a foretold wait that is taken for sure.
	certain = 0.6
	// noServerWait is when a service without a server for a request may have one.
	noServerWait = time.Second
	// leastWait is the shortest time after which to come back.
	leastWait = 300 * time.Millisecond
)

// pace is when the last waiting tickets got servers. The zero value knows none.
type pace struct {
	grants []time.Time
}

func (p *pace) granted(now time.Time) {
	p.grants = append(p.grants, now)
	if len(p.grants) > paceGrants {
		p.grants = slices.Delete(p.grants, 0, 1)
	}
}

// gap returns the mean time between grants; false when too few are known.
func (p *pace) gap(now time.Time) (time.Duration, bool) {
	if len(p.grants) < paceGrants || now.Sub(p.grants[0]) > paceMemory {
		return 0, false
	}
	return now.Sub(p.grants[0]) / paceGrants, true
}

// Outlook returns how long a ticket is likely to wait with so many ahead of it.
func (s *Service) Outlook(now time.Time, ahead int) time.Duration {
	gap, known := s.pace.gap(now)
	if !known {
		return leastWait
	}
	return max(time.Duration(ahead+1)*gap, leastWait)
}

// refuse reports whether no server will come in time for a ticket with so many
// ahead of it: because all had it, or because it would wait for too long. An
// instance that has just started may hear of the servers any moment.
func (s *Service) refuse(now time.Time, ticket *Ticket, ahead int) bool {
	if s.hadServers && !s.hasServerFor(ticket) {
		ticket.Refused, ticket.Wait = true, noServerWait
		return true
	}
	wait := s.Outlook(now, ahead)
	if ahead < paceGrants || time.Duration(certain*float64(wait)) <= ticket.Until.Sub(now) {
		return false
	}
	ticket.Refused, ticket.Wait = true, wait
	return true
}

// hasServerFor reports whether some server has not had the ticket's request.
func (s *Service) hasServerFor(ticket *Ticket) bool {
	for _, server := range s.order {
		if !server.entry.Draining && !server.gone && !slices.Contains(ticket.Tried, server) {
			return true
		}
	}
	return false
}
