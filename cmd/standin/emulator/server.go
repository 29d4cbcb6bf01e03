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

// ServerMode is how a stand-in server treats real work.
type ServerMode string

// The modes. All but the first are gray: the health endpoint answers well.
const (
	ModeHealthy  ServerMode = "healthy"
	ModeErrors   ServerMode = "errors"
	ModeStall    ServerMode = "stall"
	ModeTruncate ServerMode = "truncate"
	ModeFlap     ServerMode = "flap"
	// ModeMute runs the work and loses the answer: one-way loss.
	ModeMute ServerMode = "mute"
)

// ServerFaults are what a server does wrong.
type ServerFaults struct {
	Mode ServerMode
	// Share of the requests that the mode befalls, from 0 to 1; 0 stands for 1.
	Share float64
	// CrashOn makes the server crash when it gets a request whose path holds
	// this text. Empty switches it off.
	CrashOn string
}

// Timing of stand-in servers.
const (
	stallFactor    = 20
	flapPeriod     = 500 * time.Millisecond
	healthLag      = 2 * time.Second
	probeCost      = 25 * time.Millisecond
	coldPenalty    = 3
	coldFor        = 500 * time.Millisecond
	queueLimit     = 24
	downloadChunk  = 64 << 10
	downloadPrefix = "/download/"
)

// Server is a stand-in for one server of a service.
type Server struct {
	ID lagoonstile.ServerID
	// Work is how long one request takes on a warm server.
	Work time.Duration

	slots   chan struct{}
	random  *rand.Rand
	started time.Time
	ledger  *Ledger

	mu       sync.Mutex
	faults   ServerFaults
	draining bool
	drained  time.Time
	waiting  int
	listener *listener.Listener
	address  string
}

// NewServer returns a server that notes what it runs in the ledger.
func NewServer(id lagoonstile.ServerID, slots int, work time.Duration, ledger *Ledger, seed uint64) *Server {
	return &Server{
		ID:     id,
		Work:   work,
		slots:  make(chan struct{}, slots),
		random: rand.New(rand.NewPCG(seed, 0)),
		ledger: ledger,
	}
}

// Start listens on the address, or on any free port for port 0.
func (s *Server) Start(address string) error {
	limits := listener.DefaultLimits
	limits.RequestBytes = 8 << 20
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

// Stop ends the server with everything in flight, as a crash does.
func (s *Server) Stop() {
	s.mu.Lock()
	l := s.listener
	s.listener = nil
	s.mu.Unlock()
	if l != nil {
		l.Close()
	}
}

// Running reports whether the server listens.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Drain makes the server refuse new work, finish what it has, and say so.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.drained = time.Now()
}

// ServeHTTP serves /health, /download/BYTES and any other path as work.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		s.serveHealth(w, req)
		return
	}
	faults, draining, crash := s.admit(req)
	if crash {
		s.ledger.note(s.ID, req)
		go s.Stop()
		<-req.Context().Done()
		return
	}
	if draining {
		s.ledger.refuse(s.ID, true)
		shed(w, lagoonstile.ShedDraining)
		return
	}
	if !s.takeSlot(req) {
		s.ledger.refuse(s.ID, false)
		shed(w, lagoonstile.ShedOverloaded)
		return
	}
	defer func() { <-s.slots }()
	s.work(w, req, faults)
}

// admit decides under the lock what befalls the request.
func (s *Server) admit(req *http.Request) (faults ServerFaults, draining, crash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults = s.faults
	crash = faults.CrashOn != "" && strings.Contains(req.URL.Path, faults.CrashOn)
	if faults.Mode == ModeFlap {
		faults.Mode = ModeHealthy
		if time.Since(s.started)/flapPeriod%2 == 1 {
			faults.Mode = ModeErrors
		}
	}
	if faults.Share > 0 && s.random.Float64() >= faults.Share {
		faults.Mode = ModeHealthy
	}
	return faults, s.draining, crash
}

// takeSlot waits for a slot and reports false when too many wait already or
// the caller is gone.
func (s *Server) takeSlot(req *http.Request) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.waiting >= queueLimit
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-req.Context().Done():
		return false
	}
}

func (s *Server) work(w http.ResponseWriter, req *http.Request, faults ServerFaults) {
	duration := s.Work
	if time.Since(s.started) < coldFor {
		duration *= coldPenalty
	}
	if faults.Mode == ModeStall {
		duration *= stallFactor
	}
	if faults.Mode == ModeErrors {
		s.ledger.note(s.ID, req)
		http.Error(w, "server fault", http.StatusInternalServerError)
		return
	}
	pause(req, duration)
	if req.Context().Err() != nil {
		s.ledger.cancel(s.ID)
		return
	}
	s.ledger.note(s.ID, req)
	if faults.Mode == ModeMute {
		<-req.Context().Done()
		return
	}
	if strings.HasPrefix(req.URL.Path, downloadPrefix) {
		s.download(w, req, faults)
		return
	}
	body := fmt.Sprintf("%s %s by %s\n", req.Method, req.URL.RequestURI(), s.ID)
	writeBody(w, []byte(body), faults.Mode == ModeTruncate)
}

// download sends as many bytes as the path names, a pattern that depends on
// nothing but their position.
func (s *Server) download(w http.ResponseWriter, req *http.Request, faults ServerFaults) {
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
		Pattern(chunk[:n], at)
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		at += n
	}
	if end < size {
		listener.Abort(w)
	}
}

// Pattern fills b with the bytes that a download has from position at on.
func Pattern(b []byte, at int64) {
	for i := range b {
		position := at + int64(i)
		b[i] = byte(position ^ position>>8 ^ position>>16)
	}
}

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

// shed answers in the platform's way that the request was not run.
func shed(w http.ResponseWriter, reason string) {
	w.Header().Set(lagoonstile.HeaderShed, reason)
	http.Error(w, "not run: "+reason, http.StatusServiceUnavailable)
}

// serveHealth answers well unless the server has been draining for longer than
// the endpoint lags.
func (s *Server) serveHealth(w http.ResponseWriter, req *http.Request) {
	pause(req, probeCost)
	s.mu.Lock()
	draining := s.draining && time.Since(s.drained) > healthLag
	s.mu.Unlock()
	if draining {
		shed(w, lagoonstile.ShedDraining)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
