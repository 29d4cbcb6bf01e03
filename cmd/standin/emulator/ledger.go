package emulator

import (
	"net/http"
	"sync"
	"time"

	"lagoonstile"
)

// Ledger notes what the stand-in servers ran. It is the oracle of every check
// on orders: it sees each run, whatever became of the answer.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	byServer map[lagoonstile.ServerID]*ServerRuns
}

// ServerRuns counts what one server did.
type ServerRuns struct {
	// Runs counts requests that ran, Refused those that were shed, Cancelled
	// those whose caller went away.
	Runs, Refused, Cancelled int
	// FirstRefused is when the first request came that was refused because the
	// server is leaving: from then on its sender could know.
	FirstRefused time.Time
	// Late counts the requests that came more than LeavingLimit after that.
	Late int
}

// LeavingLimit is how long after the first instance could know that a server
// is leaving the others may still send it work.
const LeavingLimit = 2 * time.Second

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]int), byServer: make(map[lagoonstile.ServerID]*ServerRuns)}
}

// Runs returns how often the request with the key ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// Doubled returns how many keys ran more than once.
func (l *Ledger) Doubled() int {
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

// Server returns what one server did.
func (l *Ledger) Server(id lagoonstile.ServerID) ServerRuns {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *l.server(id)
}

func (l *Ledger) note(id lagoonstile.ServerID, req *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key := req.Header.Get(lagoonstile.HeaderKey); key != "" {
		l.runs[key]++
	}
	l.server(id).Runs++
}

func (l *Ledger) refuse(id lagoonstile.ServerID, draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	server := l.server(id)
	server.Refused++
	switch {
	case !draining:
	case server.FirstRefused.IsZero():
		server.FirstRefused = time.Now()
	case time.Since(server.FirstRefused) > LeavingLimit:
		server.Late++
	}
}

func (l *Ledger) cancel(id lagoonstile.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(id).Cancelled++
}

// server needs the lock.
func (l *Ledger) server(id lagoonstile.ServerID) *ServerRuns {
	if l.byServer[id] == nil {
		l.byServer[id] = &ServerRuns{}
	}
	return l.byServer[id]
}
