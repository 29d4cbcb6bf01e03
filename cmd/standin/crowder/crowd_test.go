package crowder_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes of what the crowds send.
const (
	// pieceBytes is how much a client sends at a time.
	pieceBytes = 64 << 10
	// bodyBytes is the size of a large body, which is within the limits.
	bodyBytes = 8 << 20
	// smallChunks is the number of chunks of one byte that a client sends.
	smallChunks = 4 << 20
	// shortBy is how many bytes before its end a client stops.
	shortBy = 100
	// answerBytes is the size of an answer that is not read.
	answerBytes = 8 << 20
)

// crowd connects clients, each of which sends what the function writes. The client
// reads nothing. Its connection stays open until the test ends. crowd returns when
// all clients have sent everything or can send nothing more: writes that are not
// accepted for stuckAfter end the client's part.
func (i *instance) crowd(clients int, send func(w io.Writer) error) {
	i.t.Helper()
	i.crowdAt(i.address, clients, send)
}

// crowdAt is crowd for another listener of the process.
func (i *instance) crowdAt(address string, clients int, send func(w io.Writer) error) {
	i.t.Helper()
	var sending sync.WaitGroup
	for range clients {
		conn, err := net.DialTimeout("tcp", address, 5*time.Second)
		if err != nil {
			// To refuse a connection is allowed.
			sending.Go(func() { _ = send(refusedWriter{err}) })
			continue
		}
		i.t.Cleanup(func() { _ = conn.Close() })
		sending.Go(func() { _ = send(&patient{conn}) }) // To close it is allowed.
	}
	sending.Wait()
}

// refusedWriter stands for a connection that was refused.
type refusedWriter struct{ err error }

// Write implements io.Writer.
func (w refusedWriter) Write([]byte) (int, error) { return 0, w.err }

// patient writes to a connection with a deadline for each write.
type patient struct{ conn net.Conn }

// stuckAfter is how long a client waits until a piece is accepted.
const stuckAfter = 10 * time.Second

// Write implements io.Writer.
func (p *patient) Write(b []byte) (int, error) {
	_ = p.conn.SetWriteDeadline(time.Now().Add(stuckAfter))
	return p.conn.Write(b)
}

