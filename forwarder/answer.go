package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"lagoonstile/exchanger"
	"lagoonstile/picker"
)

// maxBufferedBody is the size in bytes of the largest response body that is read
// in full before anything is sent to the caller. A larger body is streamed.
const maxBufferedBody = 64 << 10

// Answer is a server's answer to a request. Its body is either held in full or
// streamed.
type Answer struct {
	Status int
	// Header holds end-to-end headers only.
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known before
	// the end of the body.
	Length int64
	// Body is the body of an answer that is held in full.
	Body []byte
	// Replayed is set if the answer was stored by an earlier run of the request.
	Replayed bool

	// stream is the body of a streamed answer from its first byte, or nil if the
	// answer is held in full.
	stream    io.Reader
	target    *picker.Target
	start     time.Time
	closeOnce sync.Once
	onClose   []func()
}

// IsBuffered reports whether the body is held in full.
func (a *Answer) IsBuffered() bool { return a.stream == nil }

// Close releases the resources of the answer. Calls after the first one have no
// effect.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		for i := len(a.onClose) - 1; i >= 0; i-- {
			a.onClose[i]()
		}
	})
}

// OnClose registers a function that Close calls. The functions are called in
// reverse order of registration.
func (a *Answer) OnClose(f func()) { a.onClose = append(a.onClose, f) }

// errUnframed is the error for a response whose body is delimited only by the end
// of the connection. A truncated body cannot be told from a complete one there.
var errUnframed = errors.New("response has neither a content length nor a chunked body")

// readBody reads the body of a server's response, up to maxBufferedBody. If that
// is the whole body, the answer holds it; otherwise the answer streams what was
// read, followed by the rest.
func (a *Answer) readBody(method string, res *http.Response, limits exchanger.Limits) error {
	if noBody(method, res.StatusCode) {
		a.Length = res.ContentLength
		return nil
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return errUnframed
	}
	body := io.Reader(res.Body)
	if res.ContentLength < 0 {
		body = &exchanger.LimitedReader{Reader: body, Left: limits.WithDefaults().MaxUnknownLengthBytes, Err: exchanger.ErrBodyTooLarge}
	}
	head := make([]byte, 0, bufferCapacity(res.ContentLength))
	buffer := bytes.NewBuffer(head)
	n, err := io.CopyN(buffer, body, maxBufferedBody+1)
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("read response body after %d bytes: %w", n, err)
	}
	if n <= maxBufferedBody {
		if res.ContentLength >= 0 && n != res.ContentLength {
			return fmt.Errorf("response body has %d of %d bytes: %w", n, res.ContentLength, io.ErrUnexpectedEOF)
		}
		a.Body = buffer.Bytes()
		a.Length = n
		return nil
	}
	a.Length = res.ContentLength
	a.stream = io.MultiReader(buffer, body)
	return nil
}

// bufferCapacity returns the initial buffer size for a body of the given length,
// which is negative if unknown.
func bufferCapacity(length int64) int64 {
	if length < 0 {
		return 512
	}
	return min(length, maxBufferedBody+1)
}

// noBody reports whether a response has no body, whatever its content length is.
func noBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
