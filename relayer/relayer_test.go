package relayer_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/allocator"
	"lagoonstile/relayer"
	"lagoonstile/retrier"
	"lagoonstile/router"
	"lagoonstile/steerer"
)

const service lagoonstile.ServiceID = "stock"

// newRelayer returns a relayer for servers that behave as the handlers say.
func newRelayer(t *testing.T, route lagoonstile.PlannedRoute, handlers ...http.HandlerFunc) *relayer.Relayer {
	t.Helper()
	route.Name, route.Host, route.PathPrefix = "look", "shop.example", "/"
	route.Targets = []lagoonstile.WeightedService{{Service: service, Weight: 1}}
	plan := &lagoonstile.Plan{
		Version: 1, Routes: []lagoonstile.PlannedRoute{route},
		Pools: map[lagoonstile.ServiceID]lagoonstile.PoolRules{service: {}},
	}
	if err := plan.Validate(); err != nil {
		t.Fatal(err)
	}
	table := router.NewPlanTable(plan)
	servers := allocator.New(steerer.DefaultRules, "here", func(lagoonstile.ServiceID, steerer.Report) {})
	var backends []lagoonstile.Backend
	for n, handler := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("X-Id", req.Header.Get("X-Id"))
			w.Header().Set("X-Signed", "yes")
			handler(w, req)
		}))
		t.Cleanup(server.Close)
		backends = append(backends, lagoonstile.Backend{
			ID: lagoonstile.ServerID(strconv.Itoa(n)), Service: service, FailureDomain: "here", Slots: 6,
			Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	servers.SetBackends(backends)
	return &relayer.Relayer{
		Headers:   relayer.Headers{RequestID: "X-Id", Deadline: "X-Wait", Target: "X-Target", NotRun: "X-Not-Run", Signature: "X-Signed"},
		Table:     func() *router.PlanTable { return table },
		Allocator: servers,
		Share:     func() retrier.Share { return retrier.Share{Ratio: 1, Slack: 1000, Span: 10 * time.Second} },
		Instances: func() int { return 1 },
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// ask sends one request and returns the answer.
func ask(r *relayer.Relayer, method, id string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, "http://shop.example/7", strings.NewReader(""))
	req.Header.Set("X-Id", id)
	answer := httptest.NewRecorder()
	r.ServeHTTP(answer, req)
	return answer
}

func good(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "good") }

// hang answers nothing until its client has left.
func hang(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }

// TestSilentServersAreGoneAround has two of three servers take requests and say
// nothing, as servers that lose power do.
func TestSilentServersAreGoneAround(t *testing.T) {
	route := lagoonstile.PlannedRoute{Idempotent: true, Objective: 200 * time.Millisecond, Timeout: 3 * time.Second, MaxAttempts: 3}
	r := newRelayer(t, route, hang, hang, good)
	for n := range 6 {
		began := time.Now()
		answer := ask(r, http.MethodGet, strconv.Itoa(n))
		if took := time.Since(began); answer.Code != http.StatusOK || took > 1500*time.Millisecond {
			t.Errorf("request %d: status %d after %v, want 200 within 1.5 s", n, answer.Code, took)
		}
	}
}

// refuse is a server that is full.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "full")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fail is a server that ran the request and failed.
func fail(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

// unsigned is an answer that some other program gave.
func unsigned(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("X-Signed")
	_, _ = io.WriteString(w, "good")
}

// TestWhatFollowsASend lists what servers do and what the client gets.
func TestWhatFollowsASend(t *testing.T) {
	order := lagoonstile.PlannedRoute{Objective: time.Second, Timeout: time.Second, MaxAttempts: 3}
	lookup := order
	lookup.Idempotent = true
	tests := []struct {
		name    string
		route   lagoonstile.PlannedRoute
		handler http.HandlerFunc
		status  int
		// sends is how many of three servers get the request.
		sends int32
		// again says that the client is told when to come back.
		again bool
	}{
		{name: "order, whole answer", route: order, handler: good, status: http.StatusOK, sends: 1},
		{name: "order, the server fails", route: order, handler: fail, status: http.StatusInternalServerError, sends: 1},
		{name: "order, servers are full", route: order, handler: refuse, status: http.StatusServiceUnavailable, sends: 3, again: true},
		{name: "order, not the server's answer", route: order, handler: unsigned, status: http.StatusBadGateway, sends: 1},
		{name: "order, no answer", route: order, handler: hang, status: http.StatusGatewayTimeout, sends: 1},
		{name: "lookup, the servers fail", route: lookup, handler: fail, status: http.StatusInternalServerError, sends: 3},
		{name: "lookup, not the servers' answers", route: lookup, handler: unsigned, status: http.StatusBadGateway, sends: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var sends atomic.Int32
			handler := func(w http.ResponseWriter, req *http.Request) {
				sends.Add(1)
				test.handler(w, req)
			}
			r := newRelayer(t, test.route, handler, handler, handler)
			began := time.Now()
			answer := ask(r, http.MethodPost, "7")
			if took := time.Since(began); test.again && took > 500*time.Millisecond {
				t.Errorf("told after %v that it can't be served, want at once", took)
			}
			if answer.Code != test.status || sends.Load() != test.sends {
				t.Errorf("status %d after %d sends, want %d after %d", answer.Code, sends.Load(), test.status, test.sends)
			}
			if again := answer.Header().Get("Retry-After") != ""; again != test.again {
				t.Errorf("told when to come back: %v, want %v", again, test.again)
			}
		})
	}
}