// sendZeros writes size bytes in pieces.
func sendZeros(w io.Writer, size int) error {
	piece := make([]byte, pieceBytes)
	for size > 0 {
		n, err := w.Write(piece[:min(size, len(piece))])
		if err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// sendText writes a text several times.
func sendText(w io.Writer, text string, times int) error {
	for range times {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// sendChunk writes a chunk of a body.
func sendChunk(w io.Writer, size int) error {
	if err := sendText(w, fmt.Sprintf("%x\r\n", size), 1); err != nil {
		return err
	}
	if err := sendZeros(w, size); err != nil {
		return err
	}
	return sendText(w, "\r\n", 1)
}

// order returns the head of an order whose body follows.
func order(header string) string {
	return head("POST", pathOrder+"1", "X-Request-Id: crowd", header)
}

// TestHeadsOverLimit has clients send heads that are far over the limit. They all
// wait before the end of the head until the others have come as far.
func TestHeadsOverLimit(t *testing.T) {
	const clients, headBytes = 200, 1 << 20
	i := startInstance(t)
	var arrived sync.WaitGroup
	arrived.Add(clients)
	i.crowd(clients, func(w io.Writer) error {
		err := sendText(w, "GET "+pathLook+"1 HTTP/1.1\r\nHost: shop.example\r\nX-Long: ", 1)
		if err == nil {
			err = sendText(w, strings.Repeat("a", pieceBytes), headBytes/pieceBytes)
		}
		arrived.Done()
		arrived.Wait()
		if err != nil {
			return err
		}
		return sendText(w, "\r\n\r\n", 1)
	})
	i.check()
}

// TestHeadsWithoutEnd has clients send header lines without end.
func TestHeadsWithoutEnd(t *testing.T) {
	const clients, headBytes = 40, 16 << 20
	i := startInstance(t)
	lines := strings.Repeat("X-Header: value\r\n", pieceBytes/17)
	i.crowd(clients, func(w io.Writer) error {
		if err := sendText(w, "GET "+pathLook+"1 HTTP/1.1\r\nHost: shop.example\r\n", 1); err != nil {
			return err
		}
		return sendText(w, lines, headBytes/pieceBytes)
	})
	i.check()
}

// TestEmptyLinesWithoutEnd has clients send empty lines before a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	const clients, lineBytes = 40, 16 << 20
	i := startInstance(t)
	lines := strings.Repeat("\r\n", pieceBytes/2)
	i.crowd(clients, func(w io.Writer) error { return sendText(w, lines, lineBytes/pieceBytes) })
	i.check()
}

// TestLargeBodies has clients send whole bodies within the limits at once.
func TestLargeBodies(t *testing.T) {
	const clients = 40
	i := startInstance(t)
	i.crowd(clients, func(w io.Writer) error {
		if err := sendText(w, order(fmt.Sprintf("Content-Length: %d", bodyBytes)), 1); err != nil {
			return err
		}
		return sendZeros(w, bodyBytes)
	})
	i.check()
}

// TestUnfinishedBodies has clients send bodies within the limits that stop short of
// their end.
func TestUnfinishedBodies(t *testing.T) {
	const clients = 40
	i := startInstance(t)
	i.crowd(clients, func(w io.Writer) error {
		if err := sendText(w, order(fmt.Sprintf("Content-Length: %d", bodyBytes)), 1); err != nil {
			return err
		}
		return sendZeros(w, bodyBytes-shortBy)
	})
	i.check()
}

// TestUnfinishedLargeChunks has clients send bodies in chunks, the last one of which
// stops short of its end.
func TestUnfinishedLargeChunks(t *testing.T) {
	const clients, chunkBytes = 40, 1 << 20
	i := startInstance(t)
	i.crowd(clients, func(w io.Writer) error {
		if err := sendText(w, order("Transfer-Encoding: chunked"), 1); err != nil {
			return err
		}
		for sent := chunkBytes; sent < bodyBytes; sent += chunkBytes {
			if err := sendChunk(w, chunkBytes); err != nil {
				return err
			}
		}
		if err := sendText(w, fmt.Sprintf("%x\r\n", chunkBytes), 1); err != nil {
			return err
		}
		return sendZeros(w, chunkBytes-shortBy)
	})
	i.check()
}

// TestUnfinishedSmallChunks has clients send bodies in chunks of one byte that have
// no last chunk.
func TestUnfinishedSmallChunks(t *testing.T) {
	const clients, perPiece = 40, 8 << 10
	i := startInstance(t)
	chunks := strings.Repeat("1\r\nx\r\n", perPiece)
	i.crowd(clients, func(w io.Writer) error {
		if err := sendText(w, order("Transfer-Encoding: chunked"), 1); err != nil {
			return err
		}
		return sendText(w, chunks, smallChunks/perPiece)
	})
	i.check()
}

// TestIdleConnections opens more connections than the process may have descriptors.
// Every other one has had an answer before.
func TestIdleConnections(t *testing.T) {
	const clients = 2 * maxDescriptors
	i := startInstance(t)
	var mu sync.Mutex
	count := 0
	i.crowd(clients, func(w io.Writer) error {
		mu.Lock()
		count++
		used := count%2 == 0
		mu.Unlock()
		if !used {
			return nil
		}
		return sendText(w, head("GET", pathLook+"1", "X-Request-Id: crowd"), 1)
	})
	i.check()
}

// TestUnreadAnswers has clients ask for large answers and read nothing.
func TestUnreadAnswers(t *testing.T) {
	const clients = 100
	i := startInstance(t)
	i.crowd(clients, func(w io.Writer) error {
		return sendText(w, head("GET", fmt.Sprintf("%s1?%d", pathDownload, answerBytes), "X-Request-Id: crowd"), 1)
	})
	time.Sleep(2 * time.Second) // The answers come in this time; nothing is checked by it.
	i.check()
}

// TestUnreadPipelines has clients send requests one behind the other and read no
// answer. Some have bodies.
func TestUnreadPipelines(t *testing.T) {
	const clients, requests, body = 40, 64, 256 << 10
	i := startInstance(t)
	i.crowd(clients, func(w io.Writer) error {
		first := head("GET", fmt.Sprintf("%s1?%d", pathDownload, answerBytes), "X-Request-Id: crowd")
		if err := sendText(w, first, 1); err != nil {
			return err
		}
		for range requests {
			if err := sendText(w, order(fmt.Sprintf("Content-Length: %d", body)), 1); err != nil {
				return err
			}
			if err := sendZeros(w, body); err != nil {
				return err
			}
		}
		return nil
	})
	i.check()
}

// TestLargestBodies sends the largest body within the limits, alone, with a length and
// in chunks, to an instance on a small machine. Each must be served.
func TestLargestBodies(t *testing.T) {
	checkLargestBodies(t, setup{memoryMB: 184, maxBodyBytes: 64 << 20})
}

// checkLargestBodies sends the largest body of a setup, with a length and in chunks.
func checkLargestBodies(t *testing.T, with setup) {
	t.Helper()
	const chunkBytes = 1 << 20
	i := startInstanceWith(t, with)
	whole := exchange(i.address, time.Minute, func(w io.Writer) error {
		if err := sendText(w, order(fmt.Sprintf("Content-Length: %d", with.maxBodyBytes)), 1); err != nil {
			return err
		}
		return sendZeros(w, with.maxBodyBytes)
	})
	if whole != "200 ok" {
		t.Errorf("the largest body with a length: answer %q, want 200 ok", whole)
	}
	i.check()
	chunked := exchange(i.address, time.Minute, func(w io.Writer) error {
		if err := sendText(w, order("Transfer-Encoding: chunked"), 1); err != nil {
			return err
		}
		for range with.maxBodyBytes / chunkBytes {
			if err := sendChunk(w, chunkBytes); err != nil {
				return err
			}
		}
		return sendText(w, "0\r\n\r\n", 1)
	})
	if chunked != "200 ok" {
		t.Errorf("the largest body in chunks: answer %q, want 200 ok", chunked)
	}
	i.check()
}
