package lagoonstile

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Service is the aggregate that a configuration change replaces as a whole: the
// servers of one service and the rules under which they are used.
type Service struct {
	ID ServiceID `json:"id"`
	// Rank is never taken from a caller's word.
	Rank Rank `json:"rank"`
	// Idempotent says that a request may run more than once without harm. A
	// service that is not idempotent takes no request without a key.
	Idempotent bool `json:"idempotent"`
	// Routes never overlap with those of another service: no two have the same
	// host and path prefix.
	Routes []Route `json:"routes,omitempty"`
	// Servers are sorted by id and have distinct ids and addresses.
	Servers []Server `json:"servers"`
	// Floor is the share of the servers, over 0 and up to 1, below which
	// ejections never drive the number in use.
	Floor float64 `json:"floor"`
	// FalseEjectionsPerWeek is how many healthy servers of the service the
	// operator accepts to lose for a while, in a mean week. Over 0.
	FalseEjectionsPerWeek float64 `json:"false-ejections-per-week"`
	// Deadline ends a request that names no deadline of its own. Over 0.
	Deadline time.Duration `json:"deadline"`
	// RetryShare bounds retries and hedges to this share of recent successes.
	// From 0 to 1; 0 switches both off.
	RetryShare float64 `json:"retry-share"`
	// ConnectionsPerServer bounds the connections of one instance to one
	// server. At least 1.
	ConnectionsPerServer int `json:"connections-per-server"`
}

// Server is one server of a service.
type Server struct {
	ID ServerID `json:"id"`
	// Address is an IP address with a port.
	Address       string        `json:"address"`
	FailureDomain FailureDomain `json:"failure-domain"`
	// Slots is how many requests the server runs at once. At least 1.
	Slots int `json:"slots"`
}

// Route maps requests without a service header to a service. An empty host
// stands for any host; the longest matching path prefix wins.
type Route struct {
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path-prefix"`
	// Rank takes the place of the service's rank when it is not empty.
	Rank Rank `json:"rank,omitempty"`
}

// Defaults for rules that an operator leaves out.
const (
	DefaultFloor                 = 0.5
	DefaultFalseEjectionsPerWeek = 0.1
	DefaultDeadline              = 10 * time.Second
	DefaultRetryShare            = 0.1
	DefaultConnectionsPerServer  = 24
	DefaultSlots                 = 6
)

// MinServers returns how many servers of the service must stay in use.
func (s *Service) MinServers() int {
	n := int(s.Floor * float64(len(s.Servers)))
	if float64(n) < s.Floor*float64(len(s.Servers)) {
		n++
	}
	return n
}

// Validate returns the first rule of the aggregate that s breaks, or nil.
func (s *Service) Validate() error {
	if s.ID == "" {
		return fmt.Errorf("service without a name")
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
		return fmt.Errorf("floor %v is not over 0 and up to 1", s.Floor)
	}
	if s.FalseEjectionsPerWeek <= 0 {
		return fmt.Errorf("false-ejections-per-week %v is not over 0", s.FalseEjectionsPerWeek)
	}
	if s.Deadline <= 0 {
		return fmt.Errorf("deadline %v is not over 0", s.Deadline)
	}
	if s.RetryShare < 0 || s.RetryShare > 1 {
		return fmt.Errorf("retry-share %v is not from 0 to 1", s.RetryShare)
	}
	if s.ConnectionsPerServer < 1 {
		return fmt.Errorf("connections-per-server %d is not at least 1", s.ConnectionsPerServer)
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
			return fmt.Errorf("service %s: server %s stands twice", s.ID, server.ID)
		}
		if addresses[server.Address] {
			return fmt.Errorf("service %s: address %s stands twice", s.ID, server.Address)
		}
		ids[server.ID] = true
		addresses[server.Address] = true
	}
	if !slices.IsSortedFunc(s.Servers, compareServers) {
		return fmt.Errorf("service %s: servers are not sorted by id", s.ID)
	}
	return nil
}

// Validate returns the first rule that the server breaks, or nil.
func (s *Server) Validate() error {
	if s.ID == "" {
		return fmt.Errorf("server without an id")
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return fmt.Errorf("server %s: address %q is not IP:port", s.ID, s.Address)
	}
	if s.FailureDomain == "" {
		return fmt.Errorf("server %s: no failure-domain", s.ID)
	}
	if s.Slots < 1 {
		return fmt.Errorf("server %s: slots %d is not at least 1", s.ID, s.Slots)
	}
	return nil
}

// Sort puts the servers into the order that Validate asks for.
func (s *Service) Sort() {
	slices.SortFunc(s.Servers, compareServers)
}

func compareServers(a, b Server) int {
	return strings.Compare(string(a.ID), string(b.ID))
}
