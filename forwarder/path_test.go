package forwarder_test

import (
	"net/http"
	"testing"

	"lagoonstile"
	"lagoonstile/router"
)

// TestServiceIsThatOfThePathAsSent checks that a request whose path has a coded slash does
// not get the service of the route with that slash.
func TestServiceIsThatOfThePathAsSent(t *testing.T) {
	fix := newFixture(t, true, succeeds)
	fix.table.Entry("s").Service.Routes = []lagoonstile.Route{{PathPrefix: "/files/private"}}
	fix.table = router.New(1, []*router.Entry{fix.table.Entry("s")}, nil)
	for path, want := range map[string]int{"/files/private/7": http.StatusOK, "/files/private%2F7": http.StatusNotFound, "/files%2Fprivate/7": http.StatusNotFound} {
		res, err := http.Get("http://" + fix.listener.Address() + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != want {
			t.Errorf("%s: status %d, want %d", path, res.StatusCode, want)
		}
	}
}
