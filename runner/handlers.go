package runner

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"time"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/auditor"
	"lagoonstile/controller"
	"lagoonstile/locator"
	"lagoonstile/throttler"
)

// Paths that the instance serves itself.
const (
	PathEntry   = "/lagoonstile/entry"
	PathStatus  = "/status"
	PathMetrics = "/metrics"
	PathAudit   = "/audit"
	PathDrain   = "/drain"
)

// callerHandler returns the handler for callers. It responds to requests for
// PathEntry with an entry answer (see package locator) and forwards all others.
func (i *Instance) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == PathEntry {
			i.serveEntry(w, req)
			return
		}
		i.forwarder.ServeHTTP(w, req)
	})
}

// serveEntry responds with the addresses that the caller should use for a
// service.
func (i *Instance) serveEntry(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	service := lagoonstile.ServiceID(query.Get("service"))
	table := i.table.Load()
	switch {
	case table == nil:
		writeFailure(w, answerer.KindNotReady)
		return
	case table.Entry(service) == nil:
		writeFailure(w, answerer.KindUnknownService)
		return
	}
	callerDomain := lagoonstile.FailureDomain(query.Get("failure-domain"))
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	answer, ok := locator.Locate(i.candidates(service), callerDomain, i.settings.EntryValidity, random)
	if !ok {
		writeFailure(w, answerer.KindLeaving)
		return
	}
	writeJSON(w, answer)
}

// candidates returns this instance and its live peers as candidates for an entry
// answer.
func (i *Instance) candidates(service lagoonstile.ServiceID) []locator.Candidate {
	running, waiting := i.gate.Load()
	snapshot := i.peerSnapshot.Load()
	return append(snapshot.Candidates(service), locator.Candidate{
		Home:          i.dispatcher.Home(),
		Address:       i.CallerAddress(),
		FailureDomain: i.self.FailureDomain,
		Load:          running + waiting,
		Leaving:       i.leaving.Load() || snapshot.SelfLeaving,
	})
}

// Status is the state of an instance as reported to operators.
type Status struct {
	Instance      lagoonstile.InstanceID    `json:"instance"`
	Incarnation   lagoonstile.Incarnation   `json:"incarnation"`
	FailureDomain lagoonstile.FailureDomain `json:"failure-domain"`
	Version       lagoonstile.Version       `json:"version"`
	// CaughtUp is true once the instance has read the log up to the end that it
	// had at the start, or has adopted a peer's configuration.
	CaughtUp bool `json:"caught-up"`
	// HasGap is true if records of the log expired before the instance read them.
	HasGap       bool                       `json:"blind"`
	Leaving      bool                       `json:"leaving"`
	Running      int                        `json:"requests-running"`
	Waiting      int                        `json:"requests-waiting"`
	AuditWaiting int                        `json:"audit-waiting"`
	Peers        []PeerStatus               `json:"peers"`
	Services     []controller.ServiceStatus `json:"services"`
	// Accounts lists the client accounts that have a quota, those with the most requests
	// first.
	Accounts []throttler.Usage `json:"accounts,omitempty"`
}

// PeerStatus is the content of the last digest received from a peer.
type PeerStatus struct {
	Instance lagoonstile.InstanceID `json:"instance"`
	Version  lagoonstile.Version    `json:"version"`
	Leaving  bool                   `json:"leaving"`
	// AgeMs is the time since the digest was received, in milliseconds.
	AgeMs int64 `json:"age-ms"`
}

// adminHandler returns the handler for operators.
func (i *Instance) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.Status()) })
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		i.updateGauges()
		_, _ = i.recorder.WriteTo(w)
	})
	mux.HandleFunc("GET "+PathAudit, func(w http.ResponseWriter, _ *http.Request) {
		var events []auditor.Event
		i.control.sendAndWait(func(_ time.Time, state *controller.State) { events = state.AuditQueue().Recent() })
		writeJSON(w, events)
	})
	mux.HandleFunc("POST "+PathDrain, func(w http.ResponseWriter, _ *http.Request) {
		i.requestDrain()
		writeJSON(w, struct{}{})
	})
	return mux
}

// updateGauges sets the gauges to their current values. It runs the garbage
// collector first, so that process.live-bytes does not include garbage.
func (i *Instance) updateGauges() {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	i.recorder.SetGauge("process.live-bytes", int64(memory.HeapAlloc+memory.StackInuse))
	i.recorder.SetGauge("process.goroutines", int64(runtime.NumGoroutine()))
	i.recorder.SetGauge("callers.connections", int64(i.callerListener.Connections()))
	i.recorder.SetGauge("callers.ending", int64(i.callerListener.EndingConnections()))
	i.recorder.SetGauge("callers.shed", i.callerListener.Shed())
	setBudgetGauges(i.recorder, i.budget)
	i.recorder.SetGauge("peers.connected", int64(len(i.peers.linker.ConnectionNumbers())))
	running, waiting := i.gate.Load()
	i.recorder.SetGauge("requests.running", int64(running))
	i.recorder.SetGauge("requests.waiting", int64(waiting))
	i.recorder.SetGauge("orders.keys", int64(i.dispatcher.KeyCount()))
	i.quotas.writeMetrics(i.recorder)
	i.recorder.SetGauge("peers.sent-bytes", i.peers.linker.SentBytes())
}

// Status returns the instance's state as reported to operators.
func (i *Instance) Status() Status {
	status := Status{Instance: i.self.Instance, Incarnation: i.self.Incarnation, FailureDomain: i.self.FailureDomain}
	status.Running, status.Waiting = i.gate.Load()
	status.Accounts = i.quotas.usages()
	i.control.sendAndWait(func(now time.Time, state *controller.State) {
		status.Version = state.Version()
		status.CaughtUp = state.CaughtUp()
		status.HasGap = state.HasGap()
		status.Leaving = i.leaving.Load()
		status.AuditWaiting = state.AuditQueue().Waiting()
		status.Services = state.Services()
		for _, peer := range state.Peers(now) {
			status.Peers = append(status.Peers, PeerStatus{
				Instance: peer.Digest.Origin,
				Version:  peer.Digest.Version,
				Leaving:  peer.Digest.Leaving,
				AgeMs:    now.Sub(peer.LastHeard).Milliseconds(),
			})
		}
	})
	return status
}

func writeFailure(w http.ResponseWriter, kind answerer.Kind) {
	failure := answerer.Failure{Kind: kind}
	failure.Write(w, "")
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		writeFailure(w, answerer.KindInternal)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // An error means that the client is gone.
}

// SentBytes returns the total size of the messages sent to peers, in bytes.
func (i *Instance) SentBytes() int64 { return i.peers.linker.SentBytes() }
