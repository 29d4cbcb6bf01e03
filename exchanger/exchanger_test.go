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

// serve answers every connection with the given bytes, then ends it, by a reset
// if asked to. It returns the address and the heads of the requests.
func serve(t *testing.T, answer string, reset bool) (string, <-chan string) {
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
			_, _ = io.WriteString(conn, answer)
			if reset {
				time.Sleep(20 * time.Millisecond) // Let the bytes be read first.
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String(), requests
}

func call(address string) *exchanger.Call {
	return &exchanger.Call{
		Address: address, Method: http.MethodPost, URI: "/a/b?c=%20d", Host: "shop.example",
		Header: http.Header{"X-Id": {"7"}}, Body: []byte("order"), IDHeader: "X-Id", ID: "7",
	}
}

// TestAnswers lists what a server may send and what counts as a whole answer.
func TestAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
	tests := []struct {
		name, answer string
		reset        bool
		// body is what is expected, or "" for an error.
		body string
	}{
		{name: "length", answer: head + "Content-Length: 4\r\n\r\ngood", body: "good"},
		{name: "chunks", answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", body: "good"},
		{name: "end of the connection", answer: head + "\r\ngood", body: "good"},
		{name: "interim answer first", answer: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 4\r\n\r\ngood", body: "good"},
		{name: "bytes after the end", answer: head + "Content-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n", body: "good"},
		{name: "short of its length", answer: head + "Content-Length: 9\r\n\r\ngood"},
		{name: "without the last chunk", answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n"},
		{name: "reset before its end", answer: head + "\r\ngood", reset: true},
		{name: "of another request", answer: "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 4\r\n\r\ngood"},
		{name: "of no request", answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"},
		{name: "no answer at all", answer: "\x00\x01garbage\r\n\r\n"},
		{name: "nothing", answer: ""},
		{name: "half a head", answer: head},
	}
	for _, test := range tests {
		address, requests := serve(t, test.answer, test.reset)
		reply, err := exchanger.Do(context.Background(), call(address))
		if got, want := <-requests, "POST /a/b?c=%20d order"; got != want {
			t.Errorf("%s: server got %q, want %q", test.name, got, want)
		}
		if test.body == "" {
			var failed *exchanger.Error
			if !errors.As(err, &failed) || !failed.Sent {
				t.Errorf("%s: %v, want an error that says the request was sent", test.name, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		if diff := cmp.Diff(test.body, string(reply.Body)); diff != "" {
			t.Errorf("%s: body (-want +got):\n%s", test.name, diff)
		}
		reply.Close()
	}
}

// TestUnreachedIsNotSent checks that only a connection makes a request sent.
func TestUnreachedIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = exchanger.Do(context.Background(), call(address))
	var failed *exchanger.Error
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("a refused connection gives %v, want an error that says nothing was sent", err)
	}
}

// TestEndOfContextEndsTheServersWork checks that the server sees the connection
// close.
func TestEndOfContextEndsTheServersWork(t *testing.T) {
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
	if _, err := exchanger.Do(ctx, call(l.Addr().String())); err == nil {
		t.Error("an exchange ends well though its context ended")
	}
	select {
	case <-ended:
	case <-time.After(time.Minute):
		t.Error("the server's connection stays open")
	}
}

// TestLargeAnswerStreams reads an answer larger than is held.
func TestLargeAnswerStreams(t *testing.T) {
	const size = 5 << 20
	address, _ := serve(t, "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5242880\r\n\r\n"+strings.Repeat("x", size), false)
	reply, err := exchanger.Do(context.Background(), call(address))
	if err != nil {
		t.Fatal(err)
	}
	defer reply.Close()
	if reply.Rest == nil || reply.Length != size {
		t.Fatalf("rest %v, length %d; want a rest and %d", reply.Rest, reply.Length, size)
	}
	rest, err := io.Copy(io.Discard, reply.Rest)
	if err != nil || int(rest)+len(reply.Body) != size {
		t.Errorf("%d and %d bytes, %v; want %d", len(reply.Body), rest, err, size)
	}
}

// TestEndToEnd drops what speaks of one connection only.
func TestEndToEnd(t *testing.T) {
	got := exchanger.EndToEnd(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "X-Kept": {"a", "b"}, "Host": {"h"},
	})
	if diff := cmp.Diff(http.Header{"X-Kept": {"a", "b"}}, got); diff != "" {
		t.Errorf("headers (-want +got):\n%s", diff)
	}
}
