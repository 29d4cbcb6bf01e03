package listener

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// conn wraps a non-blocking connection for nbhttp's response writer. It counts the
// bytes that were written but not yet accepted by the kernel, and makes a write
// wait while there are too many of them.
type conn struct {
	net.Conn
	nbc *nbio.Conn
	// stallTimeout is Limits.StallTimeout.
	stallTimeout time.Duration

	mu sync.Mutex
	// unsentBytes is the number of bytes that were written but not yet accepted by
	// the kernel. It is never negative.
	unsentBytes int
	// requests counts the requests that were read and not yet answered. There can be
	// several, because callers may pipeline requests.
	requests int
	// requestBytes counts the bytes read since the last complete request.
	requestBytes int
	// closeWhenSent is set if the connection must be closed once unsentBytes is 0.
	closeWhenSent bool
	closed        bool
	// cancel cancels the context of the request that is being answered. It is nil if
	// there is none.
	cancel context.CancelFunc
	// progress receives a token each time the kernel has accepted bytes and when
	// closed is set. Its capacity is 1.
	progress chan struct{}
}

var _ net.Conn = (*conn)(nil)

func newConn(nbc *nbio.Conn, stallTimeout time.Duration) *conn {
	return &conn{Conn: nbc, nbc: nbc, stallTimeout: stallTimeout, progress: make(chan struct{}, 1)}
}

// Write waits until fewer than windowBytes are unsent and then writes b. It fails
// if the connection is closed, or if the kernel accepts no byte for the stall
// timeout because the caller reads nothing.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.awaitWindow(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	c.unsentBytes += len(b)
	c.mu.Unlock()
	return c.nbc.Write(b)
}

// awaitWindow waits until fewer than windowBytes are unsent. It closes the
// connection and returns an error if the kernel accepts no byte for the stall
// timeout.
func (c *conn) awaitWindow() error {
	timer := time.NewTimer(c.stallTimeout)
	defer timer.Stop()
	for {
		c.mu.Lock()
		room, closed := c.unsentBytes < windowBytes, c.closed
		c.mu.Unlock()
		if closed {
			return net.ErrClosed
		}
		if room {
			return nil
		}
		select {
		case <-c.progress:
			timer.Reset(c.stallTimeout)
		case <-timer.C:
			_ = c.nbc.Close()
			return context.DeadlineExceeded
		}
	}
}

// Close closes the connection after all written bytes have been sent. It does not
// wait for that.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsentBytes > 0 {
		c.closeWhenSent = true
		return nil
	}
	return c.nbc.Close()
}

// Abort closes the connection immediately, so that the caller cannot take an
// incomplete response for a complete one.
func (c *conn) Abort() {
	_ = c.nbc.CloseWithError(io.ErrUnexpectedEOF)
	c.checkClosed()
}

// onWritten is called by nbio when the kernel has accepted n bytes. It runs with the
// lock of nbc held, so it must not close nbc itself.
func onWritten(nbc *nbio.Conn, _ []byte, n int) {
	parser, ok := nbc.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	c, ok := parser.Conn.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	c.unsentBytes = max(c.unsentBytes-n, 0)
	allSent := c.unsentBytes == 0 && c.closeWhenSent
	c.mu.Unlock()
	c.signalProgress()
	if allSent {
		go func() { _ = nbc.Close() }()
	}
}

func (c *conn) signalProgress() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// beginRequest records that a request was read in full.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.requestBytes = 0
}

// setCancel sets the function that cancels the request that is being answered. It
// calls the function at once if the connection is closed.
func (c *conn) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if c.closed {
		cancel()
	}
}

// finishRequest records that a request was answered.
func (c *conn) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
	c.cancel = nil
}

// busy reports whether a request is being read or is in flight, or a response has
// not been sent completely.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests > 0 || c.unsentBytes > 0 || c.requestBytes > 0
}

// countRead counts n bytes that were read and reports whether the request is still
// within the limit.
func (c *conn) countRead(n, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestBytes += n
	return c.requestBytes <= limit
}

// checkClosed reports whether the connection is closed. If it is, checkClosed
// cancels the request in flight and wakes a waiting write.
func (c *conn) checkClosed() bool {
	closed, _ := c.nbc.IsClosed()
	if !closed {
		return false
	}
	c.mu.Lock()
	c.closed = true
	if c.cancel != nil {
		c.cancel()
	}
	c.mu.Unlock()
	c.signalProgress()
	return true
}

func newBody(data []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(data))
}

// Abort closes the connection of a response writer immediately, so that the caller
// sees that the response is incomplete. It returns false, without any effect, if w
// does not belong to a Listener.
func Abort(w any) bool {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return false
	}
	c, ok := res.Parser.Conn.(*conn)
	if !ok {
		return false
	}
	c.Abort()
	return true
}
