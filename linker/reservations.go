package linker

import (
	"sync"
	"time"

	"lagoonstile"
)

const (
	// maxUnaskedBytes is the size of the largest body that is sent to a peer without
	// asking it for room.
	maxUnaskedBytes = 16 << 10
	// reservationTimeout is how long a peer keeps room for an order that does not come.
	reservationTimeout = 10 * time.Second
)

// reservationID identifies a reservation by the peer that asked for it and its call.
type reservationID struct {
	peer lagoonstile.InstanceID
	call uint64
}

// reservations holds the room that was reserved for the orders of peers. The zero value
// is ready to use.
type reservations struct {
	mu sync.Mutex
	// open holds the reservations whose orders have not arrived. A reservation is
	// released by whoever removes it.
	open map[reservationID]func()
}

// add keeps a reservation until its order arrives, at most for reservationTimeout.
func (r *reservations) add(id reservationID, release func()) {
	r.mu.Lock()
	if r.open == nil {
		r.open = make(map[reservationID]func())
	}
	earlier := r.open[id]
	r.open[id] = release
	r.mu.Unlock()
	if earlier != nil {
		earlier()
	}
	time.AfterFunc(reservationTimeout, func() {
		if expired := r.take(id); expired != nil {
			expired()
		}
	})
}

// take removes a reservation and returns the function that releases it, or nil if there
// is none.
func (r *reservations) take(id reservationID) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	release := r.open[id]
	delete(r.open, id)
	return release
}
