package rehearser_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoonstile/cmd/standin/emulator"
	"lagoonstile/platform"
)

// TestLateRequestsOfPlannedStopAreAnswered guards against requests that an instance
// takes, while it stops in a planned way, although its time will end before theirs.
// The servers need 3 s for each order, so those that come in the last 2.5 s before
// the end cannot be completed. An earlier one keeps the instance running.
func TestLateRequestsOfPlannedStopAreAnswered(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, 2)
	tb.store.Put("keyed.op", "config", config(5, `"service":"orders"`, `"service":"slow"`, `"name":"orders"`, `"name":"slow"`, `"timeout_s":2`, `"timeout_s":6`))
	for _, id := range []string{"slow-0", "slow-1", "slow-2"} {
		b, err := emulator.StartBackend(tb.store, tb.runs, id, "slow", "zone-0", "127.0.0.1:0", 3*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Stop)
	}
	tb.waitFor("slow servers", func() bool { return tb.send(1, http.MethodPost, "/order/7").status == http.StatusOK })
	leaving := tb.instances[1]
	var orders sync.WaitGroup
	orders.Go(func() {
		time.Sleep(1900 * time.Millisecond)
		if a := tb.send(1, http.MethodPost, "/order/7"); a.status != http.StatusOK {
			t.Errorf("order that can be completed: status %d (%s), want 200", a.status, a.body)
		}
	})
	for n := range 14 {
		orders.Go(func() {
			sentAfter := 3100*time.Millisecond + time.Duration(n)*100*time.Millisecond
			time.Sleep(sentAfter)
			if a := tb.send(1, http.MethodPost, "/order/7"); a.status != http.StatusServiceUnavailable || a.retryAfter == "" || a.took > time.Second {
				t.Errorf("order sent %v after the start of the stop: status %d, Retry-After %q after %v (%s); want 503 with one at once", sentAfter, a.status, a.retryAfter, a.took, a.body)
			}
		})
	}
	leaving.running.Leave()
	leaving.running = nil
	orders.Wait()
}

// TestLastRequestOfPlannedStopIsNotCut guards against an order that is taken in the
// moment in which an instance that stops in a planned way finds no connection in use,
// and is then cut by its end. The log makes that moment last: it takes 200 ms to write
// that the instance has left.
func TestLastRequestOfPlannedStopIsNotCut(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, 1)
	tb.stop(0)
	running, err := platform.Start(tb.instances[0].settings, slog.New(slowLog{slog.DiscardHandler}))
	if err != nil {
		t.Fatal(err)
	}
	tb.waitFor("an order to succeed", func() bool { return tb.send(0, http.MethodPost, "/order/7").status == http.StatusOK })
	stopped := make(chan struct{})
	go func() {
		running.Leave()
		close(stopped)
	}()
	for {
		a := tb.send(0, http.MethodPost, "/order/7")
		if a.status == 0 && tb.runs.Count(a.id) > 0 {
			t.Errorf("%s ran and has no answer: %s", a.id, a.body)
		}
		select {
		case <-stopped:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestStopAwaitsClientsWithinItsGrace guards against a stop that cuts an answer which a
// client has not read yet, and against one that waits for a client that never closes its
// connection until the process is killed.
func TestStopAwaitsClientsWithinItsGrace(t *testing.T) {
	t.Parallel()
	requests := func(settings platform.Settings) string { return settings.ClientAddress }
	directory := func(settings platform.Settings) string { return settings.DirectoryAddress }
	const look, resolve = "/look/7", "/lagoonstile/resolve?name=shop.example&zone=zone-0"
	tests := []struct {
		name string
		// address and path are what the client asks.
		address func(platform.Settings) string
		path    string
		// readsAfter is when the client reads its answer, or 0 if it never does.
		readsAfter time.Duration
		// atLeast is how long the stop must take.
		atLeast time.Duration
	}{
		{"client reads late", requests, look, 4500 * time.Millisecond, 4500 * time.Millisecond},
		{"client never reads", requests, look, 0, 5 * time.Second},
		{"client of the directory reads late", directory, resolve, 4500 * time.Millisecond, 4500 * time.Millisecond},
		{"client of the directory never reads", directory, resolve, 0, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t, 1)
			stopping := tb.instances[0]
			conn, err := net.Dial("tcp", test.address(stopping.settings))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: late-reader\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n", test.path); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond) // The request is answered before the stop.
			var reading sync.WaitGroup
			if test.readsAfter > 0 {
				reading.Go(func() {
					time.Sleep(test.readsAfter)
					if answer, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
						t.Errorf("answer %q, error %v; want a whole one", answer, err)
					}
					_ = conn.Close()
				})
			}
			began := time.Now()
			stopping.running.Leave()
			took := time.Since(began)
			stopping.running = nil
			reading.Wait()
			if took < test.atLeast || took > stopping.settings.Grace {
				t.Errorf("the stop took %v, want %v to %v", took, test.atLeast, stopping.settings.Grace)
			}
		})
	}
}

// slowLog is a log that takes 200 ms to write that an instance has left.
type slowLog struct{ slog.Handler }

// Enabled implements slog.Handler.
func (slowLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (slowLog) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "left" {
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (l slowLog) WithAttrs([]slog.Attr) slog.Handler { return l }
