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

// conn stands between nbhttp's response writer and a non-blocking connection.
// It counts the bytes that the kernel has not taken yet.
type conn struct {
	net.Conn
	nbc   *nbio.Conn
	stall time.Duration

	mu sync.Mutex
	// pending is how many bytes were written here and not taken by the kernel.
	// Never under 0.
	pending int
	// requests counts those read and not yet answered: callers may pipeline.
	requests int
	// unparsed counts the bytes read since the last complete request.
	unparsed int
	// closing asks for a close as soon as pending is 0.
	closing bool
	closed  bool
	cancel  context.CancelFunc
	// progress has a token after every change of pending and of closed.
	progress chan struct{}
}

var _ net.Conn = (*conn)(nil)

func newConn(nbc *nbio.Conn, stall time.Duration) *conn {
	return &conn{Conn: nbc, nbc: nbc, stall: stall, progress: make(chan struct{}, 1)}
}

// Write hands b to the connection after there is room in the window. It fails
// when the connection is closed or its caller takes nothing for the stall
// limit.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.await(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	c.pending += len(b)
	c.mu.Unlock()
	return c.nbc.Write(b)
}

// await returns when there is room in the window.
func (c *conn) await() error {
	timer := time.NewTimer(c.stall)
	defer timer.Stop()
	for {
		c.mu.Lock()
		room, closed := c.pending < windowBytes, c.closed
		c.mu.Unlock()
		if closed {
			return net.ErrClosed
		}
		if room {
			return nil
		}
		select {
		case <-c.progress:
			timer.Reset(c.stall)
		case <-timer.C:
			_ = c.nbc.Close()
			return context.DeadlineExceeded
		}
	}
}

// Close ends the connection after the bytes that were written have gone out.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		c.closing = true
		return nil
	}
	return c.nbc.Close()
}

// Abort ends the connection at once, so that the caller sees a broken answer
// and not a short one.
func (c *conn) Abort() {
	_ = c.nbc.CloseWithError(io.ErrUnexpectedEOF)
	c.observe()
}

// written is called with the connection's lock held whenever the kernel took
// n bytes.
func written(nbc *nbio.Conn, _ []byte, n int) {
	parser, ok := nbc.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	c, ok := parser.Conn.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	c.pending = max(c.pending-n, 0)
	last := c.pending == 0 && c.closing
	c.mu.Unlock()
	c.signal()
	if last {
		go func() { _ = nbc.Close() }()
	}
}

func (c *conn) signal() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// begin notes that a request was read.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.unparsed = 0
}

// attach sets what ends the request that is being answered.
func (c *conn) attach(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if c.closed {
		cancel()
	}
}

// finish notes that a request was answered.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
	c.cancel = nil
}

// busy reports whether a request is under way: being read, in flight, or its
// answer not out yet.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests > 0 || c.pending > 0 || c.unparsed > 0
}

// read counts n bytes and reports whether the request may still go on.
func (c *conn) read(n, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unparsed += n
	return c.unparsed <= limit
}

// observe cancels the request in flight if the connection is closed, and
// reports whether it is.
func (c *conn) observe() bool {
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
	c.signal()
	return true
}

func newBody(data []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(data))
}

// Abort breaks the connection that w answers on. The caller then sees that
// the answer is not whole. It reports whether w belongs to a Listener.
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
