package listener

import (
	"errors"
	"net"
	"os"
	"time"

	"lagoonstile/rationer"
)

// How connections end. A connection that is closed while its client sends something is
// reset, which costs the client what it has not received of earlier responses (RFC 9112,
// section 9.6). A connection is therefore first closed for writing only. It is read, and
// what is read dropped, until the client has received everything.

// Bounds of a connection that has ended.
const (
	// lingerTime is how long a connection is read after a response to a request that its
	// client may still be sending, and lingerBytes how much of any connection is dropped.
	lingerTime  = time.Second
	lingerBytes = 16 << 20
	// minLingerPause and maxLingerPause are the times between two looks at what the
	// client has received. They double from look to look.
	minLingerPause = time.Millisecond
	maxLingerPause = 100 * time.Millisecond
	// endBytes is what the end of a connection counts among the bytes that were written.
	endBytes = 1
)

// endAfter ends the connection after its last response, but not before some time.
func (c *conn) endAfter(linger time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginEnd(time.Now().Add(linger))
}

// beginEnd closes the connection for writing and leaves the rest to the reading
// goroutine, which stops reading requests. It closes the connection at once if the memory
// is needed. The caller holds c.mu.
func (c *conn) beginEnd(lingerUntil time.Time) {
	if c.ended {
		return
	}
	c.ended, c.waiting = true, false
	c.lingerUntil = lingerUntil
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.giveUp {
		_ = c.Close()
		return
	}
	c.share.Begin(rationer.Idle)
	_ = tcp.CloseWrite()
	_ = c.SetReadDeadline(time.Unix(1, 0))
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
		c.endAfter(0)
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

// awaitEnd waits until all exchanges have ended, and until the client has received what
// was written. It notices if the client leaves.
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
	// unsent is the number of bytes that it had not at the last look, and since when
	// there are not more of them.
	unsent int
	since  time.Time
	// pause is the time until the next look.
	pause time.Duration
}

// linger reports whether an ended connection must stay open, and sets the read deadline
// to the next look.
func (c *conn) linger(d *delivery) bool {
	now, unsent := time.Now(), c.unsent()
	if d.since.IsZero() || unsent < d.unsent {
		d.unsent, d.since = unsent, now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case unsent == 0 && now.After(c.lingerUntil):
		c.setEnd(endDelivered)
		return false
	case now.Sub(d.since) > c.listener.limits.StallTimeout:
		c.setEnd(endStalled)
		return false
	}
	d.pause = min(max(2*d.pause, minLingerPause), maxLingerPause)
	_ = c.SetReadDeadline(now.Add(d.pause))
	return true
}

// unsent returns the number of written bytes that the client has not acknowledged, with
// endBytes if the connection was closed for writing, or 0 if that is not known.
func (c *conn) unsent() int {
	unsent, _ := c.listener.unsent(c.Conn)
	return unsent
}

// endReason is why an ended connection was closed.
type endReason string

// The reasons for closing an ended connection.
const (
	endDelivered endReason = "delivered"       // Nothing is unsent.
	endLeft      endReason = "client-left"     // The client has closed or reset it.
	endStalled   endReason = "stalled"         // The client has received nothing more in time.
	endFlooded   endReason = "client-sends-on" // The client has sent more than lingerBytes.
	endShed      endReason = "room-wanted"     // Another connection needs its descriptor or memory.
	endClosed    endReason = "listener-closed" // The process stops.
)

// end is how an ended connection was closed.
type end struct {
	reason endReason
	// unsent is the number of bytes that the client had not acknowledged, if known is set.
	unsent int
	known  bool
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
		c.listener.note(eventEnded, end.reason, "client", c.RemoteAddr(), "unsent-bytes", end.unsent, "unsent-known", end.known)
	}
}

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
		c.beginEnd(time.Time{})
	}
}

// closeIfWaiting closes a connection on which nothing is in flight.
func (c *conn) closeIfWaiting(rationer.Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle() || c.ended && len(c.exchanges) == 0 {
		c.setEnd(endShed)
		_ = c.Close()
	}
}
