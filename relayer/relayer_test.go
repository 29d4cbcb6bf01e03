package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/allocator"
	"lagoonstile/listener"
	"lagoonstile/relayer"
	"lagoonstile/retrier"
	"lagoonstile/router"
	"lagoonstile/steerer"
)

const service lagoonstile.ServiceID = "stock"

// newRelayer returns a relayer in front of one test server for each handler.
func newRelayer(t *testing.T, route lagoonstile.PlannedRoute, handlers ...http.HandlerFunc) *relayer.Relayer {
	t.Helper()
	var addresses []string
	for _, handler := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("X-Id", req.Header.Get("X-Id"))
			w.Header().Set("X-Signed", "yes")
			handler(w, req)
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return newRelayerTo(t, route, addresses...)
}

// newRelayerTo returns a relayer in front of the servers at the given addresses.
func newRelayerTo(t *testing.T, route lagoonstile.PlannedRoute, addresses ...string) *relayer.Relayer {
	t.Helper()
	route.Name, route.Host, route.PathPrefix = "lookup", "shop.example", "/"
	route.Targets = []lagoonstile.WeightedService{{Service: service, Weight: 1}}
	plan := &lagoonstile.Plan{
		Version: 1, Routes: []lagoonstile.PlannedRoute{route},
		Pools: map[lagoonstile.ServiceID]lagoonstile.PoolRules{service: {}},
	}
	if err := plan.Validate(); err != nil {
		t.Fatal(err)
	}
	table := router.NewPlanTable(plan)
	servers := allocator.New(steerer.DefaultFaultModel, "here", func(lagoonstile.ServiceID, steerer.Report) {})
	var backends []lagoonstile.Backend
	for n, address := range addresses {
		backends = append(backends, lagoonstile.Backend{
			ID: lagoonstile.ServerID(strconv.Itoa(n)), Service: service, FailureDomain: "here", Slots: 6, Address: address,
		})
	}
	servers.SetBackends(backends)
	return &relayer.Relayer{
		Headers:     relayer.Headers{RequestID: "X-Id", Deadline: "X-Wait", Target: "X-Target", NotRun: "X-Not-Run", Signature: "X-Signed"},
		PlanTable:   func() *router.PlanTable { return table },
		Allocator:   servers,
		RetryBudget: func() retrier.FleetBudget { return retrier.FleetBudget{Ratio: 1, Slack: 1000, Span: 10 * time.Second} },
		Instances:   func() int { return 1 },
		Log:         slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// ask serves one request and returns the response.
func ask(r *relayer.Relayer, method, id string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, "http://shop.example/7", strings.NewReader(""))
	req.Header.Set("X-Id", id)
	response := httptest.NewRecorder()
	r.ServeHTTP(response, req)
	return response
}

func good(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "good") }

// hang sends no response and returns when its client has disconnected.
func hang(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }

// TestSilentServersAreHedged checks that requests succeed quickly although two of
// three servers accept requests and never respond, as servers that lose power do.
func TestSilentServersAreHedged(t *testing.T) {
	route := lagoonstile.PlannedRoute{Idempotent: true, Objective: 200 * time.Millisecond, Timeout: 3 * time.Second, MaxAttempts: 3}
	r := newRelayer(t, route, hang, hang, good)
	for n := range 6 {
		started := time.Now()
		response := ask(r, http.MethodGet, strconv.Itoa(n))
		if took := time.Since(started); response.Code != http.StatusOK || took > 1500*time.Millisecond {
			t.Errorf("request %d: status %d after %v, want 200 within 1.5 s", n, response.Code, took)
		}
	}
}

