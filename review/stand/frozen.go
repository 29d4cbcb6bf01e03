package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"lagoonstile"
	"lagoonstile/partitioner"
)

// Traffic and times of the case frozen.
const (
	frozenNodes  = 26
	frozenLength = 4 * time.Second
	drainBound   = 2 * time.Second
	// serveOn is how long after the report a leaving server goes on serving.
	serveOn   = 3000 * time.Millisecond
	orderWork = 300 * time.Millisecond
)

// frozen: two of 26 machines freeze, and a server that is taken away reports that it is draining.
func frozen(dir string, trouble bool) (bool, error) {
	w, err := newWorld(dir, frozenNodes, true)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.configure(defaultRoutes)
	work := func(rw http.ResponseWriter, req *http.Request, _ []byte) {
		select {
		case <-time.After(orderWork):
			_, _ = rw.Write([]byte("accepted"))
		case <-req.Context().Done():
		}
	}
	for service, count := range map[string]int{"stock": 6, "orders": 8, "files": 6} {
		if err := w.addServers(service, count, work); err != nil {
			return false, err
		}
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	stopped, calm, used := w.cells()
	seen := &outcomes{w: w}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range calm {
		clients.Go(func() {
			for count := 0; ; count++ {
				select {
				case <-stop:
					return
				default:
				}
				r := n.order("bulk", []byte(fmt.Sprint("order ", n.id, count)))
				sentAt := time.Now()
				seen.add(outcome{"order", n.id, sentAt, r.send()})
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, n := range stopped {
			w.note("%s freezes", n.id)
			n.signal(syscall.SIGSTOP)
		}
	}
	time.Sleep(50 * time.Millisecond)
	leaving := used[0]
	leaving.drain()
	acknowledged := time.Now()
	w.note("the store has acknowledged that %s is draining", leaving.id)
	time.Sleep(serveOn)
	w.note("%s ends", leaving.id)
	leaving.crash()
	ended := time.Now()
	time.Sleep(time.Until(acknowledged.Add(frozenLength)))
	if trouble {
		for _, n := range stopped {
			n.signal(syscall.SIGCONT)
		}
		w.note("they wake again")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	late, lost := 0, 0
	for _, one := range w.runs.all() {
		if one.server == leaving.id && one.at.After(acknowledged.Add(drainBound)) {
			late++
			w.writeRecord("%s ran at the leaving server %d ms after the acknowledgement", one.id, one.at.Sub(acknowledged).Milliseconds())
		}
	}
	for _, one := range seen.list {
		if !one.answer.signed() && one.sentAt.After(acknowledged) && one.sentAt.Before(ended) {
			lost++
			w.note("order without an answer: %s", one.answer)
		}
	}
	w.note("orders that reached the leaving server more than %v after the acknowledgement: %d of %d orders; orders without an answer: %d", drainBound, late, len(seen.list), lost)
	return late > 0, nil
}

// cells returns the two instances with the lowest ids of the cell that reads the store, all
// instances of the other cell, and the servers of the orders that the latter use.
func (w *world) cells() (readers, others []*node, used []*server) {
	var members []lagoonstile.Member
	for _, n := range w.nodes {
		members = append(members, lagoonstile.Member{ID: lagoonstile.InstanceID(n.id), FailureDomain: lagoonstile.FailureDomain(n.zone)})
	}
	partition := partitioner.Divide(members)
	for _, n := range w.nodes {
		if partition.CellOf(lagoonstile.InstanceID(n.id)) == 0 {
			readers = append(readers, n)
		} else {
			others = append(others, n)
		}
	}
	var backends []lagoonstile.Backend
	byID := make(map[lagoonstile.ServerID]*server)
	for _, v := range w.servers["orders"] {
		id := lagoonstile.ServerID(v.id)
		byID[id] = v
		backends = append(backends, lagoonstile.Backend{ID: id, Service: lagoonstile.ServiceID(v.service), FailureDomain: lagoonstile.FailureDomain(v.zone)})
	}
	for _, backend := range partition.Backends(1, backends) {
		used = append(used, byID[backend.ID])
	}
	return readers[:2], others, used
}

func init() { cases["frozen"] = frozen }
