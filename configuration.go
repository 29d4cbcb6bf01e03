package lagoonstile

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Configuration is the services and client accounts that operators have put in force. A
// value is immutable once published: applying a change makes a new value, which
// shares the services that the change does not replace.
type Configuration struct {
	Version Version `json:"version"`
	// Services holds the services by id. A service is never modified in place.
	Services map[ServiceID]*Service `json:"services"`
	// Accounts holds the client accounts, sorted by ID. If there are none, requests need
	// no key.
	Accounts []Account `json:"accounts,omitempty"`
}

// Change is an operator's request to set and remove services and to replace the
// client accounts. It takes effect
// only if Base is the version in force at the change's position in the log.
type Change struct {
	ID     ChangeID    `json:"id"`
	Base   Version     `json:"base"`
	Author string      `json:"author"`
	Reason string      `json:"reason"`
	Set    []*Service  `json:"set,omitempty"`
	Remove []ServiceID `json:"remove,omitempty"`
	// Accounts replaces all client accounts unless it is nil.
	Accounts *[]Account `json:"accounts,omitempty"`
}

// Snapshot is a complete configuration. A reader of the log can start from it
// after the changes that it includes have expired.
type Snapshot struct {
	Configuration Configuration `json:"configuration"`
	// Next is the offset of the first record that the configuration does not
	// include.
	Next Offset `json:"next"`
	// Recent lists the latest changes that took effect, oldest first.
	Recent []AcceptedChange `json:"recent,omitempty"`
}

// AcceptedChange identifies a change that took effect and the version it produced.
type AcceptedChange struct {
	ID      ChangeID `json:"id"`
	Version Version  `json:"version"`
	Author  string   `json:"author"`
}

// Record is one record of the configuration stream. Exactly one field is set.
type Record struct {
	Change   *Change   `json:"change,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Apply returns the configuration that results from applying the change to c.
// The error says why an invalid change cannot be applied. Apply does not compare
// the change's base with c's version and does not modify c.
func (c Configuration) Apply(change *Change) (Configuration, error) {
	if change.ID == "" {
		return c, fmt.Errorf("change has no id")
	}
	if len(change.Set) == 0 && len(change.Remove) == 0 && change.Accounts == nil {
		return c, fmt.Errorf("change %s: changes nothing", change.ID)
	}
	services := maps.Clone(c.Services)
	if services == nil {
		services = make(map[ServiceID]*Service)
	}
	for _, id := range change.Remove {
		if services[id] == nil {
			return c, fmt.Errorf("change %s: cannot remove service %s, which does not exist", change.ID, id)
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
	next := Configuration{Version: c.Version + 1, Services: services, Accounts: c.Accounts}
	if change.Accounts != nil {
		next.Accounts = *change.Accounts
	}
	if err := next.validateWhole(); err != nil {
		return c, fmt.Errorf("change %s: %w", change.ID, err)
	}
	return next, nil
}

// Validate returns an error that describes the first rule that the configuration
// breaks, or nil.
func (c Configuration) Validate() error {
	for _, id := range c.IDs() {
		service := c.Services[id]
		if service == nil {
			return fmt.Errorf("service %s: null", id)
		}
		if service.ID != id {
			return fmt.Errorf("service %s: listed under the id %s", service.ID, id)
		}
		if err := service.Validate(); err != nil {
			return err
		}
	}
	return c.validateWhole()
}

// validateWhole checks the rules that concern several services, and the accounts.
func (c Configuration) validateWhole() error {
	if err := c.validateRoutes(); err != nil {
		return err
	}
	return ValidateAccounts(c.Accounts)
}

// validateRoutes checks that no two routes have the same host and path prefix.
func (c Configuration) validateRoutes() error {
	type routeKey struct{ host, prefix string }
	owners := make(map[routeKey]ServiceID)
	for _, id := range c.IDs() {
		for _, route := range c.Services[id].Routes {
			key := routeKey{host: strings.ToLower(route.Host), prefix: route.PathPrefix}
			if owner, ok := owners[key]; ok {
				return fmt.Errorf("service %s: the route with host %q and path prefix %q already belongs to service %s", id, route.Host, route.PathPrefix, owner)
			}
			owners[key] = id
		}
	}
	return nil
}

// IDs returns the ids of all services, sorted.
func (c Configuration) IDs() []ServiceID {
	return slices.Sorted(maps.Keys(c.Services))
}

// Diff returns the smallest change that turns c into want. Its ID, Author and
// Reason are empty. The second result is false if there is nothing to change.
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
	if !reflect.DeepEqual(c.Accounts, want.Accounts) && len(c.Accounts)+len(want.Accounts) > 0 {
		// Not nil, which would stand for no change once it is encoded.
		accounts := append([]Account{}, want.Accounts...)
		change.Accounts = &accounts
	}
	return change, len(change.Set)+len(change.Remove) > 0 || change.Accounts != nil
}

// InForce records the time at which an instance put a version in force.
type InForce struct {
	Instance InstanceID `json:"instance"`
	Version  Version    `json:"version"`
	At       time.Time  `json:"at"`
}
