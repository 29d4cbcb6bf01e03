package inspector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"lagoonstile/rationer"
)

// Transport is a transport of net/http that checks the heads of responses. Their memory
// is taken from the share in the context of the request, if there is one. Heads of
// encrypted connections are not checked.
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
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.expect(head)
		}
	}}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
}

// conn is a connection of a Transport.
type conn struct {
	net.Conn

	mu     sync.Mutex
	reader Reader
}

// expect begins the check of the response to another request.
func (c *conn) expect(head Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader = Reader{Head: head}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader.Source = received{p[:n], err}
	return c.reader.Read(p)
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
