package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestDrainAwaitsClientsWithinItsLimit guards against a drain that cuts an answer which a
// client has not read yet, and against one that waits for a client that never closes its
// connection beyond the limit.
func TestDrainAwaitsClientsWithinItsLimit(t *testing.T) {
	const limit = 5 * time.Second
	tests := []struct {
		name string
		// readsAfter is when the client reads its answer, or 0 if it never does.
		readsAfter time.Duration
		// atLeast and atMost bound the time of the drain.
		atLeast, atMost time.Duration
	}{
		{"client reads late", 3500 * time.Millisecond, 3500 * time.Millisecond, limit},
		{"client never reads", 0, limit, limit + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSession(t, 1, nil)
			instance := s.fleet.Instances()[0]
			s.publish()
			conn, err := net.Dial("tcp", instance.CallerAddress())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "GET /stock/7 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			read := make(chan error, 1)
			if test.readsAfter > 0 {
				time.AfterFunc(test.readsAfter, func() {
					answer, err := io.ReadAll(conn)
					if err == nil && !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
						err = fmt.Errorf("answer %q", answer)
					}
					_ = conn.Close()
					read <- err
				})
			}
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			began := time.Now()
			_ = s.fleet.Drain(ctx, instance) // Without a successor, or at the limit, it fails.
			if took := time.Since(began); took < test.atLeast || took > test.atMost {
				t.Errorf("the drain took %v, want %v to %v", took, test.atLeast, test.atMost)
			}
			if test.readsAfter > 0 {
				if err := <-read; err != nil {
					t.Errorf("the client got no whole answer: %v", err)
				}
			}
		})
	}
}
