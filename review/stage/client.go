package main

import (
	"bufio"
	"errors"
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

// slowReader reads at most a number of bytes a second, like a client behind a link of
// that bandwidth.
type slowReader struct {
	source         io.Reader
	bytesPerSecond int
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p[:min(len(p), 4<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.bytesPerSecond))
	return n, err
}

// windowBytes is the size of the receive buffer of a client that reads slowly.
const windowBytes = 64 << 10

// pipeline is some requests that a client sends on one connection, each a time after the
// one before it, whether that one has been answered or not. The client reads slowly.
type pipeline struct {
	requests       []request
	gap            time.Duration
	bytesPerSecond int
}

// sendPipeline sends the requests and returns the answers in their order. A request
// behind an answer that closes the connection has none.
func (s *stage) sendPipeline(address string, p pipeline) []answer {
	answers := make([]answer, len(p.requests))
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return fill(answers, err)
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(windowBytes)
	}
	_ = conn.SetDeadline(time.Now().Add(clientDeadline + time.Duration(len(p.requests))*p.gap))
	go func() {
		for n, r := range p.requests {
			if n > 0 {
				time.Sleep(p.gap)
			}
			if _, err := io.WriteString(conn, s.encode(r)); err != nil {
				return
			}
		}
	}()
	reader := bufio.NewReader(&slowReader{source: conn, bytesPerSecond: p.bytesPerSecond})
	for n, r := range p.requests {
		response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
		if err != nil {
			fill(answers[n:], err)
			return answers
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			fill(answers[n:], fmt.Errorf("after %d of %d bytes: %w", len(body), response.ContentLength, err))
			return answers
		}
		answers[n] = answer{status: response.StatusCode, signed: response.Header.Get(s.names.Signature) != "", body: string(body)}
		if response.Close {
			fill(answers[n+1:], errBehindClose)
			return answers
		}
	}
	return answers
}

// errBehindClose is the error of a request that was sent behind an answer which closes
// the connection. It counts as not read.
var errBehindClose = errors.New("behind an answer that closes the connection")

// fill sets the error of all answers.
func fill(answers []answer, err error) []answer {
	for n := range answers {
		answers[n].err = err
	}
	return answers
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
