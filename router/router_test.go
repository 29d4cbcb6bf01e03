package router_test

import (
	"fmt"
	"testing"

	"lagoonstile"
	"lagoonstile/router"
)

// TestTableRoute checks the service and the rank of requests.
func TestTableRoute(t *testing.T) {
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
		entry("cafe", lagoonstile.RankLookups, lagoonstile.Route{PathPrefix: "/café"}),
	}, nil)
	tests := []struct {
		name, host, path string
		service          lagoonstile.ServiceID
		rank             lagoonstile.Rank
	}{
		{"path equals the prefix", "a", "/stock", "stock", lagoonstile.RankLookups},
		{"path below the prefix", "a", "/stock/7", "stock", lagoonstile.RankLookups},
		{"path continues the last segment of the prefix", "a", "/stockings", "", ""},
		{"longest prefix wins", "a", "/stock/order/7", "orders", lagoonstile.RankOrders},
		{"rank of the route", "a", "/export/all", "orders", lagoonstile.RankDownloads},
		{"route of the host precedes routes for any host", "portal.example:8080", "/stock", "portal", lagoonstile.RankLookups},
		{"no matching route", "a", "/", "", ""},
		{"prefix ends in a slash", "a", "/dir/x", "dir", lagoonstile.RankLookups},
		{"path lacks the slash that ends the prefix", "a", "/dir", "", ""},
		{"coded slash", "a", "/stock%2Forder/7", "", ""},
		{"coded slash below the prefix", "a", "/stock/order%2F7", "stock", lagoonstile.RankLookups},
		{"needlessly coded letter", "a", "/stock/%6Frder/7", "orders", lagoonstile.RankOrders},
		{"letter that must be coded", "a", "/caf%c3%A9/7", "cafe", lagoonstile.RankLookups},
	}
	for _, test := range tests {
		match, ok := table.Route(test.host, test.path)
		if ok != (test.service != "") {
			t.Errorf("%s: match found: %t", test.name, ok)
			continue
		}
		if ok && (match.Entry.Service.ID != test.service || match.Rank != test.rank) {
			t.Errorf("%s: got service %s with rank %s, want %s with %s", test.name, match.Entry.Service.ID, match.Rank, test.service, test.rank)
		}
	}
	for path, want := range map[string]lagoonstile.Rank{"/export/7": lagoonstile.RankDownloads, "/%65xport/7": lagoonstile.RankDownloads, "/export%2F7": lagoonstile.RankOrders} {
		if match, ok := table.Service("orders", path); !ok || match.Rank != want {
			t.Errorf("a request for %s that names its service has rank %s, want %s", path, match.Rank, want)
		}
	}
}

// BenchmarkSlopeRoutes looks up a route in tables of increasing size.
func BenchmarkSlopeRoutes(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10_000, 42_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var routes []lagoonstile.Route
			for i := range size {
				routes = append(routes, lagoonstile.Route{PathPrefix: fmt.Sprint("/service-", i)})
			}
			table := router.New(1, []*router.Entry{{Service: &lagoonstile.Service{ID: "s", Routes: routes}}}, nil)
			path := fmt.Sprintf("/service-%d/a/b", size/2)
			for b.Loop() {
				if _, ok := table.Route("portal.example", path); !ok {
					b.Fatal("no matching route")
				}
			}
		})
	}
}
