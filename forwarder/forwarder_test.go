package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/admitter"
	"lagoonstile/answerer"
	"lagoonstile/counter"
	"lagoonstile/forwarder"
	"lagoonstile/listener"
	"lagoonstile/picker"
	"lagoonstile/quarantiner"
	"lagoonstile/retrier"
	"lagoonstile/router"
	"lagoonstile/scheduler"
)

// firstUntried picks the first target that has not been tried, so that tests know
// the order of the servers.
type firstUntried struct{}

func (firstUntried) Pick(pool *picker.Pool, tried []*picker.Target) *picker.Target {
	for _, target := range pool.Targets {
		if !strings.Contains(fmt.Sprint(serverIDs(tried)), string(target.Server.ID)) {
			return target
		}
	}
	return nil
}

func serverIDs(targets []*picker.Target) []lagoonstile.ServerID {
	var ids []lagoonstile.ServerID
	for _, target := range targets {
		ids = append(ids, target.Server.ID)
	}
	return ids
}

// fixture is a forwarder with a listener for callers and a few servers.
type fixture struct {
	idempotent bool
	table      *router.Table
	forwarder  *forwarder.Forwarder
	listener   *listener.Listener
	targets    []*picker.Target
	// received counts the requests that each server received.
	received []*atomic.Int64
}

// directOrders runs every order without a key table. No test of this package sends
// an order twice.
type directOrders struct{ f *forwarder.Forwarder }

func (o directOrders) Do(ctx context.Context, req *forwarder.Request) (*forwarder.Answer, error) {
	return o.f.Run(ctx, req)
}

// newFixture starts one server for each handler. A nil handler stands for a server
// whose address refuses connections.
func newFixture(t *testing.T, idempotent bool, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	var addresses []string
	var received []*atomic.Int64
	for _, handler := range handlers {
		count := &atomic.Int64{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			count.Add(1)
			handler(w, req)
		}))
		if handler == nil {
			server.Close()
		} else {
			t.Cleanup(server.Close)
		}
		received = append(received, count)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	fix := newFixtureTo(t, idempotent, addresses...)
	fix.received = received
	return fix
}

// newFixtureTo forwards to the servers at the given addresses.
func newFixtureTo(t *testing.T, idempotent bool, addresses ...string) *fixture {
	t.Helper()
	fix := &fixture{idempotent: idempotent}
	for i, address := range addresses {
		fix.targets = append(fix.targets, &picker.Target{
			Server: lagoonstile.Server{ID: lagoonstile.ServerID(fmt.Sprint("server-", i)), Address: address, Slots: 6},
			Live:   &counter.Server{}, Weight: 1, Limit: 6,
		})
	}
	fix.setTargets(fix.targets...)
	fix.forwarder = &forwarder.Forwarder{
		Table:        func() *router.Table { return fix.table },
		InstanceGate: admitter.New(100, scheduler.DefaultShares),
		Picker:       firstUntried{},
		Suspects:     &suspects{},
		Log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	fix.forwarder.Orders = directOrders{fix.forwarder}
	l, err := listener.Listen("127.0.0.1:0", listener.DefaultLimits, fix.forwarder)
	if err != nil {
		t.Fatal(err)
	}
	fix.listener = l
	t.Cleanup(func() {
		l.Close()
		fix.forwarder.Close()
	})
	return fix
}

// setTargets sets the servers, which are tried in this order. It must not be called
// during requests.
func (fix *fixture) setTargets(targets ...*picker.Target) {
	service := &lagoonstile.Service{
		ID: "s", Rank: lagoonstile.RankLookups, Idempotent: fix.idempotent,
		Deadline: time.Minute, ConnectionsPerServer: 4, Routes: []lagoonstile.Route{{PathPrefix: "/"}},
	}
	entry := &router.Entry{
		Service: service, Pool: &picker.Pool{Targets: targets},
		Gate: admitter.New(100, scheduler.DefaultShares), Budget: retrier.New(1), SlowAfter: time.Minute,
	}
	fix.table = router.New(1, []*router.Entry{entry}, nil)
}

// suspects makes a quarantiner.Tracker safe for concurrent use.
type suspects struct {
	mu      sync.Mutex
	tracker quarantiner.Tracker
}

func (s *suspects) Admit(fingerprint quarantiner.Fingerprint) quarantiner.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Admit(time.Now(), fingerprint)
}

func (s *suspects) Evidence(fingerprint quarantiner.Fingerprint) quarantiner.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Evidence(time.Now(), fingerprint)
}

