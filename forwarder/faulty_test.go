package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/answerer"
)

// order are the headers of an order.
var order = map[string]string{lagoonstile.HeaderKey: "p.i.1.7"}

// sendBytes returns a handler that sends the given bytes and closes the connection.
func sendBytes(response func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, response())
			_ = conn.Close()
		}
	}
}

// TestAnswerCutAnywhereIsNotForwarded guards against answers that look whole although
// the server stopped in the middle of their head or body and closed the connection.
func TestAnswerCutAnywhereIsNotForwarded(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nX-More: 12\r\n"
	responses := []string{
		head + "Content-Length: 12\r\n\r\ntwelve bytes",
		head + "Transfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-More: 12\r\n\r\n",
	}
	for _, response := range responses {
		var cut atomic.Int64
		fix := newFixture(t, false, sendBytes(func() string { return response[:cut.Load()] }))
		for ; int(cut.Load()) < len(response); cut.Add(1) {
			res, body, err := fix.send(t, http.MethodPost, order)
			if err != nil || res.StatusCode < http.StatusBadRequest {
				t.Errorf("cut to %q: %v, %v, body %q; want a failure", response[:cut.Load()], err, res, body)
			}
		}
	}
}

// TestRepeatedRefusalIsNotBelieved guards against a refusal of an earlier request that
// a faulty server writes once more on a kept connection: the order that is sent next
// has run, or is running, and may not be reported as not run or sent to another server.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	t.Parallel()
	var runs, received atomic.Int64
	faulty := startRepeatingServer(t, &received, &runs)
	fix := newFixture(t, false, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	target := *fix.targets[0]
	target.Server.ID, target.Server.Address = "faulty", faulty
	// The faulty server comes first.
	fix.setTargets(&target, fix.targets[0])
	for n := range 6 {
		before := runs.Load()
		res, body, err := fix.send(t, http.MethodPost, order)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		ran := runs.Load() - before
		notRun := res.Header.Get(answerer.HeaderOutcome) == string(answerer.OutcomeNotRun)
		if ran > 1 || (ran > 0 && notRun) {
			t.Errorf("order %d: ran %d times, answered %d %q", n, ran, res.StatusCode, body)
		}
	}
	if received.Load() == 0 {
		t.Error("the faulty server received no order")
	}
}

// startRepeatingServer starts a server that refuses the first request of each
// connection. Of the next one it reads the head, repeats the refusal, and runs it.
func startRepeatingServer(t *testing.T, received, runs *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + lagoonstile.HeaderShed + ": " + lagoonstile.ShedOverloaded + "\r\nContent-Length: 0\r\n\r\n"
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			received.Add(1)
			_, _ = io.Copy(conn, strings.NewReader(refusal))
			if n > 0 {
				runs.Add(1)
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// TestMalformedHeadsAreNotForwarded guards against answers whose head holds lines that are
// no fields: they would be passed on, or frame another body than the server's.
func TestMalformedHeadsAreNotForwarded(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n"
	const framed = "Content-Length: 4\r\n\r\ngood"
	tests := []struct {
		name, answer string
		want         int
	}{
		{"whole", head + framed, http.StatusOK},
		{"blank before the colon of a length", head + "Content-Length : 4\r\nContent-Length: 4\r\n\r\ngood", http.StatusBadGateway},
		{"blank before the colon of a coding", head + "Transfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\ngood\r\n0\r\n\r\n", http.StatusBadGateway},
		{"blank in a name", head + "X Odd: v\r\n" + framed, http.StatusBadGateway},
		{"control byte in a name", head + "X\x01: v\r\n" + framed, http.StatusBadGateway},
		{"folded line", head + "X-Odd: v\r\n w\r\n" + framed, http.StatusBadGateway},
		{"carriage return in a value", head + "X-Odd: a\rb\r\n" + framed, http.StatusBadGateway},
		{"length with a sign", head + "Content-Length: +4\r\n\r\ngood", http.StatusBadGateway},
		{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n4\r\ngood\r\n0\r\n\r\n", http.StatusBadGateway},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\n" + head + framed, http.StatusBadGateway},
		{"blank in a name of a trailer, which is dropped", head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX Odd: v\r\n\r\n", http.StatusOK},
		{"control byte in the reason, which is ignored", "HTTP/1.1 200 O\x01K\r\n" + framed, http.StatusOK},
	}
	for _, test := range tests {
		// Orders use connections of their own, and lookups kept ones.
		for _, idempotent := range []bool{false, true} {
			fix := newFixture(t, idempotent, sendBytes(func() string { return test.answer }))
			header := order
			method := http.MethodPost
			if idempotent {
				header, method = nil, http.MethodGet
			}
			res, body, err := fix.send(t, method, header)
			if err != nil || res.StatusCode != test.want {
				t.Errorf("%s, idempotent %v: %v, %v, body %q; want status %d", test.name, idempotent, err, res, body, test.want)
			}
			if err == nil && test.want == http.StatusOK && string(body) != "good" {
				t.Errorf("%s, idempotent %v: body %q", test.name, idempotent, body)
			}
			if received := fix.received[0].Load(); received != 1 {
				t.Errorf("%s, idempotent %v: the server received %d requests, want 1", test.name, idempotent, received)
			}
		}
	}
}
