package forwarder_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lagoonstile"
)

// TestAnswersDuringUpload guards against answers that a server gives before it has read a
// long body: a whole one must not be lost while the body is written, and one that is
// broken off by a reset must not pass for a whole one.
func TestAnswersDuringUpload(t *testing.T) {
	t.Parallel()
	const framed = "Content-Length: 4\r\n\r\nbody"
	tests := []struct {
		name, answer string
		// resets is set if the server resets the connection, and otherwise holds it.
		resets bool
		want   int
	}{
		{"413, held open", "HTTP/1.1 413 Too Large\r\n" + framed, false, http.StatusRequestEntityTooLarge},
		{"200, held open", "HTTP/1.1 200 OK\r\n" + framed, false, http.StatusOK},
		{"part of 200 without a length, reset", "HTTP/1.1 200 OK\r\n\r\nbo", true, http.StatusBadGateway},
		{"part of 200 with a length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", true, http.StatusBadGateway},
		{"part of 200 in chunks, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", true, http.StatusBadGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t, false, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
				_, _ = io.WriteString(conn, test.answer)
				if tcp, ok := conn.(*net.TCPConn); ok && test.resets {
					_ = tcp.SetLinger(0)
					_ = tcp.Close()
				}
			})
			req, err := http.NewRequest(http.MethodPost, "http://"+fix.listener.Address()+"/resource", bytes.NewReader(make([]byte, 1<<20)))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set(lagoonstile.HeaderKey, order[lagoonstile.HeaderKey])
			began := time.Now()
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			if res.StatusCode != test.want {
				t.Errorf("status %d, want %d", res.StatusCode, test.want)
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("the answer took %v", took)
			}
		})
	}
}
