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

// inOrder picks the first server that was not tried, so that a test knows
// which one comes next.
type inOrder struct{}

func (inOrder) Pick(pool *picker.Pool, tried []*picker.Target) *picker.Target {
	for _, target := range pool.Targets {
		if !strings.Contains(fmt.Sprint(idsOf(tried)), string(target.Server.ID)) {
			return target
		}
	}
	return nil
}

func idsOf(targets []*picker.Target) []lagoonstile.ServerID {
	var ids []lagoonstile.ServerID
	for _, target := range targets {
		ids = append(ids, target.Server.ID)
	}
	return ids
}

// fixture is a forwarder before a few servers.
type fixture struct {
	forwarder *forwarder.Forwarder
	listener  *listener.Listener
	targets   []*picker.Target
	// runs counts the requests that each server got.
	runs []*atomic.Int64
}

// orders runs every order at once: no test here sends one twice.
type orders struct{ f *forwarder.Forwarder }

func (o orders) Do(ctx context.Context, req *forwarder.Request) (*forwarder.Answer, error) {
	return o.f.Run(ctx, req)
}

func newFixture(t *testing.T, idempotent bool, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	fix := &fixture{}
	for i, handler := range handlers {
		runs := &atomic.Int64{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			runs.Add(1)
			handler(w, req)
		}))
		if handler == nil {
			server.Close() // Nobody listens at this address.
		} else {
			t.Cleanup(server.Close)
		}
		fix.runs = append(fix.runs, runs)
		fix.targets = append(fix.targets, &picker.Target{
			Server: lagoonstile.Server{ID: lagoonstile.ServerID(fmt.Sprint("server-", i)), Address: server.Listener.Addr().String(), Slots: 6},
			Live:   &counter.Server{}, Weight: 1, Limit: 6,
		})
	}
	service := &lagoonstile.Service{
		ID: "s", Rank: lagoonstile.RankLookups, Idempotent: idempotent,
		Deadline: time.Minute, ConnectionsPerServer: 4, Routes: []lagoonstile.Route{{PathPrefix: "/"}},
	}
	entry := &router.Entry{
		Service: service, Pool: &picker.Pool{Targets: fix.targets},
		Gate: admitter.New(100, scheduler.DefaultShares), Budget: retrier.New(1), SlowAfter: time.Minute,
	}
	table := router.New(1, []*router.Entry{entry})
	fix.forwarder = &forwarder.Forwarder{
		Table:    func() *router.Table { return table },
		Instance: admitter.New(100, scheduler.DefaultShares),
		Picker:   inOrder{},
		Suspects: &suspects{},
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	fix.forwarder.Orders = orders{fix.forwarder}
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

// suspects shares a keeper between requests.
type suspects struct {
	mu     sync.Mutex
	keeper quarantiner.Tracker
}

func (s *suspects) Admit(print quarantiner.Fingerprint) quarantiner.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Admit(time.Now(), print)
}

func (s *suspects) Crashed(print quarantiner.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.RecordCrash(time.Now(), print)
}

func (s *suspects) Cleared(print quarantiner.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Clear(time.Now(), print)
}

func (fix *fixture) ask(t *testing.T, method string, header map[string]string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+fix.listener.Address()+"/thing", nil)
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

func well(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "well") }

func fails(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "fault", http.StatusInternalServerError)
}

