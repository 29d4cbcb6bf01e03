package crowder_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoonstile/cmd/standin/emulator"
)

// Faults of the store.
var (
	storeHealthy = emulator.StoreFaults{}
	storeSilent  = emulator.StoreFaults{RejectMode: "silent"}
)

// server is the server of the service. While it is stalled, it reads requests and
// answers none.
type server struct {
	address string

	mu sync.Mutex
	// resumed is closed when the server is no longer stalled. It is nil if it is not.
	resumed chan struct{}
}

// startServer starts a server.
func startServer(t *testing.T) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: ln.Addr().String()}
	httpServer := &http.Server{Handler: s}
	go func() { _ = httpServer.Serve(ln) }() // Serve returns after Close.
	t.Cleanup(func() { _ = httpServer.Close() })
	return s
}

// register adds the server to the servers in the store.
func (s *server) register(t *testing.T, store *emulator.KeyedStore) {
	t.Helper()
	entry, err := json.Marshal(map[string]any{
		"service": "stock", "address": s.address, "zone": "zone-1", "version": "v1",
		"capacity": 64, "state": "ready", "warmup_left_s": 0, "seq": 1, "born": 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Put("keyed.servers", "stock-1", entry)
}

// stall makes the server stand still until resume is called.
func (s *server) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumed = make(chan struct{})
}

// resume ends a stall.
func (s *server) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.resumed)
	s.resumed = nil
}

// await waits until the server is not stalled, or the request has ended.
func (s *server) await(req *http.Request) {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-req.Context().Done():
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	s.await(req)
	w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Signature", "signed")
	switch {
	case strings.HasPrefix(req.URL.Path, pathDownload):
		size, _ := strconv.Atoi(req.URL.RawQuery)
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.CopyN(w, zeros{}, int64(size))
		return
	case strings.HasPrefix(req.URL.Path, pathOrder):
		time.Sleep(serverWork)
	}
	_, _ = io.WriteString(w, "ok")
}
