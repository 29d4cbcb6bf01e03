package rehearser_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestPopularRequestIsServedAfterServersCrash guards against a harmless request that is
// refused on all instances because many copies of it were in flight at servers that
// crashed at the same moment.
func TestPopularRequestIsServedAfterServersCrash(t *testing.T) {
	t.Parallel()
	const servers, crashed = 12, 3
	tb := newTestbed(t, 3)
	for n := 3; n < servers; n++ {
		tb.startBackend(fmt.Sprintf("stock-%d", n), "stock")
	}
	for n := range servers {
		tb.backends[fmt.Sprintf("stock-%d", n)].ServiceTime = 150 * time.Millisecond
	}
	crashedAt := make(chan struct{})
	var mu sync.Mutex
	var refused []answer
	served := 0
	var clients sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for n := range 36 {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 4 * time.Millisecond) // The clients are out of step.
			for time.Now().Before(end) {
				later := isClosed(crashedAt)
				a := tb.send(n%3, http.MethodGet, "/look/list")
				mu.Lock()
				switch {
				case later && a.status == http.StatusOK:
					served++
				case later:
					refused = append(refused, a)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n := range crashed {
		tb.backends[fmt.Sprintf("stock-%d", n)].Stop()
	}
	time.Sleep(time.Second)
	close(crashedAt)
	clients.Wait()
	if len(refused) > 0 || served < 100 {
		t.Errorf("from a second after the crash, %d requests served and %d not, want 100 or more served and none not; the first: %+v",
			served, len(refused), refused[:min(1, len(refused))])
	}
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestRequestThatCrashesServersIsStopped sends a request that crashes each server that
// runs it through changing instances. It must be refused on all of them after three
// servers, and no other request may be.
func TestRequestThatCrashesServersIsStopped(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, method, service, path, harmless string }{
		{"retried by the instance", http.MethodGet, "stock", "/look/harmful", "/look/harmless"},
		{"sent once by the instance", http.MethodPost, "orders", "/order/harmful", "/order/harmless"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t, 3)
			for n := 3; n < 10; n++ {
				tb.startBackend(fmt.Sprintf("%s-%d", test.service, n), test.service)
			}
			for _, backend := range tb.backends {
				backend.CrashOn(test.path)
			}
			for n := range 8 {
				tb.send(n%3, test.method, test.path)
				time.Sleep(400 * time.Millisecond) // Until the crash is known on all instances.
			}
			crashes := 0
			for _, backend := range tb.backends {
				if backend.Crashed() {
					crashes++
				}
			}
			if crashes != 3 {
				t.Errorf("%d servers crashed, want 3", crashes)
			}
			for n := range 3 {
				if a := tb.send(n, test.method, test.path); a.status != http.StatusServiceUnavailable || a.retryAfter == "" {
					t.Errorf("instance %d: status %d, Retry-After %q, want 503 and a Retry-After", n, a.status, a.retryAfter)
				}
				if a := tb.send(n, test.method, test.harmless); a.status != http.StatusOK {
					t.Errorf("instance %d: status %d for another request, want 200", n, a.status)
				}
			}
		})
	}
}
