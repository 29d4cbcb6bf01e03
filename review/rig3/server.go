package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the servers, as those of a small deployment.
const (
	serverSlots     = 6
	serviceTime     = 300 * time.Millisecond
	heartbeat       = 1500 * time.Millisecond
	missedBeats     = 3
	restartTime     = 4 * time.Second
	serverZoneCount = 3
)

// world holds the servers, and what they have seen.
type world struct {
	store *store
	rec   *recorder
	// crashPath is the path of the request that crashes a server that begins to run it.
	crashPath string

	mu sync.Mutex
	// arrivals holds the arrivals of requests at servers, by id.
	arrivals map[string][]arrival
	crashes  []time.Time
	started  int
	servers  map[*server]bool
	stopped  bool
}

// arrival is one arrival of a request at a server.
type arrival struct {
	at     time.Time
	server string
	ran    bool
}

func newWorld(s *store, rec *recorder, crashPath string) *world {
	return &world{store: s, rec: rec, crashPath: crashPath, arrivals: make(map[string][]arrival), servers: make(map[*server]bool)}
}

// server is one incarnation of a server.
type server struct {
	world       *world
	id, service string
	zone        string
	born        int64
	ln          net.Listener
	http        *http.Server
	slots       chan struct{}
	ended       chan struct{}
	once        sync.Once
	leaving     atomic.Bool
	// reported receives a token when the server must write its entry at once.
	reported chan struct{}
	written  chan struct{}
}

// state returns the state that the server reports.
func (s *server) state() string {
	if s.leaving.Load() {
		return "draining"
	}
	return "ready"
}

// drain makes the server report that it leaves, and returns when the store has that.
func (s *server) drain() {
	s.leaving.Store(true)
	s.reported <- struct{}{}
	<-s.written
}

// anyServer returns one of the servers.
func (w *world) anyServer() *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.servers {
		return s
	}
	return nil
}

// startServer starts a server, which registers itself and sends heartbeats.
func (w *world) startServer(service string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return ln.Close()
	}
	w.started++
	s := &server{
		world: w, id: fmt.Sprintf("i-%04d", w.started), service: service, zone: fmt.Sprintf("zone-%d", w.started%serverZoneCount),
		born: time.Now().UnixMilli(), ln: ln, slots: make(chan struct{}, serverSlots), ended: make(chan struct{}),
		reported: make(chan struct{}), written: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	w.servers[s] = true
	go func() { _ = s.http.Serve(ln) }()
	go s.beat()
	return nil
}

// beat writes the entry of a server until it has ended. Some beats later the store
// removes the entry.
func (s *server) beat() {
	told := false
	for seq := 1; ; seq++ {
		entry, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.ln.Addr().String(), "zone": s.zone, "version": "v1",
			"capacity": serverSlots, "state": s.state(), "warmup_left_s": 0, "seq": seq, "born": s.born,
		})
		s.world.store.put(wire.ServerTopic, s.id, entry)
		if told {
			s.written <- struct{}{}
		}
		told = false
		select {
		case <-s.reported:
			told = true
		case <-s.ended:
			time.Sleep(missedBeats * heartbeat)
			s.world.store.put(wire.ServerTopic, s.id, nil)
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends a server at once, as does the exit of one that leaves. Another one takes its
// place after restartTime.
func (s *server) crash() {
	s.once.Do(func() {
		w := s.world
		w.mu.Lock()
		w.crashes = append(w.crashes, time.Now())
		delete(w.servers, s)
		w.mu.Unlock()
		what := "crashes"
		if s.leaving.Load() {
			what = "exits"
		}
		w.rec.printf("server %s %s", s.id, what)
		close(s.ended)
		_ = s.http.Close()
		time.AfterFunc(restartTime, func() { _ = w.startServer(s.service) })
	})
}

// stop ends all servers.
func (w *world) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for s := range w.servers {
		_ = s.http.Close()
	}
}

// note records an arrival of a request.
func (w *world) note(id string, a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals[id] = append(w.arrivals[id], a)
}

// arrivalsOf returns the arrivals of a request.
func (w *world) arrivalsOf(id string) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals[id]...)
}

// crashTimes returns when servers crashed.
func (w *world) crashTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.crashes...)
}

// ServeHTTP handles a request as PROTOCOL.md tells.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(wire.RequestID)
	if req.URL.Path == "/healthz" {
		w.Header().Set(wire.ServerID, s.id)
		return
	}
	w.Header().Set(wire.RequestID, id)
	if target := req.Header.Get(wire.Target); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	deadlineMs, err := strconv.Atoi(req.Header.Get(wire.Deadline))
	if id == "" || err != nil {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expired := time.After(time.Duration(deadlineMs) * time.Millisecond)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-expired:
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-req.Context().Done():
		return
	}
	s.world.note(id, arrival{at: time.Now(), server: s.id, ran: true})
	if s.world.crashPath != "" && req.URL.Path == s.world.crashPath {
		s.world.rec.printf("request %s (%s %s) runs at server %s", id, req.Method, req.URL.Path, s.id)
		s.crash()
		return
	}
	select {
	case <-time.After(serviceTime):
	case <-req.Context().Done():
		return
	}
	answer := fmt.Sprintf("answer to %s with %d bytes", id, len(body))
	w.Header().Set(wire.Signature, "sig-"+s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}
