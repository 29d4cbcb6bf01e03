package emulator

import (
	"net/http"
	"sync"
	"time"

	"lagoonstile"
)

// Ledger records the requests that the Servers run. Tests and the demo use it to
// check how often each order ran: a run is recorded even if its answer is lost.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	byServer map[lagoonstile.ServerID]*ServerCounts
}

// ServerCounts holds the counts of one server.
type ServerCounts struct {
	// Runs is the number of requests that ran, Shed the number that the server
	// shed, and Canceled the number that were canceled before they were done.
	Runs, Shed, Canceled int
	// FirstShedDraining is when the server first shed a request because it was
	// draining. The answer tells the sender that the server is leaving.
	FirstShedDraining time.Time
	// LateRequests is the number of requests that the server shed because it was
	// draining and that arrived more than DrainNoticeLimit after FirstShedDraining.
	LateRequests int
}

// DrainNoticeLimit is how long instances may continue to send requests to a server
// that is leaving, counted from the first request that it shed for that reason.
const DrainNoticeLimit = 2 * time.Second

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]int), byServer: make(map[lagoonstile.ServerID]*ServerCounts)}
}

// Runs returns how often the request with the given idempotency key ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// DoubledCount returns the number of idempotency keys whose request ran more than
// once.
func (l *Ledger) DoubledCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// Server returns the counts of one server.
func (l *Ledger) Server(id lagoonstile.ServerID) ServerCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *l.server(id)
}

// recordRun records that a server ran a request. Only requests with an
// idempotency key count for Runs and DoubledCount.
func (l *Ledger) recordRun(id lagoonstile.ServerID, req *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key := req.Header.Get(lagoonstile.HeaderKey); key != "" {
		l.runs[key]++
	}
	l.server(id).Runs++
}

// recordShed records that a server shed a request, either because it was draining
// or because it was overloaded.
func (l *Ledger) recordShed(id lagoonstile.ServerID, draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	server := l.server(id)
	server.Shed++
	switch {
	case !draining:
	case server.FirstShedDraining.IsZero():
		server.FirstShedDraining = time.Now()
	case time.Since(server.FirstShedDraining) > DrainNoticeLimit:
		server.LateRequests++
	}
}

func (l *Ledger) recordCancel(id lagoonstile.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(id).Canceled++
}

// server returns the counts of a server, which the caller may modify. The caller
// holds l.mu.
func (l *Ledger) server(id lagoonstile.ServerID) *ServerCounts {
	if l.byServer[id] == nil {
		l.byServer[id] = &ServerCounts{}
	}
	return l.byServer[id]
}
