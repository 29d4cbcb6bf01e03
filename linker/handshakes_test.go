package linker

import (
	"net"
	"testing"
)

// remoteConn is a connection from a port.
type remoteConn struct {
	net.Conn
	port int
}

// RemoteAddr implements net.Conn.
func (c remoteConn) RemoteAddr() net.Addr { return &net.TCPAddr{Port: c.port} }

// TestHandshakesAreBounded checks that the oldest connection makes room for a new one,
// and that bytes are counted until the upgrade only.
func TestHandshakesAreBounded(t *testing.T) {
	var h handshakes
	conns := make([]net.Conn, maxHandshakes+1)
	for n := range conns {
		conns[n] = remoteConn{port: n}
	}
	for n, conn := range conns {
		want := net.Conn(nil)
		if n == maxHandshakes {
			want = conns[0]
		}
		if got := h.open(conn); got != want {
			t.Errorf("connection %d: closed %v, want %v", n, got, want)
		}
	}
	steps := []struct {
		conn  net.Conn
		bytes int
		want  bool
	}{
		{conns[1], maxHandshakeBytes, true},
		{conns[1], 1, false},
		{conns[2], maxHandshakeBytes + 1, false},
		{conns[0], maxHandshakeBytes + 1, true}, // Closed already.
	}
	for n, step := range steps {
		if got := h.receive(step.conn, make([]byte, step.bytes)); got != step.want {
			t.Errorf("step %d: %t, want %t", n, got, step.want)
		}
	}
	h.finish(conns[3])
	if !h.receive(conns[3], make([]byte, maxHandshakeBytes+1)) {
		t.Error("the bytes of an upgraded connection were counted")
	}
	if h.open(conns[0]) != nil {
		t.Error("a connection was closed although there was room")
	}
}
