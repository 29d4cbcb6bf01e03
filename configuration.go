package lagoonstile

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Configuration is everything that operators have put in force. A value is
// immutable once published: a change makes another one that shares the
// services it did not touch.
type Configuration struct {
	Version Version `json:"version"`
	// Services maps each service's id to it; a service is never modified in
	// place.
	Services map[ServiceID]*Service `json:"services"`
}

// Change is an operator's request to replace some services. It takes effect
// only if Base is the version in force where the log puts it.
type Change struct {
	ID     ChangeID    `json:"id"`
	Base   Version     `json:"base"`
	Author string      `json:"author"`
	Reason string      `json:"reason"`
	Set    []*Service  `json:"set,omitempty"`
	Remove []ServiceID `json:"remove,omitempty"`
}

// Snapshot carries a whole configuration, so that a reader can start from it
// after the changes that led there have expired.
type Snapshot struct {
	Configuration Configuration `json:"configuration"`
	// Next is the offset of the first record that the configuration does not
	// include.
	Next Offset `json:"next"`
	// Recent lists the changes that took effect last, oldest first.
	Recent []Accepted `json:"recent,omitempty"`
}

// Accepted notes a change that took effect and the version that it made.
type Accepted struct {
	ID      ChangeID `json:"id"`
	Version Version  `json:"version"`
	Author  string   `json:"author"`
}

// Record is one entry of the configuration stream: exactly one field is set.
type Record struct {
	Change   *Change   `json:"change,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Apply returns the configuration that the change makes of c, or why the
// change is invalid. It does not compare versions and does not modify c.
func (c Configuration) Apply(change *Change) (Configuration, error) {
	if change.ID == "" {
		return c, fmt.Errorf("change without an id")
	}
	if len(change.Set) == 0 && len(change.Remove) == 0 {
		return c, fmt.Errorf("change %s: empty", change.ID)
	}
	services := maps.Clone(c.Services)
	if services == nil {
		services = make(map[ServiceID]*Service)
	}
	for _, id := range change.Remove {
		if services[id] == nil {
			return c, fmt.Errorf("change %s: removes service %s, which is not there", change.ID, id)
		}
		delete(services, id)
	}
	for _, service := range change.Set {
		if service == nil {
			return c, fmt.Errorf("change %s: null service", change.ID)
		}
		if err := service.Validate(); err != nil {
			return c, fmt.Errorf("change %s: %w", change.ID, err)
		}
		services[service.ID] = service
	}
	next := Configuration{Version: c.Version + 1, Services: services}
	if err := next.validateRoutes(); err != nil {
		return c, fmt.Errorf("change %s: %w", change.ID, err)
	}
	return next, nil
}

// Validate returns the first rule that the configuration breaks, or nil.
func (c Configuration) Validate() error {
	for _, id := range c.IDs() {
		service := c.Services[id]
		if service == nil {
			return fmt.Errorf("service %s: null", id)
		}
		if service.ID != id {
			return fmt.Errorf("service %s: stands under the id %s", service.ID, id)
		}
		if err := service.Validate(); err != nil {
			return err
		}
	}
	return c.validateRoutes()
}

// validateRoutes keeps the rule that no two services share a route.
func (c Configuration) validateRoutes() error {
	type place struct{ host, prefix string }
	owners := make(map[place]ServiceID)
	for _, id := range c.IDs() {
		for _, route := range c.Services[id].Routes {
			at := place{host: strings.ToLower(route.Host), prefix: route.PathPrefix}
			if owner, ok := owners[at]; ok {
				return fmt.Errorf("service %s: route %q %q belongs to service %s", id, route.Host, route.PathPrefix, owner)
			}
			owners[at] = id
		}
	}
	return nil
}

// IDs returns the ids of all services, sorted.
func (c Configuration) IDs() []ServiceID {
	return slices.Sorted(maps.Keys(c.Services))
}

// Diff returns the smallest change from c to want, without id and author. The
// second result is false when there is nothing to change.
func (c Configuration) Diff(want Configuration) (Change, bool) {
	change := Change{Base: c.Version}
	for _, id := range want.IDs() {
		if !reflect.DeepEqual(c.Services[id], want.Services[id]) {
			change.Set = append(change.Set, want.Services[id])
		}
	}
	for _, id := range c.IDs() {
		if want.Services[id] == nil {
			change.Remove = append(change.Remove, id)
		}
	}
	return change, len(change.Set)+len(change.Remove) > 0
}

// InForce tells when an instance put a version in force.
type InForce struct {
	Instance InstanceID `json:"instance"`
	Version  Version    `json:"version"`
	At       time.Time  `json:"at"`
}
