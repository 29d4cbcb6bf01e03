package exchanger

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"
)

// How a request is written while its response is read. A server may respond before it has
// read a long body, and may then never read the rest.

const (
	// maxWriteStall is how long a request that has succeeded by its response may make no
	// progress before the rest of it is given up.
	maxWriteStall = time.Second
	// maxWriteBytes is the size of the largest single write, so that the progress of a
	// long request shows.
	maxWriteBytes = 256 << 10
)

// write is the write of a request that goes on while its response is read.
type write struct {
	conn net.Conn
	// written counts the bytes of a long request that were written.
	written atomic.Int64
	// done is closed when the write has ended, with err.
	done chan struct{}
	err  error
}

// startWrite writes a request of so many bytes. A small one is written when startWrite
// returns, since a socket takes it at once.
func startWrite(conn net.Conn, pieces net.Buffers, bytes int) *write {
	w := &write{conn: conn, done: make(chan struct{})}
	if bytes <= maxCopiedBody {
		_, w.err = pieces.WriteTo(conn)
		close(w.done)
		return w
	}
	go func() {
		defer close(w.done)
		w.err = w.writeAll(pieces)
	}()
	return w
}

// writeAll writes the pieces of a long request.
func (w *write) writeAll(pieces net.Buffers) error {
	for _, piece := range pieces {
		for part := range slices.Chunk(piece, maxWriteBytes) {
			n, err := w.conn.Write(part)
			w.written.Add(int64(n))
			if err != nil {
				return err
			}
		}
	}
	return nil
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

// await waits until the write has ended, as long as it makes progress.
func (w *write) await() {
	ticker := time.NewTicker(maxWriteStall)
	defer ticker.Stop()
	for written := int64(-1); w.written.Load() > written; {
		written = w.written.Load()
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
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
