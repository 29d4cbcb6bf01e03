package router

import (
	"net"
	"strings"

	"lagoonstile"
	"lagoonstile/authenticator"
)

// PlanTable finds the route of a request in a plan. It is never modified.
type PlanTable struct {
	Plan *lagoonstile.Plan
	// hosts maps a lower-case host and a normalized path prefix to the route.
	hosts map[string]map[string]*lagoonstile.PlannedRoute
	// accounts finds the client account of a key.
	accounts *authenticator.Accounts
}

// NewPlanTable returns a table of the routes of a plan, which must be valid. The
// table refers to the plan, which must not be modified afterwards.
func NewPlanTable(plan *lagoonstile.Plan) *PlanTable {
	t := &PlanTable{Plan: plan, hosts: make(map[string]map[string]*lagoonstile.PlannedRoute), accounts: authenticator.New(plan.Accounts)}
	for i := range plan.Routes {
		route := &plan.Routes[i]
		host := strings.ToLower(route.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*lagoonstile.PlannedRoute)
		}
		t.hosts[host][normalize(route.PathPrefix)] = route
	}
	return t
}

// Route returns the route with the longest path prefix for a host, whose port is
// ignored, and a path as it was sent, not decoded. It returns nil if no route matches.
func (t *PlanTable) Route(host, path string) *lagoonstile.PlannedRoute {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path = normalize(path)
	routes := t.hosts[strings.ToLower(host)]
	for slash := strings.LastIndexByte(path, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if route, ok := routes[path[:slash+1]]; ok {
			return route
		}
	}
	return nil
}

// Accounts returns the client accounts of the plan.
func (t *PlanTable) Accounts() *authenticator.Accounts { return t.accounts }

// Split chooses a target service for the n-th request of a route on one
// instance, in proportion to the weights. It uses the multiples of the golden
// ratio modulo 1, a low-discrepancy sequence (see H. Weyl's equidistribution
// theorem, 1916), so the proportions also hold approximately after a few
// requests. The offset start, at least 0 and below 1, should differ between
// instances so that they do not all make the same choices.
func Split(route *lagoonstile.PlannedRoute, n uint64, start float64) lagoonstile.ServiceID {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	const goldenRatioConjugate = 0.6180339887498949
	total := 0.0
	for _, target := range route.Targets {
		total += target.Weight
	}
	point := start + float64(n)*goldenRatioConjugate
	point = (point - float64(uint64(point))) * total
	for _, target := range route.Targets {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	return route.Targets[len(route.Targets)-1].Service
}
