package linker

import (
	"net"
	"sync"
	"time"

	"lagoonstile/inspector"
)

// Limits of connections that have not become a peer's yet. Anybody who reaches the
// address may open one.
const (
	// maxHandshakes is how many there may be. Beyond, the oldest one is closed.
	maxHandshakes = 32
	// maxHandshakeBytes is how much may be received before the upgrade, and
	// handshakeTimeout how long it may take.
	maxHandshakeBytes = 8 << 10
	handshakeTimeout  = 4 * time.Second
)

// handshakes holds the connections that were not upgraded yet: the accepted ones, or those
// that are dialed. The zero value is ready to use.
type handshakes struct {
	mu sync.Mutex
	// conns has no more than maxHandshakes accepted connections, by remote address.
	conns map[string]*handshake
	// opened counts the connections.
	opened uint64
}

// handshake is the state of a connection before its upgrade.
type handshake struct {
	// conn is nil if it is dialed.
	conn net.Conn
	// number is the position among all connections, in the order in which they were
	// opened.
	number   uint64
	received int
	// answer checks the answer if the connection is dialed. Otherwise it is nil.
	answer *inspector.Head
}

// open adds a connection. It returns the one that must be closed in its place, or nil.
func (h *handshakes) open(conn net.Conn) net.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns == nil {
		h.conns = make(map[string]*handshake)
	}
	var excess net.Conn
	if len(h.conns) == maxHandshakes {
		excess = h.oldest()
		delete(h.conns, remote(excess))
	}
	h.opened++
	h.conns[remote(conn)] = &handshake{conn: conn, number: h.opened}
	return excess
}

// remote returns the remote address of a connection. It identifies the connection, which
// the library wraps in several types.
func remote(conn net.Conn) string { return conn.RemoteAddr().String() }

// oldest returns the connection that was opened first. The caller holds h.mu.
func (h *handshakes) oldest() net.Conn {
	var oldest *handshake
	for _, state := range h.conns {
		if oldest == nil || state.number < oldest.number {
			oldest = state
		}
	}
	return oldest.conn
}

// dial adds a connection that is opened to an address, and returns the function that
// removes it.
func (h *handshakes) dial(address string) (finish func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns == nil {
		h.conns = make(map[string]*handshake)
	}
	h.conns[address] = &handshake{answer: &inspector.Head{}}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.conns, address)
	}
}

// receive checks bytes of a connection. It returns false if it has sent too many before
// its upgrade, or an answer whose head is malformed.
func (h *handshakes) receive(conn net.Conn, data []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.conns) == 0 {
		return true
	}
	state := h.conns[remote(conn)]
	if state == nil {
		return true
	}
	state.received += len(data)
	if state.answer != nil {
		if _, err := state.answer.Check(data); err != nil {
			return false
		}
	}
	return state.received <= maxHandshakeBytes
}

// finish removes a connection that was upgraded or has ended.
func (h *handshakes) finish(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, remote(conn))
}
