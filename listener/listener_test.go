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

// TestSlowCallerCostsBoundedMemory sends 100 MB to a caller that reads nothing,
// and then lets it read them all.
func TestSlowCallerCostsBoundedMemory(t *testing.T) {
	const size = 100 << 20
	const most = 8 << 20
	stuck := make(chan struct{})
	piece := make([]byte, 64<<10)
	l := listen(t, listener.DefaultLimits, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for sent := 0; sent < size; sent += len(piece) {
			if sent == 16<<20 {
				close(stuck)
			}
			if _, err := w.Write(piece); err != nil {
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
	case <-stuck:
		t.Fatal("16 MB were written to a caller that reads nothing")
	case <-time.After(500 * time.Millisecond):
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	if grown := int64(during.HeapAlloc) - int64(before.HeapAlloc); grown > most {
		t.Errorf("a caller that reads nothing costs %d bytes, want at most %d", grown, most)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, res.Body); n != size || err != nil {
		t.Errorf("then it read %d bytes, %v; want %d", n, err, size)
	}
}

// TestCallerGoneEndsRequest cancels a request whose connection is closed.
func TestCallerGoneEndsRequest(t *testing.T) {
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
		t.Error("the request went on after its caller was gone")
	}
}

// TestLastAnswerIsWhole sends a large answer on a connection that ends with it
// to a caller that reads slowly.
func TestLastAnswerIsWhole(t *testing.T) {
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
		t.Errorf("read %d bytes, %v; want %d", n, err, size)
	}
}

// TestAbortIsSeen breaks the connection in the middle of an answer.
func TestAbortIsSeen(t *testing.T) {
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
		t.Errorf("a broken answer looks whole with %d bytes", n)
	}
}

// TestLeaveEndsConnections answers the request in flight, says that the
// connection ends, and closes idle ones.
func TestLeaveEndsConnections(t *testing.T) {
	started, proceed := make(chan struct{}, 1), make(chan struct{})
	l := listen(t, listener.DefaultLimits, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			started <- struct{}{}
			<-proceed
		}
		_, _ = io.WriteString(w, "whole")
	})
	idle, busy := dial(t, l), dial(t, l)
	_, _ = fmt.Fprintf(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	idleReader := bufio.NewReader(idle)
	readWhole(t, idleReader)
	_, _ = fmt.Fprintf(busy, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	l.Leave()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want it closed", err)
	}
	if l.Busy() != 1 {
		t.Errorf("%d requests in flight, want 1", l.Busy())
	}
	close(proceed)
	busyReader := bufio.NewReader(busy)
	readWhole(t, busyReader)
	if _, err := busyReader.ReadByte(); err != io.EOF {
		t.Errorf("busy connection after its answer: %v, want it closed", err)
	}
	for l.Connections() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func readWhole(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); string(body) != "whole" || err != nil {
		t.Fatalf("answer %q, %v", body, err)
	}
}

// TestRefusals answers requests that no handler gets.
func TestRefusals(t *testing.T) {
	limits := listener.DefaultLimits
	limits.RequestBytes = 2000
	limits.Headers = 5
	tests := []struct {
		name, request string
		kind          answerer.Kind
	}{
		{"a body over the limit", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), answerer.KindTooLarge},
		{"chunks over the limit", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3e8\r\n"+strings.Repeat("x", 1000)+"\r\n", 5), answerer.KindTooLarge},
		{"headers over the size", "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 5000) + "\r\n\r\n", answerer.KindTooLarge},
		{"too many headers", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 10) + "\r\n", answerer.KindHeaderLimit},
		{"not HTTP", "hello\r\n\r\n", answerer.KindBadRequest},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", answerer.KindBadRequest},
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