// refuse responds as a server at capacity, which does not run the request.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "full")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fail responds as a server that ran the request and failed.
func fail(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

// unsigned responds as a program other than the server.
func unsigned(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("X-Signed")
	_, _ = io.WriteString(w, "good")
}

// TestRetries checks, for each kind of server behavior, what the client receives
// and how many servers get the request.
func TestRetries(t *testing.T) {
	order := lagoonstile.PlannedRoute{Objective: time.Second, Timeout: time.Second, MaxAttempts: 3}
	lookup := order
	lookup.Idempotent = true
	tests := []struct {
		name    string
		route   lagoonstile.PlannedRoute
		handler http.HandlerFunc
		status  int
		// sends is the number of servers, out of three, that get the request.
		sends int32
		// retryAfter is true if the response must have a Retry-After header.
		retryAfter bool
	}{
		{name: "order, complete response", route: order, handler: good, status: http.StatusOK, sends: 1},
		{name: "order, server fails", route: order, handler: fail, status: http.StatusInternalServerError, sends: 1},
		{name: "order, servers at capacity", route: order, handler: refuse, status: http.StatusServiceUnavailable, sends: 3, retryAfter: true},
		{name: "order, unsigned response", route: order, handler: unsigned, status: http.StatusBadGateway, sends: 1},
		{name: "order, no response", route: order, handler: hang, status: http.StatusGatewayTimeout, sends: 1},
		{name: "lookup, servers fail", route: lookup, handler: fail, status: http.StatusInternalServerError, sends: 3},
		{name: "lookup, unsigned responses", route: lookup, handler: unsigned, status: http.StatusBadGateway, sends: 3},
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
			started := time.Now()
			response := ask(r, http.MethodPost, "7")
			if took := time.Since(started); test.retryAfter && took > 500*time.Millisecond {
				t.Errorf("overload response after %v, want within 500 ms", took)
			}
			if response.Code != test.status || sends.Load() != test.sends {
				t.Errorf("status %d after %d sends, want %d after %d", response.Code, sends.Load(), test.status, test.sends)
			}
			if retryAfter := response.Header().Get("Retry-After") != ""; retryAfter != test.retryAfter {
				t.Errorf("Retry-After header present: %v, want %v", retryAfter, test.retryAfter)
			}
		})
	}
}

// TestBrokenStreamCountsAgainstServer lets a server end a large response early. The
// client must not get a complete response, and the server must be believed to be
// faulty afterwards.
func TestBrokenStreamCountsAgainstServer(t *testing.T) {
	const size = 8 << 20
	broken := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size/2))
	}
	r := newRelayer(t, lagoonstile.PlannedRoute{Idempotent: true, MaxAttempts: 1, Timeout: 10 * time.Second, Objective: 10 * time.Second}, broken)
	var changes []steerer.BeliefChange
	r.Allocator.OnChange = func(change steerer.BeliefChange) { changes = append(changes, change) }
	edge := httptest.NewServer(r)
	defer edge.Close()
	req, err := http.NewRequest(http.MethodGet, edge.URL+"/large", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "shop.example"
	req.Header.Set("X-Id", "1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if n, err := io.Copy(io.Discard, res.Body); err == nil {
		t.Errorf("read %d bytes without an error, want an incomplete response", n)
	}
	edge.Close()
	if len(changes) != 1 || !changes[0].Doubted {
		t.Errorf("changes of belief %+v, want one that doubts the server", changes)
	}
}

// TestServerIsBusyUntilEndOfBody guards against a server that looks idle, and is tried
// by one request after the other, while the end of its first large response without a
// length is still not known.
func TestServerIsBusyUntilEndOfBody(t *testing.T) {
	t.Parallel()
	var asked atomic.Int64
	started, release := make(chan struct{}), make(chan struct{})
	endless := func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) > 1 {
			return
		}
		_, _ = w.Write(make([]byte, 4<<20))
		close(started)
		<-release
	}
	r := newRelayer(t, lagoonstile.PlannedRoute{Idempotent: true, MaxAttempts: 1, Timeout: 10 * time.Second, Objective: 10 * time.Second}, endless, good)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for asked.Load() == 0 {
			ask(r, http.MethodGet, "1")
		}
	}()
	<-started
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ask(r, http.MethodGet, "2")
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("%d requests to the server during its first response, want none", n-1)
	}
	close(release)
	<-done
	if servers, _ := r.Allocator.Load(service); servers != 2 {
		t.Errorf("%d servers are usable afterwards, want 2", servers)
	}
}

