package relayer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/router"
)

// TestRouteIsThatOfThePathAsSent checks that an order whose path has a coded slash runs
// once, although requests of the route with that slash may be repeated, and that the
// server gets the path unchanged.
func TestRouteIsThatOfThePathAsSent(t *testing.T) {
	var paths []string
	handler := func(w http.ResponseWriter, req *http.Request) {
		paths = append(paths, req.URL.EscapedPath())
		fail(w, req)
	}
	r := newRelayer(t, lagoonstile.PlannedRoute{Objective: time.Second, Timeout: time.Second, MaxAttempts: 2}, handler, handler)
	plan := *r.PlanTable().Plan
	repeatable := plan.Routes[0]
	repeatable.Name, repeatable.PathPrefix, repeatable.Idempotent = "files", "/order/files/", true
	plan.Routes = append(plan.Routes, repeatable)
	table := router.NewPlanTable(&plan)
	r.PlanTable = func() *router.PlanTable { return table }

	const path = "/order/files%2F7"
	r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://shop.example"+path, nil))
	if len(paths) != 1 || paths[0] != path {
		t.Errorf("servers got %q, want %s once", paths, path)
	}
}