func (s *suspects) RecordCrash(fingerprint quarantiner.Fingerprint, known quarantiner.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordCrash(time.Now(), fingerprint, known)
}

func (s *suspects) Clear(fingerprint quarantiner.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Clear(time.Now(), fingerprint)
}

// send sends a request to the forwarder and returns the response with its body.
func (fix *fixture) send(t *testing.T, method string, header map[string]string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+fix.listener.Address()+"/resource", nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res, body, err
}

func succeeds(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func fails(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "fault", http.StatusInternalServerError)
}

func sheds(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(lagoonstile.HeaderShed, lagoonstile.ShedOverloaded)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// crashes closes the connection without a response.
func crashes(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// truncates announces 100 bytes and sends 50.
func truncates(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write(make([]byte, 50))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// truncatesChunks closes the connection after the first chunk of a response
// without a content length.
func truncatesChunks(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, 50))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// sendsUnframedBody sends a response whose body ends only with the connection.
func sendsUnframedBody(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nshort")
		_ = conn.Close()
	}
}

func hangs(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }

// TestRetriesAndOutcomes checks which failures are retried on another server, how
// many requests each server receives, and which kind and outcome the caller gets.
func TestRetriesAndOutcomes(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		servers    []http.HandlerFunc
		header     map[string]string
		status     int
		kind       answerer.Kind
		outcome    answerer.Outcome
		received   []int64
	}{
		{"5xx is retried", true, []http.HandlerFunc{fails, succeeds}, nil, 200, "", "", []int64{1, 1}},
		{"body shorter than the content length is retried", true, []http.HandlerFunc{truncates, succeeds}, nil, 200, "", "", []int64{1, 1}},
		{"incomplete chunked body is retried", true, []http.HandlerFunc{truncatesChunks, succeeds}, nil, 200, "", "", []int64{1, 1}},
		{"body without length or chunks is retried", true, []http.HandlerFunc{sendsUnframedBody, succeeds}, nil, 200, "", "", []int64{1, 1}},
		{"shed request is retried", true, []http.HandlerFunc{sheds, succeeds}, nil, 200, "", "", []int64{1, 1}},
		{"all servers refuse connections", true, []http.HandlerFunc{nil, nil}, nil, 503, answerer.KindNoServer, answerer.OutcomeNotRun, []int64{0, 0}},
		{"all servers shed", true, []http.HandlerFunc{sheds, sheds}, nil, 503, answerer.KindOverloaded, answerer.OutcomeNotRun, []int64{1, 1}},
		{"all bodies are truncated", true, []http.HandlerFunc{truncates, truncates}, nil, 502, answerer.KindTruncated, answerer.OutcomeUnknown, []int64{1, 1}},
		{"all servers fail: a server's 5xx is returned", true, []http.HandlerFunc{fails, fails}, nil, 500, "", "", []int64{1, 1}},
		{"crash after a shed request", true, []http.HandlerFunc{sheds, crashes}, nil, 502, answerer.KindServerFailed, answerer.OutcomeUnknown, []int64{1, 1}},
		{"deadline passes while a server runs the request", true, []http.HandlerFunc{hangs}, map[string]string{lagoonstile.HeaderDeadline: "50"}, 504, answerer.KindDeadline, answerer.OutcomeUnknown, []int64{1}},
		{"malformed deadline", true, []http.HandlerFunc{succeeds}, map[string]string{lagoonstile.HeaderDeadline: "soon"}, 400, answerer.KindBadDeadline, answerer.OutcomeNotRun, []int64{0}},
		{"unknown service", true, []http.HandlerFunc{succeeds}, map[string]string{lagoonstile.HeaderService: "none"}, 404, answerer.KindUnknownService, answerer.OutcomeNotRun, []int64{0}},
		{"order to an unknown service", true, []http.HandlerFunc{succeeds}, map[string]string{lagoonstile.HeaderService: "none", lagoonstile.HeaderKey: "p.i.1.7"}, 404, answerer.KindUnknownService, answerer.OutcomeUnknown, []int64{0}},

		{"order without a key", false, []http.HandlerFunc{succeeds}, nil, 400, answerer.KindKeyMissing, answerer.OutcomeNotRun, []int64{0}},
		{"order with a key that names no home", false, []http.HandlerFunc{succeeds}, map[string]string{lagoonstile.HeaderKey: "7"}, 400, answerer.KindKeyMalformed, answerer.OutcomeNotRun, []int64{0}},
		{"caller declares the request not idempotent", true, []http.HandlerFunc{crashes, succeeds}, map[string]string{lagoonstile.HeaderIdempotent: "no", lagoonstile.HeaderKey: "p.i.1.7"}, 502, answerer.KindServerFailed, answerer.OutcomeUnknown, []int64{1, 0}},
		{"order that crashes its server is not retried", false, []http.HandlerFunc{crashes, succeeds}, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}, 502, answerer.KindServerFailed, answerer.OutcomeUnknown, []int64{1, 0}},
		{"order with a truncated body is not retried", false, []http.HandlerFunc{truncates, succeeds}, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}, 502, answerer.KindTruncated, answerer.OutcomeUnknown, []int64{1, 0}},
		{"order that a server shed is retried", false, []http.HandlerFunc{sheds, succeeds}, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}, 200, "", "", []int64{1, 1}},
		{"order that was never sent is retried", false, []http.HandlerFunc{nil, succeeds}, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}, 200, "", "", []int64{0, 1}},
		{"order with a 5xx is not retried", false, []http.HandlerFunc{fails, succeeds}, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}, 500, "", "", []int64{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fix := newFixture(t, test.idempotent, test.servers...)
			res, _, err := fix.send(t, http.MethodGet, test.header)
			if err != nil {
				t.Fatal(err)
			}
			kind, outcome := res.Header.Get(answerer.HeaderKind), res.Header.Get(answerer.HeaderOutcome)
			if res.StatusCode != test.status || kind != string(test.kind) || outcome != string(test.outcome) {
				t.Errorf("status %d, kind %q, outcome %q; want %d, %q, %q", res.StatusCode, kind, outcome, test.status, test.kind, test.outcome)
			}
			for i, received := range fix.received {
				if received.Load() != test.received[i] {
					t.Errorf("server %d received %d requests, want %d", i, received.Load(), test.received[i])
				}
			}
			if test.kind == answerer.KindUnknownService && res.Header.Get(answerer.HeaderRequestID) == "" {
				t.Error("the failure has no request ID header")
			}
		})
	}
}

