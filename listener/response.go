package listener

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lagoonstile/rationer"
)

// Sizes of what a response buffers.
const (
	// maxBufferedBytes is the size of the largest part of a body that is copied to the
	// buffer to be written together with what precedes it.
	maxBufferedBytes = 16 << 10
	// maxWriteBytes is the size of the largest single write, so that the progress of a
	// large one shows.
	maxWriteBytes = 256 << 10
	// initialBufferBytes is the first size of a buffer, which holds most heads.
	initialBufferBytes = 1 << 10
)

// maxStatus is the highest status of a response (RFC 9110, section 15).
const maxStatus = 599

// buffers holds the buffers of responses.
var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, initialBufferBytes)
	return &buffer
}}

// response is the response writer that handlers get. It frames bodies by RFC 9112,
// section 6: by the length that the handler has set, by one of its own if the whole
// body is small, and otherwise by chunks or, for clients of HTTP/1.0, by the end of the
// connection. Nothing that is written as the body of a response that has none (RFC
// 9110, section 6.4.1) is sent.
type response struct {
	req    *http.Request
	conn   *conn
	share  *rationer.Share
	header http.Header
	// status is 0 before WriteHeader.
	status int
	// length is the length of the body, or -1 if it is not known.
	length int64
	// written counts the bytes of the body that the handler has written.
	written int64
	// headSent is set once the head is in the buffer, and chunked if it says that the
	// body is in chunks.
	headSent, chunked bool
	// buffer holds bytes that were not written to the connection. Before headSent, it
	// holds the start of the body only.
	buffer *[]byte
	err    error
}

var (
	_ http.ResponseWriter = (*response)(nil)
	_ http.Flusher        = (*response)(nil)
)

func newResponse(req *http.Request, c *conn, share *rationer.Share) *response {
	return &response{req: req, conn: c, share: share, header: make(http.Header), length: -1}
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. What is no status of a final response
// becomes 502 (RFC 9110, section 15).
func (r *response) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	if status < http.StatusOK || status > maxStatus {
		r.status = http.StatusBadGateway
	}
	if text := r.header.Get("Content-Length"); text != "" {
		length, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			r.header.Del("Content-Length")
			return
		}
		r.length = int64(length)
	}
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.err != nil {
		return 0, r.err
	}
	r.written += int64(len(p))
	if !r.hasBody() {
		return len(p), nil
	}
	if r.length >= 0 && r.written > r.length {
		r.written -= int64(len(p))
		return 0, http.ErrContentLength
	}
	if r.length >= 0 {
		r.sendHead()
	}
	if len(p) <= maxBufferedBytes && r.buffered()+len(p) <= maxBufferedBytes {
		r.add(p)
		return len(p), nil
	}
	r.sendHead()
	for rest := p; len(rest) > 0 && r.err == nil; {
		piece := rest[:min(len(rest), maxWriteBytes)]
		r.send(piece)
		rest = rest[len(piece):]
	}
	if r.err != nil {
		return 0, r.err
	}
	return len(p), nil
}

// Flush implements http.Flusher. An error is returned by the next write.
func (r *response) Flush() {
	r.WriteHeader(http.StatusOK)
	r.sendHead()
	r.send(nil)
}

// hasBody reports whether the response has a body.
func (r *response) hasBody() bool {
	return r.req.Method != http.MethodHead && r.status != http.StatusNoContent && r.status != http.StatusNotModified
}

// buffered returns the number of bytes in the buffer.
func (r *response) buffered() int {
	if r.buffer == nil {
		return 0
	}
	return len(*r.buffer)
}

// add adds a part of the body to the buffer.
func (r *response) add(p []byte) {
	if r.buffer == nil {
		r.buffer, _ = buffers.Get().(*[]byte)
	}
	if r.chunked && len(p) > 0 {
		*r.buffer = appendChunkSize(*r.buffer, len(p))
		*r.buffer = append(*r.buffer, p...)
		*r.buffer = append(*r.buffer, "\r\n"...)
		return
	}
	*r.buffer = append(*r.buffer, p...)
}

func appendChunkSize(to []byte, size int) []byte {
	return append(strconv.AppendInt(to, int64(size), 16), "\r\n"...)
}

// send writes the buffer and a part of the body to the connection.
func (r *response) send(p []byte) {
	pieces := make(net.Buffers, 0, 3)
	if r.chunked && len(p) > 0 {
		if r.buffer == nil {
			r.buffer, _ = buffers.Get().(*[]byte)
		}
		*r.buffer = appendChunkSize(*r.buffer, len(p))
	}
	if r.buffered() > 0 {
		pieces = append(pieces, *r.buffer)
	}
	if len(p) > 0 {
		pieces = append(pieces, p)
		if r.chunked {
			pieces = append(pieces, []byte("\r\n"))
		}
	}
	if len(pieces) > 0 && r.err == nil {
		r.share.Begin(rationer.Writing)
		_, r.err = r.conn.writeAll(pieces, r.share)
		r.share.Begin(rationer.Working)
	}
	r.releaseBuffer()
}

