package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"lagoonstile/inspector"
	"lagoonstile/rationer"
	"lagoonstile/sizer"
)

// reading is the read of the response to one request, within its limits.
type reading struct {
	conn io.Reader
	req  *Request
	// sent is the write of the request.
	sent *write
	// share is what is buffered, and what a large head becomes, is taken from.
	share   *rationer.Share
	limits  Limits
	checked inspector.Reader
	// limited reads from checked.
	limited LimitedReader
}

func newReading(ctx context.Context, conn io.Reader, req *Request, sent *write) *reading {
	r := &reading{conn: conn, req: req, sent: sent, share: rationer.FromContext(ctx), limits: req.Limits.WithDefaults()}
	take := func(bytes int64) bool { return r.share.Take(ctx, bytes) }
	r.checked = inspector.Reader{Source: conn, Head: inspector.Head{Limits: r.limits.Head(), Take: take}}
	r.limited = LimitedReader{Reader: &r.checked, Left: r.limits.MaxHeadBytes, Err: ErrHeadTooLarge}
	return r
}

// readers holds buffered readers that no exchange uses.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// response reads the response.
func (r *reading) response() (*Response, error) {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(&r.limited)
	resp, err := r.responseThrough(reader)
	if err != nil || resp.Rest == nil {
		reader.Reset(nil)
		readers.Put(reader)
	}
	if err != nil {
		r.share.Return(r.checked.Head.TakenBytes())
	}
	return resp, err
}

// responseThrough reads the response through a reader of limited.
func (r *reading) responseThrough(reader *bufio.Reader) (*Response, error) {
	head, err := readFinalHead(reader, r.req.Method)
	if err != nil && r.limited.Left == 0 {
		return nil, fmt.Errorf("read response head: %w (%d bytes)", ErrHeadTooLarge, r.limits.MaxHeadBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("read response head: %w", shorten(err))
	}
	r.limited.Left, r.limited.Err = head.ContentLength, io.ErrUnexpectedEOF
	if head.ContentLength < 0 {
		r.limited.Left, r.limited.Err = r.limits.MaxUnknownLengthBytes, ErrBodyTooLarge
	}
	if err := r.checkRequestID(head.Header); err != nil {
		return nil, err
	}
	r.enlarge(head.ContentLength)
	return r.withBody(head)
}

// checkRequestID returns an error unless the header names the request, and no other one: it
// could not be known then whose response it is.
func (r *reading) checkRequestID(header http.Header) error {
	ids := header.Values(r.req.RequestIDHeader)
	if len(ids) == 0 {
		return errRequestIDMismatch
	}
	for _, id := range ids {
		if id != r.req.RequestID {
			return fmt.Errorf("%w: %.80q", errRequestIDMismatch, id)
		}
	}
	return nil
}

// enlarge gives the connection the receive buffer for large bodies, if the body may be
// large and the budget has room to spare.
func (r *reading) enlarge(length int64) {
	if length < 0 || length >= enlargingBytes {
		sizer.Enlarge(r.conn, ReceiveBuffer, bodyReceiveBuffer, r.share)
	}
}

// readFinalHead reads the status line and headers of the final response. It skips
// interim (1xx) responses and fails at the first status that is none.
func readFinalHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		httpResp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := CheckStatus(httpResp.StatusCode); err != nil {
			return nil, err
		}
		if !isInterim(httpResp.StatusCode) {
			return httpResp, nil
		}
	}
}

// shorten returns an error with the start of the text of err, which may quote the
// bytes that were received, if the text is longer than maxErrorBytes.
func shorten(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return errors.New(text[:maxErrorBytes] + "...")
}

// withBody reads the body behind a head, up to maxBufferedBody bytes or as much as the
// share grants, and returns the response.
func (r *reading) withBody(head *http.Response) (*Response, error) {
	resp := &Response{Status: head.StatusCode, Header: EndToEnd(head.Header), Length: head.ContentLength}
	switch {
	case r.req.Method == http.MethodHead:
		return resp, nil
	case resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified:
		resp.Length = -1
		return resp, nil
	case resp.Length >= 0:
		return resp, r.readLength(resp, head.Body)
	case len(head.TransferEncoding) == 0:
		return resp, r.readUnknownLength(resp, untilClose{head.Body, r.sent, !isSuccess(resp.Status)})
	}
	return resp, r.readUnknownLength(resp, head.Body)
}

// readLength reads a body of known length into the response.
func (r *reading) readLength(resp *Response, body io.Reader) error {
	size := min(resp.Length, maxBufferedBody)
	if size > freeBytes && !r.share.TryTake(size) {
		size = freeBytes
	}
	resp.Body = make([]byte, size)
	if n, err := io.ReadFull(body, resp.Body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("read response body: after %d bytes: %w", n, err)
	}
	if size < resp.Length {
		resp.Rest = body
	}
	return nil
}

// readUnknownLength reads a body of unknown length into the response.
func (r *reading) readUnknownLength(resp *Response, source io.Reader) error {
	body := make([]byte, 0, minBodyBuffer)
	for {
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		resp.Body = body
		switch {
		case errors.Is(err, io.EOF):
			resp.Length = int64(len(body))
			return nil
		case err != nil:
			return fmt.Errorf("read response body: after %d bytes: %w", len(body), err)
		case len(body) < cap(body):
			continue
		}
		size := 2 * cap(body)
		if size > maxBufferedBody || size > freeBytes && !r.share.TryTake(int64(size)) {
			resp.Rest = source
			return nil
		}
		past := cap(body)
		body = append(make([]byte, 0, size), body...)
		if past > freeBytes {
			r.share.Return(int64(past))
		}
	}
}
