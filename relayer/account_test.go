package relayer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonstile"
	"lagoonstile/relayer"
	"lagoonstile/router"
	"lagoonstile/throttler"
)

// withAccounts makes the relayer require keys and returns its route.
func withAccounts(r *relayer.Relayer, public bool) {
	plan := *r.PlanTable().Plan
	plan.Routes = append([]lagoonstile.PlannedRoute(nil), plan.Routes...)
	plan.Routes[0].Public = public
	plan.Accounts = []lagoonstile.Account{
		{ID: "apiary", Keys: []lagoonstile.KeyDigest{lagoonstile.DigestKey("red")}, Quota: lagoonstile.Quota{Rate: 1, Burst: 1}},
		{ID: "museum", Keys: []lagoonstile.KeyDigest{lagoonstile.DigestKey("green")}},
	}
	table := router.NewPlanTable(&plan)
	r.PlanTable = func() *router.PlanTable { return table }
	r.Headers.Key, r.Headers.Account = "x-key", "X-Account"
}

// askAs serves one request with the given values of the key, account and Connection
// headers.
func askAs(r *relayer.Relayer, keys, accounts, connection []string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodGet, "http://shop.example/7", strings.NewReader(""))
	if connection != nil {
		req.Header["Connection"] = connection
	}
	req.Header["X-Id"] = []string{"1"}
	if keys != nil {
		req.Header["X-Key"] = keys
	}
	if accounts != nil {
		req.Header["X-Account"] = accounts
	}
	response := httptest.NewRecorder()
	r.ServeHTTP(response, req)
	return response
}

// TestAccounts checks which requests run, and what the server learns of the client.
func TestAccounts(t *testing.T) {
	tests := []struct {
		name           string
		public         bool
		keys, accounts []string
		connection     []string
		status         int
		// serverAccount is the account header that the server gets.
		serverAccount []string
	}{
		{"known key", false, []string{"red"}, nil, nil, 200, []string{"apiary"}},
		{"account of the client's choice", false, []string{"red"}, []string{"museum"}, nil, 200, []string{"apiary"}},
		{"several accounts of the client's choice", false, []string{"green"}, []string{"apiary", "x"}, nil, 200, []string{"museum"}},
		{"account as a header of the connection", false, []string{"red"}, []string{"museum"}, []string{"keep-alive, x-account"}, 200, []string{"apiary"}},
		{"key as a header of the connection", false, []string{"red"}, nil, []string{"X-Key", "X-Account"}, 200, []string{"apiary"}},
		{"no key", false, nil, []string{"apiary"}, nil, 401, nil},
		{"empty key", false, []string{""}, nil, nil, 401, nil},
		{"repeated key", false, []string{"red", "red"}, nil, nil, 401, nil},
		{"unknown key", false, []string{"yellow"}, nil, nil, 401, nil},
		{"public without key", true, nil, []string{"apiary"}, nil, 200, nil},
		{"public with unknown key", true, []string{"yellow"}, []string{"apiary"}, nil, 200, nil},
		{"public with known key", true, []string{"green"}, nil, nil, 200, []string{"museum"}},
	}
	for _, test := range tests {
		var got http.Header
		r := newRelayer(t, lagoonstile.PlannedRoute{Idempotent: true, Objective: time.Second, Timeout: time.Second, MaxAttempts: 1},
			func(w http.ResponseWriter, req *http.Request) { got = req.Header.Clone(); good(w, req) })
		withAccounts(r, test.public)
		response := askAs(r, test.keys, test.accounts, test.connection)
		if response.Code != test.status {
			t.Errorf("%s: status %d, want %d", test.name, response.Code, test.status)
		}
		if diff := cmp.Diff(test.serverAccount, got["X-Account"]); diff != "" {
			t.Errorf("%s: account header at the server (-want +got):\n%s", test.name, diff)
		}
		if key, sent := got["X-Key"]; sent {
			t.Errorf("%s: the server got the key %q", test.name, key)
		}
	}
}

// countedQuota has credit for a number of requests.
type countedQuota struct{ credit, returned int }

func (q *countedQuota) Draw(context.Context, *lagoonstile.Account, time.Time) (throttler.Credit, *throttler.Refusal) {
	if q.credit == 0 {
		return throttler.Credit{}, &throttler.Refusal{RetryAfter: 1500 * time.Millisecond}
	}
	q.credit--
	return throttler.Credit{}, nil
}

func (q *countedQuota) Return(*lagoonstile.Account, throttler.Credit) { q.returned++ }

// TestQuota checks when a request draws credit and when the credit comes back.
func TestQuota(t *testing.T) {
	tests := []struct {
		name    string
		key     string
		credit  int
		handler http.HandlerFunc
		status  int
		want    countedQuota
	}{
		{"served", "red", 3, good, 200, countedQuota{credit: 2}},
		{"over the quota", "red", 0, good, 429, countedQuota{}},
		{"account without a quota", "green", 0, good, 200, countedQuota{}},
		{"not run", "red", 3, refuse, 503, countedQuota{credit: 2, returned: 1}},
		{"may have run", "red", 3, fail, 500, countedQuota{credit: 2}},
	}
	for _, test := range tests {
		r := newRelayer(t, lagoonstile.PlannedRoute{Objective: time.Second, Timeout: 500 * time.Millisecond, MaxAttempts: 2}, test.handler, test.handler)
		withAccounts(r, false)
		quota := &countedQuota{credit: test.credit}
		r.Quotas = quota
		response := askAs(r, []string{test.key}, nil, nil)
		if response.Code != test.status {
			t.Errorf("%s: status %d, want %d", test.name, response.Code, test.status)
		}
		if test.status == http.StatusTooManyRequests && response.Header().Get("Retry-After") != "1.5" {
			t.Errorf("%s: Retry-After %q, want 1.5", test.name, response.Header().Get("Retry-After"))
		}
		if diff := cmp.Diff(test.want, *quota, cmp.AllowUnexported(countedQuota{})); diff != "" {
			t.Errorf("%s: credit (-want +got):\n%s", test.name, diff)
		}
	}
}
