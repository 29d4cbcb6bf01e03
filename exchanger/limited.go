package exchanger

import (
	"errors"
	"io"
)

// Errors of responses that exceed a limit.
var (
	ErrHeadTooLarge = errors.New("response head exceeds its size limit")
	ErrBodyTooLarge = errors.New("response body without a content length exceeds its size limit")
)

// LimitedReader reads from Reader until Left bytes have been read, and then fails
// with Err. Unlike io.LimitedReader, it does not make a stream that was cut off
// look complete.
type LimitedReader struct {
	Reader io.Reader
	// Left is the number of bytes that may still be read.
	Left int64
	// Err must not be nil.
	Err error
}

var _ io.Reader = (*LimitedReader)(nil)

// Read implements io.Reader.
func (r *LimitedReader) Read(p []byte) (int, error) {
	if r.Left <= 0 {
		return 0, r.Err
	}
	if int64(len(p)) > r.Left {
		p = p[:r.Left]
	}
	n, err := r.Reader.Read(p)
	r.Left -= int64(n)
	return n, err
}
