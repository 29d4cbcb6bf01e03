// Package listener is the HTTP edge towards callers, operators and peers,
// built on nbhttp. It adds what a proxy needs and nbhttp leaves to its user:
//
//   - Back-pressure. In nbhttp's non-blocking mode a write never waits, so a
//     caller that stops reading would make the process hold the whole answer.
//     Here a write waits while more than a window of bytes is not yet with the
//     kernel.
//   - Cancellation. The context of a request ends when its connection does.
//     nbhttp reports a close only after the handler, so connections with a
//     request in flight are looked at periodically.
//   - Complete answers at the end of a connection. nbhttp closes a connection
//     with bytes still queued; here a close waits for them.
//   - Clear answers to requests that pass a limit or are not HTTP.
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

// Limits bound what one connection may cost.
type Limits struct {
	// RequestBytes bounds one request, headers and body together.
	RequestBytes int
	// Headers bounds the number of header lines of one request.
	Headers int
	// Idle closes a connection that has no request in flight.
	Idle time.Duration
	// Stall closes a connection whose caller takes no byte of an answer.
	Stall time.Duration
}

// DefaultLimits are used where settings say nothing.
var DefaultLimits = Limits{
	RequestBytes: 1 << 20,
	Headers:      100,
	Idle:         time.Minute,
	Stall:        time.Minute,
}

// windowBytes is how much of an answer may wait in the process for its caller.
const windowBytes = 256 << 10

// sweepInterval is how often connections with a request in flight are looked
// at. It bounds how long a server works for a caller that is gone.
const sweepInterval = 20 * time.Millisecond

// Listener accepts connections on one address.
type Listener struct {
	limits  Limits
	handler http.Handler
	engine  *nbhttp.Engine

	// opened counts accepted connections. What the accepting goroutine wrote is
	// handed to the reading one through it: nbio itself hands connections over
	// through epoll, which neither the memory model nor the race detector sees.
	opened atomic.Uint64

	mu    sync.Mutex
	conns map[*conn]struct{}
	// leaving closes connections as they become idle.
	leaving bool
	stop    chan struct{}
	done    chan struct{}
}

// Listen starts a listener on an IP:port. Port 0 stands for any free port.
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
		ReadLimit:       limits.RequestBytes,
		MaxHTTPBodySize: limits.RequestBytes,
		KeepaliveTime:   limits.Idle,
		Handler:         http.HandlerFunc(l.serve),
		OnRequest:       l.begin,
		// One goroutine for each connection with a request in flight: a fixed
		// pool would let slow requests keep urgent ones from being read.
		ServerExecutor: func(f func()) { go f() },
		// No connection is dialled here, and a pool for them would cost 0.5 MB.
		ClientExecutor: func(f func()) { go f() },
	})
	l.engine.OnOpen(func(net.Conn) { l.opened.Add(1) })
	l.engine.Engine.OnData(l.data)
	l.engine.OnWrittenSize(written)
	if err := l.engine.Start(); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	go l.sweep()
	return l, nil
}

// Address returns the IP:port that the listener accepts connections on.
func (l *Listener) Address() string { return l.engine.Addrs[0] }

// Engine returns the engine for protocols that start with an HTTP upgrade.
func (l *Listener) Engine() *nbhttp.Engine { return l.engine }

// Leave makes every answer from now on the last one of its connection and
// closes the connections that have no request in flight.
func (l *Listener) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// Busy returns how many requests are in flight.
func (l *Listener) Busy() int {
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

// Connections returns how many connections have sent something and are open.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close ends the listener and every connection, with or without requests in
// flight.
func (l *Listener) Close() {
	close(l.stop)
	<-l.done
	l.mu.Lock()
	for c := range l.conns {
		_ = c.nbc.Close()
		c.observe()
	}
	l.mu.Unlock()
	l.engine.Stop()
}

// begin runs on the reading goroutine when a request is complete.
func (l *Listener) begin(w http.ResponseWriter, req *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c, ok := res.Parser.Conn.(*conn)
	if !ok {
		return
	}
	// The idle limit does not hold while a request is in flight.
	_ = c.nbc.SetReadDeadline(time.Time{})
	c.begin()
	if l.isLeaving() {
		req.Close = true
	}
}

// serve runs the handler on a goroutine of its own.
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
	if countHeaders(req.Header) > l.limits.Headers {
		// Another copy of an order may have had fewer headers.
		order := req.Header.Get("Idempotency-Key") != ""
		failure := answerer.Failure{Kind: answerer.KindHeaderLimit, MayHaveRun: order}
		failure.Write(w, "")
		c.finish()
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	c.attach(cancel)
	defer cancel()
	defer c.finish()
	l.handler.ServeHTTP(w, req.WithContext(ctx))
}

// connOf returns our conn of a parser and makes it with the first bytes.
func (l *Listener) connOf(parser *nbhttp.Parser, nbc *nbio.Conn) *conn {
	if c, ok := parser.Conn.(*conn); ok {
		return c
	}
	c := newConn(nbc, l.limits.Stall)
	parser.Conn = c
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c
}

func (l *Listener) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

// data runs on the reading goroutine for every piece that was read.
func (l *Listener) data(nbc *nbio.Conn, data []byte) {
	l.opened.Load()
	session, ok := nbc.Session().(nbhttp.ParserCloser)
	if !ok {
		_ = nbc.Close()
		return
	}
	parser, isHTTP := session.(*nbhttp.Parser)
	if isHTTP {
		if !l.connOf(parser, nbc).read(len(data), l.limits.RequestBytes) {
			refuse(nbc, answerer.KindTooLarge)
			return
		}
	}
	err := session.Parse(data)
	if err == nil {
		return
	}
	if isHTTP && errors.Is(err, nbhttp.ErrTooLong) {
		refuse(nbc, answerer.KindTooLarge)
		return
	}
	if isHTTP {
		refuse(nbc, answerer.KindBadRequest)
		return
	}
	_ = nbc.CloseWithError(err)
}

// refuse answers a request that never got to a handler and ends the
// connection.
func refuse(nbc *nbio.Conn, kind answerer.Kind) {
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

// sweep looks at every connection until the listener is closed.
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

func (l *Listener) sweepOnce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if l.leaving && !c.busy() {
			_ = c.Close()
		}
		if c.observe() {
			delete(l.conns, c)
		}
	}
}

func countHeaders(header http.Header) int {
	n := 0
	for _, values := range header {
		n += len(values)
	}
	return n
}
