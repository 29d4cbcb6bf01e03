package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Traffic and times of the case uploads.
const (
	// uploadBytes is the size of an order. The configuration allows 64 MiB.
	uploadBytes = 15 << 20
	// uploadClients is the number of clients for each instance at usual times, each with one
	// order at a time, and burstClients that while many users come at once: 2.2 times as many.
	uploadClients = 5
	burstClients  = 11
	usualSpan     = 10 * time.Second
	burstSpan     = 6 * time.Second
	uploadWork    = time.Second
	restartDelay  = 500 * time.Millisecond
)

// supervisor ends processes that exceed their memory limit and starts them again, as the platform does.
type supervisor struct {
	w  *world
	mu sync.Mutex
	// ends counts the ends of each node's process, and peak holds its highest memory in MB.
	ends map[string]int
	peak map[string]float64
}

func (s *supervisor) watch(n *node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := n.memory("VmRSS")
		s.mu.Lock()
		s.peak[n.id] = max(s.peak[n.id], used)
		s.mu.Unlock()
		if used <= memoryMB && !n.await(0) {
			continue
		}
		s.mu.Lock()
		s.ends[n.id]++
		s.mu.Unlock()
		s.w.note("%s uses %.0f MB of %d MB: the platform kills it", n.id, used, memoryMB)
		n.signal(syscall.SIGKILL)
		n.await(10 * time.Second)
		time.Sleep(restartDelay)
		_ = n.start()
		s.w.awaitReady(n, 5*time.Second)
	}
}

// uploads: clients send orders with bodies within the limits of the configuration, and for some seconds
// 2.2 times as many clients do.
func uploads(dir string, trouble bool) (bool, error) {
	w, err := newWorld(dir, 2, true)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.configure(defaultRoutes)
	work := func(rw http.ResponseWriter, req *http.Request, _ []byte) {
		select {
		case <-time.After(uploadWork):
			_, _ = rw.Write([]byte("accepted"))
		case <-req.Context().Done():
		}
	}
	for _, service := range []string{"stock", "orders", "files"} {
		if err := w.addServers(service, 6, work); err != nil {
			return false, err
		}
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	watched := &supervisor{w: w, ends: make(map[string]int), peak: make(map[string]float64)}
	seen := &outcomes{w: w}
	stopWatch, stopUsual, stopBurst := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var watchers, clients sync.WaitGroup
	body := make([]byte, uploadBytes)
	lost := 0
	var lostMu sync.Mutex
	client := func(n *node, stop <-chan struct{}) {
		cut := w.orderOnKeptConnections(n, body, seen, stop)
		lostMu.Lock()
		defer lostMu.Unlock()
		lost += cut
	}
	for _, n := range w.nodes {
		watchers.Go(func() { watched.watch(n, stopWatch) })
		for range uploadClients {
			clients.Go(func() { client(n, stopUsual) })
		}
	}
	time.Sleep(usualSpan)
	for round := range 3 {
		if trouble {
			w.note("round %d: %d clients for each instance in place of %d", round+1, burstClients, uploadClients)
			for _, n := range w.nodes {
				for range burstClients - uploadClients {
					clients.Go(func() { client(n, stopBurst) })
				}
			}
		}
		time.Sleep(burstSpan)
		close(stopBurst)
		stopBurst = make(chan struct{})
		time.Sleep(usualSpan / 2)
	}
	close(stopUsual)
	clients.Wait()
	close(stopWatch)
	watchers.Wait()
	machines := 0
	for _, n := range w.nodes {
		w.note("%s: %d ends, peak %.0f MB", n.id, watched.ends[n.id], watched.peak[n.id])
		if watched.ends[n.id] >= 3 {
			machines++
		}
	}
	w.note("orders that had run, on kept connections that were closed without an answer: %d", lost)
	w.note("machines whose processes ended three times: %d", machines)
	answered := 0
	for _, one := range seen.list {
		if one.answer.signed() {
			answered++
		}
	}
	if answered < 10 {
		return false, fmt.Errorf("only %d orders were answered", answered)
	}
	w.note("LOST broken: %t, Fault broken: %t", lost > 3, machines >= 2)
	return lost > 3, nil
}

// orderOnKeptConnections makes one order after the other on a kept connection. It returns how many of them
// ran and got no answer before the connection ended.
func (w *world) orderOnKeptConnections(n *node, body []byte, seen *outcomes, stop <-chan struct{}) int {
	lost := 0
	var conn net.Conn
	var reader *bufio.Reader
	for ; ; time.Sleep(200 * time.Millisecond) {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return lost
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
		r := n.order("bulk", body)
		sentAt := time.Now()
		a := r.exchange(conn, reader, sentAt)
		seen.add(outcome{"order", n.id, sentAt, a})
		if a.err != nil {
			if w.runs.count(r.id) > 0 {
				lost++
			}
			_ = conn.Close()
			conn = nil
		}
	}
}

func init() { cases["uploads"] = uploads }
