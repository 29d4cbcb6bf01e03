package caller_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/caller"
)

// fakeFleet is a fake fleet with two addresses, both of which its entry answers
// list. It answers every other request with the next step of its script: "ok"
// sends status 200 with the body "ok", "lost" closes the connection without an
// answer, and any other step is the kind of the failure to answer with. After the
// end of the script every step is "ok".
type fakeFleet struct {
	first, second *httptest.Server

	mu      sync.Mutex
	script  []string
	keys    []string // received idempotency keys, one for each request
	entries int      // number of entry answers given
}

func newFakeFleet(t *testing.T, script ...string) *fakeFleet {
	t.Helper()
	f := &fakeFleet{script: script}
	f.first = httptest.NewServer(http.HandlerFunc(f.serve))
	f.second = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(f.first.Close)
	t.Cleanup(f.second.Close)
	return f
}

func address(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

func (f *fakeFleet) serve(w http.ResponseWriter, req *http.Request) {
	f.mu.Lock()
	if strings.HasSuffix(req.URL.Path, "/entry") {
		f.entries++
		home := fmt.Sprintf("proxy-1.i%d.1", f.entries)
		f.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q},{"address":%q}],"home":%q,"valid-for-ms":60000}`, address(f.first), address(f.second), home)
		return
	}
	f.keys = append(f.keys, req.Header.Get(lagoonstile.HeaderKey))
	step := "ok"
	if len(f.script) > 0 {
		step, f.script = f.script[0], f.script[1:]
	}
	f.mu.Unlock()
	switch step {
	case "ok":
		_, _ = io.WriteString(w, "ok")
	case "lost":
		panic(http.ErrAbortHandler)
	default:
		failure := answerer.Failure{Kind: answerer.Kind(step)}
		failure.Write(w, "r")
	}
}

// TestOrders checks when an order is resent with the same key, when it is sent
// with a new key, and when it is not sent again.
func TestOrders(t *testing.T) {
	tests := []struct {
		name   string
		script []string
		err    error
		sends  int
		keys   int // number of distinct keys
	}{
		{"answered", []string{"ok"}, nil, 1, 1},
		{"lost answers: resent with the same key", []string{"lost", "lost", "ok"}, nil, 3, 1},
		{"not run: sent with a new key", []string{"overloaded", "ok"}, nil, 2, 2},
		{"lost, then not run: sent with a new key", []string{"lost", "overloaded", "ok"}, nil, 3, 2},
		{"unknown: not sent again", []string{"outcome-unknown", "ok"}, caller.ErrUnknown, 1, 1},
		{"lost, then unknown: not sent again", []string{"lost", "outcome-unknown", "ok"}, caller.ErrUnknown, 2, 1},
		{"already ran", []string{"already-ran", "ok"}, caller.ErrAlreadyRan, 1, 1},
		{"invalid request: not sent again", []string{"too-large", "ok"}, caller.ErrNotRun, 1, 1},
	}
	for _, test := range tests {
		f := newFakeFleet(t, test.script...)
		c := &caller.Caller{Seeds: []string{address(f.first)}, Client: &http.Client{Transport: &http.Transport{}}}
		answer, err := c.Order(context.Background(), caller.Request{Service: "orders", Method: http.MethodPost, Path: "/order", Body: []byte("x")})
		if !errors.Is(err, test.err) || (test.err == nil && err != nil) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.err)
		}
		distinct := map[string]bool{}
		for _, key := range f.keys {
			distinct[key] = true
		}
		if len(f.keys) != test.sends || len(distinct) != test.keys {
			t.Errorf("%s: %d sends with %d keys, want %d with %d", test.name, len(f.keys), len(distinct), test.sends, test.keys)
		}
		if answer == nil || !distinct[answer.Key] {
			t.Errorf("%s: the answer does not have a key that was sent: %+v", test.name, answer)
		}
	}
}

// TestUnsentKeyIsDiscarded checks that, if the home refuses the connection, the
// order is not sent to another address with the same key, and a new entry answer
// is requested.
func TestUnsentKeyIsDiscarded(t *testing.T) {
	f := newFakeFleet(t)
	c := &caller.Caller{Seeds: []string{address(f.second)}, Client: &http.Client{Transport: &http.Transport{}}}
	f.first.Close() // The home is down before the first send.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.Order(ctx, caller.Request{Service: "orders", Method: http.MethodPost, Path: "/order"})
	if !errors.Is(err, caller.ErrNotRun) {
		t.Errorf("error %v, want %v", err, caller.ErrNotRun)
	}
	if len(f.keys) > 0 {
		t.Errorf("the order was sent to another address with the keys %q", f.keys)
	}
	if f.entries < 2 {
		t.Errorf("got %d requests for an entry answer, want at least 2", f.entries)
	}
}

// TestFrozenAddressIsAskedLast checks that a request succeeds although the first
// address belongs to an instance that accepts connections but does not answer,
// and that the Caller requests the next entry answer from the other address.
func TestFrozenAddressIsAskedLast(t *testing.T) {
	f := newFakeFleet(t)
	frozen := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }))
	defer frozen.Close()
	first := true
	seed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		addresses := []string{address(f.first)}
		if first {
			addresses = []string{address(frozen), address(f.first)}
		}
		first = false
		_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q}`, addresses[0])
		for _, next := range addresses[1:] {
			_, _ = fmt.Fprintf(w, `,{"address":%q}`, next)
		}
		_, _ = io.WriteString(w, `],"home":"p.i.1","valid-for-ms":60000}`)
	}))
	defer seed.Close()
	c := &caller.Caller{Seeds: []string{address(seed)}, Client: &http.Client{Transport: &http.Transport{}}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := c.Do(ctx, caller.Request{Service: "stock", Method: http.MethodGet, Path: "/stock"})
	if err != nil || string(answer.Body) != "ok" {
		t.Fatalf("answer %+v, error %v; want a body of ok", answer, err)
	}
	if f.entries != 1 {
		t.Errorf("the address after the frozen one got %d requests for an entry answer, want 1", f.entries)
	}
}

// TestDoTriesTheNextAddress checks that Do tries another address if one closes the
// connection or answers that it is not ready.
func TestDoTriesTheNextAddress(t *testing.T) {
	f := newFakeFleet(t, "lost", "not-ready", "ok")
	c := &caller.Caller{Seeds: []string{address(f.first)}, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	answer, err := c.Do(context.Background(), caller.Request{Service: "stock", Method: http.MethodGet, Path: "/stock"})
	if err != nil || string(answer.Body) != "ok" {
		t.Errorf("answer %+v, error %v; want a body of ok", answer, err)
	}
}