// TestLateRequestsOfDrainAreRefused guards against requests that are taken during a
// drain although it will end before them.
func TestLateRequestsOfDrainAreRefused(t *testing.T) {
	fix := newFixture(t, true, succeeds)
	fix.forwarder.StartDrain(time.Now().Add(5 * time.Second))
	tests := []struct {
		deadline string
		status   int
	}{{"10000", http.StatusServiceUnavailable}, {"2000", http.StatusOK}}
	for _, test := range tests {
		before := fix.received[0].Load()
		res, _, err := fix.send(t, http.MethodGet, map[string]string{lagoonstile.HeaderDeadline: test.deadline})
		if err != nil {
			t.Fatal(err)
		}
		refused := fix.received[0].Load() == before
		if res.StatusCode != test.status || refused != (test.status != http.StatusOK) {
			t.Errorf("deadline in %s ms: status %d, refused %v; want %d", test.deadline, res.StatusCode, refused, test.status)
		}
	}
}

// TestTransportDoesNotResendOrders crashes a server on a reused connection. By
// default, net/http's transport then resends a request that has an idempotency key,
// and the order would run twice.
func TestTransportDoesNotResendOrders(t *testing.T) {
	n := &atomic.Int64{}
	fix := newFixture(t, false, func(w http.ResponseWriter, req *http.Request) {
		if n.Add(1) > 3 {
			crashes(w, req)
			return
		}
		succeeds(w, req)
	})
	for i := range 4 {
		res, _, err := fix.send(t, http.MethodPost, map[string]string{lagoonstile.HeaderKey: fmt.Sprint("p.i.1.", i)})
		if err != nil {
			t.Fatal(err)
		}
		if i == 3 && res.StatusCode != http.StatusBadGateway {
			t.Errorf("status %d, want 502", res.StatusCode)
		}
	}
	if received := fix.received[0].Load(); received != 4 {
		t.Errorf("the server received %d requests for 4 orders", received)
	}
}

// TestRequestHeaders checks the headers that a server receives: hop-by-hop headers
// are removed, and the remaining deadline, the request ID and the caller's address
// are added.
func TestRequestHeaders(t *testing.T) {
	var got http.Header
	fix := newFixture(t, true, func(w http.ResponseWriter, req *http.Request) {
		got = req.Header.Clone()
		succeeds(w, req)
	})
	if _, _, err := fix.send(t, http.MethodGet, map[string]string{"Connection": "x-hop", "X-Hop": "1", "X-End": "2", lagoonstile.HeaderDeadline: "5000"}); err != nil {
		t.Fatal(err)
	}
	remaining, err := strconv.Atoi(got.Get(lagoonstile.HeaderDeadline))
	if err != nil || remaining <= 0 || remaining > 5000 {
		t.Errorf("deadline %q, want a number from 1 to 5000", got.Get(lagoonstile.HeaderDeadline))
	}
	if got.Get("X-Forwarded-For") != "127.0.0.1" || got.Get(answerer.HeaderRequestID) == "" || got.Get("X-End") != "2" || got.Get("X-Hop") != "" {
		t.Errorf("headers %v", got)
	}
}

