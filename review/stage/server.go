package main

import (
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

// brokenPart is the part of an answer that is sent before it is broken off, in percent.
const brokenPart = 96

// run is one run of a request as its server saw it.
type run struct {
	server, service, id, method, uri string
	header                           http.Header
	body                             string
	// broken is set if the server broke off its answer.
	broken bool
}

// server is a stand-in for a sound server. It runs each request for a short time and
// signs its answers.
type server struct {
	stage       *stage
	id, service string
	// number is that of the server in its service, from 1.
	number int
	born   int64
	http   *http.Server
	// losing is the share of the requests that the server runs and whose answers are lost,
	// and breaking that of those whose answers it breaks off, in a million.
	losing, breaking atomic.Int64
}

// serverEntry is what a server writes of itself to the store.
type serverEntry struct {
	Service, Address, Zone, State string
	Seq                           int
	Born                          int64
}

// startServer starts a server and registers it in the store.
func (s *stage) startServer(service string, number int) error {
	id, zone := fmt.Sprintf("i-%s-%d", service, number), zones[number%len(zones)]
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &server{stage: s, id: id, service: service, number: number, born: time.Now().UnixMilli()}
	server.http = &http.Server{Handler: server}
	go func() { _ = server.http.Serve(ln) }()
	entry, err := render("entry.json", serverEntry{Service: service, Address: ln.Addr().String(), Zone: zone, State: "ready", Seq: 1, Born: server.born})
	if err != nil {
		return err
	}
	s.store.put(s.names.ServerTopic, id, entry)
	s.servers = append(s.servers, server)
	return nil
}

// ServeHTTP implements http.Handler.
func (server *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	names := server.stage.names
	id := req.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if target := req.Header.Get(names.Target); target != server.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	server.stage.runs.add(run{
		server: server.id, service: server.service, id: id, method: req.Method, uri: req.RequestURI,
		header: req.Header.Clone(), body: string(body),
	})
	work, size := workOf(req)
	time.Sleep(work)
	if rand.Int64N(1_000_000) < server.losing.Load() {
		reset(w)
		return
	}
	answer := answerOf(server.id, id, size)
	w.Header().Set(names.Signature, server.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if rand.Int64N(1_000_000) < server.breaking.Load() {
		server.stage.runs.markBroken(id, server.id)
		_, _ = io.WriteString(w, answer[:len(answer)*brokenPart/100])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

// workOf returns the work and the size of the answer that a request asks for in its
// query.
func workOf(req *http.Request) (time.Duration, int) {
	work, size := workTime, 0
	if ms, err := strconv.Atoi(req.URL.Query().Get("work-ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	if bytes, err := strconv.Atoi(req.URL.Query().Get("bytes")); err == nil {
		size = bytes
	}
	return work, size
}

// answerOf returns the answer of a server to a request, which has at least the given
// number of bytes.
func answerOf(server, id string, size int) string {
	line := fmt.Sprintf("answer of %s to %s\n", server, id)
	return strings.Repeat(line, max(1, (size+len(line)-1)/len(line)))
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// runList holds all runs.
type runList struct {
	mu   sync.Mutex
	runs []run
}

func (l *runList) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// markBroken records that a server broke off its answer to a request.
func (l *runList) markBroken(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.runs {
		if l.runs[n].id == id && l.runs[n].server == server {
			l.runs[n].broken = true
		}
	}
}

// of returns the runs of a request.
func (l *runList) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []run
	for _, r := range l.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}
