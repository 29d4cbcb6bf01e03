// Package inspector checks the heads of HTTP messages before they are parsed, and the ends
// of responses that end with their connections.
//
// A parser keeps what a head becomes, which is many times its bytes if it has many short
// fields, and it passes lines that no field can be. A Head therefore looks at the bytes of
// a response as they are received. It fails at the first line that is malformed (RFC 9112,
// sections 4, 5 and 6.1), or that exceeds the limits, and takes the memory that the head
// becomes from its request's. It keeps nothing of what it has seen. CheckField
// checks a line of a request in the same way.
//
// A response without a length is complete if its connection ends without an error. AwaitEnd
// asks for errors that a read does not meet. A Transport does both for a client of net/http.
//
// Neither the reason phrase nor trailers are checked: the former is ignored (RFC 9112,
// section 4), and the latter are dropped (RFC 9110, section 6.5.1).
package inspector

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Errors of heads. They are wrapped.
var (
	ErrMalformed     = errors.New("malformed head")
	ErrTooManyFields = errors.New("head has too many fields")
	ErrNoMemory      = errors.New("no memory for the head")
)

// Limits are limits of a head. The value 0 of a field means its value in DefaultLimits.
type Limits struct {
	// MaxFields is the largest number of field lines.
	MaxFields int
}

// DefaultLimits are the limits that apply where no others are set.
var DefaultLimits = Limits{MaxFields: 100}

// Prices of a head when it is parsed, in bytes.
const (
	// fieldBytes is what a field takes besides its text: its entries in the maps of the
	// parser and of the copy without hop-by-hop headers.
	fieldBytes = 256
	// textCopies is how often its text is held.
	textCopies = 2
	// freeBytes is what a request takes for its own head in any case.
	freeBytes = 8 << 10
	// takeBytes is how much is taken at a time.
	takeBytes = 16 << 10
)

// part is the part of a head that a byte belongs to.
type part int

const (
	statusLine part = iota
	lineStart
	fieldName
	fieldValue
	// body is what follows the final head.
	body
)

// Head checks the heads of the responses to one request: interim ones and the final one.
// What follows the final head is not checked. The zero value has the default limits and
// takes no memory. It is not safe for concurrent use.
type Head struct {
	Limits Limits
	// Take takes memory, in bytes, and reports whether it is granted. If it is nil, the
	// memory is not limited.
	Take func(bytes int64) bool

	part part
	// line holds the start of a status line or of a field's name. size is the length of
	// the line so far.
	line [len("transfer-encoding") + 1]byte
	size int
	// afterCR is set if the last byte was a carriage return.
	afterCR bool
	// fields counts the fields of a head, and bytes the bytes of all heads.
	fields, bytes int
	// old is set for HTTP/1.0, and interim if another head follows.
	old, interim bool
	// taken is how much memory was taken, in bytes.
	taken int64
}

