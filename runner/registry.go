package runner

import (
	"slices"
	"strings"
	"time"

	"lagoonstile"
)

// lapseGrace is the time after an outage of the store during which the registry
// still keeps vanished entries. At its end, every live server has written its entry
// again.
const lapseGrace = 1900 * time.Millisecond

// Registry holds the entries that servers registered in the store. An entry that
// vanishes while the store is unavailable or shortly afterwards may only have
// lapsed because its server could not renew it. The registry keeps such an entry
// until lapseGrace has passed since the store became available again. The zero
// value is empty. It is not safe for concurrent use.
type Registry struct {
	entries map[lagoonstile.ServerID]lagoonstile.Backend
	// lapsed holds the ids of the entries that vanished but are still kept.
	lapsed map[lagoonstile.ServerID]bool
	// held holds entries that call a server ready although it was draining in the same
	// run. They may be from before the store lost the later entry.
	held map[lagoonstile.ServerID]lagoonstile.Backend
	// storeDown is true from StoreLost to StoreRegained.
	storeDown bool
	// storeRestoredAt is when the store last became available again, or zero if it
	// never was unavailable.
	storeRestoredAt time.Time
}

// Put adds or replaces a server's entry. While entries may lapse, a draining server does
// not become ready again in the same run.
func (r *Registry) Put(now time.Time, backend lagoonstile.Backend) {
	if r.entries == nil {
		r.entries = make(map[lagoonstile.ServerID]lagoonstile.Backend)
		r.lapsed = make(map[lagoonstile.ServerID]bool)
		r.held = make(map[lagoonstile.ServerID]lagoonstile.Backend)
	}
	delete(r.held, backend.ID)
	known := r.entries[backend.ID]
	if known.Draining && !backend.Draining && known.StartedAtMs == backend.StartedAtMs && r.mayHaveLapsed(now) {
		r.held[backend.ID] = backend
		return
	}
	r.entries[backend.ID] = backend
	delete(r.lapsed, backend.ID)
}

// Remove records that an entry vanished or can no longer be decoded. It keeps the
// entry for now if it may only have lapsed, unless the server is draining.
func (r *Registry) Remove(now time.Time, id lagoonstile.ServerID) {
	delete(r.held, id)
	entry, ok := r.entries[id]
	if !ok {
		return
	}
	if !entry.Draining && r.mayHaveLapsed(now) {
		r.lapsed[id] = true
		return
	}
	delete(r.entries, id)
	delete(r.lapsed, id)
}

// StoreLost records that the store is unavailable.
func (r *Registry) StoreLost() { r.storeDown = true }

// StoreRegained records that the store is available again.
func (r *Registry) StoreRegained(now time.Time) {
	if r.storeDown {
		r.storeDown = false
		r.storeRestoredAt = now
	}
}

// mayHaveLapsed reports whether an entry that vanishes now may only have lapsed.
func (r *Registry) mayHaveLapsed(now time.Time) bool {
	return r.storeDown || (!r.storeRestoredAt.IsZero() && now.Sub(r.storeRestoredAt) < lapseGrace)
}

// Expire removes the lapsed entries that were not written again in time, puts those
// that were held into force, and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	if len(r.lapsed)+len(r.held) == 0 || r.mayHaveLapsed(now) {
		return false
	}
	for id, backend := range r.held {
		r.entries[id] = backend
	}
	clear(r.held)
	for id := range r.lapsed {
		delete(r.entries, id)
	}
	clear(r.lapsed)
	return true
}

// Backends returns the servers in the registry, sorted by id.
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
