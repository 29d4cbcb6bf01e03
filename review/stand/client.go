package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// signed reports whether the answer is a whole success of a server.
func (a answer) signed() bool {
	return a.err == nil && a.status/100 == 2 && a.header.Get(names.Signature) != ""
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s no whole answer after %d ms: status %d, %d bytes, %v", a.id, a.took.Milliseconds(), a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%s status %d, %d bytes, signed %t, after %d ms", a.id, a.status, len(a.body), a.signed(), a.took.Milliseconds())
}

var lastID atomic.Uint64

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// request is a request of a client.
type request struct {
	address, method, host, path string
	deadline                    time.Duration
	body                        []byte
	id                          string
}

func (r request) encode() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, r.host, names.RequestID, r.id, names.Deadline, r.deadline.Milliseconds())
	if r.method != http.MethodGet && r.method != http.MethodHead {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(r.body)
	return out.Bytes()
}

// send sends a request on a new connection and waits for the answer until a second after
// the deadline.
func (r request) send() answer {
	if r.id == "" {
		r.id = newID()
	}
	started := time.Now()
	conn, err := net.DialTimeout("tcp", r.address, time.Second)
	if err != nil {
		return answer{id: r.id, err: err, took: time.Since(started)}
	}
	defer func() { _ = conn.Close() }()
	return r.exchange(conn, bufio.NewReader(conn), started)
}

// exchange sends a request on a connection and reads the answer.
func (r request) exchange(conn net.Conn, reader *bufio.Reader, started time.Time) answer {
	a := answer{id: r.id}
	_ = conn.SetDeadline(started.Add(r.deadline + time.Second))
	_, writeErr := conn.Write(r.encode())
	res, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		a.err, a.took = errors.Join(writeErr, err), time.Since(started)
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.status, a.header = res.StatusCode, res.Header
	a.body, a.err = io.ReadAll(res.Body)
	a.took = time.Since(started)
	return a
}
