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

// fleet is one fake instance: it names itself and a second address in entry
// answers, and answers orders as a script says, one word for each send.
type fleet struct {
	server, second *httptest.Server

	mu      sync.Mutex
	script  []string
	keys    []string
	entries int
}

func newFleet(t *testing.T, script ...string) *fleet {
	t.Helper()
	f := &fleet{script: script}
	f.server = httptest.NewServer(http.HandlerFunc(f.serve))
	f.second = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(f.server.Close)
	t.Cleanup(f.second.Close)
	return f
}

func address(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

func (f *fleet) serve(w http.ResponseWriter, req *http.Request) {
	f.mu.Lock()
	if strings.HasSuffix(req.URL.Path, "/entry") {
		f.entries++
		home := fmt.Sprintf("proxy-1.i%d.1", f.entries)
		f.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q},{"address":%q}],"home":%q,"valid-for-ms":60000}`, address(f.server), address(f.second), home)
		return
	}
	f.keys = append(f.keys, req.Header.Get(lagoonstile.HeaderKey))
	word := "well"
	if len(f.script) > 0 {
		word, f.script = f.script[0], f.script[1:]
	}
	f.mu.Unlock()
	switch word {
	case "well":
		_, _ = io.WriteString(w, "well")
	case "lost":
		panic(http.ErrAbortHandler)
	default:
		failure := answerer.Failure{Kind: answerer.Kind(word)}
		failure.Write(w, "r")
	}
}

// TestOrders states when an order keeps its key, gets a new one, and is given
// up.
func TestOrders(t *testing.T) {
	tests := []struct {
		name   string
		script []string
		err    error
		sends  int
		keys   int
	}{
		{"answered", []string{"well"}, nil, 1, 1},
		{"answers lost: the same key again", []string{"lost", "lost", "well"}, nil, 3, 1},
		{"not run: a new key", []string{"overloaded", "well"}, nil, 2, 2},
		{"lost, then not run: the key is spent, a new one", []string{"lost", "overloaded", "well"}, nil, 3, 2},
		{"unknown: never made again", []string{"outcome-unknown", "well"}, caller.ErrUnknown, 1, 1},
		{"lost, then unknown: never made again", []string{"lost", "outcome-unknown", "well"}, caller.ErrUnknown, 2, 1},
		{"ran before", []string{"already-ran", "well"}, caller.ErrRan, 1, 1},
		{"a mistake of the caller's", []string{"too-large", "well"}, caller.ErrNotRun, 1, 1},
	}
	for _, test := range tests {
		f := newFleet(t, test.script...)
		c := &caller.Caller{Seeds: []string{address(f.server)}, Client: &http.Client{Transport: &http.Transport{}}}
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
			t.Errorf("%s: the answer does not have its key: %+v", test.name, answer)
		}
	}
}

// TestUnsentKeyIsGivenUp makes a new key when not one byte has left.
func TestUnsentKeyIsGivenUp(t *testing.T) {
	f := newFleet(t)
	c := &caller.Caller{Seeds: []string{address(f.second)}, Client: &http.Client{Transport: &http.Transport{}}}
	f.server.Close() // The home is gone before the first send.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.Order(ctx, caller.Request{Service: "orders", Method: http.MethodPost, Path: "/order"})
	if !errors.Is(err, caller.ErrNotRun) {
		t.Errorf("error %v, want %v", err, caller.ErrNotRun)
	}
	if len(f.keys) > 0 {
		t.Errorf("keys of a home that is gone were sent elsewhere: %v", f.keys)
	}
	if f.entries < 2 {
		t.Errorf("asked for an entry answer %d times, want again after the failure", f.entries)
	}
}

// TestFrozenAddressIsAskedLast goes around an instance that takes connections
// and says nothing, within the time that one lookup may take.
func TestFrozenAddressIsAskedLast(t *testing.T) {
	f := newFleet(t)
	frozen := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }))
	defer frozen.Close()
	first := true
	named := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		addresses := []string{address(f.server)}
		if first {
			addresses = []string{address(frozen), address(f.server)}
		}
		first = false
		_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q}`, addresses[0])
		for _, next := range addresses[1:] {
			_, _ = fmt.Fprintf(w, `,{"address":%q}`, next)
		}
		_, _ = io.WriteString(w, `],"home":"p.i.1","valid-for-ms":60000}`)
	}))
	defer named.Close()
	c := &caller.Caller{Seeds: []string{address(named)}, Client: &http.Client{Transport: &http.Transport{}}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := c.Do(ctx, caller.Request{Service: "stock", Method: http.MethodGet, Path: "/stock"})
	if err != nil || string(answer.Body) != "well" {
		t.Fatalf("%+v, %v", answer, err)
	}
	if f.entries != 1 {
		t.Errorf("the address after the frozen one was asked for entry answers %d times, want 1", f.entries)
	}
}

// TestLookupsGoToTheNextAddress tries another address when one fails.
func TestLookupsGoToTheNextAddress(t *testing.T) {
	f := newFleet(t, "lost", "not-ready", "well")
	c := &caller.Caller{Seeds: []string{address(f.server)}, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	answer, err := c.Do(context.Background(), caller.Request{Service: "stock", Method: http.MethodGet, Path: "/stock"})
	if err != nil || string(answer.Body) != "well" {
		t.Errorf("%+v, %v", answer, err)
	}
}