// failingOrders returns an error that is not a Failure, which stands for a fault of
// the instance itself.
type failingOrders struct{}

func (failingOrders) Do(context.Context, *forwarder.Request) (*forwarder.Answer, error) {
	return nil, io.ErrClosedPipe
}

// TestInternalError checks that a fault of the instance itself is reported as an
// internal error with an unknown outcome.
func TestInternalError(t *testing.T) {
	fix := newFixture(t, false, succeeds)
	fix.forwarder.Orders = failingOrders{}
	res, _, err := fix.send(t, http.MethodPost, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"})
	if err != nil {
		t.Fatal(err)
	}
	if kind, outcome := res.Header.Get(answerer.HeaderKind), res.Header.Get(answerer.HeaderOutcome); kind != string(answerer.KindInternal) || outcome != string(answerer.OutcomeUnknown) {
		t.Errorf("kind %q, outcome %q", kind, outcome)
	}
}

// TestSlowRequestIsHedged checks that a request to a server that hangs is sent to a
// second server as well, and that the first one is counted as slow.
func TestSlowRequestIsHedged(t *testing.T) {
	fix := newFixture(t, true, hangs, succeeds)
	fix.forwarder.Table().Entry("s").SlowAfter = time.Millisecond
	_, body, err := fix.send(t, http.MethodGet, nil)
	if err != nil || string(body) != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	if totals := fix.targets[0].Live.Totals(); totals.Slow != 1 {
		t.Errorf("counts of the slow server are %+v, want one slow result", totals)
	}
}

// download serves 1 MB and supports range requests if etag is set. If truncate is
// set, it closes the connection in the middle of the body. If ignoreIfRange is set,
// it answers a range request for another version with a part of its own version.
func download(etag string, truncate, ignoreIfRange bool) http.HandlerFunc {
	content := downloadContent()
	return func(w http.ResponseWriter, req *http.Request) {
		start := 0
		if etag != "" {
			w.Header().Set("ETag", etag)
			w.Header().Set("Accept-Ranges", "bytes")
		}
		status := http.StatusOK
		if from, ok := strings.CutPrefix(req.Header.Get("Range"), "bytes="); ok && (ignoreIfRange || req.Header.Get("If-Range") == etag) {
			start, _ = strconv.Atoi(strings.TrimSuffix(from, "-"))
			w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", start, len(content)-1, len(content)))
			status = http.StatusPartialContent
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(content)-start))
		w.WriteHeader(status)
		if truncate {
			_, _ = w.Write(content[start : start+(len(content)-start)/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(content[start:])
	}
}

func downloadContent() []byte {
	content := make([]byte, 1<<20)
	for i := range content {
		content[i] = byte(i ^ i>>8)
	}
	return content
}

// TestStreamedAnswerIsCompleteOrAborted truncates a streamed answer. The caller must
// receive either the complete body, resumed at another server, or an aborted
// connection, and never a truncated body without an error.
func TestStreamedAnswerIsCompleteOrAborted(t *testing.T) {
	tests := []struct {
		name     string
		servers  []http.HandlerFunc
		complete bool
	}{
		{"rest from another server", []http.HandlerFunc{download(`"1"`, true, false), download(`"1"`, false, false)}, true},
		{"other server has another version", []http.HandlerFunc{download(`"1"`, true, false), download(`"2"`, false, false)}, false},
		{"other server returns a part of another version", []http.HandlerFunc{download(`"1"`, true, false), download(`"2"`, false, true)}, false},
		{"no ETag", []http.HandlerFunc{download("", true, false), download("", false, false)}, false},
		{"no other server", []http.HandlerFunc{download(`"1"`, true, false)}, false},
	}
	for _, test := range tests {
		fix := newFixture(t, true, test.servers...)
		_, body, err := fix.send(t, http.MethodGet, nil)
		if complete := err == nil && bytes.Equal(body, downloadContent()); complete != test.complete {
			t.Errorf("%s: %d bytes, %v; want complete %t", test.name, len(body), err, test.complete)
		}
		if err == nil && !bytes.Equal(body, downloadContent()) {
			t.Errorf("%s: truncated body without an error", test.name)
		}
	}
}

// TestEndlessAnswersAreBounded lets a server send without end. The caller must get
// an error or an aborted connection soon, after a bounded number of bytes.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const limit = 1 << 20
	tests := []struct{ name, start string }{
		{"headers", "HTTP/1.1 200 OK\r\n"},
		{"interim responses", "HTTP/1.1 102 Processing\r\n"},
		{"body without framing", "HTTP/1.1 200 OK\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
	}
	for _, test := range tests {
		piece := []byte(strings.Repeat("X-Many: 1\r\n", 100))
		if test.name == "chunks" {
			piece = []byte(strings.Repeat("4\r\ngood\r\n", 100))
		}
		fix := newFixture(t, true, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, test.start)
			for err == nil {
				_, err = conn.Write(piece)
			}
		})
		fix.forwarder.ResponseLimits.MaxUnknownLengthBytes = limit
		began := time.Now()
		res, body, err := fix.send(t, http.MethodGet, nil)
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("%s: answered after %v, want at most 10 s", test.name, took)
		}
		if err == nil && res.StatusCode == http.StatusOK || len(body) > limit {
			t.Errorf("%s: answer of %d bytes, error %v; want no complete answer and at most %d bytes", test.name, len(body), err, limit)
		}
	}
}

