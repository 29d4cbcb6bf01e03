package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/listener"
)

// ServerMode is how a Server handles requests other than health checks.
type ServerMode string

// The modes of a Server. All but the first are gray failures: the health endpoint
// reports a healthy server.
const (
	ModeHealthy ServerMode = "healthy"
	// ModeErrors runs the request and answers with status 500 at once.
	ModeErrors ServerMode = "errors"
	// ModeStall multiplies the service time by stallFactor.
	ModeStall ServerMode = "stall"
	// ModeTruncate sends half of the body and aborts the connection.
	ModeTruncate ServerMode = "truncate"
	// ModeFlap alternates between ModeHealthy and ModeErrors.
	ModeFlap ServerMode = "flap"
	// ModeNoAnswer runs the request and never answers, as if packets to the caller
	// were lost.
	ModeNoAnswer ServerMode = "mute"
)

// ServerFaults are the faults of a Server.
type ServerFaults struct {
	Mode ServerMode
	// Share is the share of the requests to which the mode applies, from 0 to 1.
	// 0 has the same effect as 1.
	Share float64
	// CrashOn makes the server crash when it receives a request whose path
	// contains this text. If it is empty, no request crashes the server.
	CrashOn string
}

// Timing and limits of a Server.
const (
	// stallFactor multiplies the service time in ModeStall.
	stallFactor = 20
	// flapInterval is the time between two switches of ModeFlap.
	flapInterval = 500 * time.Millisecond
	// healthDelay is the time from the start of draining until the health endpoint
	// reports it.
	healthDelay = 2 * time.Second
	// healthCheckTime is how long the health endpoint takes to answer.
	healthCheckTime = 25 * time.Millisecond
	// coldStartFactor multiplies the service time during coldStartDuration after
	// the start.
	coldStartFactor   = 3
	coldStartDuration = 500 * time.Millisecond
	// queueLimit is the maximum number of requests that wait for a slot.
	queueLimit = 24
	// downloadChunk is the size in bytes of one write of a download.
	downloadChunk  = 64 << 10
	downloadPrefix = "/download/"
)

// Server is a stand-in for one server of a service.
type Server struct {
	ID lagoonstile.ServerID
	// ServiceTime is how long one request takes on a warm server.
	ServiceTime time.Duration

	slots   chan struct{}
	random  *rand.Rand
	started time.Time
	ledger  *Ledger

	mu         sync.Mutex
	faults     ServerFaults
	draining   bool
	drainStart time.Time
	queued     int
	listener   *listener.Listener
	address    string
}

// NewServer returns a server that is not yet started. It runs at most slots
// requests at once, each for the given service time, and records them in the
// ledger. The seed determines which requests a fault with a share below 1 applies
// to.
func NewServer(id lagoonstile.ServerID, slots int, serviceTime time.Duration, ledger *Ledger, seed uint64) *Server {
	return &Server{
		ID:          id,
		ServiceTime: serviceTime,
		slots:       make(chan struct{}, slots),
		random:      rand.New(rand.NewPCG(seed, 0)),
		ledger:      ledger,
	}
}

// Start starts the server on address, an IP:port. With port 0 it chooses a free
// port.
func (s *Server) Start(address string) error {
	limits := listener.DefaultLimits
	limits.MaxRequestBytes = 8 << 20
	l, err := listener.Listen(address, limits, s)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.ID, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	s.address = l.Address()
	s.started = time.Now()
	return nil
}

// Address returns the IP:port that the server was last started on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Stop stops the server and aborts the requests in flight, as a crash does.
func (s *Server) Stop() {
	s.mu.Lock()
	l := s.listener
	s.listener = nil
	s.mu.Unlock()
	if l != nil {
		l.Close()
	}
}

// Running reports whether the server is listening.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil
}

// SetFaults replaces the faults of the server.
func (s *Server) SetFaults(faults ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Drain makes the server shed new requests and finish those that are running. The
// health endpoint reports this only after healthDelay.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.drainStart = time.Now()
}

// ServeHTTP serves /health, /download/BYTES and any other path as a request for
// work.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		s.serveHealth(w, req)
		return
	}
	faults, draining, crash := s.classify(req)
	if crash {
		s.ledger.recordRun(s.ID, req)
		go s.Stop()
		<-req.Context().Done()
		return
	}
	if draining {
		s.ledger.recordShed(s.ID, true)
		shed(w, lagoonstile.ShedDraining)
		return
	}
	if !s.acquireSlot(req) {
		s.ledger.recordShed(s.ID, false)
		shed(w, lagoonstile.ShedOverloaded)
		return
	}
	defer func() { <-s.slots }()
	s.serveWork(w, req, faults)
}

