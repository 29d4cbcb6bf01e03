package emulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// BackendMode is how a registered server treats its work.
type BackendMode string

// The modes.
const (
	BackendWell BackendMode = "well"
	// BackendErrors fails a share of the work at once.
	BackendErrors BackendMode = "errors"
	// BackendResets runs the work and breaks the connection.
	BackendResets BackendMode = "resets"
	// BackendHangs takes requests and never answers.
	BackendHangs BackendMode = "hangs"
	// BackendSheds says of a share that it did not run.
	BackendSheds BackendMode = "sheds"
	// BackendForeign answers with the id of another request.
	BackendForeign BackendMode = "foreign"
	// BackendCuts sends less than it promised.
	BackendCuts BackendMode = "cuts"
	// BackendUnsigned answers well without its signature.
	BackendUnsigned BackendMode = "unsigned"
)

// Backend is a stand-in for a server that registers itself in a KeyedStore and
// speaks the users' platform's protocol.
type Backend struct {
	ID, Service, Zone string
	// Work is how long one request takes.
	Work time.Duration

	store  *KeyedStore
	runs   *Runs
	slots  chan struct{}
	ln     net.Listener
	server *http.Server

	mu    sync.Mutex
	mode  BackendMode
	share float64
	seen  int
	last  time.Time
}

// Runs counts how often each request ran, over all servers.
type Runs struct {
	mu   sync.Mutex
	byID map[string]int
}

// Of returns how often the request with the id ran.
func (r *Runs) Of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

func (r *Runs) note(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]int)
	}
	r.byID[id]++
}

// backendSlots is how many requests a server runs at once.
const backendSlots = 6

// StartBackend starts a server on an IP:port and registers it.
func StartBackend(store *KeyedStore, runs *Runs, id, service, zone, address string, work time.Duration) (*Backend, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{
		ID: id, Service: service, Zone: zone, Work: work,
		store: store, runs: runs, slots: make(chan struct{}, backendSlots), ln: ln, mode: BackendWell,
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(ln) }() // It ends with Stop.
	b.Register("ready")
	return b, nil
}

// Address returns the IP:port of the server.
func (b *Backend) Address() string { return b.ln.Addr().String() }

// Register writes the server's entry with the given state.
func (b *Backend) Register(state string) {
	entry, err := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address(), "zone": b.Zone, "version": "v1",
		"capacity": backendSlots, "state": state, "warmup_left_s": 0, "seq": 1, "born": 1,
	})
	if err != nil {
		panic(fmt.Sprintf("emulator: an entry of strings and numbers does not marshal: %v", err))
	}
	b.store.Put("keyed.servers", b.ID, entry)
}

// Unregister removes the entry; the server works on.
func (b *Backend) Unregister() { b.store.Put("keyed.servers", b.ID, nil) }

// Stop ends the server at once.
func (b *Backend) Stop() { _ = b.server.Close() }

// Fail sets what befalls a share of the work from now on.
func (b *Backend) Fail(mode BackendMode, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode, b.share = mode, share
}

// Seen returns how many requests reached the server, and when the last did.
func (b *Backend) Seen() (int, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen, b.last
}

// draw notes a request and returns what befalls it.
func (b *Backend) draw() BackendMode {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen++
	b.last = time.Now()
	if rand.Float64() < b.share {
		return b.mode
	}
	return BackendWell
}

// ServeHTTP answers one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", b.ID)
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != b.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	mode := b.draw()
	if mode == BackendSheds {
		b.shed(w)
		return
	}
	timeout := time.After(time.Duration(deadline) * time.Millisecond)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-timeout:
		b.shed(w)
		return
	case <-req.Context().Done():
		return
	}
	b.runs.note(id)
	if mode == BackendErrors {
		w.Header().Set("X-Server-Signature", "sig")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	work := time.After(b.Work)
	if mode == BackendHangs {
		work = nil
	}
	select {
	case <-work:
	case <-timeout:
		w.Header().Set("X-Server-Signature", "sig")
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-req.Context().Done():
		return
	}
	b.reply(w, req, mode)
}

func (b *Backend) shed(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (b *Backend) reply(w http.ResponseWriter, req *http.Request, mode BackendMode) {
	body := "answer to " + req.Header.Get("X-Request-Id")
	w.Header().Set("X-Server-Signature", "sig")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch mode {
	case BackendResets:
		reset(w)
		return
	case BackendForeign:
		w.Header().Set("X-Request-Id", "another")
	case BackendUnsigned:
		w.Header().Del("X-Server-Signature")
	case BackendCuts:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+9))
	}
	_, _ = w.Write([]byte(body)) // A client that is gone needs no answer.
}