func sheds(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(lagoonstile.HeaderShed, lagoonstile.ShedOverloaded)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// crashes ends the connection without an answer.
func crashes(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// truncates says 100 bytes and sends 50.
func truncates(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write(make([]byte, 50))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// truncatesChunks breaks off between chunks, with no length to compare.
func truncatesChunks(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, 50))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// unbounded answers with a body that only the end of the connection ends.
func unbounded(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nshort")
		_ = conn.Close()
	}
}

func waits(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }

// TestTries states what is tried again, on which servers, and what the caller
// is told in the end.
func TestTries(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		servers    []http.HandlerFunc
		header     map[string]string
		status     int
		kind       answerer.Kind
		outcome    answerer.Outcome
		runs       []int64
	}{
		{"an error is tried elsewhere", true, []http.HandlerFunc{fails, well}, nil, 200, "", "", []int64{1, 1}},
		{"a short answer is tried elsewhere", true, []http.HandlerFunc{truncates, well}, nil, 200, "", "", []int64{1, 1}},
		{"missing chunks are tried elsewhere", true, []http.HandlerFunc{truncatesChunks, well}, nil, 200, "", "", []int64{1, 1}},
		{"an unbounded answer is tried elsewhere", true, []http.HandlerFunc{unbounded, well}, nil, 200, "", "", []int64{1, 1}},
		{"a refused request is tried elsewhere", true, []http.HandlerFunc{sheds, well}, nil, 200, "", "", []int64{1, 1}},
		{"nobody listens", true, []http.HandlerFunc{nil, nil}, nil, 503, answerer.KindNoServer, answerer.OutcomeNotRun, []int64{0, 0}},
		{"all refuse", true, []http.HandlerFunc{sheds, sheds}, nil, 503, answerer.KindOverloaded, answerer.OutcomeNotRun, []int64{1, 1}},
		{"all answers are short", true, []http.HandlerFunc{truncates, truncates}, nil, 502, answerer.KindTruncated, answerer.OutcomeUnknown, []int64{1, 1}},
		{"all fail: the server's own words", true, []http.HandlerFunc{fails, fails}, nil, 500, "", "", []int64{1, 1}},
		{"an error after a refusal", true, []http.HandlerFunc{sheds, crashes}, nil, 502, answerer.KindServerFailed, answerer.OutcomeUnknown, []int64{1, 1}},
		{"the deadline passes at a server", true, []http.HandlerFunc{waits}, map[string]string{lagoonstile.HeaderDeadline: "50"}, 504, answerer.KindDeadline, answerer.OutcomeUnknown, []int64{1}},
		{"a wrong deadline", true, []http.HandlerFunc{well}, map[string]string{lagoonstile.HeaderDeadline: "soon"}, 400, answerer.KindBadDeadline, answerer.OutcomeNotRun, []int64{0}},
		{"an unknown service", true, []http.HandlerFunc{well}, map[string]string{lagoonstile.HeaderService: "none"}, 404, answerer.KindUnknownService, answerer.OutcomeNotRun, []int64{0}},
		{"an order to a service unknown here", true, []http.HandlerFunc{well}, map[string]string{lagoonstile.HeaderService: "none", lagoonstile.HeaderKey: "p.i.1.7"}, 404, answerer.KindUnknownService, answerer.OutcomeUnknown, []int64{0}},

		{"an order without a key", false, []http.HandlerFunc{well}, nil, 400, answerer.KindKeyMissing, answerer.OutcomeNotRun, []int64{0}},
		{"an order with a key without home", false, []http.HandlerFunc{well}, map[string]string{lagoonstile.HeaderKey: "7"}, 400, answerer.KindKeyMalformed, answerer.OutcomeNotRun, []int64{0}},
		{"a caller asks for more care", true, []http.HandlerFunc{crashes, well}, map[string]string{lagoonstile.HeaderIdempotent: "no", lagoonstile.HeaderKey: "p.i.1.7"}, 502, answerer.KindServerFailed, answerer.OutcomeUnknown, []int64{1, 0}},
		{"an order that crashes its server", false, []http.HandlerFunc{crashes, well}, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}, 502, answerer.KindServerFailed, answerer.OutcomeUnknown, []int64{1, 0}},
		{"an order whose answer is short", false, []http.HandlerFunc{truncates, well}, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}, 502, answerer.KindTruncated, answerer.OutcomeUnknown, []int64{1, 0}},
		{"an order that a server refused", false, []http.HandlerFunc{sheds, well}, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}, 200, "", "", []int64{1, 1}},
		{"an order that never left", false, []http.HandlerFunc{nil, well}, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}, 200, "", "", []int64{0, 1}},
		{"an order that fails", false, []http.HandlerFunc{fails, well}, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}, 500, "", "", []int64{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fix := newFixture(t, test.idempotent, test.servers...)
			res, _, err := fix.ask(t, http.MethodGet, test.header)
			if err != nil {
				t.Fatal(err)
			}
			kind, outcome := res.Header.Get(answerer.HeaderKind), res.Header.Get(answerer.HeaderOutcome)
			if res.StatusCode != test.status || kind != string(test.kind) || outcome != string(test.outcome) {
				t.Errorf("status %d, kind %q, outcome %q; want %d, %q, %q", res.StatusCode, kind, outcome, test.status, test.kind, test.outcome)
			}
			for i, runs := range fix.runs {
				if runs.Load() != test.runs[i] {
					t.Errorf("server %d got %d requests, want %d", i, runs.Load(), test.runs[i])
				}
			}
			if test.kind == answerer.KindUnknownService && res.Header.Get(answerer.HeaderRequestID) == "" {
				t.Error("an answer of our own has no request id")
			}
		})
	}
}

