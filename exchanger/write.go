package exchanger

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

// How a request is written while its response is read. A server may respond before it has
// read a long body, and may then never read the rest.

// maxEarlyWait is how long a response that says that the request has succeeded waits for
// the rest of the request to be written.
const maxEarlyWait = time.Second

// write is the write of a request that goes on while its response is read.
type write struct {
	conn net.Conn
	// done is closed when the write has ended, with err.
	done chan struct{}
	err  error
}

// startWrite writes a request. A small one is written when startWrite returns, since a
// socket takes it at once.
func startWrite(conn net.Conn, pieces net.Buffers, bytes int) *write {
	w := &write{conn: conn, done: make(chan struct{})}
	run := func() {
		defer close(w.done)
		_, w.err = pieces.WriteTo(conn)
	}
	if bytes <= maxCopiedBody {
		run()
	} else {
		go run()
	}
	return w
}

// failure returns the error of the write, or nil if it goes on or has succeeded.
func (w *write) failure() error {
	select {
	case <-w.done:
		return w.err
	default:
		return nil
	}
}

// await waits until the write has ended, for a time at most.
func (w *write) await(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// stop stops the write. The error is that of the connection, if there was one.
func (w *write) stop() error {
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	<-w.done
	if errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.err
}

// untilClose reads a body that ends with its connection. A write that fails takes the
// reset of a connection, after which reads end as if the server had closed it. Such a body
// is therefore complete only if the write did not fail.
type untilClose struct {
	io.Reader
	write *write
}

// Read implements io.Reader.
func (b untilClose) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := b.write.stop(); writeErr != nil {
			return n, fmt.Errorf("%w: the connection failed while the request was written: %w", io.ErrUnexpectedEOF, writeErr)
		}
	}
	return n, err
}