// TestStatusesOfServersArePassedOn sends statuses through a listener. A client must get
// each as the server sent it, those without a standard text too, and with the server's
// body and signature.
func TestStatusesOfServersArePassedOn(t *testing.T) {
	route := lagoonstile.PlannedRoute{Objective: time.Second, Timeout: time.Second, MaxAttempts: 1}
	statuses := []int{200, 201, 226, 299, 304, 399, 404, 418, 430, 451, 499, 500, 505, 509, 529, 599}
	for _, status := range statuses {
		r := newRelayer(t, route, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			if status != http.StatusNotModified {
				_, _ = io.WriteString(w, "good")
			}
		})
		l, err := listener.Listen("127.0.0.1:0", listener.DefaultLimits, r)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			req, _ := http.NewRequest(method, "http://"+l.Address()+"/7", nil)
			req.Host = "shop.example"
			req.Header.Set("X-Id", "7")
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Errorf("%s, status %d: %v", method, status, err)
				continue
			}
			body, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			wantBody := "good"
			if status == http.StatusNotModified || method == http.MethodHead {
				wantBody = ""
			}
			if res.StatusCode != status || res.Header.Get("X-Signed") != "yes" || string(body) != wantBody || err != nil {
				t.Errorf("%s: status %d, signature %q, body %q, error %v; want status %d, signed, body %q",
					method, res.StatusCode, res.Header.Get("X-Signed"), body, err, status, wantBody)
			}
		}
	}
}

// TestLargeDownloadsWithLength guards against downloads that are cut: a body with a
// length that is too large to be held first is copied to the client in pieces.
func TestLargeDownloadsWithLength(t *testing.T) {
	const size = 5 << 20
	route := lagoonstile.PlannedRoute{Idempotent: true, Objective: 5 * time.Second, Timeout: 20 * time.Second, MaxAttempts: 1}
	r := newRelayer(t, route, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})
	address := listen(t, r)
	for range 5 {
		res := exchange(t, address, http.MethodGet)
		if n, err := io.Copy(io.Discard, res.Body); n != size || err != nil {
			t.Errorf("%d bytes, error %v; want %d", n, err, size)
		}
		_ = res.Body.Close()
	}
}

// TestHeadKeepsConnection guards against a body behind an answer to HEAD, be it the
// instance's own or a server's, which would be read as the next answer. A server's
// length is passed on.
func TestHeadKeepsConnection(t *testing.T) {
	route := lagoonstile.PlannedRoute{Idempotent: true, Objective: 5 * time.Second, Timeout: 5 * time.Second, MaxAttempts: 1}
	r := newRelayer(t, route, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, "good")
	})
	conn, err := net.Dial("tcp", listen(t, r))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, step := range []struct {
		method, host string
		status       int
		length       int64
	}{
		{http.MethodHead, "unknown.example", http.StatusNotFound, -1}, {http.MethodGet, "shop.example", http.StatusOK, 4},
		{http.MethodHead, "shop.example", http.StatusOK, 4}, {http.MethodGet, "shop.example", http.StatusOK, 4},
	} {
		_, _ = fmt.Fprintf(conn, "%s /7 HTTP/1.1\r\nHost: %s\r\nX-Id: 1\r\n\r\n", step.method, step.host)
		res, err := http.ReadResponse(reader, &http.Request{Method: step.method})
		if err != nil || res.StatusCode != step.status || step.length >= 0 && res.ContentLength != step.length {
			t.Fatalf("%s %s: answer %v, error %v; want %d with length %d", step.method, step.host, res, err, step.status, step.length)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
}

// listen serves a relayer on a listener and returns its address.
func listen(t *testing.T, r *relayer.Relayer) string {
	t.Helper()
	l, err := listener.Listen("127.0.0.1:0", listener.DefaultLimits, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l.Address()
}

// exchange sends one request to a relayer that listens on the address.
func exchange(t *testing.T, address, method string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+"/7", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "shop.example"
	req.Header.Set("X-Id", "1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return res
}
