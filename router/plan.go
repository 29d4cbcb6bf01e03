package router

import (
	"net"
	"strings"

	"lagoonstile"
)

// PlanTable finds the route of a request in a plan. It is never modified.
type PlanTable struct {
	Plan *lagoonstile.Plan
	// hosts maps a host in lower case and a path prefix to the route.
	hosts map[string]map[string]*lagoonstile.PlannedRoute
}

// NewPlanTable returns the table of a valid plan.
func NewPlanTable(plan *lagoonstile.Plan) *PlanTable {
	t := &PlanTable{Plan: plan, hosts: make(map[string]map[string]*lagoonstile.PlannedRoute)}
	for i := range plan.Routes {
		route := &plan.Routes[i]
		host := strings.ToLower(route.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*lagoonstile.PlannedRoute)
		}
		t.hosts[host][route.PathPrefix] = route
	}
	return t
}

// Route returns the route of the host with the longest prefix that begins the
// path, or nil.
func (t *PlanTable) Route(host, path string) *lagoonstile.PlannedRoute {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes := t.hosts[strings.ToLower(host)]
	for at := strings.LastIndexByte(path, '/'); at >= 0; at = strings.LastIndexByte(path[:at], '/') {
		if route, ok := routes[path[:at+1]]; ok {
			return route
		}
	}
	return nil
}

// Split chooses the service of the n-th request of a route on one instance. The
// multiples of the golden ratio fall evenly into the shares at any n, so that a
// few requests are split well too (H. Weyl's equidistribution, 1916). The start
// keeps instances from choosing alike.
func Split(route *lagoonstile.PlannedRoute, n uint64, start float64) lagoonstile.ServiceID {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	const golden = 0.6180339887498949
	total := 0.0
	for _, target := range route.Targets {
		total += target.Weight
	}
	at := start + float64(n)*golden
	at = (at - float64(uint64(at))) * total
	for _, target := range route.Targets {
		if at < target.Weight {
			return target.Service
		}
		at -= target.Weight
	}
	return route.Targets[len(route.Targets)-1].Service
}
