package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// BackendMode is how a Backend handles requests.
type BackendMode string

// The modes of a Backend. All but the first are faults, which apply to a share
// of the requests.
const (
	BackendHealthy BackendMode = "well"
	// BackendErrors runs the request and answers with status 500 at once.
	BackendErrors BackendMode = "errors"
	// BackendResets runs the request and resets the connection.
	BackendResets BackendMode = "resets"
	// BackendHangs runs the request but answers only when its deadline has
	// passed, with status 504.
	BackendHangs BackendMode = "hangs"
	// BackendSheds answers with status 503 that the request did not run.
	BackendSheds BackendMode = "sheds"
	// BackendWrongRequestID answers with the ID of another request.
	BackendWrongRequestID BackendMode = "foreign"
	// BackendTruncates sends a body that is shorter than its Content-Length.
	BackendTruncates BackendMode = "cuts"
	// BackendUnsigned answers with success but without the server's signature.
	BackendUnsigned BackendMode = "unsigned"
	// BackendEndlessHead runs the request and sends headers until the connection is
	// closed.
	BackendEndlessHead BackendMode = "endless-head"
	// BackendEndlessBody runs the request and sends a body without a length until
	// the connection is closed.
	BackendEndlessBody BackendMode = "endless-body"
)

// Backend is a stand-in for a server that registers itself in a KeyedStore and
// speaks the protocol of the users' platform.
type Backend struct {
	ID, Service, Zone string
	// ServiceTime is how long one request takes.
	ServiceTime time.Duration

	store  *KeyedStore
	runs   *RunCounter
	slots  chan struct{}
	ln     net.Listener
	server *http.Server

	// entries counts the entries written.
	entries atomic.Int64

	mu    sync.Mutex
	mode  BackendMode
	share float64
	// leaving is set if responses say that the server leaves.
	leaving bool
	// retryAfter is the Retry-After of responses in mode BackendSheds, if it is not 0.
	retryAfter time.Duration
	// crashOn is the path of requests that crash the server, or empty.
	crashOn      string
	crashed      bool
	received     int
	sheds        int
	lastReceived time.Time
}

// RunCounter counts how often each request ran, on all servers together, and keeps the
// client account with which it last ran.
type RunCounter struct {
	mu       sync.Mutex
	byID     map[string]int
	accounts map[string]string
	// keys counts the runs of requests that carried a client's key.
	keys int
}

// Count returns how often the request with the given ID ran.
func (r *RunCounter) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// Account returns the client account with which the request with the given ID last
// ran, or "".
func (r *RunCounter) Account(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accounts[id]
}

// Keys returns how many requests ran that carried a client's key.
func (r *RunCounter) Keys() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys
}

func (r *RunCounter) add(id string, header http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]int)
		r.accounts = make(map[string]string)
	}
	r.byID[id]++
	r.accounts[id] = header.Get("X-Tenant")
	if header.Get("X-Api-Key") != "" {
		r.keys++
	}
}

// backendSlots is the number of requests that a Backend runs at once.
const backendSlots = 6

// StartBackend starts a server that listens on address, an IP:port, and
// registers it in the store as ready.
func StartBackend(store *KeyedStore, runs *RunCounter, id, service, zone, address string, serviceTime time.Duration) (*Backend, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{
		ID: id, Service: service, Zone: zone, ServiceTime: serviceTime,
		store: store, runs: runs, slots: make(chan struct{}, backendSlots), ln: ln, mode: BackendHealthy,
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(ln) }() // Serve returns after Stop.
	b.Register("ready")
	return b, nil
}

// Address returns the IP:port of the server.
func (b *Backend) Address() string { return b.ln.Addr().String() }

// Register writes the server's entry, with the given state, to the store.
func (b *Backend) Register(state string) {
	entry, err := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address(), "zone": b.Zone, "version": "v1",
		"capacity": backendSlots, "state": state, "warmup_left_s": 0, "seq": b.entries.Add(1), "born": 1,
	})
	if err != nil {
		panic(fmt.Sprintf("emulator: cannot marshal a server entry: %v", err))
	}
	b.store.Put("keyed.servers", b.ID, entry)
}

// Unregister removes the server's entry from the store. The server keeps running.
func (b *Backend) Unregister() { b.store.Put("keyed.servers", b.ID, nil) }

