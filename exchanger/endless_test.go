package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"lagoonstile/exchanger"
	"lagoonstile/inspector"
)

// endlessServer sends start and then piece again and again until its connection is
// closed. With an empty piece it sends start only, and keeps the connection open. It
// sends the time of the close to the channel.
func endlessServer(t *testing.T, start, piece string) (string, <-chan time.Time) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan time.Time, 1)
	pieces := []byte(strings.Repeat(piece, 1+4096/max(len(piece), 1)))
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, err = io.WriteString(conn, start)
		if piece == "" && err == nil {
			_, err = io.Copy(io.Discard, conn)
		}
		for err == nil && piece != "" {
			_, err = conn.Write(pieces)
		}
		closed <- time.Now()
	}()
	return l.Addr().String(), closed
}

// TestEndlessResponses reads responses of servers that never stop sending, at each
// place of a response. The exchange must end long before its context, the memory
// that it allocates must be bounded, the connection must be closed, and only a
// response that is complete by its framing may be accepted.
func TestEndlessResponses(t *testing.T) {
	const (
		head         = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
		chunked      = head + "Transfer-Encoding: chunked\r\n\r\n"
		maxBody      = 4 << 20
		maxAllocated = 16 << 20
		maxTime      = 10 * time.Second
	)
	tests := []struct {
		name, start, piece string
		// body is the expected body, or "" if an error is expected.
		body string
		// cause is the expected error, or nil if any error will do.
		cause error
	}{
		{name: "bytes that are not HTTP", piece: "\x00\x01", cause: exchanger.ErrHeadTooLarge},
		{name: "status line", start: "HTTP/1.1 200 ", piece: "O", cause: exchanger.ErrHeadTooLarge},
		{name: "header name", start: head, piece: "X", cause: exchanger.ErrHeadTooLarge},
		{name: "header value", start: head + "X-Long: ", piece: "x", cause: exchanger.ErrHeadTooLarge},
		{name: "headers", start: head, piece: "X-Many: 1\r\n", cause: inspector.ErrTooManyFields},
		{name: "folded header lines", start: head + "X-Long: 1\r\n", piece: " x\r\n", cause: inspector.ErrMalformed},
		{name: "interim responses", piece: "HTTP/1.1 102 Processing\r\n\r\n", cause: exchanger.ErrHeadTooLarge},
		{name: "headers of an interim response", start: "HTTP/1.1 103 Early Hints\r\n", piece: "Link: </a>\r\n", cause: inspector.ErrTooManyFields},
		{name: "chunk size", start: chunked, piece: "0"},
		{name: "chunk extension", start: chunked + "4;", piece: "a=b;"},
		{name: "chunks with extensions", start: chunked, piece: "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa=b\r\nx\r\n"},
		{name: "chunks", start: chunked, piece: "4\r\ngood\r\n", cause: exchanger.ErrBodyTooLarge},
		{name: "trailer", start: chunked + "4\r\ngood\r\n0\r\n", piece: "X-Many: 1\r\n"},
		{name: "body without a length", start: head + "\r\n", piece: "x", cause: exchanger.ErrBodyTooLarge},
		{name: "after a body with a length", start: head + "Content-Length: 4\r\n\r\ngood", piece: "x", body: "good"},
		{name: "after the last chunk", start: chunked + "4\r\ngood\r\n0\r\n\r\n", piece: "x", body: "good"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, closed := endlessServer(t, test.start, test.piece)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			req := request(address)
			req.Limits.MaxUnknownLengthBytes = maxBody
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			body, err := readAll(ctx, req)
			runtime.ReadMemStats(&after)
			if took := time.Since(began); took > maxTime {
				t.Errorf("exchange took %v, want at most %v", took, maxTime)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
				t.Errorf("allocated %d bytes, want at most %d", allocated, maxAllocated)
			}
			if body != test.body || (err == nil) != (test.body != "") {
				t.Errorf("body of %d bytes, error %v; want body %q", len(body), err, test.body)
			}
			if err != nil && len(err.Error()) > 500 {
				t.Errorf("text of the error has %d bytes, want at most 500", len(err.Error()))
			}
			if test.cause != nil && !errors.Is(err, test.cause) {
				t.Errorf("error %v, want %v", err, test.cause)
			}
			select {
			case <-closed:
			case <-time.After(maxTime):
				t.Errorf("connection is still open %v after the exchange", maxTime)
			}
		})
	}
}

// readAll sends a request and returns the body of the response if it is complete.
func readAll(ctx context.Context, req *exchanger.Request) (string, error) {
	resp, err := exchanger.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	if resp.Rest != nil {
		if _, err := io.Copy(io.Discard, resp.Rest); err != nil {
			return "", err
		}
	}
	return string(resp.Body), nil
}

// TestHeadLimit checks that a head of exactly the limit is accepted and one byte
// more is not.
func TestHeadLimit(t *testing.T) {
	const limit = 300
	for _, test := range []struct {
		name   string
		excess int
		want   error
	}{
		{"at the limit", 0, nil},
		{"over the limit", 1, exchanger.ErrHeadTooLarge},
	} {
		head := "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\nX-Long: "
		head += strings.Repeat("x", limit+test.excess-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
		address, _ := serve(t, head, false)
		req := request(address)
		req.Limits.MaxHeadBytes = limit
		if _, err := readAll(context.Background(), req); !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
	}
}
