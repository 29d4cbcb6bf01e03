package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"lagoonstile/picker"
)

// holdBytes is the largest answer that is held until it is whole before any of
// it goes to the caller. A larger one streams.
const holdBytes = 64 << 10

// Answer is what a server answered. Whole answers hold their body; others
// stream it.
type Answer struct {
	Status int
	// Header holds end-to-end headers only.
	Header http.Header
	// Length is the length of the body, or -1 when only its end tells.
	Length int64
	// Body is the whole body of a held answer.
	Body []byte
	// Replayed says that the answer was kept from an earlier run.
	Replayed bool

	// stream has the body of an answer that is not held, from its first byte.
	stream io.Reader
	target *picker.Target
	start  time.Time
	once   sync.Once
	closes []func()
}

// Whole reports whether the body is held in full.
func (a *Answer) Whole() bool { return a.stream == nil }

// Close gives back what the answer holds. It may be called more than once.
func (a *Answer) Close() {
	a.once.Do(func() {
		for i := len(a.closes) - 1; i >= 0; i-- {
			a.closes[i]()
		}
	})
}

// OnClose adds something to be done at Close, before what was added earlier.
func (a *Answer) OnClose(f func()) { a.closes = append(a.closes, f) }

// errUnbounded refuses an answer that only the end of the connection ends:
// nobody can tell whether it is whole.
var errUnbounded = errors.New("answer has neither a length nor chunks")

// hold reads a server's body up to holdBytes. The answer is then whole, or it
// streams what was read and then the rest.
func (a *Answer) hold(method string, res *http.Response) error {
	if noBody(method, res.StatusCode) {
		a.Length = res.ContentLength
		return nil
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return errUnbounded
	}
	head := make([]byte, 0, bodySize(res.ContentLength))
	buffer := bytes.NewBuffer(head)
	n, err := io.CopyN(buffer, res.Body, holdBytes+1)
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("body broke off after %d bytes: %w", n, err)
	}
	if n <= holdBytes {
		if res.ContentLength >= 0 && n != res.ContentLength {
			return fmt.Errorf("body has %d bytes of %d: %w", n, res.ContentLength, io.ErrUnexpectedEOF)
		}
		a.Body = buffer.Bytes()
		a.Length = n
		return nil
	}
	a.Length = res.ContentLength
	a.stream = io.MultiReader(buffer, res.Body)
	return nil
}

// bodySize returns how much to set aside for a body of the given length.
func bodySize(length int64) int64 {
	if length < 0 {
		return 512
	}
	return min(length, holdBytes+1)
}

// noBody reports whether an answer has no body whatever its length says.
func noBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
