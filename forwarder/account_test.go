package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonstile"
	"lagoonstile/router"
)

// TestAccounts checks which requests run if the configuration has accounts, and what
// the server learns of the client.
func TestAccounts(t *testing.T) {
	tests := []struct {
		name   string
		public bool
		header map[string]string
		status int
		// account is the caller header that the server gets.
		account string
	}{
		{"known key", false, map[string]string{"lagoonstile-caller-key": "red"}, 200, "museum"},
		{"account of the client's choice", false, map[string]string{"lagoonstile-caller-key": "red", "lagoonstile-caller": "shop"}, 200, "museum"},
		{"account as a header of the connection", false, map[string]string{"lagoonstile-caller-key": "red", "connection": "lagoonstile-caller"}, 200, "museum"},
		{"no key", false, map[string]string{"lagoonstile-caller": "museum"}, 401, ""},
		{"unknown key", false, map[string]string{"lagoonstile-caller-key": "blue"}, 401, ""},
		{"public", true, map[string]string{"lagoonstile-caller": "museum"}, 200, ""},
	}
	for _, test := range tests {
		var got http.Header
		fix := newFixture(t, true, func(w http.ResponseWriter, req *http.Request) {
			got = req.Header.Clone()
			succeeds(w, req)
		})
		entry := fix.table.Entry("s")
		entry.Service.Public = test.public
		fix.table = router.New(1, []*router.Entry{entry}, []lagoonstile.Account{{ID: "museum", Keys: []lagoonstile.KeyDigest{lagoonstile.DigestKey("red")}}})
		res, _, err := fix.send(t, http.MethodGet, test.header)
		if err != nil {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		if res.StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", test.name, res.StatusCode, test.status)
		}
		if diff := cmp.Diff(test.account, got.Get(lagoonstile.HeaderCaller)); diff != "" {
			t.Errorf("%s: account at the server (-want +got):\n%s", test.name, diff)
		}
		if key := got.Get(lagoonstile.HeaderCallerKey); key != "" {
			t.Errorf("%s: the server got the key %q", test.name, key)
		}
	}
}

// TestKeyIsNeverPassedOn checks that servers do not get a client's key either if the
// configuration has no accounts, for example after the last one was removed.
func TestKeyIsNeverPassedOn(t *testing.T) {
	var got http.Header
	fix := newFixture(t, true, func(w http.ResponseWriter, req *http.Request) {
		got = req.Header.Clone()
		succeeds(w, req)
	})
	res, _, err := fix.send(t, http.MethodGet, map[string]string{lagoonstile.HeaderCallerKey: "red"})
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", res, err)
	}
	if key := got.Get(lagoonstile.HeaderCallerKey); key != "" {
		t.Errorf("the server got the key %q", key)
	}
}
