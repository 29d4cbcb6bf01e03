package runner

import (
	"slices"
	"strings"
	"time"

	"lagoonstile"
)

// lapseGrace is how long after its store's return an entry that vanished
// meanwhile is still used. By then a server that lives has written it again.
const lapseGrace = 1900 * time.Millisecond

// Registry keeps what servers registered of themselves. An entry that vanishes
// while the store is away, or right after its return, may only have lapsed: its
// server could not renew it. It holds until the store has been back for a while.
// The zero value is empty. It is not safe for concurrent use.
type Registry struct {
	entries map[lagoonstile.ServerID]lagoonstile.Backend
	// lapsed lists the entries that are held though they vanished.
	lapsed map[lagoonstile.ServerID]bool
	away   bool
	// backSince is when the store last returned; zero if it was never away.
	backSince time.Time
}

// Put takes a server's entry.
func (r *Registry) Put(backend lagoonstile.Backend) {
	if r.entries == nil {
		r.entries = make(map[lagoonstile.ServerID]lagoonstile.Backend)
		r.lapsed = make(map[lagoonstile.ServerID]bool)
	}
	r.entries[backend.ID] = backend
	delete(r.lapsed, backend.ID)
}

// Remove notes that an entry vanished, or can no longer be read.
func (r *Registry) Remove(now time.Time, id lagoonstile.ServerID) {
	entry, ok := r.entries[id]
	if !ok {
		return
	}
	if !entry.Draining && r.doubtful(now) {
		r.lapsed[id] = true
		return
	}
	delete(r.entries, id)
	delete(r.lapsed, id)
}

// Lost notes that the store does not answer, Regained that it does again.
func (r *Registry) Lost() { r.away = true }

// Regained notes that the store answers again.
func (r *Registry) Regained(now time.Time) {
	if r.away {
		r.away = false
		r.backSince = now
	}
}

// doubtful reports whether an entry that vanishes may only have lapsed.
func (r *Registry) doubtful(now time.Time) bool {
	return r.away || (!r.backSince.IsZero() && now.Sub(r.backSince) < lapseGrace)
}

// Expire drops the entries that did not come back, and reports whether there
// were any.
func (r *Registry) Expire(now time.Time) bool {
	if len(r.lapsed) == 0 || r.doubtful(now) {
		return false
	}
	for id := range r.lapsed {
		delete(r.entries, id)
	}
	clear(r.lapsed)
	return true
}

// Backends returns the servers that are held, sorted by id.
func (r *Registry) Backends() []lagoonstile.Backend {
	backends := make([]lagoonstile.Backend, 0, len(r.entries))
	for _, backend := range r.entries {
		backends = append(backends, backend)
	}
	slices.SortFunc(backends, func(a, b lagoonstile.Backend) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return backends
}
