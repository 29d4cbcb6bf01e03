package emulator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFaults are the faults of a KeyedStore. The zero value is a healthy store.
type StoreFaults struct {
	// RejectMode is how the store rejects calls: "busy" answers 503, "limit"
	// answers 429, "reset" resets the connection and "silent" never answers. If
	// it is empty, the store accepts calls.
	RejectMode string
	// RejectedClients lists the IP addresses of the clients whose calls are
	// rejected. If it is empty, RejectMode applies to all clients.
	RejectedClients []string
	// Delay is added to the time of every call that is not rejected.
	Delay time.Duration
	// LoseAnswers makes the store execute calls and then reset their connections
	// instead of answering.
	LoseAnswers bool
	// WithholdAnswers makes the store execute calls and leave their connections
	// open without an answer. It also applies to reads that are already waiting
	// when it is set.
	WithholdAnswers bool
}

// KeyedStore is a stand-in for the store of the users' platform, which holds topics
// of keyed records with offsets. It keeps the newest record of each key even when
// the history of the topic is deleted.
type KeyedStore struct {
	// OnAppend returns what is stored in place of the value of a record that an
	// instance appends. It may be nil, and must be set before the first append.
	OnAppend func(topic, key string, value []byte) []byte

	mu     sync.Mutex
	topics map[string]*keyedTopic
	// era is the number of times that the store has come back from a copy. It is not
	// sent while it is 0.
	era    int
	faults StoreFaults
	// faultsSet is closed and replaced when the faults are replaced.
	faultsSet chan struct{}
	calls     int
	server    *http.Server
	ln        net.Listener
}

// keyedTopic is a topic. It has a single partition.
type keyedTopic struct {
	// records holds the history of the topic. A record is the length of its key
	// in one byte, the key, and the value.
	records [][]byte
	// first is the offset of records[0].
	first int
	// newest holds the newest value of each key that has not been removed.
	newest map[string]keyedValue
	// appended is closed and replaced at every append.
	appended chan struct{}
}

type keyedValue struct {
	value  []byte
	offset int
}

// StartKeyedStore starts a store that listens on address, an IP:port.
func StartKeyedStore(address string) (*KeyedStore, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &KeyedStore{topics: make(map[string]*keyedTopic), faultsSet: make(chan struct{}), ln: ln}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(ln) }() // Serve returns after Stop.
	return s, nil
}

// Address returns the IP:port of the store.
func (s *KeyedStore) Address() string { return s.ln.Addr().String() }

// Stop stops the store and closes its connections.
func (s *KeyedStore) Stop() { _ = s.server.Close() }

// SetFaults replaces the faults of the store. Reads that wait are rejected like later
// calls.
func (s *KeyedStore) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsSet)
	s.faultsSet = make(chan struct{})
}

// rejectMode returns how the store rejects the calls of a client, or "" if it serves
// them.
func (s *KeyedStore) rejectMode(req *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, _, _ := net.SplitHostPort(req.RemoteAddr)
	if len(s.faults.RejectedClients) == 0 || slices.Contains(s.faults.RejectedClients, host) {
		return s.faults.RejectMode
	}
	return ""
}

// Calls returns the number of calls that the store received.
func (s *KeyedStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends a record with the given key and value. An empty value removes the
// key.
func (s *KeyedStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.append(s.topic(topic), append(record, value...))
}

// StoreCopy is the content that a KeyedStore had at some time.
type StoreCopy struct{ topics map[string]*keyedTopic }

// Copy returns a copy of the content of the store.
func (s *KeyedStore) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := StoreCopy{topics: make(map[string]*keyedTopic, len(s.topics))}
	for name, t := range s.topics {
		copied.topics[name] = t.clone()
	}
	return copied
}

// clone returns a copy of a topic that nothing waits for.
func (t *keyedTopic) clone() *keyedTopic {
	return &keyedTopic{records: slices.Clone(t.records), first: t.first, newest: maps.Clone(t.newest), appended: make(chan struct{})}
}

// ReturnTo brings back the content of a copy and starts a new era. What was written
// after the copy is lost, and its offsets are given out again.
func (s *KeyedStore) ReturnTo(copied StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	previous := s.topics
	s.topics = make(map[string]*keyedTopic, len(copied.topics))
	for name, t := range copied.topics {
		s.topics[name] = t.clone()
	}
	for _, t := range previous {
		close(t.appended) // Reads that wait look at the new content.
	}
}

// tellEra sets the header that tells the era. The caller holds s.mu.
func (s *KeyedStore) tellEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set(headerEra, strconv.Itoa(s.era))
	}
}

// Compact deletes the history of a topic. The newest value of each key stays.
func (s *KeyedStore) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first += len(t.records)
	t.records = nil
}

// Newest returns the newest value of a key, or nil if the key does not exist.
func (s *KeyedStore) Newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topic).newest[key].value
}

// topic returns the topic with the given name and creates it if needed. The
// caller holds s.mu.
func (s *KeyedStore) topic(name string) *keyedTopic {
	if s.topics[name] == nil {
		s.topics[name] = &keyedTopic{newest: make(map[string]keyedValue), appended: make(chan struct{})}
	}
	return s.topics[name]
}