// TestTransportSendsOrdersOnce crashes a server on a warm connection, where
// net/http by itself would send a request with an idempotency key again.
func TestTransportSendsOrdersOnce(t *testing.T) {
	n := &atomic.Int64{}
	fix := newFixture(t, false, func(w http.ResponseWriter, req *http.Request) {
		if n.Add(1) > 3 {
			crashes(w, req)
			return
		}
		well(w, req)
	})
	for i := range 4 {
		res, _, err := fix.ask(t, http.MethodPost, map[string]string{lagoonstile.HeaderKey: fmt.Sprint("p.i.1.", i)})
		if err != nil {
			t.Fatal(err)
		}
		if i == 3 && res.StatusCode != http.StatusBadGateway {
			t.Errorf("status %d, want 502", res.StatusCode)
		}
	}
	if runs := fix.runs[0].Load(); runs != 4 {
		t.Errorf("4 orders reached the server %d times", runs)
	}
}

// TestServersAreTold states what a server learns besides the request itself.
func TestServersAreTold(t *testing.T) {
	var got http.Header
	fix := newFixture(t, true, func(w http.ResponseWriter, req *http.Request) {
		got = req.Header.Clone()
		well(w, req)
	})
	if _, _, err := fix.ask(t, http.MethodGet, map[string]string{"Connection": "x-hop", "X-Hop": "1", "X-End": "2", lagoonstile.HeaderDeadline: "5000"}); err != nil {
		t.Fatal(err)
	}
	remaining, err := strconv.Atoi(got.Get(lagoonstile.HeaderDeadline))
	if err != nil || remaining <= 0 || remaining > 5000 {
		t.Errorf("deadline %q, want what is left of 5000 ms", got.Get(lagoonstile.HeaderDeadline))
	}
	if got.Get("X-Forwarded-For") != "127.0.0.1" || got.Get(answerer.HeaderRequestID) == "" || got.Get("X-End") != "2" || got.Get("X-Hop") != "" {
		t.Errorf("headers %v", got)
	}
}

// broken stands for a mistake of our own.
type broken struct{}

func (broken) Do(context.Context, *forwarder.Request) (*forwarder.Answer, error) {
	return nil, io.ErrClosedPipe
}

// TestMistakeOfOurOwn promises nothing.
func TestMistakeOfOurOwn(t *testing.T) {
	fix := newFixture(t, false, well)
	fix.forwarder.Orders = broken{}
	res, _, err := fix.ask(t, http.MethodPost, map[string]string{lagoonstile.HeaderKey: "p.i.1.7"})
	if err != nil {
		t.Fatal(err)
	}
	if kind, outcome := res.Header.Get(answerer.HeaderKind), res.Header.Get(answerer.HeaderOutcome); kind != string(answerer.KindInternal) || outcome != string(answerer.OutcomeUnknown) {
		t.Errorf("kind %q, outcome %q", kind, outcome)
	}
}

// TestSlowLookupIsHedged answers from a second server while the first waits.
func TestSlowLookupIsHedged(t *testing.T) {
	fix := newFixture(t, true, waits, well)
	fix.forwarder.Table().Entry("s").SlowAfter = time.Millisecond
	_, body, err := fix.ask(t, http.MethodGet, nil)
	if err != nil || string(body) != "well" {
		t.Fatalf("%q, %v", body, err)
	}
	if totals := fix.targets[0].Live.Totals(); totals.Slow != 1 {
		t.Errorf("the slow server's counts are %+v, want one slow", totals)
	}
}

