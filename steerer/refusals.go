package steerer

// ticketKind is what the choice of a server depends on besides the tolerance, for
// tickets whose request was not sent to any server yet.
type ticketKind struct {
	idempotent, large bool
}

// refusals remembers, while waiting tickets are granted servers, which tickets
// found none. Meanwhile slots are only taken, so a ticket of the same kind with the
// same or a lower tolerance finds none either. The zero value is empty.
type refusals struct {
	// highest maps a kind to the highest tolerance that was too low.
	highest map[ticketKind]float64
}

func (r *refusals) add(ticket *Ticket, tolerance float64) {
	if len(ticket.Tried) > 0 {
		return
	}
	if r.highest == nil {
		r.highest = make(map[ticketKind]float64)
	}
	kind := kindOf(ticket)
	r.highest[kind] = max(r.highest[kind], tolerance)
}

// covers reports whether it is known that a ticket finds no server. A ticket that
// was sent to servers before has fewer servers to choose from than one that was not.
func (r *refusals) covers(ticket *Ticket, tolerance float64) bool {
	highest, known := r.highest[kindOf(ticket)]
	return known && tolerance <= highest
}

func kindOf(ticket *Ticket) ticketKind {
	return ticketKind{idempotent: ticket.Idempotent, large: ticket.Large}
}
