package listener

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"lagoonstile/answerer"
	"lagoonstile/inspector"
	"lagoonstile/rationer"
	"lagoonstile/sizer"
)

// Sizes of what is read of a request.
const (
	// readBufferBytes is the size of a connection's read buffer, which holds most heads.
	readBufferBytes = 4 << 10
	// maxEmptyLines is how many empty lines are skipped before a request (RFC 9112,
	// section 2.2).
	maxEmptyLines = 4
	// servingBytes is what a request in flight takes of the budget: its head, a body of
	// smallBodyBytes, and the goroutine that serves it.
	servingBytes   = 16 << 10
	smallBodyBytes = 8 << 10
	// enlargingBytes is the size of a body from which a connection gets a larger receive
	// buffer.
	enlargingBytes = 64 << 10
	// minPieceBytes and maxPieceBytes are the sizes of the pieces in which a body of
	// unknown length is held. They double from piece to piece.
	minPieceBytes = 4 << 10
	maxPieceBytes = 1 << 20
	// maxTrailerBytes limits the trailer of a body in chunks, which is dropped.
	maxTrailerBytes = 4 << 10
	// busyRetryAfter is the Retry-After time of a request that there is no memory for.
	busyRetryAfter = time.Second
)

// errGone is the error of a connection that ended between requests or in one.
var errGone = errors.New("connection ended")

// Body is the body of a request. It was read before the handler is called.
type Body struct {
	pieces [][]byte
	// unread is what Read has not returned yet.
	unread [][]byte
}

var _ io.ReadCloser = (*Body)(nil)

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	for len(b.unread) > 0 && len(b.unread[0]) == 0 {
		b.unread = b.unread[1:]
	}
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread[0])
	b.unread[0] = b.unread[0][n:]
	return n, nil
}

// Close implements io.Closer.
func (b *Body) Close() error { return nil }

// Pieces returns the body of a request in pieces, which the caller must not change. It
// copies nothing if the request comes from a Listener, and otherwise reads the body.
func Pieces(req *http.Request) ([][]byte, error) {
	if body, ok := req.Body.(*Body); ok {
		return body.pieces, nil
	}
	if req.Body == nil {
		return nil, nil
	}
	data, err := io.ReadAll(req.Body)
	if len(data) == 0 {
		return nil, err
	}
	return [][]byte{data}, err
}

// Bytes returns the body of a request in one piece. It copies a body of several pieces,
// which are not kept. The error is an answerer.Failure if there is no memory for that.
func Bytes(req *http.Request) ([]byte, error) {
	pieces, err := Pieces(req)
	switch len(pieces) {
	case 0:
		return nil, err
	case 1:
		return pieces[0], err
	}
	size := int64(0)
	for _, piece := range pieces {
		size += int64(len(piece))
	}
	share := rationer.FromContext(req.Context())
	if !share.Take(req.Context(), size) {
		return nil, busy()
	}
	defer share.Return(size) // The pieces become garbage.
	joined := bytes.Join(pieces, nil)
	req.Body = newBody(joined)
	return joined, nil
}

// newBody returns a body that consists of the pieces.
func newBody(pieces ...[]byte) *Body { return &Body{pieces: pieces, unread: slices.Clone(pieces)} }

// parsers holds the readers that heads are parsed through.
var parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// awaitRequest waits for the first byte of a request and skips empty lines before it.
func (c *conn) awaitRequest() error {
	if len(c.buffer) > readBufferBytes && len(c.in) <= readBufferBytes {
		// A large head is over.
		c.buffer = make([]byte, readBufferBytes)
		c.in = c.buffer[:copy(c.buffer, c.in)]
	}
	for skipped := 0; ; skipped++ {
		if len(c.in) == 0 {
			c.startWaiting()
			if err := c.fill(); err != nil {
				// Before it stops waiting: a connection whose client has left is not busy.
				c.leave(err)
				return errGone
			}
			c.stopWaiting()
		}
		switch {
		case c.in[0] == '\n':
			c.in = c.in[1:]
		case c.in[0] == '\r':
			if len(c.in) == 1 {
				if err := c.fillWithin(c.limits().HeadTimeout); err != nil {
					c.leave(err)
					return errGone
				}
			}
			if c.in[1] != '\n' {
				return nil // The parser refuses it.
			}
			c.in = c.in[2:]
		default:
			return nil
		}
		if skipped == maxEmptyLines {
			return &answerer.Failure{Kind: answerer.KindBadRequest}
		}
	}
}

