package exchanger

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// FuzzReadResponse reads arbitrary bytes as a response. Whatever they are, no more
// than the limits allow may be read, and an accepted response must echo the
// request ID and have the length that it states.
func FuzzReadResponse(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
	for _, seed := range []string{
		head + "Content-Length: 4\r\n\r\ngood",
		head + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\ngood\r\n0\r\nX-T: 1\r\n\r\n",
		head + "\r\nto the end of the connection",
		"HTTP/1.1 102 Processing\r\n\r\n" + head + "\r\n",
		head + "Content-Length: -1\r\n\r\n",
		head + "Content-Length: 99999999999999999999\r\n\r\nx",
		head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\ngood",
		head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 000 Zero\r\nX-Id: 7\r\n\r\n",
		"HTTP/1.1 +99 Signed\r\nX-Id: 7\r\n\r\n",
		"HTTP/1.1 600 High\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + head + "\r\n",
		"\x00\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		req := &Request{
			Method: http.MethodGet, RequestIDHeader: "X-Id", RequestID: "7",
			Limits: Limits{MaxHeadBytes: 512, MaxUnknownLengthBytes: 1024},
		}
		source := bytes.NewReader(data)
		conn, _ := net.Pipe()
		resp, err := newReading(context.Background(), source, req, startWrite(conn, nil, 0)).response()
		read := len(data) - source.Len()
		if err != nil {
			return
		}
		if resp.Header.Get("X-Id") != "7" || resp.Status < http.StatusOK || resp.Status > 599 {
			t.Errorf("accepted status %d with request ID %q", resp.Status, resp.Header.Get("X-Id"))
		}
		body := resp.Body
		if resp.Rest != nil {
			rest, _ := io.ReadAll(resp.Rest)
			body = append(body, rest...)
		}
		if resp.Rest == nil && resp.Length != int64(len(body)) {
			t.Errorf("length %d with a body of %d bytes", resp.Length, len(body))
		}
		if limit := 512 + 1024 + len(body); read > limit {
			t.Errorf("read %d bytes, want at most %d", read, limit)
		}
	})
}
