package listener

import (
	"cmp"
	"slices"
	"time"

	"lagoonstile/rationer"
)

// Which connections are closed to make room for others when descriptors or memory are
// short: those that hold most and whose clients have not got on for longest.

// admit takes what a connection holds from the budget. If that or a descriptor is
// missing, it closes connections that wait for their clients, or waits until they have
// had a chance to send something. It returns false if there is no such connection.
func (l *Listener) admit(c *conn) bool {
	for end := time.Now().Add(maxAdmitTime); l.full() || !c.share.TryTake(connBytes+l.limits.ReceiveBuffer.Bytes()); {
		closed, waiting := l.makeRoom()
		switch {
		case closed > 0:
		case waiting == 0 || time.Now().After(end):
			return false
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
	return true
}

// Times of connections that wait for their clients.
const (
	// minShedTime is how long a connection may wait for its client before it is closed to
	// make room.
	minShedTime = 100 * time.Millisecond
	// maxAdmitTime is how long a new connection waits for that.
	maxAdmitTime = 500 * time.Millisecond
)

// full reports whether there are as many connections as allowed.
func (l *Listener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.MaxConnections > 0 && len(l.conns) >= l.limits.MaxConnections
}

// shortage returns what a connection is refused or closed for want of.
func (l *Listener) shortage() string {
	if l.full() {
		return "descriptors"
	}
	return "memory"
}

// shedPart is the part of the connections, as a divisor, that makeRoom closes at a time,
// but at least one. To choose them costs a look at all.
const shedPart = 64

// makeRoom closes the connections that hold most and have waited longest for their
// clients, in the order of waitClass. It returns how many it has closed, and how many
// others wait for their clients.
func (l *Listener) makeRoom() (closed, waiting int) {
	shortage := l.shortage()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var candidates []wait
	for c := range l.conns {
		if w := c.waitsFor(now); w.class != waitsForServer {
			candidates = append(candidates, w)
		}
	}
	slices.SortFunc(candidates, compareWaits)
	for _, w := range candidates {
		// Of those whose clients get on, no more are closed than needed.
		if closed > len(l.conns)/shedPart || closed > 0 && w.class == waitsForProgress {
			break
		}
		if w.behind >= minShedTime && w.conn.shed(w.class) {
			delete(l.conns, w.conn)
			l.shed.Add(1)
			l.note(eventShed, shortage)
			closed++
		}
	}
	return closed, len(candidates) - closed
}

// Shed returns how many connections were closed or refused for want of descriptors or
// memory.
func (l *Listener) Shed() int64 { return l.shed.Load() }

// waitClass is what a connection waits for, in the order in which such connections are
// closed to make room.
type waitClass int

const (
	// waitsForEnd: the last response was written, and the client has not closed the
	// connection.
	waitsForEnd waitClass = iota
	// waitsForClient: there is no request, or the client does not get on with it.
	waitsForClient
	// waitsForReader: the client does not take a response.
	waitsForReader
	// waitsForProgress: the client gets on with its request.
	waitsForProgress
	// waitsForServer is never closed.
	waitsForServer
)

// wait is a connection with what it waits for.
type wait struct {
	conn  *conn
	class waitClass
	// held is the number of bytes that it holds, and behind how long its client has not
	// got on.
	held   int64
	behind time.Duration
}

// compareWaits orders connections by class, and within a class by bytes times time.
func compareWaits(a, b wait) int {
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	return cmp.Compare(float64(b.held)*b.behind.Seconds(), float64(a.held)*a.behind.Seconds())
}

// waitsFor returns what the connection waits for.
func (c *conn) waitsFor(now time.Time) wait {
	c.mu.Lock()
	defer c.mu.Unlock()
	class, share := waitsForServer, c.share
	writing := c.writingSince.Load()
	switch {
	case c.isEnding():
		class = waitsForEnd
	case c.idle():
		class = waitsForClient
	case c.isReading && len(c.exchanges) == 0:
		class, share = waitsForProgress, c.reading
	case writing != 0 && now.Sub(time.Unix(0, writing)) > rationer.MinWriteBehind:
		class = waitsForReader
	}
	standing := share.Standing(now)
	if class == waitsForProgress && standing.Behind >= rationer.MinBehind {
		class = waitsForClient
	}
	return wait{conn: c, class: class, held: standing.HeldBytes, behind: standing.Behind}
}

// shed closes a connection if it still waits for its client as it did. What it holds
// without its requests is free at once.
func (c *conn) shed(class waitClass) bool {
	if now := c.waitsFor(time.Now()); now.class != class || class == waitsForServer {
		return false
	}
	c.mu.Lock()
	c.setEnd(endShed)
	reading := c.reading
	c.mu.Unlock()
	if class == waitsForEnd {
		_ = c.Close() // The kernel still sends what it can of the last response.
	} else {
		c.reset()
	}
	reading.Close()
	c.share.Close()
	return true
}
