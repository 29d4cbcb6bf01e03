package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// header is one header line of a request.
type header struct{ name, value string }

// request is a request of a client, whose target is sent byte for byte.
type request struct {
	id, method, target, host string
	headers                  []header
	body                     string
}

// answer is what the client got. The status is 0 if there was no complete answer.
type answer struct {
	status int
	signed bool
	body   string
	err    error
}

// clientDeadline is how long clients wait.
const clientDeadline = 6 * time.Second

// send sends a request on a new connection and reads the answer.
func (s *stage) send(address string, r request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientDeadline))
	if _, err := io.WriteString(conn, s.encode(r)); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, signed: response.Header.Get(s.names.Signature) != "", body: string(body)}
}

// encode returns the bytes of a request.
func (s *stage) encode(r request) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.target, r.host)
	fmt.Fprintf(&out, "%s: %s\r\n%s: %d\r\n", s.names.RequestID, r.id, s.names.Deadline, clientDeadline.Milliseconds())
	for _, h := range r.headers {
		fmt.Fprintf(&out, "%s: %s\r\n", h.name, h.value)
	}
	if r.body != "" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(r.body))
	}
	out.WriteString("\r\n" + r.body)
	return out.String()
}