// Stop stops the server at once and closes its connections.
func (b *Backend) Stop() { _ = b.server.Close() }

// SetFault sets the mode in which the server handles a share of the requests,
// from 0 to 1. It handles the others in mode BackendHealthy.
func (b *Backend) SetFault(mode BackendMode, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode, b.share = mode, share
}

// SayLeaving makes the server say in its responses that it leaves. Its entry in the
// store does not change.
func (b *Backend) SayLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// Received returns the number of requests that the server received, and when it
// received the last one.
func (b *Backend) Received() (int, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received, b.lastReceived
}

// receive counts a request and returns the mode in which to handle it.
func (b *Backend) receive() BackendMode {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received++
	b.lastReceived = time.Now()
	if rand.Float64() < b.share {
		return b.mode
	}
	return BackendHealthy
}

// Sheds returns the number of requests that the server has turned away.
func (b *Backend) Sheds() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sheds
}

// SetRetryAfter sets the time for which the server wants no more requests from an
// instance that it answers in mode BackendSheds.
func (b *Backend) SetRetryAfter(retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryAfter = retryAfter
}

// CrashOn makes the server end, without an answer, when it begins to run a request
// with the given path.
func (b *Backend) CrashOn(path string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashOn = path
}

// Crashed reports whether a request has crashed the server.
func (b *Backend) Crashed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashed
}

// crashesOn reports whether a request crashes the server.
func (b *Backend) crashesOn(path string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashOn == "" || path != b.crashOn {
		return false
	}
	b.crashed = true
	return true
}

func (b *Backend) saysLeaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// ServeHTTP answers one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", b.ID)
	if b.saysLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != b.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	mode := b.receive()
	if mode == BackendSheds {
		b.shed(w)
		return
	}
	expired := time.After(time.Duration(deadline) * time.Millisecond)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-expired:
		b.shed(w)
		return
	case <-req.Context().Done():
		return
	}
	b.runs.add(id, req.Header)
	if b.crashesOn(req.URL.Path) {
		b.Stop()
		return
	}
	if mode == BackendErrors {
		w.Header().Set("X-Server-Signature", "sig")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	done := time.After(b.ServiceTime)
	if mode == BackendHangs {
		done = nil
	}
	select {
	case <-done:
	case <-expired:
		w.Header().Set("X-Server-Signature", "sig")
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-req.Context().Done():
		return
	}
	b.writeAnswer(w, req, mode)
}

func (b *Backend) shed(w http.ResponseWriter) {
	b.mu.Lock()
	b.sheds++
	if b.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(b.retryAfter.Seconds(), 'f', -1, 64))
	}
	b.mu.Unlock()
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (b *Backend) writeAnswer(w http.ResponseWriter, req *http.Request, mode BackendMode) {
	body := "answer to " + req.Header.Get("X-Request-Id")
	w.Header().Set("X-Server-Signature", "sig")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch mode {
	case BackendEndlessHead, BackendEndlessBody:
		sendEndlessly(w, req.Header.Get("X-Request-Id"), mode)
		return
	case BackendResets:
		resetConnection(w)
		return
	case BackendWrongRequestID:
		w.Header().Set("X-Request-Id", "another")
	case BackendUnsigned:
		w.Header().Del("X-Server-Signature")
	case BackendTruncates:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+9))
	}
	_, _ = w.Write([]byte(body)) // A write error means that the client has gone.
}

// An endless response repeats endlessLine, in pieces of about endlessPieceBytes. Small
// pieces would cost more processor time than all that is tested.
const (
	endlessLine       = "X-Many: 1\r\n"
	endlessPieceBytes = 64 << 10
)

// sendEndlessly sends a response that never ends, in the given mode, until the
// connection is closed.
func sendEndlessly(w http.ResponseWriter, id string, mode BackendMode) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	piece := []byte(strings.Repeat(endlessLine, endlessPieceBytes/len(endlessLine)))
	start := "HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\nX-Request-Id: " + id + "\r\n"
	if mode == BackendEndlessBody {
		start += "\r\n"
	}
	_, err = io.WriteString(conn, start)
	for err == nil {
		_, err = conn.Write(piece)
	}
}