// TestDisconnectDoesNotCountAgainstServer checks that the request to the server is
// canceled when the caller disconnects, and that this adds no result to the
// server's counts.
func TestDisconnectDoesNotCountAgainstServer(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	fix := newFixture(t, true, func(_ http.ResponseWriter, req *http.Request) {
		close(started)
		<-req.Context().Done()
		close(ended)
	})
	conn, err := net.Dial("tcp", fix.listener.Address())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET /resource HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	_ = conn.Close()
	<-ended
	for fix.targets[0].Live.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if totals := fix.targets[0].Live.Totals(); totals != (counter.Totals{}) {
		t.Errorf("counts %+v, want none", totals)
	}
}

// TestPoisonRequestCrashesTwoServersAtMost sends the same request five times. Each
// server that runs it crashes. It must be quarantined after two crashes, while
// other requests still run.
func TestPoisonRequestCrashesTwoServersAtMost(t *testing.T) {
	var servers []http.HandlerFunc
	for range 6 {
		servers = append(servers, func(w http.ResponseWriter, req *http.Request) {
			if req.Header.Get("poison") != "" {
				crashes(w, req)
				return
			}
			succeeds(w, req)
		})
	}
	fix := newFixture(t, true, servers...)
	for range 5 {
		res, _, err := fix.send(t, http.MethodPut, map[string]string{"poison": "yes"})
		if err != nil {
			t.Fatal(err)
		}
		if kind := res.Header.Get(answerer.HeaderKind); kind != string(answerer.KindQuarantined) {
			t.Errorf("kind %q, want %q", kind, answerer.KindQuarantined)
		}
	}
	var total int64
	for _, received := range fix.received {
		total += received.Load()
	}
	if total != 2 {
		t.Errorf("%d servers crashed, want 2", total)
	}
	if res, body, err := fix.send(t, http.MethodGet, nil); err != nil || string(body) != "ok" {
		t.Errorf("request without the poison header: %v, %q, %v", res, body, err)
	}
}

// TestPopularRequestIsNotQuarantinedByOneCrash guards against a harmless request that is
// refused for an hour because several copies of it were in flight when one server
// crashed.
func TestPopularRequestIsNotQuarantinedByOneCrash(t *testing.T) {
	const copies = 6
	servers := []http.HandlerFunc{func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(20 * time.Millisecond) // Until the other copies are in flight, too.
		crashes(w, req)
	}}
	for range 2 * copies {
		servers = append(servers, succeeds)
	}
	fix := newFixture(t, true, servers...)
	var callers sync.WaitGroup
	for range copies {
		callers.Go(func() {
			res, _, err := fix.send(t, http.MethodGet, nil)
			if err != nil {
				t.Error(err)
				return
			}
			if kind := res.Header.Get(answerer.HeaderKind); kind == string(answerer.KindQuarantined) {
				t.Errorf("kind %q for a request in flight at the crash", kind)
			}
		})
	}
	callers.Wait()
	if res, body, err := fix.send(t, http.MethodGet, nil); err != nil || string(body) != "ok" {
		t.Errorf("the same request after the crash: %v, %q, %v, want it to be served", res, body, err)
	}
}