// append adds a record to a topic and wakes the reads that wait for one. The
// caller holds s.mu.
func (s *KeyedStore) append(t *keyedTopic, record []byte) {
	offset := t.first + len(t.records)
	t.records = append(t.records, record)
	key := string(record[1 : 1+int(record[0])])
	value := record[1+int(record[0]):]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = keyedValue{value: value, offset: offset}
	}
	close(t.appended)
	t.appended = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *KeyedStore) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.tellEra(w)
	s.mu.Unlock()
	if mode := s.rejectMode(req); mode != "" {
		reject(w, req, mode)
		return
	}
	time.Sleep(faults.Delay)
	if faults.LoseAnswers {
		s.answer(discardWriter{}, req)
		resetConnection(w)
		return
	}
	answer := httptest.NewRecorder()
	s.answer(answer, req)
	if mode := s.rejectMode(req); mode != "" && strings.HasSuffix(req.URL.Path, pathRead) {
		reject(w, req, mode)
		return
	}
	s.mu.Lock()
	withhold := s.faults.WithholdAnswers
	s.mu.Unlock()
	if withhold {
		<-req.Context().Done()
		return
	}
	if era := answer.Header().Get(headerEra); era != "" {
		w.Header().Set(headerEra, era)
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // A write error means that the client has gone.
}

func (s *KeyedStore) answer(w http.ResponseWriter, req *http.Request) {
	switch {
	case strings.HasSuffix(req.URL.Path, "/log-newest"):
		s.serveNewest(w, req)
	case strings.HasSuffix(req.URL.Path, pathRead):
		s.serveRead(w, req)
	case strings.HasSuffix(req.URL.Path, "/log-append"):
		s.serveAppend(w, req)
	default:
		http.NotFound(w, req)
	}
}

// pathRead is the end of the path of reads.
const pathRead = "/log-read"

// headerEra is the header that tells the era of the store.
const headerEra = "Store-Era"

// discardWriter is an http.ResponseWriter that discards the answer.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

// reject rejects a call as StoreFaults.RejectMode describes.
func reject(w http.ResponseWriter, req *http.Request, mode string) {
	switch mode {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "limit":
		w.WriteHeader(http.StatusTooManyRequests)
	case "reset":
		resetConnection(w)
	default:
		<-req.Context().Done()
	}
}

// resetConnection closes the connection of a request with a TCP reset. It does
// nothing if the connection cannot be hijacked.
func resetConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serveNewest answers with a page of the newest values of a topic, ordered by key,
// starting after the key that the query parameter "after" gives.
func (s *KeyedStore) serveNewest(w http.ResponseWriter, req *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	// pageItems is small so that answers take several pages in tests.
	const pageItems = 7
	var page struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		End     int    `json:"end"`
	}
	s.mu.Lock()
	s.tellEra(w)
	t := s.topic(req.URL.Query().Get("topic"))
	page.End = t.first + len(t.records)
	for key, value := range t.newest {
		if key > req.URL.Query().Get("after") {
			page.Items = append(page.Items, item{key, value.value, value.offset})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > pageItems {
		page.Items, page.HasMore = page.Items[:pageItems], true
	}
	_ = json.NewEncoder(w).Encode(page)
}

// serveRead answers with the end and the first offset of a topic, in 8 bytes
// each, big-endian, and with its records from the requested offset on. If there
// are none, it waits for an append for up to wait_ms milliseconds. If the
// requested offset is older than the history or after its end, it answers 410.
func (s *KeyedStore) serveRead(w http.ResponseWriter, req *http.Request) {
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
		s.tellEra(w)
		t := s.topic(query.Get("topic"))
		faultsSet := s.faultsSet
		end, appended, first := t.first+len(t.records), t.appended, t.first
		var out []byte
		if from >= first && from < end {
			out = encodeRecords(t.records[from-first:])
		}
		s.mu.Unlock()
		if from < first || from > end {
			w.WriteHeader(http.StatusGone)
			_, _ = fmt.Fprintf(w, `{"first":%d}`, first)
			return
		}
		done := out != nil
		if !done {
			select {
			case <-appended:
			case <-faultsSet:
				done = s.rejectMode(req) != ""
			case <-timeout:
				done = true
			case <-req.Context().Done():
				return
			}
		}
		if done {
			header := binary.BigEndian.AppendUint64(nil, uint64(end))
			header = binary.BigEndian.AppendUint64(header, uint64(first))
			_, _ = w.Write(append(header, out...))
			return
		}
	}
}

// encodeRecords returns the records, each preceded by its length in 4 bytes,
// big-endian.
func encodeRecords(records [][]byte) []byte {
	var out []byte
	for _, record := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out
}

// onAppend returns a record as it is to be stored.
func (s *KeyedStore) onAppend(topic string, record []byte) []byte {
	if s.OnAppend == nil {
		return record
	}
	keyEnd := 1 + int(record[0])
	value := s.OnAppend(topic, string(record[1:keyEnd]), record[keyEnd:])
	return append(slices.Clone(record[:keyEnd]), value...)
}

// serveAppend appends the records in the body, which are encoded as by
// encodeRecords. It answers with the offset of the first record and the new end of
// the topic.
func (s *KeyedStore) serveAppend(w http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tellEra(w)
	t := s.topic(req.URL.Query().Get("topic"))
	offset := t.first + len(t.records)
	for len(data) > 4 {
		size := int(binary.BigEndian.Uint32(data))
		s.append(t, s.onAppend(req.URL.Query().Get("topic"), data[4:4+size]))
		data = data[4+size:]
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, t.first+len(t.records))
}
