package emulator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFaults are what a keyed store does wrong.
type StoreFaults struct {
	// Down answers every call as the mode says: "busy" (503), "limit" (429),
	// "reset", or "silent". Empty is well.
	Down string
	// Refused lists the clients, by IP, that are turned away as Down says. While
	// it is empty, all are.
	Refused []string
	// Delay is added to every answer.
	Delay time.Duration
	// LoseAnswers executes calls and resets their connections.
	LoseAnswers bool
	// Mute executes calls and leaves their connections open without an answer,
	// those of reads that waited already included.
	Mute bool
}

// KeyedStore is a stand-in for the users' platform's store: topics of keyed
// records with offsets, of which the newest of each key stays.
type KeyedStore struct {
	mu     sync.Mutex
	topics map[string]*keyedTopic
	faults StoreFaults
	calls  int
	server *http.Server
	ln     net.Listener
}

// keyedTopic is the only partition of a topic.
type keyedTopic struct {
	records [][]byte
	// first is the offset of records[0].
	first  int
	newest map[string]keyedValue
	news   chan struct{}
}

type keyedValue struct {
	value  []byte
	offset int
}

// StartKeyedStore starts a store on an IP:port.
func StartKeyedStore(address string) (*KeyedStore, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &KeyedStore{topics: make(map[string]*keyedTopic), ln: ln}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(ln) }() // It ends with Stop.
	return s, nil
}

// Address returns the IP:port of the store.
func (s *KeyedStore) Address() string { return s.ln.Addr().String() }

// Stop ends the store.
func (s *KeyedStore) Stop() { _ = s.server.Close() }

// SetFaults replaces what the store does wrong.
func (s *KeyedStore) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Calls returns how many calls were made.
func (s *KeyedStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends the record of a key; without a value it drops the key.
func (s *KeyedStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.append(s.topic(topic), append(record, value...))
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *KeyedStore) Forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first += len(t.records)
	t.records = nil
}

// Newest returns the newest value of a key, or nil.
func (s *KeyedStore) Newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topic).newest[key].value
}

func (s *KeyedStore) topic(name string) *keyedTopic {
	if s.topics[name] == nil {
		s.topics[name] = &keyedTopic{newest: make(map[string]keyedValue), news: make(chan struct{})}
	}
	return s.topics[name]
}

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
	close(t.news)
	t.news = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *KeyedStore) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	host, _, _ := net.SplitHostPort(req.RemoteAddr)
	if faults.Down != "" && (len(faults.Refused) == 0 || slices.Contains(faults.Refused, host)) {
		turnAway(w, req, faults.Down)
		return
	}
	time.Sleep(faults.Delay)
	if faults.LoseAnswers {
		s.answer(discard{}, req)
		reset(w)
		return
	}
	answer := httptest.NewRecorder()
	s.answer(answer, req)
	s.mu.Lock()
	mute := s.faults.Mute
	s.mu.Unlock()
	if mute {
		<-req.Context().Done()
		return
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // A client that is gone needs no answer.
}

func (s *KeyedStore) answer(w http.ResponseWriter, req *http.Request) {
	switch {
	case strings.HasSuffix(req.URL.Path, "/log-newest"):
		s.serveNewest(w, req)
	case strings.HasSuffix(req.URL.Path, "/log-read"):
		s.serveRead(w, req)
	case strings.HasSuffix(req.URL.Path, "/log-append"):
		s.serveAppend(w, req)
	default:
		http.NotFound(w, req)
	}
}

// discard takes an answer that is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func turnAway(w http.ResponseWriter, req *http.Request, how string) {
	switch how {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "limit":
		w.WriteHeader(http.StatusTooManyRequests)
	case "reset":
		reset(w)
	default:
		<-req.Context().Done()
	}
}

// reset breaks the connection of an answer.
func reset(w http.ResponseWriter) {
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

func (s *KeyedStore) serveNewest(w http.ResponseWriter, req *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	// pageItems is small, so that tests see several pages.
	const pageItems = 7
	var page struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		End     int    `json:"end"`
	}
	s.mu.Lock()
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
		t := s.topic(query.Get("topic"))
		end, news, first := t.first+len(t.records), t.news, t.first
		var out []byte
		if from >= first && from < end {
			out = frame(t.records[from-first:])
		}
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			_, _ = fmt.Fprintf(w, `{"first":%d}`, first)
			return
		}
		done := out != nil
		if !done {
			select {
			case <-news:
			case <-timeout:
				done = true
			case <-req.Context().Done():
				return
			}
		}
		if done {
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			head = binary.BigEndian.AppendUint64(head, uint64(first))
			_, _ = w.Write(append(head, out...))
			return
		}
	}
}

func frame(records [][]byte) []byte {
	var out []byte
	for _, record := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out
}

func (s *KeyedStore) serveAppend(w http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(req.URL.Query().Get("topic"))
	offset := t.first + len(t.records)
	for len(data) > 4 {
		size := int(binary.BigEndian.Uint32(data))
		s.append(t, data[4:4+size])
		data = data[4+size:]
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, t.first+len(t.records))
}