// Check checks the next bytes of a response and returns how many of them may be passed on.
// They are fewer than all only with an error, and never complete a head then. The error
// wraps ErrMalformed, ErrTooManyFields or ErrNoMemory, after which Check must not be
// called.
func (h *Head) Check(p []byte) (int, error) {
	if h.part == body {
		return len(p), nil
	}
	for i := 0; i < len(p) && h.part != body; i++ {
		if err := h.next(p[i]); err != nil {
			return i, err
		}
	}
	if err := h.take(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// TakenBytes returns how much memory was taken, for the caller to return.
func (h *Head) TakenBytes() int64 { return h.taken }

// take takes the memory that the head becomes.
func (h *Head) take() error {
	price := int64(textCopies*h.bytes + fieldBytes*h.fields)
	for h.Take != nil && price > freeBytes+h.taken {
		if !h.Take(takeBytes) {
			return fmt.Errorf("%w: after %d bytes and %d fields", ErrNoMemory, h.bytes, h.fields)
		}
		h.taken += takeBytes
	}
	return nil
}

// next checks one byte of a head.
func (h *Head) next(b byte) error {
	h.bytes++
	if h.afterCR && b != '\n' && h.part != statusLine {
		return fmt.Errorf("%w: carriage return in field %d", ErrMalformed, h.fields)
	}
	h.afterCR = b == '\r'
	switch h.part {
	case statusLine:
		return h.nextOfStatus(b)
	case lineStart:
		return h.startLine(b)
	case fieldName:
		return h.nextOfName(b)
	case fieldValue:
		return h.nextOfValue(b)
	}
	return nil
}

// keep adds a byte to the line, of which only the start is held.
func (h *Head) keep(b byte) {
	if h.size < len(h.line) {
		h.line[h.size] = b
	}
	h.size++
}

// start returns the start of the line.
func (h *Head) start() []byte { return h.line[:min(h.size, len(h.line))] }

// nextOfStatus checks a byte of the status line. What follows the line must be checked as
// the parser reads it, so the line must have the one form that both take for the same.
func (h *Head) nextOfStatus(b byte) error {
	if b != '\n' {
		h.keep(b)
		return nil
	}
	start := h.start()
	if !isStatusLine(start) {
		return fmt.Errorf("%w: status line %q", ErrMalformed, start)
	}
	status := start[statusAt:len(statusLineForm)]
	h.old = bytes.HasPrefix(start, []byte("HTTP/1.0"))
	h.interim = status[0] == '1' && string(status) != "101"
	h.endLine()
	return nil
}

// statusLineForm is the start of a status line of HTTP/1, in which 0 stands for any digit
// (RFC 9112, sections 2.3 and 4). The status begins at statusAt.
const (
	statusLineForm = "HTTP/1.0 000"
	statusAt       = len("HTTP/1.0 ")
)

// isStatusLine reports whether a line that starts with the given bytes is a status line. The
// reason phrase may be missing, also with the blank before it, as many servers send it.
func isStatusLine(start []byte) bool {
	if len(start) < len(statusLineForm) {
		return false
	}
	for i, want := range []byte(statusLineForm) {
		if got := start[i]; got != want && (want != '0' || got < '0' || got > '9') {
			return false
		}
	}
	rest := start[len(statusLineForm):]
	return len(rest) == 0 || rest[0] == ' ' || rest[0] == '\r'
}

// endLine begins the next line.
func (h *Head) endLine() { h.part, h.size = lineStart, 0 }

// startLine checks the first byte of a line, which may be the empty line at the end of the
// head.
func (h *Head) startLine(b byte) error {
	switch {
	case b == '\r':
		return nil
	case b == '\n' && h.interim:
		h.part, h.size, h.fields = statusLine, 0, 0
		return nil
	case b == '\n':
		h.part = body
		return nil
	}
	h.fields++
	if limit := h.Limits.withDefaults().MaxFields; h.fields > limit {
		return fmt.Errorf("%w: more than %d", ErrTooManyFields, limit)
	}
	h.part = fieldName
	return h.nextOfName(b)
}

// nextOfName checks a byte of a field's name or the colon behind it.
func (h *Head) nextOfName(b byte) error {
	if b != ':' {
		h.keep(b)
		if !isTokenByte(b) {
			return fmt.Errorf("%w: byte %#02x in the name of field %d", ErrMalformed, b, h.fields)
		}
		return nil
	}
	switch name := h.start(); {
	case len(name) == 0:
		return fmt.Errorf("%w: field %d has no name", ErrMalformed, h.fields)
	case h.old && bytes.EqualFold(name, []byte("transfer-encoding")):
		return fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrMalformed)
	}
	h.part = fieldValue
	return nil
}

// nextOfValue checks a byte of a field's value.
func (h *Head) nextOfValue(b byte) error {
	switch {
	case b == '\n':
		h.endLine()
	case b != '\r' && !isValueByte(b):
		return fmt.Errorf("%w: byte %#02x in the value of field %d", ErrMalformed, b, h.fields)
	}
	return nil
}

// withDefaults returns the limits with the defaults in place of zero values.
func (l Limits) withDefaults() Limits {
	if l.MaxFields == 0 {
		l.MaxFields = DefaultLimits.MaxFields
	}
	return l
}

// CheckField checks a field line without its line break: a name that is a token, directly
// before a colon, and a value without control characters (RFC 9110, sections 5.1 and 5.5).
// The error is ErrMalformed.
func CheckField(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon < 1 {
		return ErrMalformed
	}
	for _, b := range line[:colon] {
		if !isTokenByte(b) {
			return ErrMalformed
		}
	}
	for _, b := range line[colon+1:] {
		if !isValueByte(b) {
			return ErrMalformed
		}
	}
	return nil
}

// isTokenByte reports whether a byte may stand in a token (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return b > ' ' && b < 0x7f && strings.IndexByte("\"(),/:;<=>?@[\\]{}", b) < 0
}

// isValueByte reports whether a byte may stand in the value of a field (RFC 9110, section
// 5.5).
func isValueByte(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }
