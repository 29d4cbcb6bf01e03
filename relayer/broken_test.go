package relayer_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/exchanger"
	"lagoonstile/listener"
	"lagoonstile/rationer"
	"lagoonstile/steerer"
)

// TestBrokenStreamIsTheServersFault checks, time and again, that a server that breaks off
// a large response is doubted, although the client's connection ends as a result.
func TestBrokenStreamIsTheServersFault(t *testing.T) {
	const size, rounds = 3 << 20, 100
	broken := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size-1))
	}
	missed := 0
	for range rounds {
		r := newRelayer(t, lagoonstile.PlannedRoute{Idempotent: true, MaxAttempts: 1, Timeout: 10 * time.Second, Objective: 10 * time.Second}, broken)
		doubted := false
		r.Allocator.OnChange = func(change steerer.BeliefChange) { doubted = doubted || change.Doubted }
		l, err := listener.Listen("127.0.0.1:0", listener.DefaultLimits, r)
		if err != nil {
			t.Fatal(err)
		}
		res := exchange(t, l.Address(), http.MethodGet)
		if n, err := io.Copy(io.Discard, res.Body); err == nil {
			t.Errorf("read %d bytes without an error, want an incomplete response", n)
		}
		_ = res.Body.Close()
		l.Close()
		if !doubted {
			missed++
		}
	}
	if missed > 0 {
		t.Errorf("%d of %d broken responses were not counted against their server", missed, rounds)
	}
}

// TestHeadWithoutMemoryIsNotTheServersFault checks that a server is doubted for a head
// with too many fields, and not for one that this instance has no memory for.
func TestHeadWithoutMemoryIsNotTheServersFault(t *testing.T) {
	longValue := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Long", strings.Repeat("v", 60<<10)) }
	manyFields := func(w http.ResponseWriter, _ *http.Request) {
		for n := range 200 {
			w.Header().Set("X-"+strconv.Itoa(n), "v")
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		budget  int64
		status  int
		doubted bool
	}{
		{"long value", longValue, 1 << 20, http.StatusOK, false},
		{"long value without memory", longValue, 160 << 10, http.StatusBadGateway, false},
		{"many fields", manyFields, 1 << 20, http.StatusBadGateway, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := newRelayer(t, lagoonstile.PlannedRoute{MaxAttempts: 1, Timeout: 10 * time.Second, Objective: 10 * time.Second}, test.handler)
			var doubted atomic.Bool
			r.Allocator.OnChange = func(change steerer.BeliefChange) { doubted.Store(doubted.Load() || change.Doubted) }
			limits := listener.DefaultLimits
			limits.Budget, limits.HandlerBytes = rationer.New(test.budget), exchanger.ExchangeBytes
			l, err := listener.Listen("127.0.0.1:0", limits, r)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			res := exchange(t, l.Address(), http.MethodGet)
			defer func() { _ = res.Body.Close() }()
			if res.StatusCode != test.status || doubted.Load() != test.doubted {
				t.Errorf("status %d, doubted %t; want %d and %t", res.StatusCode, doubted.Load(), test.status, test.doubted)
			}
		})
	}
}
