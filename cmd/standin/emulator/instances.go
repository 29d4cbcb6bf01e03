package emulator

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"lagoonstile"
)

// Instances is the stand-in of the platform's instance list. What it tells
// lags behind what was set.
type Instances struct {
	// Lag is how long a change stays hidden.
	Lag time.Duration

	mu      sync.Mutex
	changes []instanceChange
}

type instanceChange struct {
	at       time.Time
	instance lagoonstile.Instance
	gone     bool
}

// Set adds an instance to the list or replaces it.
func (i *Instances) Set(instance lagoonstile.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.changes = append(i.changes, instanceChange{at: time.Now(), instance: instance})
}

// Remove takes an instance off the list.
func (i *Instances) Remove(id lagoonstile.InstanceID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.changes = append(i.changes, instanceChange{at: time.Now(), instance: lagoonstile.Instance{ID: id}, gone: true})
}

// ServeHTTP serves the list as JSON.
func (i *Instances) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, i.visible(time.Now()))
}

func (i *Instances) visible(now time.Time) []lagoonstile.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	byID := make(map[lagoonstile.InstanceID]lagoonstile.Instance)
	for _, change := range i.changes {
		if now.Sub(change.at) < i.Lag {
			break
		}
		if change.gone {
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
