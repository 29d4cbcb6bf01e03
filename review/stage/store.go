package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. It keeps all records of its keyed topics
// and has none of the faults that the pages name.
type store struct {
	names wireNames
	ln    net.Listener
	http  *http.Server

	mu     sync.Mutex
	topics map[string]*topic
	// appended is closed and replaced at every append.
	appended chan struct{}
}

// topic is a keyed topic with one partition. A record is the length of its key in one
// byte, the key, and the value.
type topic struct{ records [][]byte }

func startStore(names wireNames) (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{names: names, ln: ln, topics: make(map[string]*topic), appended: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.NewestPath, s.serveNewest)
	mux.HandleFunc("GET "+names.ReadPath, s.serveRead)
	mux.HandleFunc("POST "+names.AppendPath, s.serveAppend)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

func (s *store) stop() { _ = s.http.Close() }

// put appends a record of the operator or of a server. It returns when the record is
// stored, which is the acknowledgement.
func (s *store) put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.append(name, append(record, value...))
}

// append appends a record and returns its offset.
func (s *store) append(name string, record []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, slices.Clone(record))
	close(s.appended)
	s.appended = make(chan struct{})
	return len(t.records) - 1
}

// topic returns a topic, which is created on first use. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{}
	}
	return s.topics[name]
}

// newestItem is one record of the newest records of a topic.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) serveNewest(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	records := s.topic(req.URL.Query().Get("topic")).records
	newest := make(map[string]newestItem)
	for offset, record := range records {
		key, value := splitRecord(record)
		delete(newest, key)
		if len(value) > 0 {
			newest[key] = newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset}
		}
	}
	end := len(records)
	s.mu.Unlock()
	items := make([]newestItem, 0, len(newest))
	for _, item := range newest {
		items = append(items, item)
	}
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": end})
}

// splitRecord returns the key and the value of a record.
func splitRecord(record []byte) (string, []byte) {
	end := 1 + int(record[0])
	return string(record[1:end]), record[end:]
}

func (s *store) serveRead(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, appended := s.topic(query.Get("topic")).records, s.appended
		s.mu.Unlock()
		if len(records) > from || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-appended:
		case <-timeout:
			writeRecords(w, records, from)
			return
		case <-req.Context().Done():
			return
		}
	}
}

// writeRecords writes the end, the first retained offset, and the records from an offset.
func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveAppend(w http.ResponseWriter, req *http.Request) {
	name := req.URL.Query().Get("topic")
	if name == s.names.PlanTopic || name == s.names.ServerTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil || len(body) < 6 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	offset := s.append(name, body[4:])
	writeJSON(w, map[string]any{"offset": offset, "end": offset + 1})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
