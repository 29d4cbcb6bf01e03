package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: keyed topics with one partition each.
type store struct {
	ln net.Listener

	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records [][]byte
	newest  map[string]entry
	// appended is closed and replaced at each append.
	appended chan struct{}
}

type entry struct {
	value  []byte
	offset int
}

// startStore starts a store on a free port of the address.
func startStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, topics: make(map[string]*topic)}
	go func() { _ = http.Serve(ln, s) }() //nolint:gosec // A stand-in needs no time limits.
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

// topic returns a topic. The caller must hold s.mu.
func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: make(map[string]entry), appended: make(chan struct{})}
	}
	return s.topics[name]
}

// put writes a record as the operator or a server does. An empty value removes the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// append adds a record. The caller must hold s.mu.
func (s *store) append(name string, record []byte) {
	t := s.topic(name)
	key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = entry{value, len(t.records)}
	}
	t.records = append(t.records, record)
	close(t.appended)
	t.appended = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(4 * time.Millisecond) // The time that the pages give for an answer.
	switch req.URL.Path {
	case names.PathAppend:
		s.serveAppend(w, req)
	case names.PathRead:
		s.serveRead(w, req)
	case names.PathNewest:
		s.serveNewest(w, req)
	default:
		http.NotFound(w, req)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := req.URL.Query().Get("topic")
	offset := len(s.topic(name).records)
	for len(data) > 4 {
		size := int(binary.BigEndian.Uint32(data))
		s.append(name, data[4:4+size])
		data = data[4+size:]
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, len(s.topic(name).records))
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
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		appended, end := t.appended, len(t.records)
		var out []byte
		if from < end {
			for _, record := range t.records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
				out = append(out, record...)
			}
		}
		s.mu.Unlock()
		if len(out) > 0 || !waiting {
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			_, _ = w.Write(append(binary.BigEndian.AppendUint64(head, 0), out...))
			return
		}
		select {
		case <-appended:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, req *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	var page struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		End     int    `json:"end"`
	}
	page.Items = []item{}
	s.mu.Lock()
	t := s.topic(req.URL.Query().Get("topic"))
	page.End = len(t.records)
	for key, value := range t.newest {
		if key > req.URL.Query().Get("after") {
			page.Items = append(page.Items, item{key, value.value, value.offset})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > 500 {
		page.Items, page.HasMore = page.Items[:500], true
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}
