package listener

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"lagoonstile/answerer"
	"lagoonstile/rationer"
)

// Bounds of one connection.
const (
	// maxPipelined is how many requests of one connection are read before the first of
	// them is answered.
	maxPipelined = 16
	// connBytes is what an open connection takes of the budget besides its receive buffer.
	connBytes = 16 << 10
)

// exchange is one request of a connection, or the failure with which it is answered.
type exchange struct {
	req     *http.Request
	failure *answerer.Failure
	// share is what the request and its response hold.
	share *rationer.Share
}

// conn is a connection of a Listener. One goroutine reads requests; another, while
// there are any, answers them one after the other.
type conn struct {
	net.Conn
	listener *Listener
	// ctx ends when the connection ends.
	ctx    context.Context
	cancel context.CancelFunc
	// share is what the connection holds without its requests.
	share *rationer.Share
	// slots limits the number of exchanges to maxPipelined.
	slots chan struct{}

	// in holds the bytes that were read and not parsed, in buffer. They belong to the
	// reading goroutine, as does enlarged, which is set once the receive buffer is that
	// for bodies.
	in, buffer []byte
	enlarged   bool

	// writingSince is when the write in progress began, in Unix nanoseconds, or 0.
	writingSince atomic.Int64

	mu sync.Mutex
	// exchanges holds the exchanges that have not ended, in order. The first one is
	// running. drained is closed when there are none, if it is not nil.
	exchanges []*exchange
	drained   chan struct{}
	// waiting is set while the reading goroutine waits for the first byte of a request.
	waiting bool
	// reading is the share of the request that is being read, and isReading is set while
	// there is one.
	reading   *rationer.Share
	isReading bool
	// giveUp is set if the request that is being read must be refused.
	giveUp bool
	// received is set once bytes were received.
	received bool
	// closed is set when no more bytes can be received, and ended when no other request
	// must be answered.
	closed, ended bool
	// end is how the connection was closed after it had ended.
	end end
}

func newConn(tcp net.Conn, l *Listener) *conn {
	c := &conn{Conn: tcp, listener: l, slots: make(chan struct{}, maxPipelined), waiting: true}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.share = l.limits.Budget.NewShare(rationer.Connection, c.closeIfWaiting)
	return c
}

func (c *conn) limits() Limits { return *c.listener.current.Load() }

// serve reads requests until the connection ends or one of them is refused.
func (c *conn) serve() {
	defer c.cancel()
	defer c.share.Close()
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("reader-panicked", "cause", cause, "stack", string(debug.Stack()))
			c.reset()
		}
	}()
	c.buffer = make([]byte, readBufferBytes)
	c.in = c.buffer[:0]
	for !c.hasEnded() && c.readOne() {
	}
	c.awaitEnd()
	_ = c.Close()
	c.logEnd()
}

// readOne reads one request and passes it on. It returns false if no other request can
// be read.
func (c *conn) readOne() bool {
	err := c.awaitRequest()
	if errors.Is(err, errGone) {
		return false
	}
	share := c.newShare()
	x := &exchange{share: share}
	if err == nil {
		c.startReading(share)
		x.req, err = c.readRequest(share)
		if err == nil && !c.finishReading() {
			err = busy()
		}
	}
	if errors.Is(err, errGone) {
		share.Close()
		c.markClosed()
		return false
	}
	if err != nil && !errors.As(err, &x.failure) {
		x.failure = &answerer.Failure{Kind: answerer.KindInternal, Cause: err}
	}
	if x.failure != nil {
		// A refusal needs no memory while it waits for earlier responses.
		c.dropInput()
		share.Close()
		x.refuse(x.failure)
	}
	if c.listener.isDraining() {
		x.req.Close = true
	}
	last := x.req.Close
	c.execute(x)
	return !last
}

// dropInput drops the bytes that were read and not parsed, after which no request is
// read.
func (c *conn) dropInput() {
	c.buffer = make([]byte, readBufferBytes)
	c.in = c.buffer[:0]
}

// refuse makes the exchange answer with a failure, after which the connection is closed.
func (x *exchange) refuse(failure *answerer.Failure) {
	x.failure = failure
	if x.req == nil { // It could not be read.
		x.req = &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}
	}
	x.req.Close = true
	// The client may have sent the same order before, and it may have run.
	if x.req.Header.Get("Idempotency-Key") != "" {
		x.failure.MayHaveRun = true
	}
}

// startWaiting begins to wait for the first byte of a request.
func (c *conn) startWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.waiting = true
	if len(c.exchanges) == 0 {
		c.becomeIdle()
	} else {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// becomeIdle starts the time after which an idle connection ends. One of a draining
// listener ends at once; StartDrain ends it if it begins after this check. The caller
// holds c.mu.
func (c *conn) becomeIdle() {
	if c.received && c.listener.isDraining() {
		c.beginEnd()
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(c.listener.limits.IdleTimeout))
	c.share.Begin(rationer.Idle)
}

// stopWaiting records that the first byte of a request was read.
func (c *conn) stopWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	c.received = true
	if !c.ended {
		c.share.Begin(rationer.Working)
	}
}

