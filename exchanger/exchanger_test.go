package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonstile/exchanger"
)

// serve starts a server that sends the given bytes on every connection and then
// closes it, with a TCP reset if reset is true. It returns the server's address
// and the method, URI and body of each request.
func serve(t *testing.T, response string, reset bool) (string, <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests := make(chan string, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				body, _ := io.ReadAll(req.Body)
				requests <- req.Method + " " + req.RequestURI + " " + string(body)
			}
			_, _ = io.WriteString(conn, response)
			if reset {
				time.Sleep(20 * time.Millisecond) // Let the client read the bytes first.
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String(), requests
}

func request(address string) *exchanger.Request {
	return &exchanger.Request{
		Address: address, Method: http.MethodPost, URI: "/a/b?c=%20d", Host: "shop.example",
		Header: http.Header{"X-Id": {"7"}}, Body: [][]byte{[]byte("order")}, RequestIDHeader: "X-Id", RequestID: "7",
	}
}

// TestCompleteness checks which responses are accepted as complete, and that Do
// returns an error with Sent set for the others.
func TestCompleteness(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
	tests := []struct {
		name, response string
		reset          bool
		// body is the expected body, or "" if an error is expected.
		body string
	}{
		{name: "content length", response: head + "Content-Length: 4\r\n\r\ngood", body: "good"},
		{name: "chunks", response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", body: "good"},
		{name: "end of the connection", response: head + "\r\ngood", body: "good"},
		{name: "interim response first", response: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 4\r\n\r\ngood", body: "good"},
		{name: "bytes after the response", response: head + "Content-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n", body: "good"},
		{name: "body shorter than its length", response: head + "Content-Length: 9\r\n\r\ngood"},
		{name: "without the last chunk", response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n"},
		{name: "connection reset before the end", response: head + "\r\ngood", reset: true},
		{name: "ID of another request", response: "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 4\r\n\r\ngood"},
		{name: "ID of another request besides", response: "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Id: 6\r\nContent-Length: 4\r\n\r\ngood"},
		{name: "ID of another request first", response: "HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\ngood"},
		{name: "two IDs in a list", response: "HTTP/1.1 200 OK\r\nX-Id: 7, 6\r\nContent-Length: 4\r\n\r\ngood"},
		{name: "the same ID twice", response: "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\ngood", body: "good"},
		{name: "refusal of an earlier request first", response: "HTTP/1.1 503 Service Unavailable\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n" + head + "Content-Length: 4\r\n\r\ngood"},
		{name: "no request ID", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"},
		{name: "not HTTP", response: "\x00\x01garbage\r\n\r\n"},
		{name: "empty", response: ""},
		{name: "incomplete head", response: head},
		{name: "blank before the colon of a length", response: head + "Content-Length : 4\r\n\r\ngood"},
		{name: "blank before the colon of a coding", response: head + "Transfer-Encoding : chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"},
		{name: "blank in a name", response: head + "X Odd: v\r\nContent-Length: 4\r\n\r\ngood"},
		{name: "control byte in a name", response: head + "X\x01: v\r\nContent-Length: 4\r\n\r\ngood"},
		{name: "carriage return in a value", response: head + "X-Odd: a\rb\r\nContent-Length: 4\r\n\r\ngood"},
		{name: "length with a sign", response: head + "Content-Length: +4\r\n\r\ngood"},
		{name: "coding in HTTP/1.0", response: "HTTP/1.0 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"},
		{name: "blank in a name of an interim response", response: "HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\n" + head + "Content-Length: 4\r\n\r\ngood"},
		{name: "blank in a name of a trailer, which is dropped", response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX Odd: v\r\n\r\n", body: "good"},
		{name: "control byte in the reason, which is ignored", response: "HTTP/1.1 200 O\x01K\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\ngood", body: "good"},
	}
	for _, test := range tests {
		address, requests := serve(t, test.response, test.reset)
		resp, err := exchanger.Do(context.Background(), request(address))
		if got, want := <-requests, "POST /a/b?c=%20d order"; got != want {
			t.Errorf("%s: server received %q, want %q", test.name, got, want)
		}
		if test.body == "" {
			var failed *exchanger.Error
			if !errors.As(err, &failed) || !failed.Sent {
				t.Errorf("%s: error %v, want an exchanger.Error with Sent set", test.name, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		if diff := cmp.Diff(test.body, string(resp.Body)); diff != "" {
			t.Errorf("%s: body (-want +got):\n%s", test.name, diff)
		}
		resp.Close()
	}
}

// TestConnectFailureIsNotSent checks that Error.Sent is false if no connection was
// made.
func TestConnectFailureIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = exchanger.Do(context.Background(), request(address))
	var failed *exchanger.Error
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("error %v for a refused connection, want an exchanger.Error with Sent false", err)
	}
}

// TestEndOfContextClosesConnection checks that the server sees the connection
// close when the context ends.
func TestEndOfContextClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		cancel()
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	if _, err := exchanger.Do(ctx, request(l.Addr().String())); err == nil {
		t.Error("Do returned no error although its context ended")
	}
	select {
	case <-ended:
	case <-time.After(time.Minute):
		t.Error("connection is still open one minute after the context ended")
	}
}

// TestLargeResponseStreams reads a response that is too large to be buffered.
func TestLargeResponseStreams(t *testing.T) {
	const size = 5 << 20
	address, _ := serve(t, "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5242880\r\n\r\n"+strings.Repeat("x", size), false)
	resp, err := exchanger.Do(context.Background(), request(address))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if resp.Rest == nil || resp.Length != size {
		t.Fatalf("rest %v, length %d; want a rest and length %d", resp.Rest, resp.Length, size)
	}
	rest, err := io.Copy(io.Discard, resp.Rest)
	if err != nil || int(rest)+len(resp.Body) != size {
		t.Errorf("%d buffered and %d streamed bytes, error %v; want %d bytes", len(resp.Body), rest, err, size)
	}
}

// TestEndToEnd checks that hop-by-hop headers are removed.
func TestEndToEnd(t *testing.T) {
	got := exchanger.EndToEnd(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "X-Kept": {"a", "b"}, "Host": {"h"},
	})
	if diff := cmp.Diff(http.Header{"X-Kept": {"a", "b"}}, got); diff != "" {
		t.Errorf("headers (-want +got):\n%s", diff)
	}
}

// TestResponseCutAnywhereIsIncomplete guards against answers that look whole although
// the server stopped in the middle of their head or body and closed the connection.
func TestResponseCutAnywhereIsIncomplete(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-More: 12\r\n"
	tests := []struct {
		name, response string
		// end is from where on the connection may be closed without a loss.
		end string
	}{
		{"content length", head + "Content-Length: 12\r\n\r\ntwelve bytes", ""},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n", ""},
		{"interim response", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 12\r\n\r\ntwelve bytes", ""},
		{"end of the connection", head + "\r\ntwelve bytes", "twelve bytes"},
		{"no body", "HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n", ""},
	}
	for _, test := range tests {
		for cut := range len(strings.TrimSuffix(test.response, test.end)) {
			address, _ := serve(t, test.response[:cut], false)
			resp, err := exchanger.Do(context.Background(), request(address))
			if err == nil {
				t.Errorf("%s: cut to %q: status %d, body %q; want an error", test.name, test.response[:cut], resp.Status, resp.Body)
				resp.Close()
			}
		}
	}
}
