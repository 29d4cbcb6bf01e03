// Package exchanger sends one request to one server and reads the response to
// it.
//
// Each exchange uses a new connection. A late or duplicate response therefore
// cannot be mistaken for the response to a later request, and no request is lost
// on an idle connection whose state the server has dropped. This costs a handshake
// of some milliseconds for each request.
//
// A response is complete only if its framing says so: by a content length, by
// chunks, or by the end of the connection without a reset. It must echo the
// request ID that was sent.
//
// A faulty server may send bytes without end, at any place of a response. Limits
// bounds what is read; the context bounds the time. The rate of a body is not
// bounded: a server that pauses may still finish its response.
package exchanger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"lagoonstile/inspector"
	"lagoonstile/sizer"
)

// Limits are limits of one response. The value 0 of a field means its value in
// DefaultLimits.
type Limits struct {
	// MaxHeadBytes is the size of the largest response head, together with the
	// interim responses before it, and MaxHeadFields the number of fields in a head.
	MaxHeadBytes  int64
	MaxHeadFields int
	// MaxUnknownLengthBytes is the size of the largest body without a content
	// length, including the framing of its chunks.
	MaxUnknownLengthBytes int64
}

// DefaultLimits are the limits that apply where no others are set.
var DefaultLimits = Limits{MaxHeadBytes: 64 << 10, MaxUnknownLengthBytes: 64 << 20}

// WithDefaults returns the limits with the defaults in place of zero values.
func (l Limits) WithDefaults() Limits {
	if l.MaxHeadBytes == 0 {
		l.MaxHeadBytes = DefaultLimits.MaxHeadBytes
	}
	if l.MaxUnknownLengthBytes == 0 {
		l.MaxUnknownLengthBytes = DefaultLimits.MaxUnknownLengthBytes
	}
	return l
}

// Head returns the limits of a head. The number of fields of 0 means the default of
// package inspector.
func (l Limits) Head() inspector.Limits { return inspector.Limits{MaxFields: l.MaxHeadFields} }

// Parameters of an exchange.
const (
	// connectTimeout is short because a server that does not complete a handshake
	// at once is unreachable, and another server may be reachable.
	connectTimeout = 300 * time.Millisecond
	// maxBufferedBody is the size in bytes from which a body is streamed instead of
	// being read in full first.
	maxBufferedBody = 2 << 20
	// typicalHeadBytes is the size that the buffer of a request gets for its head.
	typicalHeadBytes = 512
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 16 << 10
	// minBodyBuffer is the first size of the buffer for a body of unknown length.
	minBodyBuffer = 4 << 10
	// freeBytes is the size of the largest body that is buffered without taking it from
	// the share. What a request takes for itself includes it.
	freeBytes = 16 << 10
	// maxErrorBytes is the size of the longest text of an error that quotes a server.
	maxErrorBytes = 200
	// enlargingBytes is the length of a body from which a connection gets the receive
	// buffer bodyReceiveBuffer, if the budget has room to spare.
	enlargingBytes = 64 << 10
)

// ExchangeBytes is what an exchange takes of the budget: its buffers, goroutines and the
// receive buffer of its connection. Whoever calls Do must have taken it.
var ExchangeBytes = 16<<10 + ReceiveBuffer.Bytes()

// Receive buffers of the connections to servers.
const (
	ReceiveBuffer     sizer.Size = 16 << 10
	bodyReceiveBuffer sizer.Size = 64 << 10
)

// Request is a request to one server.
type Request struct {
	// Address is the server's host:port.
	Address string
	Method  string
	// URI is the path and query as the client sent them.
	URI  string
	Host string
	// Header holds the end-to-end headers only.
	Header http.Header
	// Body holds the pieces of the body. They are not copied, unless they are small.
	Body [][]byte
	// RequestIDHeader is the name of the header that servers echo, and RequestID
	// its value.
	RequestIDHeader, RequestID string
	Limits                     Limits
}

