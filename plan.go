package lagoonstile

import (
	"fmt"
	"strings"
	"time"
)

// Plan is the routing configuration of a fleet whose servers register
// themselves: which requests go to which services, and under which rules. A
// value is immutable once published.
type Plan struct {
	Version Version
	Routes  []PlannedRoute
	Pools   map[ServiceID]PoolRules
	Limits  ClientLimits
	// Accounts holds the client accounts. If it is nil, requests need no key, and those
	// of all clients are treated alike.
	Accounts []Account
}

// PlannedRoute maps the requests for one host and path prefix to services.
type PlannedRoute struct {
	Name string
	// Host is matched case-insensitively.
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	// Idempotent is true if a request may safely run more than once.
	Idempotent bool
	// Large is true if responses are large. Servers in the instance's own failure
	// domain are then preferred more strongly.
	Large bool
	// Priority is the priority class of the route's requests; 0 is the most
	// urgent.
	Priority int
	// Objective is the latency objective (SLO) of the route: a response within this
	// time is worth most. Must be positive.
	Objective time.Duration
	// Timeout is the maximum duration of a request over all attempts. Must be
	// positive.
	Timeout time.Duration
	// Public is true if requests need no key although the plan has accounts.
	Public bool
	// MaxAttempts is the maximum number of servers that may run one request.
	// Attempts that no server ran do not count. At least 1.
	MaxAttempts int
	// Targets has at least one entry with a positive weight.
	Targets []WeightedService
}

// WeightedService is a service that receives a part of a route's traffic.
type WeightedService struct {
	Service ServiceID
	// Weight is the service's share relative to the other weights. At least 0.
	Weight float64
}

// PoolRules are the operator's rules for the servers of one service.
type PoolRules struct {
	HealthPath string
	// MaxConnections limits the connections to one server from all instances
	// together.
	MaxConnections int
}

// ClientLimits limit the size of a client's requests and the time that the
// client may take.
type ClientLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Validate returns an error that describes the first rule that the plan breaks,
// or nil.
func (p *Plan) Validate() error {
	if p.Version == 0 {
		return fmt.Errorf("plan has no version")
	}
	seen := make(map[string]bool)
	for i := range p.Routes {
		route := &p.Routes[i]
		if err := route.validate(p.Pools); err != nil {
			return fmt.Errorf("plan %d: route %s: %w", p.Version, route.Name, err)
		}
		key := strings.ToLower(route.Host) + route.PathPrefix
		if seen[key] {
			return fmt.Errorf("plan %d: route %s: duplicate host and path prefix %s", p.Version, route.Name, key)
		}
		seen[key] = true
	}
	if err := ValidateAccounts(p.Accounts); err != nil {
		return fmt.Errorf("plan %d: %w", p.Version, err)
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
		return fmt.Errorf("priority %d is negative", r.Priority)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v is not positive", r.Timeout)
	case r.Objective <= 0:
		return fmt.Errorf("objective %v is not positive", r.Objective)
	case r.MaxAttempts < 1:
		return fmt.Errorf("max attempts %d is less than 1", r.MaxAttempts)
	}
	total := 0.0
	for _, target := range r.Targets {
		if _, ok := pools[target.Service]; !ok {
			return fmt.Errorf("service %s is not defined", target.Service)
		}
		if target.Weight < 0 {
			return fmt.Errorf("service %s: weight %v is negative", target.Service, target.Weight)
		}
		total += target.Weight
	}
	if total <= 0 {
		return fmt.Errorf("no service with a positive weight")
	}
	return nil
}

// Backend is one run of a server, as the server registered it.
type Backend struct {
	ID      ServerID
	Service ServiceID
	// Address is an IP address with a port.
	Address       string
	FailureDomain FailureDomain
	// Slots is the number of requests that the server runs concurrently. At
	// least 1.
	Slots int
	// Draining is true if the server takes no new requests.
	Draining bool
	// WarmupLeft is the warm-up time that remained when the entry was written. The
	// server is slow until the warm-up ends.
	WarmupLeft time.Duration
	// StartedAtMs is the server's start time in Unix milliseconds, or 0 if unknown.
	// It distinguishes the runs of a server that keeps its id.
	StartedAtMs int64
}

// Member is one run of an instance, as the instance announced it.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
	// CallerAddress and PeerAddress are IP:port.
	CallerAddress string
	PeerAddress   string
	FailureDomain FailureDomain
	Leaving       bool
	// Capacity is zero for a member that does not announce it.
	Capacity Capacity
}

// Capacity is the part of its machine that an instance may use.
type Capacity struct {
	// Processors is a number of cores of ordinary speed.
	Processors float64
	// LinkMbps is the bandwidth of the machine's link in megabits per second.
	LinkMbps float64
}
