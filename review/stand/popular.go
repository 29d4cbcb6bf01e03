package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// pause waits as long as an answer asks for, up to a third of the time left, as the pages
// tell clients to, and for a moment if it asks for nothing.
func pause(a answer, deadline time.Duration) {
	wait := 200 * time.Millisecond
	if seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
		wait = min(time.Duration(seconds*float64(time.Second)), (deadline-a.took)/3)
	}
	time.Sleep(wait)
}

// Traffic and times of the case popular.
const (
	popularWork    = 500 * time.Millisecond
	popularNodes   = 15
	popularClients = 66
	otherClients   = 12
	stockServers   = 20
	crashed        = 3 // A share of 0.15.
	crashLength    = 4 * time.Second
	stableWindow   = 3 * time.Second
	measured       = 15 * time.Second
)

// popular: many clients ask for the same price list, and three of twenty servers crash.
func popular(dir string, trouble bool) (bool, error) {
	w, err := newWorld(dir, popularNodes, true)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.configure(defaultRoutes)
	work := func(rw http.ResponseWriter, req *http.Request, _ []byte) {
		select {
		case <-time.After(popularWork*4/5 + rand.N(popularWork*2/5)):
			_, _ = rw.Write([]byte("prices and stock"))
		case <-req.Context().Done():
		}
	}
	for _, service := range []string{"stock", "orders", "files"} {
		count := 6
		if service == "stock" {
			count = stockServers
		}
		if err := w.addServers(service, count, work); err != nil {
			return false, err
		}
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	w.note("a configuration adds the route of the price list")
	const pathPrices = "/prices/"
	w.configure(append(defaultRoutes[:len(defaultRoutes):len(defaultRoutes)], route{"r-prices", "safe", pathPrices, "stock", 3}))
	time.Sleep(3 * time.Second)

	seen := &outcomes{w: w}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	client := func(kind string, path func() string) {
		time.Sleep(rand.N(popularWork)) // Clients do not keep step with each other.
		for count := 0; ; count++ {
			select {
			case <-stop:
				return
			default:
			}
			n := w.nodes[rand.IntN(len(w.nodes))] // As the pages say, for each new connection.
			r := request{address: n.client, method: http.MethodGet, host: host, path: path(), deadline: 6 * time.Second, id: newID()}
			sentAt := time.Now()
			a := r.send()
			seen.add(outcome{kind, n.id, sentAt, a})
			if !a.signed() {
				pause(a, r.deadline)
			}
		}
	}
	for range popularClients {
		clients.Go(func() { client("prices", func() string { return pathPrices + "list" }) })
	}
	for range otherClients {
		clients.Go(func() { client("stock", func() string { return pathSafe + newID() }) })
	}
	time.Sleep(5 * time.Second)
	before := time.Now()
	report := func(name string, from, until time.Time) (later, first tally) {
		later, first = seen.between("prices", from, until), seen.between("stock", from, until)
		w.note("%s: price list %d of %d served, other requests to the same service %d of %d", name, later.served, later.asked, first.served, first.asked)
		return later, first
	}
	report("before the crash", before.Add(-4*time.Second), before.Add(-popularWork))
	if trouble {
		for _, v := range w.servers["stock"][:crashed] {
			w.note("server %s crashes", v.id)
			v.crash()
		}
	}
	time.Sleep(crashLength)
	if trouble {
		for n, v := range w.servers["stock"][:crashed] {
			back, err := startServer(w.store, w.runs, v.id+"-again", "stock", zoneOf(n), "127.0.0.1", work)
			if err != nil {
				return false, err
			}
			w.note("it is back as %s", back.id)
		}
	}
	time.Sleep(stableWindow)
	from := time.Now()
	time.Sleep(measured)
	until := time.Now()
	close(stop)
	clients.Wait()
	later, first := report(fmt.Sprintf("in steady state, %v after that", stableWindow), from, until.Add(-6*time.Second))
	if first.asked < 20 || first.share() < 0.5 {
		return false, fmt.Errorf("the other requests are not served either, so there is nothing to compare with")
	}
	broken := later.asked >= 20 && later.share() < first.share()/4
	w.note("CONFIG broken: %t", broken)
	return broken, nil
}

func init() { cases["popular"] = popular }
