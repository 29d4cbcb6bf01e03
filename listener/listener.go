// Package listener accepts the HTTP connections of callers, operators and other
// instances. It is built on nbhttp and adds what a proxy needs and nbhttp leaves to
// its user:
//
//   - Back-pressure. In nbhttp's non-blocking mode a write never waits, so the whole
//     response to a caller that does not read would be kept in memory. Here a write
//     waits while windowBytes or more bytes have not been accepted by the kernel.
//   - Cancellation. The context of a request is canceled when its connection is
//     closed. nbhttp reports a close only after the handler has returned, so the
//     connections are checked periodically.
//   - Complete responses at the end of a connection. nbhttp closes a connection even
//     if bytes are still queued; here it is closed after they have been sent.
//   - Error responses to requests that exceed a limit or are not valid HTTP.
package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"lagoonstile/answerer"
)

// Limits are the limits of one connection.
type Limits struct {
	// MaxRequestBytes is the maximum size of a request, headers and body together.
	MaxRequestBytes int
	// MaxHeaders is the maximum number of header lines of a request.
	MaxHeaders int
	// IdleTimeout is how long a connection without a request in flight is kept open.
	IdleTimeout time.Duration
	// StallTimeout is how long a caller may read no byte of a response before its
	// connection is closed.
	StallTimeout time.Duration
}

// DefaultLimits are the limits that apply where the settings do not set others.
var DefaultLimits = Limits{
	MaxRequestBytes: 1 << 20,
	MaxHeaders:      100,
	IdleTimeout:     time.Minute,
	StallTimeout:    time.Minute,
}

// windowBytes limits the unsent bytes of a connection: a write waits while there
// are this many or more.
const windowBytes = 256 << 10

// sweepInterval is how often the connections are checked. It bounds how long a
// server works on a request whose caller has disconnected.
const sweepInterval = 20 * time.Millisecond

// Listener accepts HTTP connections on one address.
type Listener struct {
	limits  Limits
	handler http.Handler
	engine  *nbhttp.Engine

	// opened counts accepted connections. It orders the memory accesses of the
	// accepting goroutine before those of the reading one. nbio itself passes
	// connections on only through epoll, which neither the Go memory model nor the
	// race detector takes into account.
	opened atomic.Uint64

	mu sync.Mutex
	// conns holds the open connections from which bytes were received.
	conns map[*conn]struct{}
	// draining is set if connections must be closed when they are idle.
	draining bool
	stop     chan struct{}
	done     chan struct{}
}

// Listen starts a listener on an IP:port. Port 0 selects a free port.
func Listen(address string, limits Limits, handler http.Handler) (*Listener, error) {
	logging.SetLevel(logging.LevelNone)
	l := &Listener{
		limits:  limits,
		handler: handler,
		conns:   make(map[*conn]struct{}),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	l.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:         "tcp",
		Addrs:           []string{address},
		ReadLimit:       limits.MaxRequestBytes,
		MaxHTTPBodySize: limits.MaxRequestBytes,
		KeepaliveTime:   limits.IdleTimeout,
		Handler:         http.HandlerFunc(l.serve),
		OnRequest:       l.onRequest,
		// Each connection with a request in flight has its own goroutine. In a
		// fixed pool, slow requests could keep urgent ones from being read.
		ServerExecutor: func(f func()) { go f() },
		// The engine dials no connections, and the default pool for them would use
		// 0.5 MB.
		ClientExecutor: func(f func()) { go f() },
	})
	l.engine.OnOpen(func(net.Conn) { l.opened.Add(1) })
	l.engine.Engine.OnData(l.onData)
	l.engine.OnWrittenSize(onWritten)
	if err := l.engine.Start(); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	go l.sweep()
	return l, nil
}

// Address returns the IP:port that the listener accepts connections on.
func (l *Listener) Address() string { return l.engine.Addrs[0] }

// Engine returns the nbhttp engine, for protocols that start with an HTTP upgrade.
func (l *Listener) Engine() *nbhttp.Engine { return l.engine }

// StartDrain starts a graceful shutdown: idle connections are closed, and busy ones
// after their response. New connections, and those from which no byte has been
// received yet, still serve one request each.
func (l *Listener) StartDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// BusyConnections returns the number of connections on which a request is being
// read or is in flight, or a response has not been sent completely.
func (l *Listener) BusyConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if c.busy() {
			n++
		}
	}
	return n
}

