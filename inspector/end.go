package inspector

import (
	"fmt"
	"io"
	"math"
	"net"
	"syscall"
	"time"

	"lagoonstile/sizer"
)

// A response with neither a length nor chunks ends with its connection, and is complete
// unless the connection has failed (RFC 9112, section 8). A read does not always tell: if a
// write takes the error of a reset, or the server ends its side before the reset, the read
// ends in order. What becomes of the request tells it, as long as the server has not
// received all of it.

const (
	// MaxUploadStall is how long a request may make no progress while its response has
	// ended, before the rest of it is given up.
	MaxUploadStall = time.Second
	// uploadPollInterval is the time between two looks at a request whose response has
	// ended.
	uploadPollInterval = 5 * time.Millisecond
)

// Upload is how far the write of a request has got.
type Upload struct {
	// Written is the number of bytes that were written.
	Written int64
	// Ended is set if the write has ended, and Err if it has failed.
	Ended bool
	Err   error
}

// AwaitEnd decides whether a body that ends with its connection is complete, after the
// connection was read to its end. It waits until the server has received the request, whose
// write upload reports, or for MaxUploadStall without progress. The error wraps
// io.ErrUnexpectedEOF and that of the connection if it has failed by then. A reset of a
// connection on which all of the request was received may come later, and is not awaited.
func AwaitEnd(conn net.Conn, upload func() Upload) error {
	received, since := int64(math.MinInt64), time.Now()
	for {
		sent := upload()
		if sent.Err != nil {
			return brokenOff(sent.Err)
		}
		unsent, _ := sizer.Unsent(conn) // It is 0 where the kernel does not tell.
		if sent.Ended {
			if err := connError(conn); err != nil {
				return brokenOff(err)
			}
			if unsent == 0 {
				return nil
			}
		}
		if n := sent.Written - int64(unsent); n > received {
			received, since = n, time.Now()
		} else if time.Since(since) >= MaxUploadStall {
			return nil
		}
		time.Sleep(uploadPollInterval)
	}
}

// brokenOff returns the error of a body whose connection has failed.
func brokenOff(cause error) error {
	return fmt.Errorf("%w: the connection failed while the request was sent: %w", io.ErrUnexpectedEOF, cause)
}

// connError returns an error if the connection was reset or closed. An empty write sends
// nothing, but fails then. Connections that are not the kernel's are not asked.
func connError(conn net.Conn) error {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return err
	}
	var writeErr error
	if err := raw.Control(func(fd uintptr) { _, writeErr = syscall.Write(int(fd), nil) }); err != nil {
		return err
	}
	return writeErr
}