// startReading begins a request, which the budget may revoke until finishReading.
func (c *conn) startReading(share *rationer.Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.isReading, c.giveUp = share, true, false
	if len(c.exchanges) == 0 {
		share.SetBase(c.share)
	}
	share.Begin(rationer.Reading)
}

// newShare returns the share of a request.
func (c *conn) newShare() *rationer.Share {
	var share *rationer.Share
	share = c.listener.limits.Budget.NewShare(rationer.Request, func(phase rationer.Phase) { c.revoke(share, phase) })
	return share
}

// revoke makes the connection give up what a request holds. A request that is being
// read is refused. A response that the client does not read is aborted.
func (c *conn) revoke(share *rationer.Share, phase rationer.Phase) {
	c.listener.note(eventReclaimed, phase)
	if phase == rationer.Writing {
		// The write may have ended since the share was chosen.
		if share.Revoked() {
			c.reset()
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading == share {
		c.giveUp = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// finishReading ends the reading of a request. It returns false if the request must be
// refused.
func (c *conn) finishReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading.Begin(rationer.Working)
	c.reading.SetBase(nil)
	c.reading, c.isReading = nil, false
	return !c.giveUp
}

// mustGiveUp reports whether the request that is being read must be refused.
func (c *conn) mustGiveUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.giveUp
}

// setReadDeadline sets the deadline for the reading goroutine, unless it must give up
// the request or the connection has ended.
func (c *conn) setReadDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.giveUp && !c.ended {
		_ = c.SetReadDeadline(at)
	}
}

// execute answers a request after the earlier ones of the connection. It waits while
// maxPipelined requests have not been answered.
func (c *conn) execute(x *exchange) {
	c.slots <- struct{}{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.isReading = nil, false
	c.exchanges = append(c.exchanges, x)
	if len(c.exchanges) == 1 {
		go c.runExchanges()
	}
}

// runExchanges answers requests until there are none.
func (c *conn) runExchanges() {
	for {
		c.mu.Lock()
		x := c.exchanges[0]
		ended := c.ended
		c.mu.Unlock()
		if !ended {
			c.run(x)
		}
		x.share.Close()
		<-c.slots
		if !c.finishExchange() {
			return
		}
	}
}

// run answers one request. If the handler panics, the connection is aborted, and other
// connections are served on.
func (c *conn) run(x *exchange) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("handler-panicked", "cause", cause, "stack", string(debug.Stack()))
			c.reset()
		}
	}()
	ctx, cancel := context.WithCancel(rationer.WithShare(c.ctx, x.share))
	defer cancel()
	w := newResponse(x.req, c, x.share)
	if x.failure == nil && !x.share.Take(ctx, c.listener.limits.HandlerBytes) {
		x.refuse(busy())
	}
	if x.failure != nil {
		c.listener.logRefusal(x.failure)
		x.failure.Write(w, "")
	} else {
		c.listener.handler.ServeHTTP(w, x.req.WithContext(ctx))
	}
	w.finish()
	if !w.keepsConnection() {
		c.endAfterResponse()
	}
}

// finishExchange removes the first exchange and reports whether there are others.
func (c *conn) finishExchange() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges[0] = nil
	c.exchanges = c.exchanges[1:]
	if len(c.exchanges) > 0 {
		return true
	}
	if c.waiting {
		c.becomeIdle()
	}
	if c.drained != nil {
		close(c.drained)
	}
	return false
}

// sendContinue tells the client to send the body, once all earlier requests are
// answered.
func (c *conn) sendContinue() {
	c.mu.Lock()
	idle := len(c.exchanges) == 0
	c.mu.Unlock()
	// A client that pipelines sends the body in any case after some time.
	if idle {
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// Write writes b. It fails if the connection is closed, or if the kernel accepts no
// byte for the stall timeout because the client reads nothing.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.writeAll(net.Buffers{b}, nil)
	return int(n), err
}

// writeAll is Write for several pieces, as one system call if the kernel accepts them
// at once. It reports its progress to the share.
func (c *conn) writeAll(pieces net.Buffers, share *rationer.Share) (int64, error) {
	var written int64
	defer c.writingSince.Store(0)
	for {
		now := time.Now()
		c.writingSince.Store(now.UnixNano())
		_ = c.SetWriteDeadline(now.Add(c.listener.limits.StallTimeout))
		n, err := pieces.WriteTo(c.Conn)
		written += n
		share.Progress(int(n))
		if err == nil {
			return written, nil
		}
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.mu.Lock()
			c.ended = true
			c.mu.Unlock()
			_ = c.Close()
			return written, err
		}
	}
}

// idle reports whether no request is being read or answered. The caller must hold
// c.mu.
func (c *conn) idle() bool { return len(c.exchanges) == 0 && c.waiting }

// busy reports whether a request is being read or is in flight. A closed connection is
// not busy, although its last exchange may still run.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.idle() && !c.isEnding()
}

// used reports whether bytes were received and the connection has not ended.
func (c *conn) used() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received && !c.isEnding()
}

// ending is isEnding for callers that do not hold c.mu.
func (c *conn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isEnding()
}
