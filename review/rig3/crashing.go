package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case crashingRequest.
const (
	machines       = 3
	servers        = 10
	crashPath      = "/order/p"
	orderDeadline  = 6 * time.Second
	rollouts       = 2
	triesAfterEach = 4
	tryInterval    = time.Second
	// orderInterval is the time between two orders of other clients.
	orderInterval = 15 * time.Millisecond
	// mostRetries is how many retries the rule allows to reach servers later than
	// stableWindow after the third crash.
	mostRetries = 3
)

// startPlan starts a store, servers of one service and machines, and waits until the
// machines are in touch. The caller must call the last result.
func startPlan(s *setting, plan, service, crashPath string) (*world, *fleet, func(), error) {
	st, err := startStore()
	if err != nil {
		return nil, nil, func() {}, err
	}
	st.put(wire.PlanTopic, wire.PlanKey, []byte(plan))
	w := newWorld(st, s.rec, crashPath)
	f, err := newFleet(s.program, s.dir, st, s.rec, machines)
	stop := func() {
		if f != nil {
			f.stop()
		}
		w.stop()
		st.stop()
	}
	if err != nil {
		return w, f, stop, err
	}
	for range servers {
		if err := w.startServer(service); err != nil {
			return w, f, stop, err
		}
	}
	for _, n := range f.nodes {
		if err := n.start(true); err != nil {
			return w, f, stop, err
		}
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return w, f, stop, err
		}
	}
	time.Sleep(stableWindow + time.Second)
	return w, f, stop, nil
}

// crashingRequest sends a request that crashes each server that runs it, again and
// again, while the machines are restarted in turn (BUDGET).
func crashingRequest(s *setting) (bool, error) {
	w, f, stop, err := startPlan(s, planText, "orders", crashPath)
	defer stop()
	if err != nil {
		return false, err
	}
	others := startOthers(f, s.rec)
	var sent []sending
	try := func(n *node) {
		sent = append(sent, sendCrashing(n, s.rec))
		time.Sleep(tryInterval)
	}
	for _, n := range f.nodes {
		try(n) // Three servers crash, each through another machine.
	}
	time.Sleep(stableWindow)
	for _, n := range f.nodes {
		try(n)
	}
	for range rollouts {
		for _, n := range f.nodes {
			if err := restart(n, s.trouble); err != nil {
				return false, err
			}
			for range triesAfterEach {
				try(n)
			}
		}
	}
	lost := others()
	for _, line := range f.logLines("request-quarantined", "server-crashed") {
		s.rec.printf("log: %s", line)
	}
	s.rec.printf("other clients' orders that ended without a success: %d", lost)
	return judgeCrashing(w, sent, s.rec)
}

// restart stops a machine by SIGTERM, starts it again, and waits until it is in touch.
// Without trouble it only takes the time.
func restart(n *node, trouble bool) error {
	if !trouble {
		time.Sleep(4 * time.Second)
		return nil
	}
	n.signal(syscall.SIGTERM)
	n.awaitExit()
	if err := n.start(false); err != nil {
		return err
	}
	if err := n.awaitReady(); err != nil {
		return err
	}
	time.Sleep(time.Until(n.undisturbedSince().Add(stableWindow + 500*time.Millisecond)))
	return nil
}

// sending is one sending of the request that crashes servers.
type sending struct {
	answer answer
	// inTouch is true if the machine had no disruption for stableWindow before.
	inTouch bool
}

func sendCrashing(n *node, rec *recorder) sending {
	inTouch := time.Since(n.undisturbedSince()) > stableWindow
	a := send(n, http.MethodPost, crashPath, "one and the same body", orderDeadline)
	rec.printf("request %s (POST %s) sent to %s, in touch %t: %v", a.id, crashPath, n.name, inTouch, a)
	return sending{answer: a, inTouch: inTouch}
}

// startOthers sends orders of other clients to machines that do not leave. It returns a
// function that stops them and tells how many ended without a success although they
// reached a server.
func startOthers(f *fleet, rec *recorder) func() int {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var lost atomic.Int64
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(orderInterval):
			}
			// Clients use the machines that the directory names.
			to := f.nodes[rand.IntN(len(f.nodes))]
			if time.Since(to.undisturbedSince()) < stableWindow+grace {
				continue
			}
			clients.Go(func() {
				a := send(to, http.MethodPost, fmt.Sprintf("/order/%d", n), "order", orderDeadline)
				if a.status != http.StatusOK {
					lost.Add(1)
					rec.printf("order %s of another client through %s: %v", a.id, to.name, a)
				}
			})
		}
	})
	return func() int {
		close(stop)
		clients.Wait()
		return int(lost.Load())
	}
}

// judgeCrashing counts the retries that reached servers although they must not.
func judgeCrashing(w *world, sent []sending, rec *recorder) (bool, error) {
	crashes := w.crashTimes()
	if len(crashes) < 3 {
		return false, fmt.Errorf("only %d servers crashed", len(crashes))
	}
	from := crashes[2].Add(stableWindow)
	reached := 0
	for _, s := range sent {
		if s.inTouch && s.answer.sentAt.After(from) && len(w.arrivalsOf(s.answer.id)) > 0 {
			reached++
		}
	}
	rec.printf("%d servers crashed; %d retries reached servers later than %v after the third crash, %d are allowed", len(crashes), reached, stableWindow, mostRetries)
	fmt.Printf("%d servers crashed; %d retries reached servers, %d are allowed\n", len(crashes), reached, mostRetries)
	return reached > mostRetries, nil
}

// Figures of the case repeatedRequest.
const (
	// bursts is how often the request comes, and burstInterval the time between two.
	bursts        = 16
	burstInterval = 5 * time.Second
	// repeats is how many more times the client repeats it, at once after each failure.
	repeats = 3
	// clientRoundTrip is the time on the network from an answer to a client and from the
	// client's next request to a machine.
	clientRoundTrip = 6 * time.Millisecond
)

// repeatedRequest sends a request that crashes each server that runs it through a client
// that repeats it at once (BUDGET).
func repeatedRequest(s *setting) (bool, error) {
	w, f, stop, err := startPlan(s, planText, "orders", crashPath)
	defer stop()
	if err != nil {
		return false, err
	}
	others := startOthers(f, s.rec)
	var sent []sending
	tries := 1
	if s.trouble {
		tries += repeats
	}
	for burst := range bursts {
		began := time.Now()
		for try := range tries {
			next := sendCrashing(f.nodes[(burst+try)%machines], s.rec)
			sent = append(sent, next)
			if next.answer.status == http.StatusOK {
				break
			}
			time.Sleep(clientRoundTrip)
		}
		time.Sleep(time.Until(began.Add(burstInterval)))
	}
	lost := others()
	for _, line := range f.logLines("request-quarantined", "server-crashed") {
		s.rec.printf("log: %s", line)
	}
	s.rec.printf("other clients' orders that ended without a success: %d", lost)
	return judgeCrashing(w, sent, s.rec)
}