// fill reads more bytes into the buffer, which is not full.
func (c *conn) fill() error {
	if cap(c.in) == len(c.in) || cap(c.in) < readBufferBytes/2 {
		// The unread bytes are moved to the start of the buffer.
		if len(c.in) == len(c.buffer) {
			c.buffer = make([]byte, 2*len(c.buffer))
		}
		c.in = c.buffer[:copy(c.buffer, c.in)]
	}
	n, err := c.Read(c.in[len(c.in):cap(c.in)])
	c.in = c.in[:len(c.in)+n]
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// fillWithin is fill with a time limit.
func (c *conn) fillWithin(limit time.Duration) error {
	c.setReadDeadline(time.Now().Add(limit))
	return c.fill()
}

// readRequest reads a request whose first byte is in the buffer. The error is a
// Failure if the client can be told of it.
func (c *conn) readRequest(share *rationer.Share) (*http.Request, error) {
	head, err := c.readHead(share)
	if err != nil {
		return nil, err
	}
	if lines := bytes.Count(head, []byte{'\n'}) - 2; lines > c.listener.limits.MaxHeaders {
		return nil, &answerer.Failure{Kind: answerer.KindHeaderLimit, MayHaveRun: hasField(head, "idempotency-key")}
	}
	req, err := parseHead(head)
	if err != nil {
		return nil, &answerer.Failure{Kind: answerer.KindBadRequest, Cause: err}
	}
	c.in = c.in[len(head):]
	req.RemoteAddr = c.RemoteAddr().String()
	if !share.Take(c.ctx, servingBytes) {
		return req, busy()
	}
	body, err := c.readBody(req, share)
	if err != nil {
		return req, err
	}
	req.Body, req.TransferEncoding = body, nil
	return req, nil
}

// busy returns the failure of a request that there is no memory for.
func busy() *answerer.Failure {
	return &answerer.Failure{Kind: answerer.KindOverloaded, RetryAfter: busyRetryAfter}
}

// readHead returns the head of a request, with the empty line at its end. It is part
// of the buffer.
func (c *conn) readHead(share *rationer.Share) ([]byte, error) {
	limits := c.limits()
	deadline := time.Time{}
	for scanned := 0; ; {
		end := headEnd(c.in, scanned)
		scanned = len(c.in)
		size := scanned
		if end > 0 {
			size = end
		}
		switch {
		case size > limits.MaxRequestBytes:
			return nil, &answerer.Failure{Kind: answerer.KindTooLarge}
		case size > limits.MaxHeadBytes:
			return nil, &answerer.Failure{Kind: answerer.KindHeaderLimit, MayHaveRun: hasField(c.in, "idempotency-key")}
		case end > 0:
			return c.in[:end], nil
		}
		// The head is held as bytes and, at its end, as text.
		if scanned == len(c.buffer) && !share.Take(c.ctx, int64(2*len(c.buffer))) {
			return nil, busy()
		}
		if deadline.IsZero() {
			deadline = time.Now().Add(limits.HeadTimeout)
			c.setReadDeadline(deadline)
		}
		if err := c.fill(); err != nil {
			return nil, c.readFailure(err)
		}
		share.Progress(len(c.in) - scanned)
	}
}

// headEnd returns the length of the head at the start of data, or 0 if it has no end
// yet. The first scanned bytes were searched before.
func headEnd(data []byte, scanned int) int {
	for at := max(0, scanned-2); ; {
		next := bytes.IndexByte(data[at:], '\n')
		if next < 0 {
			return 0
		}
		at += next + 1
		switch rest := data[at:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return at + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return at + 2
		}
	}
}

// readFailure returns what becomes of a request that could not be read.
func (c *conn) readFailure(err error) error {
	switch {
	case c.mustGiveUp():
		return busy()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &answerer.Failure{Kind: answerer.KindTimeout}
	}
	return errGone
}

// parseHead parses the head of a request. It refuses what readers disagree about: RFC
// 9112, sections 3.2 (Host), 5.1 and 5.2 (spaces before a colon, folded lines) and 6.3
// (a length beside chunks).
func parseHead(head []byte) (*http.Request, error) {
	hosts, lengths, encodings := 0, 0, 0
	fields := head[bytes.IndexByte(head, '\n')+1:]
	for line := range bytes.Lines(fields) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		switch {
		case len(line) > 0 && inspector.CheckField(line) != nil:
			return nil, errors.New("malformed header line")
		case isField(line, "host"):
			hosts++
		case isField(line, "content-length"):
			lengths++
		case isField(line, "transfer-encoding"):
			encodings++
		}
	}
	parser, ok := parsers.Get().(*bufio.Reader)
	if !ok {
		return nil, errors.New("no parser")
	}
	defer parsers.Put(parser)
	parser.Reset(bytes.NewReader(head))
	req, err := http.ReadRequest(parser)
	parser.Reset(nil)
	switch {
	case err != nil:
		return nil, err
	case req.ProtoMajor != 1:
		return nil, fmt.Errorf("protocol %s", req.Proto)
	case hosts > 1 || hosts == 0 && req.ProtoMinor > 0:
		return nil, fmt.Errorf("%d Host headers", hosts)
	case encodings > 0 && (lengths > 0 || req.ProtoMinor == 0):
		return nil, errors.New("transfer coding beside a length or in HTTP/1.0")
	}
	return req, nil
}

// isField reports whether a header line has the name, which is in lower case.
func isField(line []byte, name string) bool {
	return len(line) > len(name) && line[len(name)] == ':' && bytes.EqualFold(line[:len(name)], []byte(name))
}

// hasField reports whether a head has a header line with the name, which is in lower
// case.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		if isField(line, name) {
			return true
		}
	}
	return false
}

