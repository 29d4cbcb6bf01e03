package listener_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"lagoonstile/listener"
	"lagoonstile/sizer"
)

// dialSlow connects to a listener with a small receive buffer, so that most of an answer
// waits in the send buffer of the listener.
func dialSlow(t *testing.T, l *listener.Listener) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: sizer.Size(4 << 10).Control}
	conn, err := dialer.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// answerBytes is the size of an answer that a send buffer takes whole.
const answerBytes = 300_000

// TestAnswersAreWholeBehindAnEnd ends a connection while its client has not received the
// answers and sends other requests. It must get each answer that was given, whole.
func TestAnswersAreWholeBehindAnEnd(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, protocol, fields string
		// answers is how many answers the client gets.
		answers int
		// broken is set if one more answer is broken off, whose length is unknown if it
		// is in chunks.
		broken, chunked bool
		// drainInFlight and drainAfter start a drain before and after the answers.
		drainInFlight, drainAfter bool
	}{
		{name: "last answer", protocol: "HTTP/1.1", fields: "Connection: close\r\n", answers: 1},
		{name: "answer of HTTP/1.0", protocol: "HTTP/1.0", answers: 1},
		{name: "drain of an idle connection", protocol: "HTTP/1.1", answers: 2, drainAfter: true},
		{name: "drain with a request in flight", protocol: "HTTP/1.1", answers: 1, drainInFlight: true},
		{name: "broken answer with a length", protocol: "HTTP/1.1", answers: 2, broken: true},
		{name: "broken answer in chunks", protocol: "HTTP/1.1", answers: 2, broken: true, chunked: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			began, proceed, ended := make(chan struct{}, 9), make(chan struct{}), make(chan struct{}, 9)
			l := listen(t, listener.DefaultLimits, func(w http.ResponseWriter, req *http.Request) {
				began <- struct{}{}
				<-proceed
				breaks := test.broken && req.URL.Path == fmt.Sprint("/", test.answers)
				if !breaks || !test.chunked {
					w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
				}
				size := answerBytes
				if breaks {
					size -= 10
				}
				_, _ = w.Write(make([]byte, size))
				if breaks {
					listener.Abort(w)
				}
				ended <- struct{}{}
			})
			conn := dialSlow(t, l)
			requests := test.answers
			if test.broken {
				requests++
			}
			for n := range requests {
				_, _ = fmt.Fprintf(conn, "GET /%d %s\r\nHost: a\r\n%s\r\n", n, test.protocol, test.fields)
			}
			<-began
			if test.drainInFlight {
				l.StartDrain()
			}
			close(proceed)
			for range requests {
				<-ended
			}
			time.Sleep(50 * time.Millisecond) // The handler has returned.
			if test.drainAfter {
				l.StartDrain()
			}
			reader := bufio.NewReader(conn)
			for n := range test.answers {
				// What the client sends must not cost it what it has not read.
				_, _ = fmt.Fprintf(conn, "GET /more HTTP/1.1\r\nHost: a\r\n\r\n")
				time.Sleep(20 * time.Millisecond)
				if size, err := readAnswer(reader); size != answerBytes || err != nil {
					t.Fatalf("answer %d: %d bytes, error %v; want %d bytes", n, size, err, answerBytes)
				}
			}
			switch size, err := readAnswer(reader); {
			case test.broken && !errors.Is(err, io.ErrUnexpectedEOF):
				t.Errorf("broken answer: %d bytes, error %v; want an unexpected EOF", size, err)
			case !test.broken && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET):
				t.Errorf("behind the last answer: %d bytes, error %v; want the end of the connection", size, err)
			}
			_ = conn.Close()
			for l.Connections()+l.EndingConnections() > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// readAnswer reads an answer in small parts and returns the size of its body.
func readAnswer(reader *bufio.Reader) (int64, error) {
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	var size int64
	for {
		n, err := io.CopyN(io.Discard, res.Body, answerBytes/20)
		size += n
		if errors.Is(err, io.EOF) {
			return size, nil
		}
		if err != nil {
			return size, err
		}
		time.Sleep(2 * time.Millisecond)
	}
}
