package listener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"lagoonstile/answerer"
	"lagoonstile/listener"
)

func listen(t *testing.T, limits listener.Limits, handler http.HandlerFunc) *listener.Listener {
	t.Helper()
	l, err := listener.Listen("127.0.0.1:0", limits, handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func dial(t *testing.T, l *listener.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	return conn
}

// TestSlowCallerUsesBoundedMemory writes a response of 100 MB to a caller that at
// first reads nothing. The writes must block before much of it is kept in memory.
// The caller then reads the complete response.
func TestSlowCallerUsesBoundedMemory(t *testing.T) {
	const size = 100 << 20
	const maxGrowth = 8 << 20
	reached16MB := make(chan struct{})
	chunk := make([]byte, 64<<10)
	l := listen(t, listener.DefaultLimits, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for sent := 0; sent < size; sent += len(chunk) {
			if sent == 16<<20 {
				close(reached16MB)
			}
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conn := dial(t, l)
	_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	select {
	case <-reached16MB:
		t.Fatal("16 MB were written to a caller that reads nothing")
	case <-time.After(500 * time.Millisecond):
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	if growth := int64(during.HeapAlloc) - int64(before.HeapAlloc); growth > maxGrowth {
		t.Errorf("heap grew by %d bytes for a caller that reads nothing, want at most %d", growth, maxGrowth)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, res.Body); n != size || err != nil {
		t.Errorf("response body: %d bytes, error %v; want %d bytes", n, err, size)
	}
}

// TestDisconnectCancelsRequest checks that the context of a request is canceled when
// the caller closes the connection.
func TestDisconnectCancelsRequest(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	l := listen(t, listener.DefaultLimits, func(_ http.ResponseWriter, req *http.Request) {
		close(started)
		<-req.Context().Done()
		close(ended)
	})
	conn := dial(t, l)
	_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(time.Minute):
		t.Error("request was not canceled within a minute after its connection was closed")
	}
}

// TestLastResponseIsComplete sends a large response with "Connection: close" to a
// caller that starts to read late. The connection must not be closed while bytes
// are still queued.
func TestLastResponseIsComplete(t *testing.T) {
	const size = 4 << 20
	l := listen(t, listener.DefaultLimits, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(make([]byte, size))
	})
	conn := dial(t, l)
	_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, res.Body); n != size || err != nil {
		t.Errorf("response body: %d bytes, error %v; want %d bytes", n, err, size)
	}
}

// TestAbortIsDetected aborts the connection in the middle of a response. The caller
// must get an error.
func TestAbortIsDetected(t *testing.T) {
	l := listen(t, listener.DefaultLimits, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write(make([]byte, 500))
		listener.Abort(w)
	})
	res, err := http.Get("http://" + l.Address())
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	if n, err := io.Copy(io.Discard, res.Body); err == nil {
		t.Errorf("aborted response was read without an error, with %d bytes", n)
	}
}

// TestStartDrainClosesConnections checks that StartDrain closes an idle connection
// at once, and one with a request in flight after its response.
func TestStartDrainClosesConnections(t *testing.T) {
	started, proceed := make(chan struct{}, 1), make(chan struct{})
	l := listen(t, listener.DefaultLimits, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			started <- struct{}{}
			<-proceed
		}
		_, _ = io.WriteString(w, "ok")
	})
	idle, busy := dial(t, l), dial(t, l)
	_, _ = fmt.Fprintf(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	idleReader := bufio.NewReader(idle)
	readResponse(t, idleReader)
	_, _ = fmt.Fprintf(busy, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	l.StartDrain()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("read from the idle connection: %v, want EOF", err)
	}
	if l.BusyConnections() != 1 {
		t.Errorf("%d busy connections, want 1", l.BusyConnections())
	}
	close(proceed)
	busyReader := bufio.NewReader(busy)
	readResponse(t, busyReader)
	if _, err := busyReader.ReadByte(); err != io.EOF {
		t.Errorf("read from the busy connection after its response: %v, want EOF", err)
	}
	for l.Connections() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// readResponse reads a response and checks that its body is "ok".
func readResponse(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); string(body) != "ok" || err != nil {
		t.Fatalf("response body %q, error %v", body, err)
	}
}

// TestRejectedRequests checks the error responses to requests that exceed a limit or
// are not valid HTTP.
func TestRejectedRequests(t *testing.T) {
	limits := listener.DefaultLimits
	limits.MaxRequestBytes = 2000
	limits.MaxHeaders = 5
	tests := []struct {
		name, request string
		kind          answerer.Kind
	}{
		{"body over the size limit", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), answerer.KindTooLarge},
		{"chunked body over the size limit", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3e8\r\n"+strings.Repeat("x", 1000)+"\r\n", 5), answerer.KindTooLarge},
		{"headers over the size limit", "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 5000) + "\r\n\r\n", answerer.KindTooLarge},
		{"too many headers", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 10) + "\r\n", answerer.KindHeaderLimit},
		{"not HTTP", "hello\r\n\r\n", answerer.KindBadRequest},
		{"malformed content length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", answerer.KindBadRequest},
	}
	l := listen(t, limits, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "handled") })
	for _, test := range tests {
		conn := dial(t, l)
		_, _ = io.WriteString(conn, test.request)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		if got := res.Header.Get(answerer.HeaderKind); got != string(test.kind) {
			t.Errorf("%s: status %d, kind %q, want %q", test.name, res.StatusCode, got, test.kind)
		}
	}
}
