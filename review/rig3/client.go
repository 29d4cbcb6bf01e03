package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// recorder writes what happens to a file, with the time since its start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, began: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	// status is 0 if there was no complete answer.
	status     int
	signed     bool
	body       string
	retryAfter string
	err        error
}

// ids counts the requests, for their ids.
var ids atomic.Int64

// host is the host of all routes.
const host = "shop.example"

// send sends one request to a machine on a new connection and returns the answer.
func send(n *node, method, path, body string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x1c41d00000000000+ids.Add(1)), sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", n.http, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	head := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + wire.RequestID + ": " + a.id +
		"\r\n" + wire.Deadline + ": " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n"
	if method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		a.err = err
		return a
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body = res.StatusCode, string(data)
	a.signed = res.Header.Get(wire.Signature) != ""
	a.retryAfter = res.Header.Get("Retry-After")
	return a
}

// String tells an answer in a few words.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d, signed %t, Retry-After %q", a.status, a.signed, a.retryAfter)
}
