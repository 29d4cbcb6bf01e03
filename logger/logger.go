// Package logger writes structured log lines without ever making a request
// wait.
//
// Lines go through a bounded queue to one goroutine that writes them. Lines about
// requests have a budget for each second besides, so that a bad day does not
// spend the processor on its own description. Lines about the state of the
// process have none: there are few, and without them the others can't be
// understood. What is left out is counted by event and told once a second.
package logger

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"
)

// RequestKey is the attribute that every line about one request has.
const RequestKey = "request-id"

// Bounds of the log.
const (
	// DefaultBudget is how many lines about requests are written a second.
	DefaultBudget = 400
	// queueLines is how many lines wait for a slow reader.
	queueLines  = 4096
	tellEvery   = time.Second
	eventLeft   = "lines-left-out"
	attrEvent   = "event"
	attrLeftOut = "lines"
)

// Logger owns the queue. Use New.
type Logger struct {
	out    io.Writer
	budget int
	queue  chan []byte
	stop   chan struct{}
	done   chan struct{}

	mu sync.Mutex
	// second is the one that spent counts the lines of.
	second  time.Time
	spent   int
	leftOut map[string]int
}

// New returns a logger that writes to out, with at most so many lines about
// requests a second.
func New(out io.Writer, budget int) *Logger {
	l := &Logger{
		out:     out,
		budget:  budget,
		queue:   make(chan []byte, queueLines),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		leftOut: make(map[string]int),
	}
	go l.write()
	return l
}

// Log returns the logger for the process's code.
func (l *Logger) Log() *slog.Logger {
	return slog.New(&handler{logger: l, text: slog.NewTextHandler(queueWriter{l}, nil)})
}

// Close writes what is queued and ends the logger.
func (l *Logger) Close() {
	close(l.stop)
	<-l.done
}

// admit reports whether a line of the event may be written now.
func (l *Logger) admit(now time.Time, event string, request bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(l.second) {
		l.second = second
		l.spent = 0
	}
	if len(l.queue) < cap(l.queue) && (!request || l.spent < l.budget) {
		if request {
			l.spent++
		}
		return true
	}
	l.leftOut[event]++
	return false
}

// write takes lines from the queue to the output.
func (l *Logger) write() {
	defer close(l.done)
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.queue:
			_, _ = l.out.Write(line) // Nobody is left to tell of a broken log.
		case <-ticker.C:
			l.tellLeftOut()
		case <-l.stop:
			for len(l.queue) > 0 {
				_, _ = l.out.Write(<-l.queue)
			}
			l.tellLeftOut()
			return
		}
	}
}

// tellLeftOut writes how many lines of each event were left out.
func (l *Logger) tellLeftOut() {
	l.mu.Lock()
	left := l.leftOut
	l.leftOut = make(map[string]int)
	l.mu.Unlock()
	out := slog.New(slog.NewTextHandler(l.out, nil))
	for _, event := range slices.Sorted(maps.Keys(left)) {
		out.Warn(eventLeft, attrEvent, event, attrLeftOut, left[event])
	}
}

// queueWriter puts a formatted line into the queue.
type queueWriter struct{ logger *Logger }

// Write never blocks: a line that finds the queue full is lost. It was admitted
// a moment ago, when there was room.
func (w queueWriter) Write(line []byte) (int, error) {
	select {
	case w.logger.queue <- slices.Clone(line):
	default:
	}
	return len(line), nil
}

// handler asks for admission before a line is formatted.
type handler struct {
	logger *Logger
	text   slog.Handler
}

var _ slog.Handler = (*handler)(nil)

// Enabled reports whether lines of the level are wanted.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.text.Enabled(ctx, level)
}

// Handle writes a line if it may be written.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	request := false
	record.Attrs(func(attr slog.Attr) bool {
		request = attr.Key == RequestKey
		return !request
	})
	if !h.logger.admit(record.Time, record.Message, request) {
		return nil
	}
	return h.text.Handle(ctx, record)
}

// WithAttrs returns a handler whose lines have the attributes.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{logger: h.logger, text: h.text.WithAttrs(attrs)}
}

// WithGroup returns a handler whose attributes are in the group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{logger: h.logger, text: h.text.WithGroup(name)}
}
