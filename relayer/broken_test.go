package relayer_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/listener"
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
