package lagoonstile

import (
	"fmt"
	"strings"
	"time"
)

// Plan is the routing of a fleet whose servers register themselves: which
// requests go to which services, and under which rules. A value is immutable
// once published.
type Plan struct {
	Version Version
	Routes  []PlannedRoute
	Pools   map[ServiceID]PoolRules
	Limits  ClientLimits
}

// PlannedRoute leads the requests of one host below one path to services.
type PlannedRoute struct {
	Name string
	// Host is matched without regard to case.
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	// Idempotent says that a request may run more than once without harm.
	Idempotent bool
	// Large says that answers are large, so that a near server is worth more.
	Large bool
	// Priority is the rank of the route's work; 0 is the most urgent.
	Priority int
	// Objective is the time within which an answer is worth most. Over 0.
	Objective time.Duration
	// Timeout is the longest time that a request may be kept. Over 0.
	Timeout time.Duration
	// MaxAttempts is how many servers may run one request. At least 1.
	MaxAttempts int
	// Targets has at least one entry, and one with a weight over 0.
	Targets []WeightedService
}

// WeightedService is one part of a route's traffic.
type WeightedService struct {
	Service ServiceID
	// Weight is the part's share in proportion to the other weights. At least 0.
	Weight float64
}

// PoolRules are the operator's rules for the servers of one service.
type PoolRules struct {
	HealthPath string
	// MaxConnections bounds the connections to one server over all instances.
	MaxConnections int
}

// ClientLimits bound what one client may send and how long it may take.
type ClientLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Validate returns the first rule that the plan breaks, or nil.
func (p *Plan) Validate() error {
	if p.Version == 0 {
		return fmt.Errorf("plan without a version")
	}
	seen := make(map[string]bool)
	for i := range p.Routes {
		route := &p.Routes[i]
		if err := route.validate(p.Pools); err != nil {
			return fmt.Errorf("plan %d: route %s: %w", p.Version, route.Name, err)
		}
		place := strings.ToLower(route.Host) + route.PathPrefix
		if seen[place] {
			return fmt.Errorf("plan %d: route %s: %s stands twice", p.Version, route.Name, place)
		}
		seen[place] = true
	}
	return nil
}

func (r *PlannedRoute) validate(pools map[ServiceID]PoolRules) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("no host")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return fmt.Errorf("path prefix %q does not start and end with a slash", r.PathPrefix)
	case r.Priority < 0:
		return fmt.Errorf("priority %d is under 0", r.Priority)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v is not over 0", r.Timeout)
	case r.Objective <= 0:
		return fmt.Errorf("objective %v is not over 0", r.Objective)
	case r.MaxAttempts < 1:
		return fmt.Errorf("max attempts %d is not at least 1", r.MaxAttempts)
	}
	total := 0.0
	for _, target := range r.Targets {
		if _, ok := pools[target.Service]; !ok {
			return fmt.Errorf("service %s is not defined", target.Service)
		}
		if target.Weight < 0 {
			return fmt.Errorf("service %s: weight %v is under 0", target.Service, target.Weight)
		}
		total += target.Weight
	}
	if total <= 0 {
		return fmt.Errorf("no service with a weight over 0")
	}
	return nil
}

// Backend is one run of one server as it registered itself.
type Backend struct {
	ID      ServerID
	Service ServiceID
	// Address is an IP address with a port.
	Address       string
	FailureDomain FailureDomain
	// Slots is how many requests the server runs at once. At least 1.
	Slots int
	// Draining says that the server takes no new work.
	Draining bool
	// WarmupLeft is how much longer the server stays slow after its start, as of
	// when the entry was written.
	WarmupLeft time.Duration
	// Born tells the runs of a server that keeps its id apart.
	Born int64
}

// Member is one instance of the fleet as it announced itself.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
	// CallerAddress and PeerAddress are IP:port.
	CallerAddress string
	PeerAddress   string
	FailureDomain FailureDomain
	Leaving       bool
}
