package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/connector"
)

// maxPageRecords is the maximum number of records that one read returns.
const maxPageRecords = 500

// LogFaults are the ways in which the log service can fail. The zero value is
// a healthy service.
type LogFaults struct {
	// Down makes the service answer every call with status 503.
	Down bool
	// Delay is added to the time of every call.
	Delay time.Duration
	// LoseAppendAnswers makes the service execute appends but answer them with
	// status 504.
	LoseAppendAnswers bool
}

// Log is a stand-in for the platform's append-only log service.
type Log struct {
	// Retention is the retention time that the service reports to readers. Records
	// are removed only by Expire, so that a test controls when they expire.
	Retention time.Duration

	mu      sync.Mutex
	faults  LogFaults
	streams map[lagoonstile.Stream]*stream
	appends int
}

type stream struct {
	// first is the offset of records[0].
	first   lagoonstile.Offset
	records []connector.LogRecord
	// appended is closed and replaced at every append.
	appended chan struct{}
}

// next returns the offset of the next append.
func (s *stream) next() lagoonstile.Offset {
	return s.first + lagoonstile.Offset(len(s.records))
}

// NewLog returns an empty log that reports the given retention time.
func NewLog(retention time.Duration) *Log {
	return &Log{Retention: retention, streams: make(map[lagoonstile.Stream]*stream)}
}

// SetFaults replaces the faults of the service.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Expire removes the records of a stream before the given offset.
func (l *Log) Expire(name lagoonstile.Stream, before lagoonstile.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for s.first < before && len(s.records) > 0 {
		s.records = s.records[1:]
		s.first++
	}
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// NextOffset returns the offset that the next append to the stream gets.
func (l *Log) NextOffset(name lagoonstile.Stream) lagoonstile.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).next()
}

// ServeHTTP serves /log/STREAM: POST appends a record, and any other method
// reads a page.
func (l *Log) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	name := lagoonstile.Stream(req.URL.Path[len("/log/"):])
	faults := l.currentFaults()
	if faults.Delay > 0 {
		pause(req, faults.Delay)
	}
	if faults.Down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	if req.Method == http.MethodPost {
		l.serveAppend(w, req, name, faults)
		return
	}
	l.serveRead(w, req, name)
}

func (l *Log) serveAppend(w http.ResponseWriter, req *http.Request, name lagoonstile.Stream, faults LogFaults) {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset := l.append(name, data)
	if faults.LoseAppendAnswers {
		http.Error(w, "answer lost", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, connector.AppendResponse{Offset: offset})
}

func (l *Log) append(name lagoonstile.Stream, data []byte) lagoonstile.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, connector.LogRecord{Offset: offset, At: time.Now().UTC(), Data: data})
	l.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// serveRead answers with a page of records. If there are none, it waits for an
// append for up to wait-ms milliseconds.
func (l *Log) serveRead(w http.ResponseWriter, req *http.Request, name lagoonstile.Stream) {
	query := req.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	page, appended := l.readPage(name, lagoonstile.Offset(from))
	if len(page.Records) == 0 && waitMs > 0 {
		timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-appended:
		case <-timer.C:
		case <-req.Context().Done():
		}
		if l.currentFaults().Down {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		page, _ = l.readPage(name, lagoonstile.Offset(from))
	}
	writeJSON(w, page)
}

// readPage returns the records of a stream from the given offset on, and a
// channel that is closed at the next append to the stream.
func (l *Log) readPage(name lagoonstile.Stream, from lagoonstile.Offset) (connector.LogPage, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page := connector.LogPage{First: s.first, Next: s.next(), RetentionMs: l.Retention.Milliseconds()}
	start := max(from, s.first) - s.first
	if int(start) < len(s.records) {
		end := min(int(start)+maxPageRecords, len(s.records))
		page.Records = append(page.Records, s.records[start:end]...)
	}
	return page, s.appended
}

// stream returns the stream with the given name and creates it if needed. The
// caller holds l.mu.
func (l *Log) stream(name lagoonstile.Stream) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) currentFaults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// pause waits for d, or until the request is canceled.
func pause(req *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-req.Context().Done():
	}
}
