package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case headers.
const (
	headersSpan = 4 * time.Second
	// strayWait is how long a client waits for bytes that belong to no request.
	strayWait = 50 * time.Millisecond
)

// headers: clients ask for the headers of downloads on kept connections, and a configuration
// removes the route of the downloads.
func headers(dir string, trouble bool) (bool, error) {
	w, err := newWorld(dir, 2, true)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.configure(defaultRoutes)
	work := func(rw http.ResponseWriter, req *http.Request, _ []byte) { _, _ = rw.Write([]byte("catalogue")) }
	for _, service := range []string{"stock", "orders", "files"} {
		if err := w.addServers(service, 6, work); err != nil {
			return false, err
		}
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	seen := &outcomes{w: w}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	stray, unreadable := 0, 0
	for number := range 6 {
		clients.Go(func() {
			s, u := w.askOnKeptConnections(w.nodes[number%len(w.nodes)], seen, stop)
			mu.Lock()
			defer mu.Unlock()
			stray, unreadable = stray+s, unreadable+u
		})
	}
	time.Sleep(headersSpan)
	if trouble {
		w.note("a configuration removes the route of the downloads")
		w.configure(defaultRoutes[:2])
	}
	time.Sleep(headersSpan)
	close(stop)
	clients.Wait()
	w.note("%d requests; answers followed by bytes that are no answer, with no request waiting: %d; next answers that could not be read because of them: %d", len(seen.list), stray, unreadable)
	if len(seen.list) < 50 {
		return false, fmt.Errorf("too few requests to judge")
	}
	w.note("MIXED broken: %t", stray > 0)
	return stray > 0, nil
}

// askOnKeptConnections asks in turn for the headers of a download and for an item, on a kept
// connection, and on a new one if that is closed or sends what is no answer. It returns how many
// answers were followed by bytes that belong to no request, and how many next answers
// could not be read.
func (w *world) askOnKeptConnections(n *node, seen *outcomes, stop <-chan struct{}) (stray, unreadable int) {
	var conn net.Conn
	var reader *bufio.Reader
	drop := func() {
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	defer drop()
	for count := 0; ; count++ {
		time.Sleep(strayWait)
		select {
		case <-stop:
			return stray, unreadable
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", n.client, time.Second); err != nil {
				conn = nil
				time.Sleep(strayWait)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		r := request{address: n.client, method: http.MethodGet, host: host, path: pathSafe + "item", deadline: 6 * time.Second, id: newID()}
		if count%2 == 0 {
			r.method, r.path = http.MethodHead, pathLarge+"catalogue"
		}
		sentAt := time.Now()
		a := r.exchange(conn, reader, sentAt)
		seen.add(outcome{strings.ToLower(r.method), n.id, sentAt, a})
		if a.err != nil {
			if strings.Contains(a.err.Error(), "malformed") {
				unreadable++
			}
			drop()
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(strayWait))
		if bytes, _ := reader.Peek(1); len(bytes) > 0 {
			stray++
			bytes, _ = reader.Peek(reader.Buffered())
			w.writeRecord("%s is followed by bytes that are no answer: %.60q", a.id, bytes)
		}
		if a.header.Get("Connection") == "close" {
			drop()
		}
	}
}

func init() { cases["headers"] = headers }