// thing is a download of 1 MB, by parts where they are asked for. It breaks off
// in the middle if told so; a heedless one gives a part of any version.
func thing(etag string, breaks, heedless bool) http.HandlerFunc {
	whole := pattern()
	return func(w http.ResponseWriter, req *http.Request) {
		start := 0
		if etag != "" {
			w.Header().Set("ETag", etag)
			w.Header().Set("Accept-Ranges", "bytes")
		}
		status := http.StatusOK
		if from, ok := strings.CutPrefix(req.Header.Get("Range"), "bytes="); ok && (heedless || req.Header.Get("If-Range") == etag) {
			start, _ = strconv.Atoi(strings.TrimSuffix(from, "-"))
			w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", start, len(whole)-1, len(whole)))
			status = http.StatusPartialContent
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)-start))
		w.WriteHeader(status)
		if breaks {
			_, _ = w.Write(whole[start : start+(len(whole)-start)/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(whole[start:])
	}
}

func pattern() []byte {
	whole := make([]byte, 1<<20)
	for i := range whole {
		whole[i] = byte(i ^ i>>8)
	}
	return whole
}

// TestDownloads gives whole bytes or a broken connection, never less that looks
// whole.
func TestDownloads(t *testing.T) {
	tests := []struct {
		name    string
		servers []http.HandlerFunc
		whole   bool
	}{
		{"the rest from another server", []http.HandlerFunc{thing(`"1"`, true, false), thing(`"1"`, false, false)}, true},
		{"another version of the thing", []http.HandlerFunc{thing(`"1"`, true, false), thing(`"2"`, false, false)}, false},
		{"a part of another version", []http.HandlerFunc{thing(`"1"`, true, false), thing(`"2"`, false, true)}, false},
		{"no version named", []http.HandlerFunc{thing("", true, false), thing("", false, false)}, false},
		{"no other server", []http.HandlerFunc{thing(`"1"`, true, false)}, false},
	}
	for _, test := range tests {
		fix := newFixture(t, true, test.servers...)
		_, body, err := fix.ask(t, http.MethodGet, nil)
		if whole := err == nil && bytes.Equal(body, pattern()); whole != test.whole {
			t.Errorf("%s: %d bytes, %v; want whole %t", test.name, len(body), err, test.whole)
		}
		if err == nil && !bytes.Equal(body, pattern()) {
			t.Errorf("%s: a short answer looks whole", test.name)
		}
	}
}

// TestCallerGoneIsNoEvidence passes a caller's cancel on and holds it against
// nobody.
func TestCallerGoneIsNoEvidence(t *testing.T) {
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
	_, _ = io.WriteString(conn, "GET /thing HTTP/1.1\r\nHost: a\r\n\r\n")
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

// TestPoisonCrashesTwoServersAtMost sends a request that crashes every server
// again and again, and an innocent one that was beside it once.
func TestPoisonCrashesTwoServersAtMost(t *testing.T) {
	var servers []http.HandlerFunc
	for range 6 {
		servers = append(servers, func(w http.ResponseWriter, req *http.Request) {
			if req.Header.Get("poison") != "" {
				crashes(w, req)
				return
			}
			well(w, req)
		})
	}
	fix := newFixture(t, true, servers...)
	for range 5 {
		res, _, err := fix.ask(t, http.MethodPut, map[string]string{"poison": "yes"})
		if err != nil {
			t.Fatal(err)
		}
		if kind := res.Header.Get(answerer.HeaderKind); kind != string(answerer.KindQuarantined) {
			t.Errorf("kind %q, want %q", kind, answerer.KindQuarantined)
		}
	}
	var total int64
	for _, runs := range fix.runs {
		total += runs.Load()
	}
	if total != 2 {
		t.Errorf("%d servers crashed, want 2", total)
	}
	if res, body, err := fix.ask(t, http.MethodGet, nil); err != nil || string(body) != "well" {
		t.Errorf("another request: %v, %q, %v", res, body, err)
	}
}
