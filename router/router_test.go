package router_test

import (
	"fmt"
	"testing"

	"lagoonstile"
	"lagoonstile/router"
)

// TestRoutes states which service and rank a request gets.
func TestRoutes(t *testing.T) {
	entry := func(id lagoonstile.ServiceID, rank lagoonstile.Rank, routes ...lagoonstile.Route) *router.Entry {
		return &router.Entry{Service: &lagoonstile.Service{ID: id, Rank: rank, Routes: routes}}
	}
	table := router.New(1, []*router.Entry{
		entry("stock", lagoonstile.RankLookups, lagoonstile.Route{PathPrefix: "/stock"}),
		entry("orders", lagoonstile.RankOrders,
			lagoonstile.Route{PathPrefix: "/stock/order"},
			lagoonstile.Route{PathPrefix: "/export", Rank: lagoonstile.RankDownloads}),
		entry("dir", lagoonstile.RankLookups, lagoonstile.Route{PathPrefix: "/dir/"}),
		entry("portal", lagoonstile.RankLookups, lagoonstile.Route{Host: "Portal.example", PathPrefix: "/"}),
	})
	tests := []struct {
		name, host, path string
		service          lagoonstile.ServiceID
		rank             lagoonstile.Rank
	}{
		{"the prefix itself", "a", "/stock", "stock", lagoonstile.RankLookups},
		{"below it", "a", "/stock/7", "stock", lagoonstile.RankLookups},
		{"beside it", "a", "/stockings", "", ""},
		{"the longest prefix wins", "a", "/stock/order/7", "orders", lagoonstile.RankOrders},
		{"a route's own rank", "a", "/export/all", "orders", lagoonstile.RankDownloads},
		{"a host goes before any host", "portal.example:8080", "/stock", "portal", lagoonstile.RankLookups},
		{"no route", "a", "/", "", ""},
		{"a prefix that ends with a slash", "a", "/dir/x", "dir", lagoonstile.RankLookups},
		{"not the directory itself", "a", "/dir", "", ""},
	}
	for _, test := range tests {
		match, ok := table.Route(test.host, test.path)
		if ok != (test.service != "") {
			t.Errorf("%s: found %t", test.name, ok)
			continue
		}
		if ok && (match.Entry.Service.ID != test.service || match.Rank != test.rank) {
			t.Errorf("%s: %s at rank %s, want %s at %s", test.name, match.Entry.Service.ID, match.Rank, test.service, test.rank)
		}
	}
	if match, ok := table.Service("orders", "/export/7"); !ok || match.Rank != lagoonstile.RankDownloads {
		t.Errorf("a request that names its service has rank %s, want that of the route", match.Rank)
	}
}

// BenchmarkSlopeRoutes finds a route among so many.
func BenchmarkSlopeRoutes(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10_000, 42_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var routes []lagoonstile.Route
			for i := range size {
				routes = append(routes, lagoonstile.Route{PathPrefix: fmt.Sprint("/service-", i)})
			}
			table := router.New(1, []*router.Entry{{Service: &lagoonstile.Service{ID: "s", Routes: routes}}})
			path := fmt.Sprintf("/service-%d/a/b", size/2)
			for b.Loop() {
				if _, ok := table.Route("portal.example", path); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}
