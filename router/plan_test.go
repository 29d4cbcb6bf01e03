package router_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonstile"
	"lagoonstile/router"
)

func plannedRoute(name, host, prefix string) lagoonstile.PlannedRoute {
	return lagoonstile.PlannedRoute{
		Name: name, Host: host, PathPrefix: prefix, Objective: time.Second, Timeout: time.Second, MaxAttempts: 1,
		Targets: []lagoonstile.WeightedService{{Service: "a", Weight: 1}},
	}
}

// TestPlanTableRoute checks that the route with the longest matching prefix wins.
func TestPlanTableRoute(t *testing.T) {
	table := router.NewPlanTable(&lagoonstile.Plan{Version: 1, Routes: []lagoonstile.PlannedRoute{
		plannedRoute("root", "a.example", "/"),
		plannedRoute("stock", "a.example", "/stock/"),
		plannedRoute("photo", "A.example", "/stock/photo/"),
		plannedRoute("other", "b.example", "/only/"),
		plannedRoute("coded", "b.example", "/a%2fb/"),
		plannedRoute("umlaut", "b.example", "/b%C3%BCro/"),
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/stock", "root"},
		{"a.example", "/stock/", "stock"},
		{"a.example", "/stock/7", "stock"},
		{"a.example", "/stock/photo/7/8", "photo"},
		{"A.EXAMPLE:8080", "/stock/photo/", "photo"},
		{"b.example", "/only/x", "other"},
		{"b.example", "/else", "none"},
		{"c.example", "/", "none"},
		{"a.example", "/stock/photo%2F7", "stock"},
		{"a.example", "/stock%2Fphoto/7", "root"},
		{"a.example", "/%73tock/7", "stock"},
		{"a.example", "/stock/%3F/7", "stock"},
		{"a.example", "/stock/%zz", "stock"},
		{"a.example", "/%", "root"},
		{"b.example", "/a/b/7", "none"},
		{"b.example", "/a%2Fb/7", "coded"},
		{"b.example", "/b%c3%bcro/7", "umlaut"},
		{"b.example", "/büro/7", "umlaut"},
	}
	for _, test := range tests {
		got := "none"
		if route := table.Route(test.host, test.path); route != nil {
			got = route.Name
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("route of %s%s (-want +got):\n%s", test.host, test.path, diff)
		}
	}
}

// TestSplitShares checks the shares of the targets after few and after many
// requests.
func TestSplitShares(t *testing.T) {
	route := plannedRoute("split", "a.example", "/")
	route.Targets = []lagoonstile.WeightedService{{Service: "a", Weight: 70}, {Service: "b", Weight: 20}, {Service: "c", Weight: 10}, {Service: "d"}}
	for _, n := range []int{20, 1000} {
		for _, start := range []float64{0, 0.3, 0.99} {
			got := make(map[lagoonstile.ServiceID]float64)
			for i := range n {
				got[router.Split(&route, uint64(i), start)] += 1 / float64(n)
			}
			for _, target := range route.Targets {
				if deviation := math.Abs(got[target.Service] - target.Weight/100); deviation > 0.1 {
					t.Errorf("after %d requests with start %v: share of service %s is %.2f, want %.2f", n, start, target.Service, got[target.Service], target.Weight/100)
				}
			}
			if got["d"] > 0 {
				t.Errorf("share of a service with weight 0 is %.2f, want 0", got["d"])
			}
		}
	}
}
