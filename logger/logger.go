// Package logger writes structured log lines without blocking the goroutines that
// log.
//
// Lines go through a bounded queue to one goroutine that writes them. Lines about
// requests are also limited to a budget for each second, so that logging does not
// use up the CPU when many requests fail. Lines about the state of the process have
// no such limit: they are few, and the other lines cannot be understood without
// them. Dropped lines are counted by event, and the counts are logged once a
// second.
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

// RequestKey is the key of the attribute that marks a line as being about one
// request. Such lines count against the budget.
const RequestKey = "request-id"

// Limits of the log.
const (
	// DefaultBudget is the largest number of lines about requests per second.
	DefaultBudget = 400
	// queueCapacity is the number of lines that may wait while the output is slow.
	queueCapacity = 4096
	// summaryInterval is the time between the lines that report dropped lines.
	summaryInterval = time.Second
	// eventDropped is the event of a line that reports dropped lines. Its attributes
	// are the event of the dropped lines (attrEvent) and their number (attrLines).
	eventDropped = "lines-left-out"
	attrEvent    = "event"
	attrLines    = "lines"
)

// Logger queues log lines and writes them in the background. Create it with New.
type Logger struct {
	out    io.Writer
	budget int
	queue  chan []byte
	stop   chan struct{}
	done   chan struct{}

	mu sync.Mutex
	// budgetSecond is the current second, and requestLines the number of lines about
	// requests admitted in it.
	budgetSecond time.Time
	requestLines int
	// dropped counts the dropped lines by event since the last report.
	dropped map[string]int
}

// New returns a logger that writes to out, with at most budget lines about
// requests per second.
func New(out io.Writer, budget int) *Logger {
	l := &Logger{
		out:     out,
		budget:  budget,
		queue:   make(chan []byte, queueCapacity),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		dropped: make(map[string]int),
	}
	go l.writeLoop()
	return l
}

// Log returns a slog.Logger that writes through l. Logging never blocks.
func (l *Logger) Log() *slog.Logger {
	return slog.New(&handler{logger: l, text: slog.NewTextHandler(queueWriter{l}, nil)})
}

// Close writes the queued lines and stops the background goroutine.
func (l *Logger) Close() {
	close(l.stop)
	<-l.done
}

// admit reports whether a line of the event may be queued now, and counts it as
// dropped otherwise.
func (l *Logger) admit(now time.Time, event string, request bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(l.budgetSecond) {
		l.budgetSecond = second
		l.requestLines = 0
	}
	if len(l.queue) < cap(l.queue) && (!request || l.requestLines < l.budget) {
		if request {
			l.requestLines++
		}
		return true
	}
	l.dropped[event]++
	return false
}

// writeLoop writes queued lines to the output until the logger is closed.
func (l *Logger) writeLoop() {
	defer close(l.done)
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.queue:
			_, _ = l.out.Write(line) // There is nowhere to report a failed log write.
		case <-ticker.C:
			l.writeDropped()
		case <-l.stop:
			for len(l.queue) > 0 {
				_, _ = l.out.Write(<-l.queue)
			}
			l.writeDropped()
			return
		}
	}
}

// writeDropped writes how many lines of each event were dropped since the last
// call.
func (l *Logger) writeDropped() {
	l.mu.Lock()
	dropped := l.dropped
	l.dropped = make(map[string]int)
	l.mu.Unlock()
	log := slog.New(slog.NewTextHandler(l.out, nil))
	for _, event := range slices.Sorted(maps.Keys(dropped)) {
		log.Warn(eventDropped, attrEvent, event, attrLines, dropped[event])
	}
}

// queueWriter puts formatted lines into the queue.
type queueWriter struct{ logger *Logger }

// Write never blocks. A line is lost, without being counted, if the queue has
// filled up since the line was admitted.
func (w queueWriter) Write(line []byte) (int, error) {
	select {
	case w.logger.queue <- slices.Clone(line):
	default:
	}
	return len(line), nil
}

// handler is a slog.Handler that formats only lines that have been admitted.
type handler struct {
	logger *Logger
	text   slog.Handler
}

var _ slog.Handler = (*handler)(nil)

// Enabled reports whether lines of the level are written.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.text.Enabled(ctx, level)
}

// Handle queues the record's line if it is admitted.
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

// WithAttrs returns a handler that adds the attributes to each line.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{logger: h.logger, text: h.text.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts its attributes into the group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{logger: h.logger, text: h.text.WithGroup(name)}
}
