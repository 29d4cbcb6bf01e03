package exchanger_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lagoonstile/exchanger"
	"lagoonstile/internal/faker"
)

// upload returns a request with a body.
func upload(address string, size int) *exchanger.Request {
	req := request(address)
	req.Method, req.Body = http.MethodPost, [][]byte{make([]byte, size)}
	return req
}

// TestResetDuringUploadBreaksTheAnswer guards against an answer without a length that is
// broken off by a reset while the request is written, and passes for a complete one.
func TestResetDuringUploadBreaksTheAnswer(t *testing.T) {
	const tries = 20
	const head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n"
	tests := []struct {
		part, upload int
		after        time.Duration
	}{
		{10, 1 << 20, 0}, {4000, 1 << 20, 0}, {100 << 10, 1 << 20, 0},
		{4000, 8 << 20, 0}, {4000, 8 << 20, 2 * time.Millisecond}, {4000, 8 << 20, 30 * time.Millisecond},
		{3 << 20, 8 << 20, 2 * time.Millisecond},
		{4000, 200 << 10, 0}, {4000, 200 << 10, 30 * time.Millisecond}, {4000, 10, 2 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("part of %d, upload of %d, reset after %v", test.part, test.upload, test.after), func(t *testing.T) {
			t.Parallel()
			address := faker.Server{Response: head + strings.Repeat("x", test.part), Pause: test.after, End: faker.Reset}.Start(t)
			complete := 0
			for range tries {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				if _, err := readAll(ctx, upload(address, test.upload)); err == nil {
					complete++
				}
				cancel()
			}
			if complete > 0 {
				t.Errorf("%d of %d broken answers passed for complete ones", complete, tries)
			}
		})
	}
}

// TestEarlyAnswersAreRead guards against answers that are lost because nobody reads them
// while the server does not read the request.
func TestEarlyAnswersAreRead(t *testing.T) {
	const head = "HTTP/1.1 %s\r\nX-Id: 7\r\n"
	const body = "Content-Length: 4\r\n\r\nbody"
	const chunks = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	tests := []struct {
		name, answer string
		end          func(*net.TCPConn)
		// within is the longest time that the answer may take.
		within time.Duration
	}{
		{"413, held open", fmt.Sprintf(head, "413 Too Large") + body, nil, time.Second},
		{"413 in chunks, held open", fmt.Sprintf(head, "413 Too Large") + chunks, nil, time.Second},
		{"413, closed", fmt.Sprintf(head, "413 Too Large") + body, faker.Close, time.Second},
		{"413, reset", fmt.Sprintf(head, "413 Too Large") + body, faker.Reset, time.Second},
		{"200, held open", fmt.Sprintf(head, "200 OK") + body, nil, 3 * time.Second},
		{"200, closed", fmt.Sprintf(head, "200 OK") + body, faker.Close, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := faker.Server{Response: test.answer, Pause: 50 * time.Millisecond, End: test.end}.Start(t)
			for _, size := range []int{10, 200 << 10, 16 << 20} {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				began := time.Now()
				got, err := readAll(ctx, upload(address, size))
				if got != "body" || err != nil {
					t.Errorf("upload of %d bytes: body %q, error %v", size, got, err)
				}
				if took := time.Since(began); took > test.within {
					t.Errorf("upload of %d bytes: the answer took %v, want at most %v", size, took, test.within)
				}
				cancel()
			}
		})
	}
}

// TestEarlyAnswerLeavesTheRequestWhole checks that a server which answers at once, and
// reads a long body later and slowly, gets all of it.
func TestEarlyAnswerLeavesTheRequestWhole(t *testing.T) {
	t.Parallel()
	const size, pieces = 16 << 20, 32
	var received atomic.Int64
	address := faker.Server{Response: faker.Sound("X-Id: 7\r\n", "body"), End: func(conn *net.TCPConn) {
		for n, err := int64(0), error(nil); err == nil; received.Add(n) {
			n, err = io.CopyN(io.Discard, conn, size/pieces)
			time.Sleep(2 * time.Second / pieces)
		}
	}}.Start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if got, err := readAll(ctx, upload(address, size)); got != "body" || err != nil {
		t.Fatalf("body %q, error %v", got, err)
	}
	// A part was read with the head.
	for end := time.Now().Add(10 * time.Second); received.Load() < size-size/pieces && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if n := received.Load(); n < size-size/pieces {
		t.Errorf("the server received %d of %d bytes", n, size)
	}
}
