// Package faker provides a fake server for tests of programs that read HTTP responses. It
// sends given bytes, whether they are a response or not, and ends its connections in a
// given way. It also has tables of the responses that a server in trouble may send.
package faker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"lagoonstile/sizer"
)

// Buffers of a connection. They are small so that most of a long request is on its way while
// the server does not read it, on any machine.
const (
	headBufferBytes            = 1 << 10
	receiveBuffer   sizer.Size = 16 << 10
)

// Reading is what a server reads of a request.
type Reading string

// The kinds of reading.
const (
	ReadsHead  Reading = "" // Little more than the head.
	ReadsAll   Reading = "all"
	ReadsStart Reading = "start" // Less than the head, if that is long.
)

// Server sends the same bytes on each connection after it has read a request or a part of it.
type Server struct {
	// Name says how it ends its connections.
	Name string
	// Response is what it sends.
	Response string
	// Reads is what it reads of a request before it responds.
	Reads Reading
	// Pause is the time from the response to the end of the connection.
	Pause time.Duration
	// End ends the connection. If it is nil, the connection stays open until the test ends.
	End func(conn *net.TCPConn)
}

// Start starts the server and returns its address. The server stops when the test ends.
func (s Server) Start(t testing.TB) string {
	t.Helper()
	config := net.ListenConfig{Control: receiveBuffer.Control}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	t.Cleanup(func() {
		close(stopped)
		_ = ln.Close()
	})
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn), stopped)
		}
	}()
	return ln.Addr().String()
}

func (s Server) serve(conn *net.TCPConn, stopped <-chan struct{}) {
	defer func() { _ = conn.Close() }()
	s.Reads.read(conn)
	_, _ = io.WriteString(conn, s.Response)
	if s.End == nil {
		<-stopped
		return
	}
	time.Sleep(s.Pause)
	s.End(conn)
}

// read reads a request or a part of it.
func (r Reading) read(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, headBufferBytes)
	if r == ReadsStart {
		_, _ = reader.Peek(1)
		return
	}
	req, err := http.ReadRequest(reader)
	if err == nil && r == ReadsAll {
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// Reset ends a connection with a reset.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Close ends a connection in order, if all that was received on it has been read.
func Close(conn *net.TCPConn) { _ = conn.Close() }

// CloseWriteAndReset returns a function that closes a connection for writing and resets it
// after a pause.
func CloseWriteAndReset(pause time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(pause)
		Reset(conn)
	}
}

// CloseWriteAndDrain closes a connection for writing and reads it until the other side
// closes it.
func CloseWriteAndDrain(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// CloseWriteAndHold returns a function that closes a connection for writing and keeps it
// open for a time, without a read.
func CloseWriteAndHold(pause time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(pause)
	}
}

// Response is a response with a name that says what it has.
type Response struct {
	Name, Text string
}

// Sound returns a complete response with status 200. The field lines each end with CRLF.
func Sound(fields, body string) string {
	return "HTTP/1.1 200 OK\r\n" + framed(fields, body)
}

// framed returns field lines and a body with its length.
func framed(fields, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
}

// Malformed returns the responses of MalformedHeads, MalformedStatusLines and
// InvalidStatuses.
func Malformed(fields, body string) []Response {
	return slices.Concat(MalformedHeads(fields, body), MalformedStatusLines(fields, body), InvalidStatuses(fields, body))
}

// MalformedHeads returns responses in whose heads a line is no field, because its name has
// a blank, a control byte or another byte that no token has (RFC 9110, section 5.1). Apart
// from that each is a complete response with status 200, the given field lines and the
// given body.
func MalformedHeads(fields, body string) []Response {
	names := []struct{ what, name string }{
		{"blank", "Odd Name"}, {"blank at the end", "Odd-Name "}, {"tab at the end", "Odd-Name\t"},
		{"zero byte", "Odd\x00Name"}, {"control byte", "Odd\x01Name"}, {"tab", "Odd\tName"}, {"vertical tab", "Odd\x0bName"},
		{"form feed", "Odd\x0cName"}, {"DEL", "Odd\x7fName"}, {"high byte", "Odd\xa0Name"}, {"parenthesis", "Odd(Name"}, {"nothing", ""},
	}
	var responses []Response
	for _, n := range names {
		line := n.name + ": v\r\n"
		responses = append(responses,
			Response{n.what + " in a name", Sound(line+fields, body)},
			Response{n.what + " in the last name", Sound(fields+line, body)},
			Response{n.what + " in a name of an interim response", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + Sound(fields, body)},
		)
	}
	return append(responses,
		Response{"blank behind Content-Length", fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length : %d\r\n\r\n%s", fields, len(body), body)},
		Response{"blank behind Transfer-Encoding", fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(body), body)},
	)
}

// MalformedStatusLines returns responses with status 200 that are complete apart from their
// first line, which is no status line of HTTP/1 (RFC 9112, sections 2.3 and 4).
func MalformedStatusLines(fields, body string) []Response {
	var responses []Response
	for _, line := range []string{
		"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "HTTP/1.1 200\tOK",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/2 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK",
	} {
		responses = append(responses, Response{fmt.Sprintf("status line %q", line), line + "\r\n" + framed(fields, body)})
	}
	return append(responses, Response{
		"malformed head behind an interim one with two blanks", "HTTP/1.1  103 Early Hints\r\n\r\n" + Sound(fields+"Odd Name: v\r\n", body),
	})
}

// InvalidStatuses returns complete responses whose status is none (RFC 9110, section 15),
// or says that another protocol follows that nobody asked for. They have the given field
// lines and the given body.
func InvalidStatuses(fields, body string) []Response {
	var responses []Response
	for _, status := range []string{
		"000 Zero", "001 One", "099 Low", "600 High", "999 High", "101 Switching Protocols",
		"00 Short", "0 Short", "20 Short", "2000 Long", "-01 Signed", "+20 Signed", "2e2 Float", "OK", "",
	} {
		responses = append(responses, Response{"status " + status, "HTTP/1.1 " + status + "\r\n" + framed(fields, body)})
	}
	return append(responses, Response{"status 000 behind an interim response", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Zero\r\n" + framed(fields, body)})
}

// ResetEnds returns the ways in which a server ends a connection with a reset although it
// has not read the request.
func ResetEnds() []Server {
	return []Server{
		{Name: "reset at once", End: Reset},
		{Name: "reset after 2ms", End: Reset, Pause: 2 * time.Millisecond},
		{Name: "reset after 30ms", End: Reset, Pause: 30 * time.Millisecond},
		{Name: "end, reset after 5ms", End: CloseWriteAndReset(5 * time.Millisecond)},
		{Name: "end, reset after 20ms", End: CloseWriteAndReset(20 * time.Millisecond)},
	}
}
