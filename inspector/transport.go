package inspector

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"lagoonstile/rationer"
)

// Transport is a transport of net/http that checks the heads of responses, and the ends of
// those that end with their connection. The memory of heads is taken from the share in the
// context of the request, if there is one. Encrypted connections are not checked.
type Transport struct {
	*http.Transport
	limits Limits
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport that makes requests by the given one, whose
// DialContext must be set. That one must not be used otherwise.
func NewTransport(transport *http.Transport, limits Limits) *Transport {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		tcp, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: tcp}
		c.expect(Head{part: body}) // Nothing is expected before a request.
		return c, nil
	}
	return &Transport{Transport: transport, limits: limits}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	head := Head{Limits: t.limits}
	if share := rationer.FromContext(ctx); share != nil {
		head.Take = func(bytes int64) bool { return share.Take(ctx, bytes) }
	}
	// used is the connection of the request, or nil if it is encrypted. A request that is
	// sent once more has another, while the write on the first one may still go on.
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, _ := info.Conn.(*conn)
			used.Store(c)
			if c != nil {
				c.expect(head)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := used.Load(); c != nil && info.Err == nil {
				c.endUpload()
			}
		},
	}
	res, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if c := used.Load(); c != nil && err == nil && endsWithConnection(res) {
		c.expectEnd()
	}
	return res, err
}

// endsWithConnection reports whether the body of a response may end with its connection.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// conn is a connection of a Transport.
type conn struct {
	net.Conn

	mu     sync.Mutex
	reader Reader
	upload Upload
	// endsResponse is set if the response that is being read ends with the connection.
	endsResponse bool
}

// expect begins the check of the response to another request.
func (c *conn) expect(head Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader, c.upload, c.endsResponse = Reader{Head: head}, Upload{}, false
}

// expectEnd tells that the response which is being read ends with the connection.
func (c *conn) expectEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsResponse = true
}

// endUpload tells that all of the request was written.
func (c *conn) endUpload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload.Ended = true
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload.Written += int64(n)
	if err != nil {
		c.upload.Err = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader.Source = received{p[:n], err}
	return c.reader.Read(p)
}

// checkEnd returns the error of a read that has met the end of the connection.
func (c *conn) checkEnd() error {
	c.mu.Lock()
	ends := c.endsResponse
	c.mu.Unlock()
	if !ends {
		return io.EOF
	}
	if err := AwaitEnd(c.Conn, c.uploaded); err != nil {
		return err
	}
	return io.EOF
}

// uploaded returns how far the write of the request has got.
func (c *conn) uploaded() Upload {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upload
}

// failure returns the error of the response that is being read.
func (c *conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.err
}

// received is a reader of what was received already.
type received struct {
	bytes []byte
	err   error
}

// Read implements io.Reader.
func (r received) Read([]byte) (int, error) { return len(r.bytes), r.err }