// readBody reads the body of a request.
func (c *conn) readBody(req *http.Request, share *rationer.Share) (*Body, error) {
	chunked := len(req.TransferEncoding) > 0
	if !chunked && req.ContentLength == 0 {
		return &Body{}, nil
	}
	length, limit := req.ContentLength, int64(c.limits().MaxRequestBytes)
	if length > limit {
		return nil, &answerer.Failure{Kind: answerer.KindTooLarge}
	}
	if !chunked && length > smallBodyBytes && !share.Take(c.ctx, length) {
		return nil, busy()
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") && len(c.in) == 0 && req.ProtoAtLeast(1, 1) {
		c.sendContinue()
	}
	var pieces [][]byte
	var err error
	if chunked {
		pieces, err = c.readChunks(share, limit)
	} else {
		pieces, err = c.readLength(share, length)
	}
	if err != nil {
		return nil, err
	}
	return newBody(pieces...), nil
}

// enlarge gives the connection the receive buffer for bodies, if the budget has room to
// spare.
func (c *conn) enlarge() {
	limits := c.listener.limits
	c.enlarged = c.enlarged || sizer.Enlarge(c.Conn, limits.ReceiveBuffer, limits.BodyReceiveBuffer, c.share)
}

// readLength reads a body of known length.
func (c *conn) readLength(share *rationer.Share, length int64) ([][]byte, error) {
	if length >= enlargingBytes {
		c.enlarge()
	}
	body := make([]byte, length)
	n := copy(body, c.in)
	c.in = c.in[n:]
	share.Progress(n)
	source := bodySource{c, share}
	for n < len(body) {
		read, err := source.Read(body[n:])
		n += read
		if err != nil && n < len(body) {
			return nil, c.readFailure(err)
		}
	}
	return [][]byte{body}, nil
}

// bodySource reads the bytes of a body from the buffer and the connection. It limits
// the time between two pieces.
type bodySource struct {
	c     *conn
	share *rationer.Share
}

// Read implements io.Reader.
func (s bodySource) Read(p []byte) (int, error) {
	if len(s.c.in) > 0 {
		n := copy(p, s.c.in)
		s.c.in = s.c.in[n:]
		return n, nil
	}
	s.c.setReadDeadline(time.Now().Add(s.c.listener.limits.BodyTimeout))
	n, err := s.c.Read(p)
	s.share.Progress(n)
	return n, err
}

// errBodyTooLarge is the error of a body in chunks that is over the limit.
var errBodyTooLarge = errors.New("body is too large")

// readChunks reads a body in chunks (RFC 9112, section 7.1) and drops its trailer.
func (c *conn) readChunks(share *rationer.Share, limit int64) ([][]byte, error) {
	reader, ok := parsers.Get().(*bufio.Reader)
	if !ok {
		return nil, errGone
	}
	defer parsers.Put(reader)
	reader.Reset(bodySource{c, share})
	pieces, err := c.readPieces(httputil.NewChunkedReader(reader), share, limit)
	if err == nil {
		err = skipTrailer(reader)
	}
	// What follows the body belongs to the next request.
	rest, _ := reader.Peek(reader.Buffered())
	c.in = c.buffer[:copy(c.buffer, append(rest, c.in...))]
	reader.Reset(nil)
	var failure *answerer.Failure
	switch {
	case err == nil || errors.As(err, &failure):
		return pieces, err
	case errors.Is(err, errBodyTooLarge):
		return nil, &answerer.Failure{Kind: answerer.KindTooLarge}
	case c.mustGiveUp() || errors.Is(err, os.ErrDeadlineExceeded):
		return nil, c.readFailure(err)
	}
	return nil, &answerer.Failure{Kind: answerer.KindBadRequest, Cause: err}
}

// readPieces reads a body of unknown length, for which it takes memory as it comes.
func (c *conn) readPieces(source io.Reader, share *rationer.Share, limit int64) ([][]byte, error) {
	var pieces [][]byte
	var total int64
	for size := minPieceBytes; ; size = min(2*size, maxPieceBytes) {
		if !share.Take(c.ctx, int64(size)) {
			return nil, busy()
		}
		if size >= enlargingBytes {
			c.enlarge()
		}
		piece := make([]byte, size)
		n, err := io.ReadFull(source, piece)
		pieces = append(pieces, piece[:n])
		total += int64(n)
		switch {
		case total > limit:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && atEnd(source):
			return pieces, nil
		case err != nil:
			return nil, err
		}
	}
}

// atEnd reports whether a reader of chunks has read the last one.
func atEnd(source io.Reader) bool {
	n, err := source.Read(make([]byte, 1))
	return n == 0 && err == io.EOF
}

// skipTrailer reads the trailer of a body in chunks, up to the empty line at its end.
func skipTrailer(reader *bufio.Reader) error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		field, ok := bytes.CutSuffix(line, []byte("\r\n"))
		switch {
		case ok && len(field) == 0:
			return nil
		case !ok || inspector.CheckField(field) != nil:
			return errors.New("malformed trailer")
		}
		size += len(line)
	}
	return errors.New("trailer is too large")
}
