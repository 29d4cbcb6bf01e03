// Package sizer sets how much the kernel receives for sockets that are not read, and how
// many connections it completes for listeners that do not accept them. It tells how much
// the kernel still has to send.
//
// What the kernel holds in this way counts as memory of the process. A socket whose size
// is not set grows to megabytes.
package sizer

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"lagoonstile/rationer"
)

// Size is the size of a receive buffer in bytes, as it is asked for. The value 0 leaves
// the size to the kernel.
type Size int

// overheadFactor is how much more than the size asked for Linux grants, for its own
// overhead (socket(7), SO_RCVBUF). Where the overhead is small, payload fills all of it.
const overheadFactor = 2

// Bytes returns the most that the kernel holds for a socket with a receive buffer of the
// size.
func (s Size) Bytes() int64 { return overheadFactor * int64(s) }

// Control sets the size of the receive buffer of a socket before it is bound or
// connected. It has the form of the field Control of net.ListenConfig, whose
// connections inherit the size, and of net.Dialer. Where the size cannot be set, that of
// the kernel stays.
func (s Size) Control(_, _ string, raw syscall.RawConn) error {
	if s == 0 {
		return nil
	}
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, int(s))
	})
}

// Set sets the size of the receive buffer of an open connection, a net.TCPConn. It does
// nothing for any other reader.
func (s Size) Set(conn io.Reader) {
	if tcp, ok := conn.(*net.TCPConn); ok && s > 0 {
		_ = tcp.SetReadBuffer(int(s))
	}
}

// enlargedPrice is what a byte of a larger receive buffer takes of a budget. It is 2 since
// budgets assume that the kernel holds at most half of what they grant.
const enlargedPrice = 2

// Enlarge gives a connection the receive buffer to in place of from, if the budget of the
// share has room to spare for it. It reports whether it did. The share must keep what it
// took as long as the connection is open, since the kernel may have filled the buffer.
func Enlarge(conn io.Reader, from, to Size, share *rationer.Share) bool {
	if to <= from || !share.TakeSpare(enlargedPrice*(to.Bytes()-from.Bytes())) {
		return false
	}
	to.Set(conn)
	return true
}

// SetBacklog sets how many connections the kernel completes for a listener before they
// are accepted. Where it cannot be set, that of the kernel stays.
func SetBacklog(l net.Listener, backlog int) {
	tcp, ok := l.(*net.TCPListener)
	if !ok || backlog <= 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) })
}

// Unsent returns the number of bytes that were written to a connection and that the other
// side has not acknowledged, with one for the end of the stream if the connection was
// closed for writing. It returns false where the kernel does not tell (tcp(7), SIOCOUTQ).
// What was acknowledged may not have been read.
func Unsent(conn net.Conn) (bytes int, known bool) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		var ioctlErr error
		bytes, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		known = ioctlErr == nil
	})
	if err != nil || !known {
		return 0, false
	}
	return bytes, true
}
