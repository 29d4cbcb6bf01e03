// Package receiver reads the responses of services that may send much over a full
// link. How long such a response takes says nothing about the service, so it is
// given up only while none of its bytes arrive, or if they arrive so slowly that
// another try is likely to be faster. A time limit for the whole response would make
// the caller throw away what has arrived and load the link once more.
package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Limits of a response after its head has arrived.
const (
	// progressTimeout is how long no byte of the body may arrive.
	progressTimeout = time.Second
	// slowTime is the time that a body of any size may take, and minBytesPerSecond the
	// rate at which bytes extend it.
	slowTime          = 10 * time.Second
	minBytesPerSecond = 16 << 10
)

// Errors of responses that are given up. All but ErrTooLarge are the causes of the
// canceled context.
var (
	ErrNoResponse = errors.New("no response within the time limit")
	ErrNoProgress = errors.New("response makes no progress")
	ErrTooSlow    = errors.New("response arrives too slowly")
	ErrTooLarge   = errors.New("response is too large")
)

// Receiver receives one response. Create it with New. It is not safe for concurrent
// use.
type Receiver struct {
	cancel context.CancelCauseFunc
	// head, stall and slow cancel the context when one of the limits is exceeded. The
	// last two are nil until the head has arrived.
	head, stall, slow *time.Timer
	// headAt is when the head arrived, and received the size of the body so far.
	headAt     time.Time
	received   int64
	onProgress func()
}

// New returns a receiver, and the context for the call, which the receiver cancels.
// The head of the response must arrive within headTimeout. The caller must call Stop.
func New(ctx context.Context, headTimeout time.Duration) (*Receiver, context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	head := time.AfterFunc(headTimeout, func() { cancel(ErrNoResponse) })
	return &Receiver{cancel: cancel, head: head, onProgress: progressFrom(ctx)}, ctx
}

// Stop cancels the context and releases the resources of the receiver.
func (r *Receiver) Stop() {
	r.head.Stop()
	if r.stall != nil {
		r.stall.Stop()
		r.slow.Stop()
	}
	r.cancel(nil)
}

// ReadBody reads a body of at most limit bytes, after the head has arrived. The error of a
// longer one wraps ErrTooLarge.
func (r *Receiver) ReadBody(body io.Reader, limit int64) ([]byte, error) {
	r.head.Stop()
	r.headAt = time.Now()
	r.stall = time.AfterFunc(progressTimeout, func() { r.cancel(ErrNoProgress) })
	r.slow = time.AfterFunc(slowTime, func() { r.cancel(ErrTooSlow) })
	r.onProgress()
	data, err := io.ReadAll(io.LimitReader(&progressReader{body: body, receiver: r}, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	return data, err
}

// progressReader reads a body and notes when bytes arrive.
type progressReader struct {
	body     io.Reader
	receiver *Receiver
}

// Read implements io.Reader.
func (p *progressReader) Read(buffer []byte) (int, error) {
	n, err := p.body.Read(buffer)
	if n > 0 {
		p.receiver.progress(n)
	}
	return n, err
}

// progress extends the limits by the n bytes that have arrived.
func (r *Receiver) progress(n int) {
	r.received += int64(n)
	extension := time.Duration(r.received) * time.Second / minBytesPerSecond
	r.stall.Reset(progressTimeout)
	r.slow.Reset(time.Until(r.headAt.Add(slowTime + extension)))
	r.onProgress()
}

// Cause returns the reason for which a context was canceled, or err if it was not.
func Cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// progressKey is the key of the function that WithProgress adds to a context.
type progressKey struct{}

// WithProgress returns a context whose receivers call onProgress whenever bytes of
// their responses arrive.
func WithProgress(ctx context.Context, onProgress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, onProgress)
}

// progressFrom returns the function that WithProgress has added, or one that does
// nothing.
func progressFrom(ctx context.Context) func() {
	if onProgress, ok := ctx.Value(progressKey{}).(func()); ok {
		return onProgress
	}
	return func() {}
}