// Response is a server's response.
type Response struct {
	Status int
	// Header holds the end-to-end headers only.
	Header http.Header
	// Body is the whole body, or its start if Rest is set.
	Body []byte
	// Length is the length of the whole body in bytes, or -1 if it is not known
	// until the end of the body.
	Length int64
	// Rest reads what follows Body if the body is too large to buffer. Otherwise it
	// is nil.
	Rest io.Reader

	closeConn func()
}

// IsOpenEnded reports whether the end of the body is not known yet.
func (resp *Response) IsOpenEnded() bool { return resp.Rest != nil && resp.Length < 0 }

// Close closes the connection. It may be called more than once.
func (resp *Response) Close() { resp.closeConn() }

// Error is the error of an exchange that got no complete response.
type Error struct {
	// Sent is true if the server may have received the request.
	Sent  bool
	Cause error
}

var _ error = (*Error)(nil)

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// errRequestIDMismatch is the error of a response to another request.
var errRequestIDMismatch = errors.New("response does not echo the request ID")

// Do sends a request and reads the response. The error is always an *Error. When
// the context ends, the connection is closed, so that the server can stop its
// work. The caller must close the response.
func Do(ctx context.Context, req *Request) (*Response, error) {
	// The context bounds the time of an exchange. Keep-alive probes would only cost
	// four system calls.
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: ReceiveBuffer.Control}
	conn, err := dialer.DialContext(ctx, "tcp", req.Address)
	if err != nil {
		return nil, &Error{Cause: fmt.Errorf("connect: %w", err)}
	}
	cancelClose := context.AfterFunc(ctx, func() { _ = conn.Close() })
	closeConn := func() {
		cancelClose()
		_ = conn.Close()
	}
	resp, err := roundTrip(ctx, conn, req)
	if err != nil {
		closeConn()
		return nil, &Error{Sent: true, Cause: err}
	}
	if resp.Rest == nil {
		closeConn()
		closeConn = func() {}
	}
	resp.closeConn = closeConn
	return resp, nil
}

// roundTrip sends the request on an open connection and reads the response. A server may
// respond before it has read all of a long body. The response is then used although the
// write goes on or has failed.
func roundTrip(ctx context.Context, conn net.Conn, req *Request) (*Response, error) {
	sent := startWrite(conn, req.encode(), req.bodyBytes())
	resp, err := newReading(ctx, conn, req, sent).response()
	if err != nil {
		return nil, errors.Join(sent.upload().Err, err)
	}
	if resp.Rest == nil && isSuccess(resp.Status) {
		sent.await()
	}
	return resp, nil
}

// maxCopiedBody is the size of the largest body that is copied behind the head, so that
// one write sends both.
const maxCopiedBody = 16 << 10

// bodyBytes returns the size of the body.
func (req *Request) bodyBytes() int {
	length := 0
	for _, piece := range req.Body {
		length += len(piece)
	}
	return length
}

// encode returns the request in HTTP/1.1 wire format, in pieces.
func (req *Request) encode() net.Buffers {
	length := req.bodyBytes()
	var buf bytes.Buffer
	buf.Grow(typicalHeadBytes + min(length, maxCopiedBody))
	for _, part := range []string{req.Method, " ", req.URI, " HTTP/1.1\r\nHost: ", req.Host, "\r\nConnection: close\r\n"} {
		buf.WriteString(part)
	}
	if length > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		buf.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	_ = req.Header.WriteSubset(&buf, ownHeaders) // Writes to a bytes.Buffer do not fail.
	buf.WriteString("\r\n")
	if length > maxCopiedBody {
		return append(net.Buffers{buf.Bytes()}, req.Body...)
	}
	for _, piece := range req.Body {
		buf.Write(piece)
	}
	return net.Buffers{buf.Bytes()}
}

// ownHeaders holds the headers that an exchange sets itself.
var ownHeaders = map[string]bool{"Connection": true, "Content-Length": true}
