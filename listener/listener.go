// Package listener accepts the HTTP connections of callers, operators and other
// instances. The connections are those of package net, with one goroutine that reads
// requests and, while there are requests to answer, one that answers them in order:
//
//   - Back-pressure. A write waits until the kernel has accepted its bytes, so a
//     caller that does not read costs the memory of its socket buffers only.
//   - Cancellation. The reading goroutine sees a closed connection while a request
//     is in flight, and cancels the contexts of the requests of the connection.
//   - Bounds. Heads, bodies, times, connections and, by a rationer.Budget, the bytes
//     that all connections hold together are limited before anything is stored.
//     A request that was refused has not reached the handler and never will.
//
// A request reaches the handler when it was read in full. Its body is held once: see
// Pieces. Heads are parsed by net/http, and bodies in chunks by net/http/httputil. The
// server of net/http is not used because its handlers read the body while it arrives,
// and because it leaves the bytes of a connection's next requests in the kernel, so that
// it does not see the departure of a client that has sent any.
package listener

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lagoonstile/answerer"
	"lagoonstile/rationer"
	"lagoonstile/sizer"
)

// Limits are the limits of a listener.
type Limits struct {
	// MaxRequestBytes is the maximum size of a body, and of a head if that is less than
	// MaxHeadBytes.
	MaxRequestBytes int
	// MaxHeadBytes is the maximum size of a head. The value 0 means that of
	// DefaultLimits.
	MaxHeadBytes int
	// MaxHeaders is the maximum number of header lines of a request.
	MaxHeaders int
	// MaxConnections is the maximum number of open connections. The value 0 means no
	// limit.
	MaxConnections int
	// IdleTimeout is how long a connection without a request in flight is kept open.
	IdleTimeout time.Duration
	// HeadTimeout is how long a caller may take to send a head, and BodyTimeout how long
	// it may send no byte of a body. The value 0 means that of DefaultLimits.
	HeadTimeout, BodyTimeout time.Duration
	// StallTimeout is how long a caller may read no byte of a response before its
	// connection is closed, and how long an ended connection waits for a caller that
	// reads nothing more to close it.
	StallTimeout time.Duration
	// ReceiveBuffer is the size of a connection's receive buffer, and BodyReceiveBuffer
	// that while it receives a large body, if the budget has room to spare. The value 0
	// means that of DefaultLimits.
	ReceiveBuffer, BodyReceiveBuffer sizer.Size
	// Backlog is how many connections the kernel completes before they are accepted. The
	// value 0 means the limit of the operating system.
	Backlog int
	// Budget bounds the bytes that connections hold, with their receive buffers. If it is
	// nil, they are not bounded.
	Budget *rationer.Budget
	// HandlerBytes is what the handler takes of the budget for each request that it
	// serves, beyond what the request holds: buffers, and those of connections that it
	// opens.
	HandlerBytes int64
	// Log receives a line for what is refused and closed. If it is nil, there are none.
	Log *slog.Logger
}

// DefaultLimits are the limits that apply where the settings do not set others.
var DefaultLimits = Limits{
	MaxRequestBytes: 1 << 20,
	MaxHeadBytes:    256 << 10,
	MaxHeaders:      100,
	IdleTimeout:     time.Minute,
	HeadTimeout:     30 * time.Second,
	BodyTimeout:     30 * time.Second,
	StallTimeout:    time.Minute,

	ReceiveBuffer:     8 << 10,
	BodyReceiveBuffer: 64 << 10,
}

// withDefaults returns the limits with the defaults in place of zero values.
func (l Limits) withDefaults() Limits {
	if l.MaxHeadBytes == 0 {
		l.MaxHeadBytes = DefaultLimits.MaxHeadBytes
	}
	if l.HeadTimeout == 0 {
		l.HeadTimeout = DefaultLimits.HeadTimeout
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = DefaultLimits.BodyTimeout
	}
	if l.ReceiveBuffer == 0 {
		l.ReceiveBuffer = DefaultLimits.ReceiveBuffer
	}
	if l.Budget == nil {
		l.Budget = rationer.New(math.MaxInt64)
	}
	if l.BodyReceiveBuffer == 0 {
		l.BodyReceiveBuffer = DefaultLimits.BodyReceiveBuffer
	}
	return l
}

// acceptRetryDelay is the pause after a connection could not be accepted, for example
// because the process has no file descriptor left.
const acceptRetryDelay = 10 * time.Millisecond

// Events that are logged.
const (
	eventRefused   = "client-refused"
	eventReclaimed = "memory-reclaimed"
	eventShed      = "connection-shed"
	eventNoRoom    = "connection-refused"
	eventBodyLimit = "body-limit-above-memory"
	eventEnded     = "connection-ended"
)

// noteInterval is the shortest time between two lines about the same event.
const noteInterval = time.Second

// Listener accepts HTTP connections on one address.
type Listener struct {
	limits  Limits
	handler http.Handler
	tcp     net.Listener
	// current holds the limits of requests, which may change.
	current atomic.Pointer[Limits]

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*conn]struct{}
	// draining is set if connections must be closed when they are idle.
	draining atomic.Bool
	closed   bool
	// readers counts the goroutines that accept or read connections.
	readers sync.WaitGroup

	// notes counts the events that were not logged yet, by what they are about.
	notesMu sync.Mutex
	notes   map[noteKey]*note
	// shed counts the connections closed or refused for want of descriptors or memory.
	shed atomic.Int64
	// unsent returns how much of what was written to a connection is not acknowledged, and
	// false if that is not known.
	unsent func(net.Conn) (bytes int, known bool)
}

