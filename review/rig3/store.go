package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a sound stand-in for the platform's metadata store. It has one partition of
// each topic, keeps all history and answers at once.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	ln     net.Listener
	server *http.Server
}

// topic holds the records of a keyed topic.
type topic struct {
	// records holds each record as the length of its key, the key and the value.
	records [][]byte
	// newest holds the offset of the newest record of each key that has a value.
	newest map[string]int
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: make(map[string]*topic), ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.NewestPath, s.serveNewest)
	mux.HandleFunc("GET "+wire.ReadPath, s.serveRead)
	mux.HandleFunc("POST "+wire.AppendPath, s.serveAppend)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

func (s *store) stop() { _ = s.server.Close() }

// topic returns a topic, which it creates on first use. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: make(map[string]int), changed: make(chan struct{})}
	}
	return s.topics[name]
}

// put appends a record. A nil value drops the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).append(append(append([]byte{byte(len(key))}, key...), value...))
}

func (t *topic) append(record []byte) {
	key, value := splitRecord(record)
	if len(value) > 0 {
		t.newest[key] = len(t.records)
	} else {
		delete(t.newest, key)
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

func splitRecord(record []byte) (key string, value []byte) {
	end := 1 + int(record[0])
	return string(record[1:end]), record[end:]
}

// maxItems is the largest number of items in a page.
const maxItems = 500

func (s *store) serveNewest(w http.ResponseWriter, req *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		End     int    `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(req.URL.Query().Get("topic"))
	page.End = len(t.records)
	var keys []string
	for key := range t.newest {
		if key > req.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page.HasMore = len(keys) > maxItems
	for _, key := range keys[:min(len(keys), maxItems)] {
		_, value := splitRecord(t.records[t.newest[key]])
		page.Items = append(page.Items, item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: t.newest[key]})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

func (s *store) serveRead(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		changed := t.changed
		out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for n := from; n < len(t.records); n++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[n])))
			out = append(out, t.records[n]...)
		}
		found := from < len(t.records)
		s.mu.Unlock()
		if found || !waiting {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, req *http.Request) {
	name := req.URL.Query().Get("topic")
	if name == wire.PlanTopic || name == wire.ServerTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := len(t.records)
	for len(data) >= 4 {
		size := int(binary.BigEndian.Uint32(data))
		if size < 1 || size > len(data)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		t.append(slices.Clone(data[4 : 4+size]))
		data = data[4+size:]
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, len(t.records))
}
