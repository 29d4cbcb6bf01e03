package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// relay passes the connections of one machine to the store on, until it is cut.
type relay struct {
	ln    net.Listener
	store string
	// received counts the bytes of the store's answers.
	received atomic.Int64
	cut      atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func startRelay(store string) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, store: store}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		from, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.keep(from)
		if r.cut.Load() {
			continue // The connection stays silent.
		}
		to, err := net.Dial("tcp", r.store)
		if err != nil {
			_ = from.Close()
			continue
		}
		r.keep(to)
		go r.pass(to, from, nil)
		go r.pass(from, to, &r.received)
	}
}

func (r *relay) keep(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, conn)
}

// pass copies bytes until one end closes. What arrives while the relay is cut is dropped,
// and the other end learns nothing of it.
func (r *relay) pass(to, from net.Conn, count *atomic.Int64) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if r.cut.Load() {
			if err != nil {
				return
			}
			continue
		}
		if count != nil {
			count.Add(int64(n))
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (r *relay) stop() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}

// Figures of the case readersCutOff.
const (
	// manyMachines are enough for two cells. cutMachines of them are cut off from the
	// store: 0.08, where the sites have up to 0.17.
	manyMachines, cutMachines = 26, 2
	manyServers               = 20
	// applyBound and drainBound are config_apply_s and drain_s of colmeia-sul-grown.
	applyBound = 2500 * time.Millisecond
	drainBound = 2500 * time.Millisecond
	// exitAfter is how long a server goes on after it has reported that it leaves.
	exitAfter = 3500 * time.Millisecond
	// cutFor is how long the machines are cut off.
	cutFor = 5 * time.Second
	// probeInterval is the time between two requests on the dropped route to one machine.
	probeInterval = 100 * time.Millisecond
	// episodes is how often all of it happens.
	episodes = 5
)

// versionText returns a configuration. The route /old/ is there unless it was dropped.
func versionText(version int, dropped bool) []byte {
	old := routeText
	if dropped {
		old = ""
	}
	text := strings.Replace(planText, "00000001", fmt.Sprintf("%08x", version), 1)
	return []byte(strings.Replace(text, `"max_attempts":2}}]}]`, `"max_attempts":2}}`+old+`]}]`, 1))
}

// readersCutOff cuts the machines that read the store for the others off from it, and
// changes the configuration and lets servers leave at that moment (CONFIG, DRAIN).
func readersCutOff(s *setting) (bool, error) {
	st, err := startStore()
	if err != nil {
		return false, err
	}
	defer st.stop()
	version := 1
	st.put(wire.PlanTopic, wire.PlanKey, versionText(version, false))
	w := newWorld(st, s.rec, "")
	defer w.stop()
	for range manyServers {
		if err := w.startServer("orders"); err != nil {
			return false, err
		}
	}
	f, err := newFleet(s.program, s.dir, st, s.rec, manyMachines)
	if err != nil {
		return false, err
	}
	defer f.stop()
	for _, n := range f.nodes {
		if n.relay, err = startRelay(st.address()); err != nil {
			return false, err
		}
		defer n.relay.stop()
		if err := n.start(true); err != nil {
			return false, err
		}
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return false, err
		}
	}
	late := lateness{rec: s.rec, world: w}
	for range episodes {
		time.Sleep(stableWindow + 2*time.Second)
		version++
		st.put(wire.PlanTopic, wire.PlanKey, versionText(version, false))
		time.Sleep(stableWindow)
		version++
		if err := late.episode(f, st, version, s.trouble); err != nil {
			return false, err
		}
	}
	s.rec.printf("%d requests ran on a dropped route and %d orders reached a leaving server, later than %v after the acknowledgement, through machines in touch; %d orders had no success",
		late.config, late.drain, applyBound, late.lost.Load())
	fmt.Printf("CONFIG: %d requests, DRAIN: %d requests, orders without a success: %d\n", late.config, late.drain, late.lost.Load())
	return late.config > 0, nil
}

// lateness counts what comes later than its bound.
type lateness struct {
	rec           *recorder
	world         *world
	config, drain int
	lost          atomic.Int64
}

// episode cuts the readers off, drops a route and lets a server leave.
func (l *lateness) episode(f *fleet, st *store, version int, trouble bool) error {
	readers := readersOf(f)
	if len(readers) < cutMachines {
		return errors.New("no machines read the store")
	}
	if trouble {
		for _, n := range readers[:cutMachines] {
			l.rec.printf("%s is cut off from the store", n.name)
			n.relay.cut.Store(true)
		}
	}
	time.Sleep(20 * time.Millisecond)
	leaving := l.world.anyServer()
	leaving.drain()
	drainedAt := time.Now()
	l.rec.printf("server %s says that it leaves", leaving.id)
	st.put(wire.PlanTopic, wire.PlanKey, versionText(version, true))
	changedAt := time.Now()
	l.rec.printf("version %d, without the route /old/, is acknowledged", version)
	time.AfterFunc(time.Until(drainedAt.Add(exitAfter)), leaving.crash)
	var calm []*node
	for n, candidate := range f.nodes {
		if !slices.Contains(readers[:cutMachines], candidate) {
			calm = append(calm, f.nodes[n])
		}
	}
	end := changedAt.Add(cutFor)
	var mu sync.Mutex
	var clients sync.WaitGroup
	var stale, orders []answer
	for _, n := range calm {
		clients.Go(func() {
			time.Sleep(time.Until(changedAt.Add(applyBound)))
			for time.Now().Before(end) {
				a := send(n, http.MethodGet, "/old/x", "", orderDeadline)
				if a.status == http.StatusOK {
					mu.Lock()
					stale = append(stale, a)
					mu.Unlock()
					l.rec.printf("request %s on /old/, sent to %s %.3f s after the acknowledgement: %v", a.id, n.name, a.sentAt.Sub(changedAt).Seconds(), a)
				}
				time.Sleep(probeInterval)
			}
		})
	}
	clients.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(orderInterval)
			n := calm[rand.IntN(len(calm))]
			clients.Go(func() {
				a := send(n, http.MethodPost, "/order/x", "order", orderDeadline)
				mu.Lock()
				defer mu.Unlock()
				orders = append(orders, a)
				if a.status != http.StatusOK {
					l.lost.Add(1)
					l.rec.printf("order %s through %s: %v", a.id, n.name, a)
				}
			})
		}
	})
	clients.Wait()
	l.config += len(stale)
	for _, a := range orders {
		for _, at := range l.world.arrivalsOf(a.id) {
			if behind := at.at.Sub(drainedAt); at.server == leaving.id && behind > drainBound {
				l.drain++
				l.rec.printf("order %s reached server %s %.3f s after that said that it leaves: %v", a.id, at.server, behind.Seconds(), a)
			}
		}
	}
	for _, n := range f.nodes {
		n.relay.heal()
	}
	return nil
}

// heal ends a cut. Connections that were open stay silent until their ends give them up.
func (r *relay) heal() {
	r.cut.Store(false)
	r.received.Store(0)
}

// readersOf returns the machines, those first that got most from the store.
func readersOf(f *fleet) []*node {
	nodes := slices.Clone(f.nodes)
	for _, n := range nodes {
		n.relay.received.Store(0)
	}
	time.Sleep(2 * time.Second) // Each long poll ends in this time.
	var readers []*node
	for _, n := range nodes {
		if n.relay.received.Load() > 0 {
			readers = append(readers, n)
		}
	}
	slices.SortStableFunc(readers, func(a, b *node) int { return int(b.relay.received.Load() - a.relay.received.Load()) })
	return readers
}
