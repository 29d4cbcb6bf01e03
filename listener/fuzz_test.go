package listener

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonstile/answerer"
	"lagoonstile/rationer"
)

// received is a request as a reader understood it.
type received struct {
	Method, URI, Host, Body string
	Close                   bool
}

// piecewise is a connection that gives its bytes in pieces and then ends.
type piecewise struct {
	net.Conn
	data []byte
	size int
}

// Read implements net.Conn.
func (p *piecewise) Read(b []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size)], p.data)
	p.data = p.data[n:]
	return n, nil
}

// Write implements net.Conn. It drops what is written.
func (p *piecewise) Write(b []byte) (int, error) { return len(b), nil }

// Close implements net.Conn.
func (p *piecewise) Close() error { return nil }

// RemoteAddr implements net.Conn.
func (p *piecewise) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetReadDeadline implements net.Conn.
func (p *piecewise) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (p *piecewise) SetWriteDeadline(time.Time) error { return nil }

// readWithNetHTTP returns the requests that net/http reads from data, up to the first
// that is invalid or incomplete or that closes the connection.
func readWithNetHTTP(data []byte) []received {
	reader := bufio.NewReader(bytes.NewReader(data))
	var requests []received
	for {
		for lines := 0; lines < maxEmptyLines; lines++ {
			start, _ := reader.Peek(2)
			switch {
			case bytes.HasPrefix(start, []byte("\n")):
				_, _ = reader.Discard(1)
			case bytes.Equal(start, []byte("\r\n")):
				_, _ = reader.Discard(2)
			}
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return requests
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return requests
		}
		requests = append(requests, received{req.Method, req.RequestURI, req.Host, string(body), req.Close})
		if req.Close {
			return requests
		}
	}
}

// readWithListener returns the requests that a connection passes on, and the error that
// ended it.
func readWithListener(data []byte, size int, budget *rationer.Budget) ([]received, error) {
	limits := DefaultLimits
	limits.Budget = budget
	l := &Listener{limits: limits}
	l.current.Store(&limits)
	c := newConn(&piecewise{data: data, size: size}, l)
	defer c.share.Close()
	c.buffer = make([]byte, readBufferBytes)
	c.in = c.buffer[:0]
	var requests []received
	for {
		if err := c.awaitRequest(); err != nil {
			return requests, err
		}
		share := c.newShare()
		req, err := c.readRequest(share)
		share.Close()
		if err != nil {
			return requests, err
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return requests, err
		}
		requests = append(requests, received{req.Method, req.RequestURI, req.Host, string(body), req.Close})
		if req.Close {
			return requests, nil
		}
	}
}

// FuzzRequests compares the requests that a connection passes on with those that
// net/http reads from the same bytes. They must be the same up to the first one that is
// refused: the listener may refuse what net/http accepts, but not the reverse, and must
// not take a part of a request for a new one. All memory must be returned.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\nT: v\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"\r\n\r\nGET / HTTP/1.1\nHost: a\n\nHEAD /2 HTTP/1.0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nA : b\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
	} {
		f.Add([]byte(seed), uint8(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		budget := rationer.New(4 << 20)
		got, err := readWithListener(data, 1+int(size), budget)
		want := readWithNetHTTP(data)
		if len(got) > len(want) {
			t.Fatalf("%d requests, net/http reads %d: %+v", len(got), len(want), got[len(want):])
		}
		if diff := cmp.Diff(want[:len(got)], got); len(got) > 0 && diff != "" {
			t.Errorf("requests (-net/http +listener):\n%s", diff)
		}
		var failure *answerer.Failure
		if len(got) < len(want) && !errors.As(err, &failure) {
			t.Errorf("request %d was not refused: error %v", len(got), err)
		}
		if usage := budget.Usage(); usage.HeldBytes != 0 {
			t.Errorf("%d bytes are held at the end", usage.HeldBytes)
		}
	})
}

// endless is a connection that repeats its bytes, without end for any request. Before each
// read, it calls check.
type endless struct {
	piecewise
	pattern []byte
	at      int
	left    int
	check   func()
}

// Read implements net.Conn.
func (e *endless) Read(b []byte) (int, error) {
	e.check()
	n := min(len(b), e.left)
	if n == 0 {
		return 0, io.EOF
	}
	for i := range b[:n] {
		b[i] = e.pattern[e.at]
		e.at = (e.at + 1) % len(e.pattern)
	}
	e.left -= n
	return n, nil
}

