package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Traffic and times of the case catalogue.
const (
	// catalogueBytes is the size of a download.
	catalogueBytes    = 4 << 20
	catalogueClients  = 6
	configApply       = 2 * time.Second
	catalogueSpan     = 8 * time.Second
	catalogueInterval = 300 * time.Millisecond
)

// catalogue: a configuration moves the downloads from one service to another, as the operator's
// configurations do. The servers of both are sound. Those of the first give their answers in
// chunks, those of the second with a length.
func catalogue(dir string, trouble bool) (bool, error) {
	w, err := newWorld(dir, 3, true)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.configure(defaultRoutes)
	content := bytes.Repeat([]byte("conservation catalogue and cutting templates\n"), catalogueBytes/45+1)[:catalogueBytes]
	withLength := func(rw http.ResponseWriter, _ *http.Request, _ []byte) {
		rw.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = rw.Write(content)
	}
	inChunks := func(rw http.ResponseWriter, _ *http.Request, _ []byte) { _, _ = rw.Write(content) }
	for service, work := range map[string]func(http.ResponseWriter, *http.Request, []byte){"files": inChunks, "stock": withLength, "orders": withLength} {
		if err := w.addServers(service, 6, work); err != nil {
			return false, err
		}
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}

	seen := &outcomes{w: w}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for number := range catalogueClients {
		clients.Go(func() { w.pullOnKeptConnections(w.nodes[number%len(w.nodes)], seen, content, stop) })
	}
	time.Sleep(catalogueSpan)
	changed := time.Now()
	if trouble {
		w.note("a configuration moves the downloads to another service; it is acknowledged at once")
		w.configure([]route{defaultRoutes[0], defaultRoutes[1], {"r-files", "download", pathLarge, "stock", 6}})
	}
	// Requests count as sent beside the configuration until configApply + 1 s later.
	time.Sleep(configApply + time.Second)
	ended := time.Now()
	close(stop)
	clients.Wait()

	cut := func(from, until time.Time) (cuts, asked int) {
		for _, one := range seen.list {
			if one.sentAt.Before(from) || !one.sentAt.Before(until) {
				continue
			}
			asked++
			ran := w.runs.count(one.answer.id) > 0
			if ran && one.answer.err != nil && one.answer.took < 6*time.Second*7/10 {
				cuts++
			}
		}
		return cuts, asked
	}
	before, askedBefore := cut(w.started, changed)
	beside, askedBeside := cut(changed, ended)
	w.note("other times: %d of %d whole requests, passed on to a sound server, ended without a complete answer", before, askedBefore)
	w.note("beside the configuration: %d of %d", beside, askedBeside)
	if askedBefore < 20 || askedBeside < 20 {
		return false, fmt.Errorf("too few requests to judge")
	}
	broken := beside > 0 && float64(beside)/float64(askedBeside) > 3*float64(before)/float64(askedBefore)
	w.note("LOST broken: %t", broken)
	return broken, nil
}

// pullOnKeptConnections makes one download after the other on a kept connection, and on a new one if
// that is closed.
func (w *world) pullOnKeptConnections(n *node, seen *outcomes, content []byte, stop <-chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	drop := func() {
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	defer drop()
	for ; ; time.Sleep(catalogueInterval) {
		select {
		case <-stop:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", n.client, time.Second); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		r := n.pull("catalogue")
		sentAt := time.Now()
		a := r.exchange(conn, reader, sentAt)
		if a.signed() && !bytes.Equal(a.body, content) {
			a.err = fmt.Errorf("the body is not the server's")
		}
		seen.add(outcome{"download", n.id, sentAt, a})
		if !a.signed() || a.header.Get("Connection") == "close" {
			drop()
		}
	}
}

func init() { cases["catalogue"] = catalogue }
