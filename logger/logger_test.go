package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoonstile/logger"
)

// TestRequestLinesAreLimited writes more lines about requests than the budget
// allows, and lines about the state of the process, which are not limited.
func TestRequestLinesAreLimited(t *testing.T) {
	var out bytes.Buffer
	l := logger.New(&out, 10)
	log := l.Log().With("instance", "edge-1")
	for range 500 {
		log.Info("send-ended", logger.RequestKey, "7", "outcome", "bad")
	}
	for range 50 {
		log.Info("server-doubted", "server", "s1")
	}
	l.Close()
	text := out.String()
	// The lines may be spread over two seconds, each with its own budget.
	if n := strings.Count(text, "msg=send-ended"); n < 10 || n > 20 {
		t.Errorf("%d lines about requests, want 10 per second", n)
	}
	if n := strings.Count(text, "msg=server-doubted"); n != 50 {
		t.Errorf("%d lines about state, want 50", n)
	}
	if !strings.Contains(text, "msg=lines-left-out event=send-ended lines=4") {
		t.Errorf("no line reports how many lines were dropped:\n%s", text)
	}
}

// blockingWriter blocks every write until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (b *blockingWriter) Write(line []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(line)
}

// TestLoggingDoesNotBlock checks that logging does not block while writes to the
// output do.
func TestLoggingDoesNotBlock(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	l := logger.New(out, 1000000)
	log := l.Log()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20000 {
			log.Info("plan-in-force", "version", 7)
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logging blocks when the output does")
	}
	close(out.open)
	l.Close()
	if !strings.Contains(out.out.String(), "msg=lines-left-out event=plan-in-force") {
		t.Error("no line reports dropped lines")
	}
}
