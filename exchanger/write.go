package exchanger

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"lagoonstile/inspector"
)

// How a request is written while its response is read. A server may respond before it has
// read a long body, and may then never read the rest.

// maxWriteBytes is the size of the largest single write, so that the progress of a long
// request shows.
const maxWriteBytes = 256 << 10

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

// await waits until the write has ended, as long as it makes progress.
func (w *write) await() {
	ticker := time.NewTicker(inspector.MaxUploadStall)
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

// giveUpAfter gives up the write, which has then not failed, unless it ends in time.
func (w *write) giveUpAfter(d time.Duration) { _ = w.conn.SetWriteDeadline(time.Now().Add(d)) }

// upload returns how far the write has got.
func (w *write) upload() inspector.Upload {
	up := inspector.Upload{Written: w.written.Load()}
	select {
	case <-w.done:
		up.Ended = true
		if !errors.Is(w.err, os.ErrDeadlineExceeded) {
			up.Err = w.err
		}
	default:
	}
	return up
}

// untilClose reads a body that ends with its connection.
type untilClose struct {
	io.Reader
	write *write
	// failed is set if the response says that the request has not succeeded. The server
	// then does not need the rest of the request, so that it is written only for as long as
	// one that makes no progress.
	failed bool
}

// Read implements io.Reader.
func (b untilClose) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.failed {
		b.write.giveUpAfter(inspector.MaxUploadStall)
	}
	if endErr := inspector.AwaitEnd(b.write.conn, b.write.upload); endErr != nil {
		return n, endErr
	}
	return n, err
}
