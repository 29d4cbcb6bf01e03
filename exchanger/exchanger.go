// Package exchanger sends one request to one server and reads the answer to it,
// and to no other request.
//
// Each exchange has a connection of its own. What a server sends late or twice
// then belongs to no later request, and a connection that the server has
// forgotten can't swallow one. The price is a handshake, some milliseconds.
//
// An answer is whole only if its framing says so: a length, chunks, or the end
// of the connection without a reset. It must name the request that was sent.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Bounds of an exchange.
const (
	// connectTimeout is short, for a server that does not answer a handshake at
	// once is cut off, and another one may be near.
	connectTimeout = 300 * time.Millisecond
	// holdBytes is the largest body that is held until it is whole.
	holdBytes   = 2 << 20
	bufferBytes = 16 << 10
)

// Call is a request for one server.
type Call struct {
	Address string
	Method  string
	// URI is the path and query as the client sent them.
	URI  string
	Host string
	// Header holds end-to-end headers only.
	Header http.Header
	Body   []byte
	// IDHeader names the header that servers echo, and ID its value.
	IDHeader, ID string
}

// Reply is a server's answer.
type Reply struct {
	Status int
	// Header holds end-to-end headers only.
	Header http.Header
	// Body is the whole body, unless Rest is set.
	Body []byte
	// Length is that of the whole body, or -1 when only its end tells.
	Length int64
	// Rest is what follows Body in an answer too large to hold, or nil.
	Rest io.Reader

	end func()
}

// Close ends the exchange. It may be called more than once.
func (r *Reply) Close() { r.end() }

// Error is an exchange without a whole answer.
type Error struct {
	// Sent says that the server may have the request.
	Sent  bool
	Cause error
}

var _ error = (*Error)(nil)

// Error returns the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// errForeign is an answer to another request.
var errForeign = errors.New("answer does not name the request")

// Do runs one exchange. The error is an *Error. The end of the context breaks
// the connection off, and with it the server's work.
func Do(ctx context.Context, call *Call) (*Reply, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return nil, &Error{Cause: fmt.Errorf("connect: %w", err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	end := func() {
		stop()
		_ = conn.Close()
	}
	reply, err := exchange(conn, call)
	if err != nil {
		end()
		return nil, &Error{Sent: true, Cause: err}
	}
	if reply.Rest == nil {
		end()
		end = func() {}
	}
	reply.end = end
	return reply, nil
}

func exchange(conn net.Conn, call *Call) (*Reply, error) {
	// A server may answer before it has read a long body, and close: the answer
	// counts then, and not the failed write.
	_, writeErr := conn.Write(call.bytes())
	res, err := readHead(bufio.NewReaderSize(conn, bufferBytes), call.Method)
	if err != nil {
		return nil, errors.Join(writeErr, err)
	}
	if got := res.Header.Get(call.IDHeader); got != call.ID {
		return nil, fmt.Errorf("%w: %q", errForeign, got)
	}
	return readBody(res)
}

// bytes returns the request as it goes over the wire.
func (c *Call) bytes() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.URI, c.Host)
	header := c.Header.Clone()
	header.Set("Connection", "close")
	if len(c.Body) > 0 || (c.Method != http.MethodGet && c.Method != http.MethodHead) {
		header.Set("Content-Length", strconv.Itoa(len(c.Body)))
	}
	_ = header.Write(&out) // A buffer takes all.
	out.WriteString("\r\n")
	out.Write(c.Body)
	return out.Bytes()
}

// readHead skips interim answers.
func readHead(from *bufio.Reader, method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(from, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read head: %w", err)
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

func readBody(res *http.Response) (*Reply, error) {
	reply := &Reply{Status: res.StatusCode, Header: EndToEnd(res.Header), Length: res.ContentLength}
	body, err := io.ReadAll(io.LimitReader(res.Body, holdBytes))
	if err != nil {
		return nil, fmt.Errorf("read body: after %d bytes: %w", len(body), err)
	}
	reply.Body = body
	if len(body) == holdBytes {
		reply.Rest = res.Body
		return reply, nil
	}
	reply.Length = int64(len(body))
	return reply, nil
}