// classify returns the faults that apply to the request, whether the server is
// draining, and whether the request crashes the server.
func (s *Server) classify(req *http.Request) (faults ServerFaults, draining, crash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults = s.faults
	crash = faults.CrashOn != "" && strings.Contains(req.URL.Path, faults.CrashOn)
	if faults.Mode == ModeFlap {
		faults.Mode = ModeHealthy
		if time.Since(s.started)/flapInterval%2 == 1 {
			faults.Mode = ModeErrors
		}
	}
	if faults.Share > 0 && s.random.Float64() >= faults.Share {
		faults.Mode = ModeHealthy
	}
	return faults, s.draining, crash
}

// acquireSlot waits for a slot. It returns false if too many requests are waiting
// already or if the request is canceled.
func (s *Server) acquireSlot(req *http.Request) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.queued >= queueLimit
	if !full {
		s.queued++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-req.Context().Done():
		return false
	}
}

func (s *Server) serveWork(w http.ResponseWriter, req *http.Request, faults ServerFaults) {
	duration := s.ServiceTime
	if time.Since(s.started) < coldStartDuration {
		duration *= coldStartFactor
	}
	if faults.Mode == ModeStall {
		duration *= stallFactor
	}
	if faults.Mode == ModeErrors {
		s.ledger.recordRun(s.ID, req)
		http.Error(w, "server fault", http.StatusInternalServerError)
		return
	}
	pause(req, duration)
	if req.Context().Err() != nil {
		s.ledger.recordCancel(s.ID)
		return
	}
	s.ledger.recordRun(s.ID, req)
	if faults.Mode == ModeNoAnswer {
		<-req.Context().Done()
		return
	}
	if strings.HasPrefix(req.URL.Path, downloadPrefix) {
		s.serveDownload(w, req, faults)
		return
	}
	body := fmt.Sprintf("%s %s by %s\n", req.Method, req.URL.RequestURI(), s.ID)
	writeBody(w, []byte(body), faults.Mode == ModeTruncate)
}

// serveDownload sends the number of bytes given in the path, with the content that
// FillPattern generates. It supports ranges of the form "bytes=START-".
func (s *Server) serveDownload(w http.ResponseWriter, req *http.Request, faults ServerFaults) {
	size, err := strconv.ParseInt(strings.TrimPrefix(req.URL.Path, downloadPrefix), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	start := int64(0)
	status := http.StatusOK
	w.Header().Set("ETag", `"`+strconv.FormatInt(size, 10)+`"`)
	w.Header().Set("Accept-Ranges", "bytes")
	if from, ok := strings.CutPrefix(req.Header.Get("Range"), "bytes="); ok {
		start, _ = strconv.ParseInt(strings.TrimSuffix(from, "-"), 10, 64)
		w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", start, size-1, size))
		status = http.StatusPartialContent
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size-start, 10))
	w.WriteHeader(status)
	end := size
	if faults.Mode == ModeTruncate {
		end = start + (size-start)/2
	}
	chunk := make([]byte, downloadChunk)
	for at := start; at < end; {
		n := min(int64(len(chunk)), end-at)
		FillPattern(chunk[:n], at)
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		at += n
	}
	if end < size {
		listener.Abort(w)
	}
}

// FillPattern fills b with the bytes of a download from position at on. Each byte
// depends only on its position, so that a caller can check any part.
func FillPattern(b []byte, at int64) {
	for i := range b {
		position := at + int64(i)
		b[i] = byte(position ^ position>>8 ^ position>>16)
	}
}

// writeBody sends a text answer. If truncate is set, it sends half of the body and
// aborts the connection.
func writeBody(w http.ResponseWriter, body []byte, truncate bool) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	listener.Abort(w)
}

// shed answers that the request did not run and why, as the platform's servers
// do.
func shed(w http.ResponseWriter, reason string) {
	w.Header().Set(lagoonstile.HeaderShed, reason)
	http.Error(w, "not run: "+reason, http.StatusServiceUnavailable)
}

// serveHealth reports a healthy server unless it has been draining for longer
// than healthDelay.
func (s *Server) serveHealth(w http.ResponseWriter, req *http.Request) {
	pause(req, healthCheckTime)
	s.mu.Lock()
	draining := s.draining && time.Since(s.drainStart) > healthDelay
	s.mu.Unlock()
	if draining {
		shed(w, lagoonstile.ShedDraining)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