// noteKey is an event with what it is about.
type noteKey struct {
	event string
	about any
}

// note is when an event was last logged, and how often it was seen since.
type note struct {
	logged time.Time
	count  int
}

// Listen starts a listener on an IP:port. Port 0 selects a free port.
func Listen(address string, limits Limits, handler http.Handler) (*Listener, error) {
	limits = limits.withDefaults()
	config := net.ListenConfig{Control: limits.ReceiveBuffer.Control}
	tcp, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	sizer.SetBacklog(tcp, limits.Backlog)
	l := &Listener{limits: limits, handler: handler, tcp: tcp, conns: make(map[*conn]struct{}), notes: make(map[noteKey]*note), unsent: sizer.Unsent}
	l.current.Store(&limits)
	l.checkBodyLimit(limits.MaxRequestBytes)
	l.readers.Add(1)
	go l.accept()
	return l, nil
}

// Margins of SetRequestLimits, since clients may count otherwise than the listener.
const (
	headMargin     = 4 << 10
	headTimeMargin = 2 * time.Second
)

// SetRequestLimits sets the limits that clients know: for the size of heads, for the
// size of bodies, and for the time in which a head is sent. A value of 0 leaves a limit
// as it was when the listener was started.
func (l *Listener) SetRequestLimits(headBytes, bodyBytes int, headTime time.Duration) {
	limits := l.limits
	if headBytes > 0 {
		limits.MaxHeadBytes = headBytes + headMargin
	}
	if bodyBytes > 0 {
		limits.MaxRequestBytes = bodyBytes
	}
	if headTime > 0 {
		limits.HeadTimeout = headTime + headTimeMargin
	}
	if previous := l.current.Swap(&limits); previous.MaxRequestBytes != limits.MaxRequestBytes {
		l.checkBodyLimit(limits.MaxRequestBytes)
	}
}

// checkBodyLimit logs that a limit for bodies is more than the budget can grant. Bodies
// between the two are refused for want of memory.
func (l *Listener) checkBodyLimit(limit int) {
	if most := l.limits.Budget.LargestTake(); int64(limit) > most && l.limits.Log != nil {
		l.limits.Log.Warn(eventBodyLimit, "address", l.Address(), "body-limit-bytes", limit, "largest-body-bytes", most)
	}
}

// Address returns the IP:port that the listener accepts connections on.
func (l *Listener) Address() string { return l.tcp.Addr().String() }

// StartDrain starts a graceful shutdown: idle connections end, and busy ones after their
// response. New connections, and those from which no byte has been
// received yet, still serve one request each.
func (l *Listener) StartDrain() {
	l.draining.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.endIfIdle()
	}
}

// StopAccepting refuses new connections. Open ones stay.
func (l *Listener) StopAccepting() { _ = l.tcp.Close() }

// BusyConnections returns the number of connections on which a request is being
// read or is in flight.
func (l *Listener) BusyConnections() int { return l.count((*conn).busy) }

// Connections returns the number of open connections from which bytes were received and
// that have not ended.
func (l *Listener) Connections() int { return l.count((*conn).used) }

// EndingConnections returns the number of connections that have ended and that their
// clients have not closed, so that they may not have read the last responses.
func (l *Listener) EndingConnections() int { return l.count((*conn).ending) }

// count returns the number of open connections with the property.
func (l *Listener) count(property func(*conn) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if property(c) {
			n++
		}
	}
	return n
}

// Close closes the listener and all connections immediately, even those with
// requests in flight. It must be called only once.
func (l *Listener) Close() {
	_ = l.tcp.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		c.closeNow()
	}
	l.mu.Unlock()
	l.readers.Wait()
}

// accept accepts connections until the listener is closed.
func (l *Listener) accept() {
	defer l.readers.Done()
	for {
		tcp, err := l.tcp.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(tcp, l)
		if !l.admit(c) {
			l.shed.Add(1)
			l.note(eventNoRoom, l.shortage())
			_ = c.Close()
			c.share.Close()
			continue
		}
		if !l.add(c) {
			_ = c.Close()
			return
		}
		go func() {
			defer l.readers.Done()
			c.serve()
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
		}()
	}
}

// note logs an event as a warning, at most once in noteInterval, with the number of times
// that it was seen since it was last logged.
func (l *Listener) note(event string, about any) { l.noteAt(slog.LevelWarn, event, about) }

// noteAt is note for a level, with fields of the line.
func (l *Listener) noteAt(level slog.Level, event string, about any, fields ...any) {
	if l.limits.Log == nil {
		return
	}
	now := time.Now()
	l.notesMu.Lock()
	defer l.notesMu.Unlock()
	n := l.notes[noteKey{event, about}]
	if n == nil {
		n = &note{}
		l.notes[noteKey{event, about}] = n
	}
	n.count++
	if now.Sub(n.logged) < noteInterval {
		return
	}
	usage := l.limits.Budget.Usage()
	l.limits.Log.With(fields...).Log(context.Background(), level, event, "about", about, "count", n.count, "address", l.Address(),
		"held-bytes", usage.HeldBytes, "limit-bytes", usage.LimitBytes, "held", usage)
	n.logged, n.count = now, 0
}

// logRefusal logs that a request was refused before it reached the handler.
func (l *Listener) logRefusal(failure *answerer.Failure) { l.note(eventRefused, failure.Kind) }

// add registers a connection and its reading goroutine. It returns false if the
// listener is closed.
func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[c] = struct{}{}
	l.readers.Add(1)
	return true
}

func (l *Listener) isDraining() bool { return l.draining.Load() }
