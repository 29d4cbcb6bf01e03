package lagoonstile

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Service is the unit that a configuration change replaces: the servers of one
// service and the rules for using them.
type Service struct {
	ID ServiceID `json:"id"`
	// Rank is the priority class of the service's requests. Callers cannot
	// choose it.
	Rank Rank `json:"rank"`
	// Idempotent is true if a request may safely run more than once. A service
	// that is not idempotent accepts only requests with an idempotency key.
	Idempotent bool `json:"idempotent"`
	// Routes are unique within a configuration: no two routes, of this service or
	// of others, have the same host and path prefix.
	Routes []Route `json:"routes,omitempty"`
	// Servers is sorted by id. Ids and addresses are distinct.
	Servers []Server `json:"servers"`
	// Floor is the minimum fraction of the servers that stay in use: no ejection
	// takes the number of servers in use below it. Greater than 0, at most 1.
	Floor float64 `json:"floor"`
	// FalseEjectionsPerWeek is the mean number of healthy servers of the service
	// that may be ejected by mistake in a week. Must be positive.
	FalseEjectionsPerWeek float64 `json:"false-ejections-per-week"`
	// Public is true if requests need no key although the configuration has client
	// accounts.
	Public bool `json:"public,omitempty"`
	// Deadline applies to requests that set no deadline of their own. Must be
	// positive.
	Deadline time.Duration `json:"deadline"`
	// RetryShare is the retry budget: the maximum number of retries and hedged
	// requests as a fraction of recent successes. From 0 to 1; 0 disables both.
	RetryShare float64 `json:"retry-share"`
	// ConnectionsPerServer is the maximum number of connections from one instance
	// to one server. At least 1.
	ConnectionsPerServer int `json:"connections-per-server"`
}

// Server is one server of a service.
type Server struct {
	ID ServerID `json:"id"`
	// Address is an IP address with a port.
	Address       string        `json:"address"`
	FailureDomain FailureDomain `json:"failure-domain"`
	// Slots is the number of requests that the server runs concurrently. At
	// least 1.
	Slots int `json:"slots"`
}

// Route maps requests without a service header to a service. Routes for the
// request's host take precedence over routes with an empty host, which match every
// host. Among routes with the same host, the longest matching path prefix wins.
type Route struct {
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path-prefix"`
	// Rank overrides the service's rank if it is not empty.
	Rank Rank `json:"rank,omitempty"`
}

// Default values of rules that an operator does not set.
const (
	DefaultFloor                 = 0.5
	DefaultFalseEjectionsPerWeek = 0.1
	DefaultDeadline              = 10 * time.Second
	DefaultRetryShare            = 0.1
	DefaultConnectionsPerServer  = 24
	DefaultSlots                 = 6
)

// MaxSlots is the largest number of slots of a server. Instances add up the slots of a
// service, so larger numbers could overflow.
const MaxSlots = 1 << 20

// MinServers returns the number of servers of the service that must stay in use.
func (s *Service) MinServers() int {
	n := int(s.Floor * float64(len(s.Servers)))
	if float64(n) < s.Floor*float64(len(s.Servers)) {
		n++
	}
	return n
}

// Validate returns an error that describes the first rule that the service
// breaks, or nil.
func (s *Service) Validate() error {
	if s.ID == "" {
		return fmt.Errorf("service has no name")
	}
	if !s.Rank.Valid() {
		return fmt.Errorf("service %s: rank %q is none of %v", s.ID, s.Rank, Ranks())
	}
	if err := s.validateLimits(); err != nil {
		return fmt.Errorf("service %s: %w", s.ID, err)
	}
	for _, route := range s.Routes {
		if !strings.HasPrefix(route.PathPrefix, "/") {
			return fmt.Errorf("service %s: path prefix %q does not start with /", s.ID, route.PathPrefix)
		}
		if route.Rank != "" && !route.Rank.Valid() {
			return fmt.Errorf("service %s: rank %q of path prefix %s is none of %v", s.ID, route.Rank, route.PathPrefix, Ranks())
		}
	}
	return s.validateServers()
}

func (s *Service) validateLimits() error {
	if s.Floor <= 0 || s.Floor > 1 {
		return fmt.Errorf("floor %v is not greater than 0 and at most 1", s.Floor)
	}
	if s.FalseEjectionsPerWeek <= 0 {
		return fmt.Errorf("false-ejections-per-week %v is not positive", s.FalseEjectionsPerWeek)
	}
	if s.Deadline <= 0 {
		return fmt.Errorf("deadline %v is not positive", s.Deadline)
	}
	if s.RetryShare < 0 || s.RetryShare > 1 {
		return fmt.Errorf("retry-share %v is not between 0 and 1", s.RetryShare)
	}
	if s.ConnectionsPerServer < 1 {
		return fmt.Errorf("connections-per-server %d is less than 1", s.ConnectionsPerServer)
	}
	return nil
}

func (s *Service) validateServers() error {
	if len(s.Servers) == 0 {
		return fmt.Errorf("service %s: no servers", s.ID)
	}
	ids := make(map[ServerID]bool)
	addresses := make(map[string]bool)
	for _, server := range s.Servers {
		if err := server.Validate(); err != nil {
			return fmt.Errorf("service %s: %w", s.ID, err)
		}
		if ids[server.ID] {
			return fmt.Errorf("service %s: duplicate server id %s", s.ID, server.ID)
		}
		if addresses[server.Address] {
			return fmt.Errorf("service %s: duplicate server address %s", s.ID, server.Address)
		}
		ids[server.ID] = true
		addresses[server.Address] = true
	}
	if !slices.IsSortedFunc(s.Servers, compareServers) {
		return fmt.Errorf("service %s: servers are not sorted by id", s.ID)
	}
	return nil
}

// Validate returns an error that describes the first rule that the server
// breaks, or nil.
func (s *Server) Validate() error {
	if s.ID == "" {
		return fmt.Errorf("server has no id")
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return fmt.Errorf("server %s: address %q is not IP:port", s.ID, s.Address)
	}
	if s.FailureDomain == "" {
		return fmt.Errorf("server %s: no failure-domain", s.ID)
	}
	if s.Slots < 1 {
		return fmt.Errorf("server %s: slots %d is less than 1", s.ID, s.Slots)
	}
	if s.Slots > MaxSlots {
		return fmt.Errorf("server %s: slots %d is more than %d", s.ID, s.Slots, MaxSlots)
	}
	return nil
}

// Sort sorts the servers by id, as Validate requires.
func (s *Service) Sort() {
	slices.SortFunc(s.Servers, compareServers)
}

func compareServers(a, b Server) int {
	return strings.Compare(string(a.ID), string(b.ID))
}
