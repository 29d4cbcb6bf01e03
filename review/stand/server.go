package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server of a service. It registers itself in the store.
type server struct {
	id, service, zone string
	store             *store
	runs              *runs
	ln                net.Listener
	http              *http.Server
	slots             chan struct{}
	born              int64

	mu  sync.Mutex
	seq int
	// work answers a request that runs. It is called with the request and its body.
	work  func(w http.ResponseWriter, req *http.Request, body []byte)
	state string
}

// runs records what ran on all servers.
type runs struct {
	mu   sync.Mutex
	list []run
	// onRun, if set, is called with each run.
	onRun func(run)
}

// run is one run of a request.
type run struct {
	id, server string
	at         time.Time
	bytes      int
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
	if r.onRun != nil {
		r.onRun(one)
	}
}

// all returns the runs so far.
func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// count returns how often a request ran.
func (r *runs) count(id string) int {
	n := 0
	for _, one := range r.all() {
		if one.id == id {
			n++
		}
	}
	return n
}

const serverSlots = 6

// startServer starts a server that answers with work, and registers it every 1.5 s.
func startServer(s *store, r *runs, id, service, zone, ip string, work func(http.ResponseWriter, *http.Request, []byte)) (*server, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	v := &server{
		id: id, service: service, zone: zone, store: s, runs: r, ln: ln, work: work, state: "ready",
		slots: make(chan struct{}, serverSlots), born: time.Now().UnixMilli(),
	}
	v.http = &http.Server{Handler: v} //nolint:gosec // A stand-in needs no time limits.
	go func() { _ = v.http.Serve(ln) }()
	v.register()
	go func() {
		for range time.Tick(1500 * time.Millisecond) {
			v.register()
		}
	}()
	return v, nil
}

func (v *server) register() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state == "" {
		return
	}
	v.seq++
	value, err := json.Marshal(map[string]any{
		"service": v.service, "address": v.ln.Addr().String(), "zone": v.zone, "version": "v1", "capacity": serverSlots,
		"state": v.state, "warmup_left_s": 0, "seq": v.seq, "born": v.born,
	})
	if err != nil {
		panic(err)
	}
	v.store.put(names.TopicServers, v.id, value)
}

// drain reports that the server is draining.
func (v *server) drain() {
	v.mu.Lock()
	v.state = "draining"
	v.mu.Unlock()
	v.register()
}

// ServeHTTP implements http.Handler.
func (v *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set(names.Instance, v.id)
	if req.URL.Path == healthPath {
		w.WriteHeader(http.StatusOK)
		return
	}
	id := req.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if target := req.Header.Get(names.Target); target != "" && target != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left, err := strconv.Atoi(req.Header.Get(names.Deadline))
	if err != nil {
		left = 30_000
	}
	expired := time.After(time.Duration(left) * time.Millisecond)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // The request did not arrive in full, so it does not run.
	}
	select {
	case v.slots <- struct{}{}:
		defer func() { <-v.slots }()
	case <-expired:
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-req.Context().Done():
		return
	}
	v.runs.add(run{id: id, server: v.id, at: time.Now(), bytes: len(body)})
	w.Header().Set(names.Signature, "sig."+id)
	v.mu.Lock()
	work := v.work
	v.mu.Unlock()
	work(w, req, body)
}

// crash ends the server at once. Its connections are reset, and it writes no more entries,
// so its entry goes after three intervals of silence.
func (v *server) crash() {
	v.mu.Lock()
	v.state = ""
	v.mu.Unlock()
	_ = v.http.Close()
	go func() {
		time.Sleep(4500 * time.Millisecond)
		v.store.put(names.TopicServers, v.id, nil)
	}()
}
