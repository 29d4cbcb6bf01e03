package listener

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lagoonstile/rationer"
	"lagoonstile/sizer"
)

// sendSlow is send for a client with a small window, so that most of an answer waits at
// the listener.
func sendSlow(t *testing.T, l *Listener, text string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: sizer.Size(4 << 10).Control}
	conn, err := dialer.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// lastRequest is a request behind whose answer the connection ends.
const lastRequest = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

// TestAnswerIsWholeWhateverTheKernelTells guards against answers that are cut because a
// connection is closed on the word of the kernel, which may not know what was delivered,
// or may count as delivered what the client has not read.
func TestAnswerIsWholeWhateverTheKernelTells(t *testing.T) {
	t.Parallel()
	const size = 300_000
	tests := []struct {
		name   string
		unsent func(net.Conn) (int, bool)
		drain  bool
	}{
		{"not known, last answer", func(net.Conn) (int, bool) { return 0, false }, false},
		{"not known, drain", func(net.Conn) (int, bool) { return 0, false }, true},
		{"all acknowledged, last answer", func(net.Conn) (int, bool) { return 0, true }, false},
		{"all acknowledged, drain", func(net.Conn) (int, bool) { return 0, true }, true},
		{"told, last answer", sizer.Unsent, false},
		{"told, drain", sizer.Unsent, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := startRoom(t, Limits{}, 64<<20, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			}))
			l.unsent = test.unsent
			request := lastRequest
			if test.drain {
				request = ordinary
			}
			conn := sendSlow(t, l, request)
			time.Sleep(50 * time.Millisecond) // The answer is written.
			if test.drain {
				l.StartDrain()
			}
			var received int
			buffer := make([]byte, size/20)
			for received < size {
				_, _ = fmt.Fprint(conn, ordinary) // The client goes on to send requests.
				time.Sleep(10 * time.Millisecond)
				n, err := io.ReadFull(conn, buffer)
				received += n
				if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("after %d bytes of an answer of %d bytes and its head: %v", received, size, err)
				}
			}
			_ = conn.Close()
			waitUntilNone(t, l)
		})
	}
}

// waitUntilNone waits until the listener has no connection.
func waitUntilNone(t *testing.T, l *Listener) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); l.count(func(*conn) bool { return true }) > 0; {
		if time.Now().After(end) {
			t.Fatal("a connection stays open")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestEndedConnectionsAreBounded guards against ended connections that stay because
// their clients never close them.
func TestEndedConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	notKnown := func(net.Conn) (int, bool) { return 0, false }
	tests := []struct {
		name   string
		unsent func(net.Conn) (int, bool)
		// act is what happens to the ended connection of a client.
		act  func(l *Listener, client net.Conn)
		want endReason
	}{
		{"client does nothing", sizer.Unsent, func(*Listener, net.Conn) {}, endStalled},
		{"client does nothing, not known", notKnown, func(*Listener, net.Conn) {}, endStalled},
		{"client sends on", notKnown, func(_ *Listener, client net.Conn) {
			for err := error(nil); err == nil; {
				_, err = client.Write(make([]byte, 1<<20))
			}
		}, endFlooded},
		{"client leaves", notKnown, func(_ *Listener, client net.Conn) { _ = client.Close() }, endLeft},
		{"process stops", notKnown, func(l *Listener, _ net.Conn) { l.Close() }, endClosed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			limits := DefaultLimits
			if test.want == endStalled {
				limits.StallTimeout = 600 * time.Millisecond
			}
			l, err := Listen("127.0.0.1:0", limits, echo)
			if err != nil {
				t.Fatal(err)
			}
			if test.want != endClosed {
				t.Cleanup(l.Close)
			}
			l.unsent = test.unsent
			client := sendSlow(t, l, lastRequest)
			var ended *conn
			for ended == nil {
				ended = anyEnding(l)
			}
			began := time.Now()
			test.act(l, client)
			waitUntilNone(t, l)
			ended.mu.Lock()
			defer ended.mu.Unlock()
			if ended.end.reason != test.want {
				t.Errorf("the connection was closed because of %q, want %q", ended.end.reason, test.want)
			}
			if took := time.Since(began); test.want == endStalled && took > 5*time.Second {
				t.Errorf("it was closed after %v", took)
			}
		})
	}
}

// anyEnding returns an ended connection of a listener, or nil if there is none.
func anyEnding(l *Listener) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.ending() {
			return c
		}
	}
	return nil
}

// TestEndedConnectionsMakeRoomFirst guards against clients that do not close their ended
// connections and take the room of others.
func TestEndedConnectionsMakeRoomFirst(t *testing.T) {
	t.Parallel()
	const most = 6
	tests := []struct {
		name        string
		connections int
		budget      int64
	}{
		{"descriptors", most, 64 << 20},
		{"memory", 0, most*connectionPrice + servingBytes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := startRoom(t, Limits{MaxConnections: test.connections}, test.budget, echo)
			l.unsent = func(net.Conn) (int, bool) { return 0, false }
			idle := send(t, l, ordinary)
			if status := idle.status(); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			for n := range 3 * most {
				time.Sleep(minShedTime) // A client gets so much time to read its answer.
				if status := send(t, l, lastRequest).status(); status != http.StatusOK {
					t.Errorf("client %d got status %d", n, status)
				}
			}
			if ending := l.EndingConnections(); ending == 0 {
				t.Error("no connection waits for its client to close it")
			}
			if idle.isClosed() {
				t.Error("the idle connection was closed to make room")
			}
		})
	}
}

// TestAnswerIsWholeBeforeOneThatIsGivenUp guards against an answer that is lost because
// the next request of its connection is refused for want of memory.
func TestAnswerIsWholeBeforeOneThatIsGivenUp(t *testing.T) {
	t.Parallel()
	const size = 300_000
	l := startRoom(t, Limits{}, 64<<20, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}))
	unfinished := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nx"
	conn := sendSlow(t, l, ordinary+unfinished)
	for !l.giveUpReading() {
		time.Sleep(time.Millisecond)
	}
	reader := bufio.NewReader(conn)
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		time.Sleep(20 * time.Millisecond) // The request is refused.
		_, _ = io.WriteString(conn, "xxxx")
		time.Sleep(20 * time.Millisecond)
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != want || want == http.StatusOK && n != size {
			t.Errorf("status %d with %d bytes, error %v; want status %d", res.StatusCode, n, err, want)
		}
	}
}

// giveUpReading takes the memory of a request that is being read. It returns false if
// there is none.
func (l *Listener) giveUpReading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		share := c.reading
		written := len(c.exchanges) == 0
		c.mu.Unlock()
		if share != nil && written {
			go c.revoke(share, rationer.Reading)
			return true
		}
	}
	return false
}
