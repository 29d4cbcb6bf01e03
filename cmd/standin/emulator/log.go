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

// pageRecords bounds how many records one read returns.
const pageRecords = 500

// LogFaults are the ways in which the log service can fail. The zero value is
// a healthy service.
type LogFaults struct {
	// Down refuses everything.
	Down bool
	// Delay comes before every answer.
	Delay time.Duration
	// LoseAppendAnswers makes appends take effect and answer with an error.
	LoseAppendAnswers bool
}

// Log is the stand-in of the platform's append-only log service.
type Log struct {
	// Retention is how long a record is kept. Records expire when Expire is
	// called, never on their own, so that a test decides when.
	Retention time.Duration

	mu      sync.Mutex
	faults  LogFaults
	streams map[lagoonstile.Stream]*stream
	appends int
}

type stream struct {
	first   lagoonstile.Offset
	records []connector.LogRecord
	// grown is closed and replaced at every append.
	grown chan struct{}
}

func (s *stream) next() lagoonstile.Offset {
	return s.first + lagoonstile.Offset(len(s.records))
}

// NewLog returns an empty log.
func NewLog(retention time.Duration) *Log {
	return &Log{Retention: retention, streams: make(map[lagoonstile.Stream]*stream)}
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Expire drops every record older than the given offset.
func (l *Log) Expire(name lagoonstile.Stream, before lagoonstile.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for s.first < before && len(s.records) > 0 {
		s.records = s.records[1:]
		s.first++
	}
}

// Appends returns how many appends took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Next returns the offset that the next append to the stream gets.
func (l *Log) Next(name lagoonstile.Stream) lagoonstile.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).next()
}

// ServeHTTP serves /log/STREAM: POST appends, GET reads.
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
	writeJSON(w, connector.LogAppended{Offset: offset})
}

func (l *Log) append(name lagoonstile.Stream, data []byte) lagoonstile.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, connector.LogRecord{Offset: offset, At: time.Now().UTC(), Data: data})
	l.appends++
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

func (l *Log) serveRead(w http.ResponseWriter, req *http.Request, name lagoonstile.Stream) {
	query := req.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	page, grown := l.page(name, lagoonstile.Offset(from))
	if len(page.Records) == 0 && waitMs > 0 {
		timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-grown:
		case <-timer.C:
		case <-req.Context().Done():
		}
		if l.currentFaults().Down {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		page, _ = l.page(name, lagoonstile.Offset(from))
	}
	writeJSON(w, page)
}

func (l *Log) page(name lagoonstile.Stream, from lagoonstile.Offset) (connector.LogPage, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page := connector.LogPage{First: s.first, Next: s.next(), RetentionMs: l.Retention.Milliseconds()}
	start := max(from, s.first) - s.first
	if int(start) < len(s.records) {
		end := min(int(start)+pageRecords, len(s.records))
		page.Records = append(page.Records, s.records[start:end]...)
	}
	return page, s.grown
}

// stream needs the lock.
func (l *Log) stream(name lagoonstile.Stream) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
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

// pause waits for d or for the end of the request.
func pause(req *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-req.Context().Done():
	}
}
