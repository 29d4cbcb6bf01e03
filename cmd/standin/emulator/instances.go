package emulator

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"lagoonstile"
)

// Instances is a stand-in for the platform's instance list. Changes to the list
// become visible after a delay.
type Instances struct {
	// Lag is the time until a change becomes visible.
	Lag time.Duration

	mu      sync.Mutex
	changes []instanceChange
}

type instanceChange struct {
	at       time.Time
	instance lagoonstile.Instance
	removed  bool
}

// Set adds an instance to the list, or replaces the one with the same ID.
func (i *Instances) Set(instance lagoonstile.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.changes = append(i.changes, instanceChange{at: time.Now(), instance: instance})
}

// Remove removes an instance from the list.
func (i *Instances) Remove(id lagoonstile.InstanceID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.changes = append(i.changes, instanceChange{at: time.Now(), instance: lagoonstile.Instance{ID: id}, removed: true})
}

// ServeHTTP serves the list as JSON.
func (i *Instances) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, i.visible(time.Now()))
}

// visible returns the instances that the list shows at the given time, ordered
// by ID.
func (i *Instances) visible(now time.Time) []lagoonstile.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	byID := make(map[lagoonstile.InstanceID]lagoonstile.Instance)
	for _, change := range i.changes {
		if now.Sub(change.at) < i.Lag {
			break
		}
		if change.removed {
			delete(byID, change.instance.ID)
			continue
		}
		byID[change.instance.ID] = change.instance
	}
	list := make([]lagoonstile.Instance, 0, len(byID))
	for _, instance := range byID {
		list = append(list, instance)
	}
	slices.SortFunc(list, func(a, b lagoonstile.Instance) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return list
}