// Connections returns the number of open connections from which bytes were
// received.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close closes the listener and all connections immediately, even those with
// requests in flight. It must be called only once.
func (l *Listener) Close() {
	close(l.stop)
	<-l.done
	l.mu.Lock()
	for c := range l.conns {
		_ = c.nbc.Close()
		c.checkClosed()
	}
	l.mu.Unlock()
	l.engine.Stop()
}

// onRequest is called on the reading goroutine when a request was read in full.
func (l *Listener) onRequest(w http.ResponseWriter, req *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c, ok := res.Parser.Conn.(*conn)
	if !ok {
		return
	}
	// The idle limit does not apply while a request is in flight.
	_ = c.nbc.SetReadDeadline(time.Time{})
	c.beginRequest()
	if l.isDraining() {
		req.Close = true
	}
}

// serve runs the handler. It is not called on the reading goroutine.
func (l *Listener) serve(w http.ResponseWriter, req *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		l.handler.ServeHTTP(w, req)
		return
	}
	c, ok := res.Parser.Conn.(*conn)
	if !ok {
		return
	}
	if countHeaders(req.Header) > l.limits.MaxHeaders {
		// The caller may have sent a request with the same idempotency key but fewer
		// headers before, and it may have run.
		hasKey := req.Header.Get("Idempotency-Key") != ""
		failure := answerer.Failure{Kind: answerer.KindHeaderLimit, MayHaveRun: hasKey}
		failure.Write(w, "")
		c.finishRequest()
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	c.setCancel(cancel)
	defer cancel()
	defer c.finishRequest()
	l.handler.ServeHTTP(w, req.WithContext(ctx))
}

// connOf returns the conn of a parser. It creates the conn if there is none yet,
// which is the case for the first bytes of a connection.
func (l *Listener) connOf(parser *nbhttp.Parser, nbc *nbio.Conn) *conn {
	if c, ok := parser.Conn.(*conn); ok {
		return c
	}
	c := newConn(nbc, l.limits.StallTimeout)
	parser.Conn = c
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c
}

func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// onData is called on the reading goroutine with the bytes of each read.
func (l *Listener) onData(nbc *nbio.Conn, data []byte) {
	l.opened.Load()
	session, ok := nbc.Session().(nbhttp.ParserCloser)
	if !ok {
		_ = nbc.Close()
		return
	}
	parser, isHTTP := session.(*nbhttp.Parser)
	if isHTTP {
		if !l.connOf(parser, nbc).countRead(len(data), l.limits.MaxRequestBytes) {
			reject(nbc, answerer.KindTooLarge)
			return
		}
	}
	err := session.Parse(data)
	if err == nil {
		return
	}
	if isHTTP && errors.Is(err, nbhttp.ErrTooLong) {
		reject(nbc, answerer.KindTooLarge)
		return
	}
	if isHTTP {
		reject(nbc, answerer.KindBadRequest)
		return
	}
	_ = nbc.CloseWithError(err)
}

// reject answers a request that did not reach the handler and closes the connection.
func reject(nbc *nbio.Conn, kind answerer.Kind) {
	failure := answerer.Failure{Kind: kind}
	status, header, body := failure.Render("")
	header.Set("Connection", "close")
	res := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1,
		Header: header, ContentLength: int64(len(body)), Body: newBody(body),
	}
	_ = res.Write(nbc)
	_ = nbc.CloseWithError(net.ErrClosed)
}

// sweep checks all connections periodically until the listener is closed.
func (l *Listener) sweep() {
	defer close(l.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			l.sweepOnce()
		}
	}
}

// sweepOnce cancels the requests of closed connections and, after StartDrain, closes
// idle connections.
func (l *Listener) sweepOnce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if l.draining && !c.busy() {
			_ = c.Close()
		}
		if c.checkClosed() {
			delete(l.conns, c)
		}
	}
}

// countHeaders returns the number of header lines.
func countHeaders(header http.Header) int {
	n := 0
	for _, values := range header {
		n += len(values)
	}
	return n
}
