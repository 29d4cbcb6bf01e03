package sizer

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// unread returns the number of bytes that the kernel has received for a connection and
// that were not read.
func unread(t *testing.T, conn net.Conn) int64 {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var n int32
	var errno syscall.Errno
	if err := raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&n)))
	}); err != nil || errno != 0 {
		t.Fatal(err, errno)
	}
	return int64(n)
}

// connect returns both ends of a connection: the one that a listener with the size has
// accepted, and the one that was dialed.
func connect(t *testing.T, size Size) (accepted, dialed net.Conn) {
	t.Helper()
	config := net.ListenConfig{Control: size.Control}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	if dialed, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted, dialed
}

// fill writes pieces until the other end takes no more.
func fill(conn net.Conn, pieceBytes int) {
	piece := make([]byte, pieceBytes)
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
}

// TestUnreadBytesAreBounded checks that the kernel holds no more for a connection that is
// not read than Size says, whatever the size of the pieces that are sent, also after a
// part was read and after the size was raised.
func TestUnreadBytesAreBounded(t *testing.T) {
	for _, size := range []Size{4 << 10, 8 << 10, 16 << 10, 64 << 10, 128 << 10} {
		for _, pieceBytes := range []int{1 << 10, 64 << 10} {
			t.Run(strconv.Itoa(int(size))+"/"+strconv.Itoa(pieceBytes), func(t *testing.T) {
				t.Parallel()
				accepted, dialed := connect(t, size)
				for range 3 {
					fill(dialed, pieceBytes)
					if n := unread(t, accepted); n > size.Bytes() {
						t.Errorf("%d bytes are not read, want at most %d", n, size.Bytes())
					}
					if _, err := accepted.Read(make([]byte, size)); err != nil {
						t.Fatal(err)
					}
				}
				raised := 2 * size
				raised.Set(accepted)
				// The sender may learn late that there is more room.
				for end := time.Now().Add(30 * time.Second); unread(t, accepted) <= int64(size) && time.Now().Before(end); {
					fill(dialed, pieceBytes)
				}
				if n := unread(t, accepted); n > raised.Bytes() || n <= int64(size) {
					t.Errorf("%d bytes are not read after the size was raised, want more than %d and at most %d", n, size, raised.Bytes())
				}
			})
		}
	}
}
