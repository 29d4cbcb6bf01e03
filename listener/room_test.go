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

	"lagoonstile/answerer"
	"lagoonstile/rationer"
)

// connectionPrice is what a connection takes of a budget.
var connectionPrice = connBytes + DefaultLimits.ReceiveBuffer.Bytes()

// echo answers with the length of the body.
var echo = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
	n, _ := io.Copy(io.Discard, req.Body)
	_, _ = fmt.Fprint(w, n)
})

// startRoom starts a listener with a budget.
func startRoom(t *testing.T, limits Limits, budgetBytes int64, handler http.Handler) *Listener {
	t.Helper()
	limits.Budget = rationer.New(budgetBytes)
	limits.IdleTimeout, limits.StallTimeout = time.Minute, time.Minute
	limits.MaxRequestBytes, limits.MaxHeaders = 1<<20, 100
	l, err := Listen("127.0.0.1:0", limits, handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// client is a connection to a listener, on which the start of a request may have been
// sent.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// send connects and sends a text.
func send(t *testing.T, l *Listener, text string) client {
	t.Helper()
	conn, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return client{t, conn, bufio.NewReader(conn)}
}

// isClosed reports whether the listener closes the connection soon.
func (c client) isClosed() bool {
	_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := c.reader.Peek(1)
	netErr, ok := err.(net.Error)
	return err != nil && (!ok || !netErr.Timeout())
}

// status returns the status of the next response, or 0 if there is none.
func (c client) status() int {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Log(err)
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

const ordinary = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestSilentClientsMakeRoom opens more connections than a budget or the descriptors
// allow, which send nothing, a part of a head, or a part of a body. Each later client
// must be served.
func TestSilentClientsMakeRoom(t *testing.T) {
	const most = 8
	unfinished := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 99999)
	tests := []struct {
		name, sent  string
		connections int
		budget      int64
		// refusable is set if requests may be refused at first: a client whose body stops
		// holds its memory for a second before it counts as stalled.
		refusable bool
	}{
		{"nothing, descriptors", "", most, 64 << 20, false},
		{"nothing, memory", "", 0, most*connectionPrice + servingBytes, false},
		{"part of a head, descriptors", "GET / HT", most, 64 << 20, false},
		{"part of a head, memory", "GET / HT", 0, most*connectionPrice + servingBytes, false},
		{"part of a body, memory", unfinished, 0, most * (connectionPrice + servingBytes + 100000) * 8 / 7, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := startRoom(t, Limits{MaxConnections: test.connections}, test.budget, echo)
			for range 3 * most {
				send(t, l, test.sent)
			}
			for range 3 {
				status := send(t, l, ordinary).status()
				for test.refusable && status == http.StatusServiceUnavailable {
					time.Sleep(10 * time.Millisecond)
					status = send(t, l, ordinary).status()
				}
				if status != http.StatusOK {
					t.Errorf("an ordinary request got status %d", status)
				}
			}
			if usage := l.limits.Budget.Usage(); usage.HeldBytes > usage.LimitBytes {
				t.Errorf("%d bytes are held, more than %d", usage.HeldBytes, usage.LimitBytes)
			}
		})
	}
}

// TestClientsThatGetOnKeepTheirConnections checks which of the connections is closed for
// a new one: not that of a client that gets on, and not one whose request is being served,
// but the one that holds most among those that wait.
func TestClientsThatGetOnKeepTheirConnections(t *testing.T) {
	served := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			<-served
		}
		echo(w, req)
	})
	l := startRoom(t, Limits{MaxConnections: 4}, 64<<20, handler)
	slow := send(t, l, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	idle := send(t, l, "")
	stalled := send(t, l, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\nx")
	getsOn := send(t, l, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")
	piece := strings.Repeat("x", 20_000)
	for sent := 0; sent < 1_000_000; sent += len(piece) { // For 2.5 s.
		if _, err := io.WriteString(getsOn, piece); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		if sent == 600_000 {
			if status := send(t, l, ordinary).status(); status != http.StatusOK {
				t.Errorf("a new client got status %d", status)
			}
			if !stalled.isClosed() {
				t.Error("the connection that holds most was not closed")
			}
			if idle.isClosed() {
				t.Error("the idle connection was closed, which holds less")
			}
		}
	}
	if status := getsOn.status(); status != http.StatusOK {
		t.Errorf("the client that got on got status %d", status)
	}
	close(served)
	if status := slow.status(); status != http.StatusOK {
		t.Errorf("the client whose request was served got status %d", status)
	}
}

// TestLargeBodiesGetLargerBuffers checks that a connection takes more of the budget
// while it receives a large body if much of it is free, and that nothing is held after
// it.
func TestLargeBodiesGetLargerBuffers(t *testing.T) {
	const body = 500_000
	post := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", body)
	tests := []struct {
		name   string
		budget int64
		want   bool
	}{
		{"much is free", 64 << 20, true},
		{"little is free", 700 << 10, false},
	}
	for _, test := range tests {
		l := startRoom(t, Limits{}, test.budget, echo)
		c := send(t, l, post+strings.Repeat("x", body))
		if status := c.status(); status != http.StatusOK {
			t.Errorf("%s: status %d", test.name, status)
		}
		held := int64(0)
		for held == 0 { // The response is read before the connection is idle.
			held = l.limits.Budget.Usage().Held[rationer.Holding{Kind: rationer.Connection, Phase: rationer.Idle}]
		}
		if larger := held > connectionPrice; larger != test.want {
			t.Errorf("%s: the connection holds %d bytes", test.name, held)
		}
		_ = c.Close()
		for l.limits.Budget.Usage().HeldBytes > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestCopyOfBodyIsTakenFromTheBudget sends bodies in chunks, which the handler asks for in
// one piece. It must get a Failure if there is no memory for the copy, and what the copy
// took must be returned.
func TestCopyOfBodyIsTakenFromTheBudget(t *testing.T) {
	const body = 600_000
	post := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", body, strings.Repeat("x", body))
	tests := []struct {
		name   string
		budget int64
		want   int
	}{
		{"room for both", 4 << 20, http.StatusOK},
		{"room for one", 1700 << 10, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		after := make(chan int64, 1)
		handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			data, err := Bytes(req)
			var failure *answerer.Failure
			switch {
			case errors.As(err, &failure):
				failure.Write(w, "")
			case len(data) != body:
				t.Errorf("%s: %d bytes, want %d", test.name, len(data), body)
			}
			after <- rationer.FromContext(req.Context()).Standing(time.Now()).HeldBytes
		})
		l := startRoom(t, Limits{}, test.budget, handler)
		if status := send(t, l, post).status(); status != test.want {
			t.Errorf("%s: status %d, want %d", test.name, status, test.want)
		}
		if held := <-after; held >= 2*body {
			t.Errorf("%s: %d bytes are held after the copy", test.name, held)
		}
	}
}

// TestRefusalForTheHandlersMemoryIsTrue sends requests for whose handler there is no memory.
// A refusal says that the request has not run, but not of an order that may have been sent
// before.
func TestRefusalForTheHandlersMemoryIsTrue(t *testing.T) {
	handler := func(http.ResponseWriter, *http.Request) { t.Error("the handler was called") }
	tests := []struct {
		name, header string
		want         answerer.Outcome
	}{
		{"without a key", "", answerer.OutcomeNotRun},
		{"with a key", "Idempotency-Key: k\r\n", answerer.OutcomeUnknown},
	}
	for _, test := range tests {
		l := startRoom(t, Limits{HandlerBytes: 1 << 20}, 512<<10, http.HandlerFunc(handler))
		c := send(t, l, "GET / HTTP/1.1\r\nHost: a\r\n"+test.header+"\r\n")
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		res, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if outcome := answerer.Outcome(res.Header.Get(answerer.HeaderOutcome)); outcome != test.want {
			t.Errorf("%s: status %d, outcome %q, want %q", test.name, res.StatusCode, outcome, test.want)
		}
	}
}