// releaseBuffer gives the buffer back, unless it has become large.
func (r *response) releaseBuffer() {
	if r.buffer == nil {
		return
	}
	if cap(*r.buffer) <= 2*maxBufferedBytes {
		*r.buffer = (*r.buffer)[:0]
		buffers.Put(r.buffer)
	}
	r.buffer = nil
}

// sendHead adds the head to the buffer, before the start of the body.
func (r *response) sendHead() {
	if r.headSent {
		return
	}
	r.headSent = true
	start := r.buffer
	r.buffer = nil
	head, _ := buffers.Get().(*[]byte)
	switch {
	case !r.hasBody() || r.length >= 0:
	case r.req.ProtoAtLeast(1, 1):
		r.chunked = true
	default:
		r.req.Close = true
	}
	*head = r.appendHead(*head)
	r.buffer = head
	if start != nil {
		r.add(*start)
		*start = (*start)[:0]
		buffers.Put(start)
	}
}

// appendHead appends the head of the response.
func (r *response) appendHead(to []byte) []byte {
	to = append(to, "HTTP/1."...)
	to = append(to, byte('0'+min(r.req.ProtoMinor, 1)), ' ')
	to = strconv.AppendInt(to, int64(r.status), 10)
	to = append(to, ' ')
	to = append(to, http.StatusText(r.status)...)
	to = append(to, "\r\n"...)
	closes := r.req.Close || r.header.Get("Connection") == "close"
	r.req.Close = closes
	for name, values := range r.header {
		if name == "Connection" || name == "Transfer-Encoding" || name == "Content-Length" && r.status == http.StatusNoContent {
			continue
		}
		for _, value := range values {
			to = appendField(to, name, value)
		}
	}
	switch {
	case closes:
		to = appendField(to, "Connection", "close")
	case !r.req.ProtoAtLeast(1, 1):
		to = appendField(to, "Connection", "keep-alive")
	}
	if r.chunked {
		to = appendField(to, "Transfer-Encoding", "chunked")
	}
	if _, ok := r.header["Date"]; !ok {
		to = append(to, "Date: "...)
		to = time.Now().UTC().AppendFormat(to, http.TimeFormat)
		to = append(to, "\r\n"...)
	}
	return append(to, "\r\n"...)
}

// appendField appends a header line. A line break in the value, which would begin
// another line, becomes a space.
func appendField(to []byte, name, value string) []byte {
	to = append(to, name...)
	to = append(to, ": "...)
	start := len(to)
	to = append(to, value...)
	for i := start; i < len(to); i++ {
		if to[i] == '\r' || to[i] == '\n' {
			to[i] = ' '
		}
	}
	return append(to, "\r\n"...)
}

// finish sends what is left of the response after the handler has returned. A response
// that is shorter than its length is aborted.
func (r *response) finish() {
	r.WriteHeader(http.StatusOK)
	if !r.headSent && r.length < 0 && r.hasBody() {
		r.length = r.written
		r.header.Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
	r.sendHead()
	if r.chunked {
		if r.buffer == nil {
			r.buffer, _ = buffers.Get().(*[]byte)
		}
		*r.buffer = append(*r.buffer, "0\r\n\r\n"...)
	}
	r.send(nil)
	if r.hasBody() && r.length > r.written {
		r.abort()
	}
}

// keepsConnection reports whether another response may follow.
func (r *response) keepsConnection() bool { return r.err == nil && !r.req.Close }

// errAborted is the error of writes to an aborted response.
var errAborted = errors.New("response was aborted")

// abort ends the connection so that the client sees that the response is incomplete. A
// body with a length, or in chunks, shows that by itself (RFC 9112, section 8). For any
// other the connection is reset, since its end would be that of the body.
func (r *response) abort() {
	if r.headSent && r.hasBody() && r.length < 0 && !r.chunked {
		r.conn.reset()
	}
	if r.err == nil {
		r.err = errAborted
	}
	r.conn.endAfterResponse()
}

// Abort ends the connection of a response writer so that the caller sees that the
// response is incomplete. It returns false, without any effect, if w does not belong to a
// Listener.
func Abort(w any) bool {
	r, ok := w.(*response)
	if !ok {
		return false
	}
	r.abort()
	return true
}