// FuzzEndlessBytes reads requests from a start that is followed by bytes without end. The
// connection must never hold more than it was granted, and nothing once it is gone.
func FuzzEndlessBytes(f *testing.F) {
	const post = "POST / HTTP/1.1\r\nHost: a\r\n"
	for _, seed := range []struct{ start, pattern string }{
		{"", "\r\n"}, {"", "\n"}, {"", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"}, {"GET / HTTP/1.1\r\nHost: a\r\n", "A: b\r\n"},
		{"GET /", "x"}, {post + "Content-Length: 90000\r\n\r\n", "x"}, {post + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{post + "Transfer-Encoding: chunked\r\n\r\n", "2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n"},
		{post + "Transfer-Encoding: chunked\r\n\r\n", "1;e=1\r\nx\r\n"}, {post + "Transfer-Encoding: chunked\r\n\r\n1", ";"},
		{post + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: v\r\n"},
	} {
		f.Add([]byte(seed.start), []byte(seed.pattern))
	}
	f.Fuzz(func(t *testing.T, start, pattern []byte) {
		if len(pattern) == 0 {
			return
		}
		const budgetBytes, endlessBytes = 1 << 20, 400_000
		limits := DefaultLimits
		limits.MaxHeadBytes, limits.MaxRequestBytes = 50_000, 100_000
		limits.Budget = rationer.New(budgetBytes)
		l := &Listener{limits: limits}
		l.current.Store(&limits)
		source := &endless{pattern: append(start, pattern...), left: endlessBytes}
		c := newConn(source, l)
		source.check = func() {
			held := limits.Budget.Usage().HeldBytes
			if held > budgetBytes {
				t.Fatalf("%d bytes are held of %d", held, budgetBytes)
			}
			if len(c.buffer) > readBufferBytes && int64(len(c.buffer)) > held {
				t.Fatalf("a buffer of %d bytes, %d were granted", len(c.buffer), held)
			}
			// Only the bytes after the start are repeated.
			if source.at == 0 && source.left < endlessBytes {
				source.at = len(start)
			}
		}
		c.buffer = make([]byte, readBufferBytes)
		c.in = c.buffer[:0]
		for c.awaitRequest() == nil {
			share := c.newShare()
			req, err := c.readRequest(share)
			var body int64
			if err == nil {
				pieces, _ := Pieces(req)
				for _, piece := range pieces {
					body += int64(cap(piece))
				}
			}
			if held := share.Standing(time.Now()).HeldBytes; body > held {
				t.Fatalf("a body of %d bytes, %d were granted", body, held)
			}
			share.Close()
			if err != nil || req.Close {
				break
			}
		}
		c.share.Close()
		if usage := limits.Budget.Usage(); usage.HeldBytes != 0 {
			t.Errorf("%d bytes are held at the end", usage.HeldBytes)
		}
	})
}

// TestRefusedFraming checks what the listener refuses because readers disagree about
// it, and that nothing behind it is taken for a request (RFC 9112, sections 2.2, 3.2,
// 5.1, 5.2, 6.1, 6.3, 7.1).
func TestRefusedFraming(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n"
	post := func(fields, body string) string { return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body }
	tests := []struct {
		name, request string
		kind          answerer.Kind
	}{
		{"two lengths", post("Content-Length: 3\r\nContent-Length: 4\r\n", "abc"), answerer.KindBadRequest},
		{"length beside chunks", post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), answerer.KindBadRequest},
		{"unknown coding", post("Transfer-Encoding: gzip\r\n", ""), answerer.KindBadRequest},
		{"bad chunk size", post("Transfer-Encoding: chunked\r\n", "zz\r\n"), answerer.KindBadRequest},
		{"chunk without end", post("Transfer-Encoding: chunked\r\n", "1\r\nabc\r\n"), answerer.KindBadRequest},
		{"space before colon", post("A : b\r\n", ""), answerer.KindBadRequest},
		{"folded line", post("A: b\r\n c\r\n", ""), answerer.KindBadRequest},
		{"two hosts", post("Host: b\r\n", ""), answerer.KindBadRequest},
		{"no host", "GET / HTTP/1.1\r\n\r\n", answerer.KindBadRequest},
		{"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", answerer.KindBadRequest},
		{"empty lines", "\r\n\r\n\r\n\r\n\r\n\r\n", answerer.KindBadRequest},
		{"body over the limit", post("Content-Length: 2000000\r\n", ""), answerer.KindTooLarge},
	}
	for _, test := range tests {
		got, err := readWithListener([]byte(test.request+next), 16, nil)
		var failure *answerer.Failure
		if len(got) > 0 || !errors.As(err, &failure) || failure.Kind != test.kind {
			t.Errorf("%s: requests %+v, error %v; want %s", test.name, got, err, test.kind)
		}
	}
}
