package listener

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"lagoonstile/rationer"
)

// How connections end. A connection that is closed while its client sends something is
// reset, which costs the client what it has not read of earlier responses (RFC 9112,
// section 9.6). Nothing but the client's own end of the connection shows that it has read
// them: not every kernel tells what was acknowledged, and what was acknowledged may not
// have been read. A connection is therefore closed for writing only. It is read, and what
// is read dropped, until its client closes it, or one of the reasons of endReason holds.

// Bounds of a connection that has ended.
const (
	// lingerBytes is how much of an ended connection is dropped.
	lingerBytes = 16 << 20
	// progressInterval is the time between two looks at what the client has received.
	progressInterval = time.Second
)

// endReason is why an ended connection was closed.
type endReason string

// The reasons for closing an ended connection.
const (
	endLeft    endReason = "client-left"     // The client has closed or reset it.
	endStalled endReason = "stalled"         // The client has received nothing more in time.
	endFlooded endReason = "client-sends-on" // The client has sent more than lingerBytes.
	endShed    endReason = "room-wanted"     // Another connection needs its descriptor or memory.
	endClosed  endReason = "listener-closed" // The process stops.
)

// end is how an ended connection was closed.
type end struct {
	reason endReason
	// unsent is the number of bytes that the client had not acknowledged, if known is set.
	unsent int
	known  bool
}

// beginEnd closes the connection for writing and leaves the rest to the reading
// goroutine, which stops reading requests. The caller holds c.mu.
func (c *conn) beginEnd() {
	if c.ended {
		return
	}
	c.ended, c.waiting = true, false
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return
	}
	c.share.Begin(rationer.Ending)
	_ = tcp.CloseWrite()
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// endAfterResponse ends the connection after its last response.
func (c *conn) endAfterResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginEnd()
}

// hasEnded reports whether no other request must be answered.
func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// leave ends the connection after a read between two requests has failed, because its
// client has left, or because it has sent nothing in time.
func (c *conn) leave(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.endAfterResponse()
		return
	}
	c.markClosed()
}

// markClosed records that the client has closed the connection, and cancels the
// requests in flight.
func (c *conn) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setEnd(endLeft)
	c.closed, c.ended = true, true
	c.cancel()
}

// awaitEnd waits until all exchanges have ended, and until the client has closed the
// connection or has had its time. It notices if the client leaves.
func (c *conn) awaitEnd() {
	c.mu.Lock()
	drained := make(chan struct{})
	if len(c.exchanges) == 0 {
		close(drained)
	}
	c.drained = drained
	closed := c.closed
	if !c.ended {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if !closed {
		c.discard()
	}
	<-drained
}

// discard reads and drops at most lingerBytes until the connection can be closed.
func (c *conn) discard() {
	var d delivery
	for dropped := 0; dropped < lingerBytes; {
		n, err := c.Read(c.buffer)
		dropped += n
		if err != nil && !(errors.Is(err, os.ErrDeadlineExceeded) && c.linger(&d)) {
			c.markClosed()
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setEnd(endFlooded)
}

// delivery is what the client of an ended connection has received.
type delivery struct {
	// unsent is the number of bytes that it had not at the last progress, and since when
	// there was none. Where the number is not known, there is no progress.
	unsent int
	since  time.Time
}

// linger reports whether an ended connection must stay open, and sets the read deadline
// to the next look.
func (c *conn) linger(d *delivery) bool {
	now := time.Now()
	unsent, known := c.listener.unsent(c.Conn)
	if d.since.IsZero() || known && unsent < d.unsent {
		d.unsent, d.since = unsent, now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.listener.limits.StallTimeout - now.Sub(d.since)
	if left <= 0 {
		c.setEnd(endStalled)
		return false
	}
	_ = c.SetReadDeadline(now.Add(min(left, progressInterval)))
	return true
}

// setEnd records why an ended connection is closed, unless that is known already. The
// caller holds c.mu.
func (c *conn) setEnd(reason endReason) {
	if !c.ended || c.end.reason != "" {
		return
	}
	c.end.reason = reason
	c.end.unsent, c.end.known = c.listener.unsent(c.Conn)
}

// logEnd logs how an ended connection was closed.
func (c *conn) logEnd() {
	c.mu.Lock()
	end := c.end
	c.mu.Unlock()
	if end.reason != "" {
		c.listener.noteAt(slog.LevelInfo, eventEnded, end.reason, "client", c.RemoteAddr(), "unsent-bytes", end.unsent, "unsent-known", end.known)
	}
}

// isEnding reports whether the connection has ended, no request is in flight and its
// client has not closed it. The caller holds c.mu.
func (c *conn) isEnding() bool { return c.ended && len(c.exchanges) == 0 && !c.closed }

// reset closes the connection at once, and with a reset, so that the client cannot take an
// incomplete response for a complete one. It drops what the client has not received.
func (c *conn) reset() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// closeNow closes the connection because the listener is closed.
func (c *conn) closeNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setEnd(endClosed)
	_ = c.Close()
}

// endIfIdle ends a connection from which bytes were received and on which nothing is in
// flight.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received && c.idle() {
		c.beginEnd()
	}
}

// closeIfWaiting closes a connection on which nothing is in flight.
func (c *conn) closeIfWaiting(rationer.Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle() || c.isEnding() {
		c.setEnd(endShed)
		_ = c.Close()
	}
}
