package rehearser_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoonstile/cmd/standin/emulator"
)

// Sizes of the soak of processes, which the environment may change.
const (
	defaultSoakProcesses = 5
	defaultProcessSoak   = 15 * time.Second
	// soakClients is the number of clients for each process.
	soakClients = 2
	// lateAnswer is how long after its last byte was sent a request may be cut without
	// an answer because it crosses the end of its connection.
	lateAnswer = 200 * time.Millisecond
	// versionInterval is how often the version in force is read.
	versionInterval = 100 * time.Millisecond
)

// processSoak is a testbed whose instances are processes.
type processSoak struct {
	*testbed
	random    *rand.Rand
	processes []*process
	// effects counts the faults with a duration that have not ended.
	effects sync.WaitGroup
	version int

	mu         sync.Mutex
	unanswered []unanswered
	requests   int
}

// unanswered is a request that was sent, and whose connection ended without an answer.
type unanswered struct {
	id, method string
	process    *process
	// sent is when its last byte was sent, and ended when its connection had ended.
	sent, ended time.Time
	cause       error
}

// TestProcessesUnderFaults runs instances as processes, and stops, kills, pauses and
// reloads them while servers and the store fail and the configuration changes, several
// at a time. Clients use open connections until the process is gone. Every answer is
// checked against what the servers ran; no graceful stop may leave a request unanswered; no
// run may go back to an earlier version; afterwards, all serve. LAGOONSTILE_SOAK sets the
// length, LAGOONSTILE_SOAK_SEED the seed, LAGOONSTILE_SOAK_PROCESSES the number of processes
// and LAGOONSTILE_SOAK_CROWD the number of clients without limits for each of them.
func TestProcessesUnderFaults(t *testing.T) {
	t.Parallel()
	length, seed, processes := soakSettings(t)
	s := &processSoak{testbed: newTestbed(t, 0), random: rand.New(rand.NewPCG(seed, 1)), version: 1}
	binary := buildDaemon(t)
	crowd := soakCrowd(t)
	for n := range processes {
		settings := s.settings(n)
		if crowd > 0 {
			settings.MemoryBytes, settings.Descriptors = crowdMemoryBytes, crowdDescriptors
		}
		s.processes = append(s.processes, newProcess(t, binary, settings))
		s.processes[n].start()
	}
	s.awaitRecovery("at the start")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range soakClients * processes {
		random := rand.New(rand.NewPCG(seed, uint64(n)+2))
		clients.Go(func() { s.runClient(random, stop) })
	}
	for n, p := range s.processes {
		clients.Go(func() { s.watchVersion(p, stop) })
		if crowd > 0 {
			clients.Go(func() { s.watchUsage(p, stop) })
			clients.Go(func() { s.runCrowd(rand.New(rand.NewPCG(seed, uint64(n)+1<<32)), crowd, stop) })
		}
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(100+s.random.IntN(300)) * time.Millisecond) {
		s.act()
	}
	s.effects.Wait()
	s.clearFaults()
	s.awaitRecovery("after the faults")
	close(stop)
	clients.Wait()
	s.checkUnanswered()
	t.Logf("seed %d: %d requests, %d without an answer", seed, s.requests, len(s.unanswered))
}

// soakSettings returns the length, the seed and the number of processes.
func soakSettings(t *testing.T) (time.Duration, uint64, int) {
	t.Helper()
	length, seed, processes := defaultProcessSoak, uint64(1), defaultSoakProcesses
	var err error
	if text := os.Getenv("LAGOONSTILE_SOAK"); text != "" {
		if length, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	if text := os.Getenv("LAGOONSTILE_SOAK_SEED"); text != "" {
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	if text := os.Getenv("LAGOONSTILE_SOAK_PROCESSES"); text != "" {
		if processes, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	return length, seed, processes
}

// act starts a random fault or change. Faults of processes and of the store end by
// themselves.
func (s *processSoak) act() {
	p := s.processes[s.random.IntN(len(s.processes))]
	length := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
	switch s.random.IntN(13) {
	case 0:
		s.during(func() { s.restart(p, p.kill(), length) })
	case 1, 2:
		s.during(func() { s.restart(p, p.terminate(), length/10) })
	case 3:
		s.during(func() { p.pause(length) })
	case 4:
		p.writeSettings(p.settings.Grace + time.Duration(s.random.IntN(2))*time.Millisecond)
		p.reload()
	case 5, 6:
		s.version++
		s.store.Put("keyed.op", "config", config(s.version))
		if s.random.IntN(2) == 0 {
			earlier := config(s.version - 1) // Must not take effect.
			s.during(func() {
				time.Sleep(3 * versionInterval)
				s.store.Put("keyed.op", "config", earlier)
			})
		}
	case 7:
		modes := []string{"busy", "limit", "reset", "silent"}
		s.store.SetFaults(emulator.StoreFaults{RejectMode: modes[s.random.IntN(len(modes))], RejectedClients: s.someClients()})
		s.during(func() {
			time.Sleep(length)
			s.store.SetFaults(emulator.StoreFaults{})
		})
	case 8, 9, 10, 11:
		modes := []emulator.BackendMode{emulator.BackendErrors, emulator.BackendResets, emulator.BackendHangs, emulator.BackendSheds, emulator.BackendTruncates}
		s.pickBackend(s.random).SetFault(modes[s.random.IntN(len(modes))], s.random.Float64())
	case 12:
		for _, b := range s.backends {
			b.SetFault(emulator.BackendHealthy, 0)
		}
	}
}

// during runs a fault that takes time.
func (s *processSoak) during(fault func()) { s.effects.Go(fault) }

// restart awaits the end of a run and starts the next one after a pause.
func (s *processSoak) restart(p *process, run *processRun, pause time.Duration) {
	if run == nil {
		return
	}
	p.awaitExit(run)
	time.Sleep(pause)
	p.start()
}

// someClients returns the addresses of a random part of the processes, or nil, which
// stands for all clients of the store.
func (s *processSoak) someClients() []string {
	var addresses []string
	for _, p := range s.processes {
		if s.random.IntN(2) == 0 {
			addresses = append(addresses, p.settings.IP)
		}
	}
	return addresses
}

// pickBackend returns a random server.
func (s *processSoak) pickBackend(random *rand.Rand) *emulator.Backend {
	service := []string{"stock", "orders"}[random.IntN(2)]
	return s.backends[fmt.Sprintf("%s-%d", service, random.IntN(3))]
}

// clearFaults makes the store and all servers healthy, and starts the processes that
// do not run.
func (s *processSoak) clearFaults() {
	s.store.SetFaults(emulator.StoreFaults{})
	for _, b := range s.backends {
		b.SetFault(emulator.BackendHealthy, 0)
		b.Register("ready")
	}
	for _, p := range s.processes {
		p.start()
	}
}

// awaitRecovery waits until every process serves lookups and orders.
func (s *processSoak) awaitRecovery(when string) {
	for _, p := range s.processes {
		for _, request := range []struct{ method, path string }{{http.MethodGet, "/look/7"}, {http.MethodPost, "/order/7"}} {
			s.waitFor(fmt.Sprintf("%s to serve %s %s", p.settings.Instance, request.path, when), func() bool {
				return s.sendToAddress(p.settings.ClientAddress, request.method, request.path).status == http.StatusOK
			})
		}
	}
}

// runClient sends requests over one connection after the other, each to a process
// chosen at random and used until it is closed.
func (s *processSoak) runClient(random *rand.Rand, stop <-chan struct{}) {
	for {
		p := s.processes[random.IntN(len(s.processes))]
		transport := &http.Transport{MaxConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
		client := &http.Client{Transport: transport, Timeout: 8 * time.Second}
		for s.sendOn(client, p, random) {
			select {
			case <-stop:
				transport.CloseIdleConnections()
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		transport.CloseIdleConnections()
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// sendOn sends one request and checks its answer. It returns false if the connection
// is to be used no more.
func (s *processSoak) sendOn(client *http.Client, p *process, random *rand.Rand) bool {
	method, path := http.MethodGet, "/look/7"
	if random.IntN(2) == 0 {
		method, path = http.MethodPost, "/order/7"
	}
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	a := answer{id: fmt.Sprintf("soak-%d", s.requestCount.Add(1))}
	// A body without GetBody keeps the transport from sending the request again.
	req, err := http.NewRequest(method, "http://"+p.settings.ClientAddress+path, io.MultiReader(strings.NewReader("body")))
	if err != nil {
		s.t.Error(err)
		return false
	}
	req.ContentLength = int64(len("body"))
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", "6000")
	var sent atomic.Pointer[time.Time]
	res, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if now := time.Now(); info.Err == nil {
				sent.Store(&now)
			}
		},
	})))
	if err == nil {
		var body []byte
		body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.status, a.body, a.signed = res.StatusCode, string(body), res.Header.Get("X-Server-Signature") != ""
	}
	if err != nil {
		if at := sent.Load(); at != nil {
			s.mu.Lock()
			s.unanswered = append(s.unanswered, unanswered{id: a.id, method: method, process: p, sent: *at, ended: time.Now(), cause: err})
			s.mu.Unlock()
		}
		return false
	}
	s.checkAnswer(method, a)
	return !res.Close && res.StatusCode != http.StatusServiceUnavailable
}

// checkUnanswered checks the requests without an answer: none may have run twice, and a
// run that was neither killed nor paused answers all that it has read, but for
// those that it was asked for early in a stop and that last until its end.
func (s *processSoak) checkUnanswered() {
	const takenUntil, endsFrom = 3 * time.Second, 5 * time.Second
	for _, u := range s.unanswered {
		ran := s.runs.Count(u.id)
		if u.method == http.MethodPost && ran > 1 {
			s.t.Errorf("%s: order ran %d times", u.id, ran)
		}
		run := u.process.runAt(u.sent)
		if run == nil || run.disturbed(u.ended) || (ran == 0 && u.ended.Sub(u.sent) < lateAnswer) {
			continue
		}
		if !run.termAt.IsZero() && u.sent.Sub(run.termAt) < takenUntil && u.ended.Sub(run.termAt) > endsFrom {
			continue
		}
		s.t.Errorf("%s: %s without an answer after %v, ran %d times: %v (sent %v after SIGTERM, run ended %v after it)", u.id, u.method,
			u.ended.Sub(u.sent), ran, u.cause, u.sent.Sub(run.termAt), run.exitedAt.Sub(run.termAt))
	}
	for _, p := range s.processes {
		for _, run := range p.runs {
			if took := run.exitedAt.Sub(run.termAt); !run.termAt.IsZero() && !run.exitedAt.IsZero() && !run.disturbed(run.exitedAt) && took > p.settings.Grace {
				s.t.Errorf("%s: graceful stop took %v, want at most %v", p.settings.Instance, took, p.settings.Grace)
			}
		}
	}
}

// versionMetric matches the version in force in the metrics.
var versionMetric = regexp.MustCompile(`plan\.version\S* (\d+)`)

// watchVersion checks that no run of a process goes back to an earlier version.
func (s *processSoak) watchVersion(p *process, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last *processRun
	highest, seen := 0, 0
	for {
		select {
		case <-stop:
			if seen == 0 {
				s.t.Errorf("%s: no version was read", p.settings.Instance)
			}
			return
		case <-time.After(versionInterval):
		}
		p.mu.Lock()
		run := p.current
		p.mu.Unlock()
		version, ok := s.readVersion(client, p)
		p.mu.Lock()
		same := run != nil && run == p.current
		p.mu.Unlock()
		if !ok || !same {
			continue
		}
		if run != last {
			last, highest = run, 0
		}
		seen++
		if version < highest {
			s.t.Errorf("%s went back from version %d to %d", p.settings.Instance, highest, version)
		}
		highest = max(highest, version)
	}
}

// readVersion returns the version in force, or false if the process does not answer.
func (s *processSoak) readVersion(client *http.Client, p *process) (int, bool) {
	res, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", p.settings.IP, p.settings.PeerPort))
	if err != nil {
		return 0, false
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	match := versionMetric.FindSubmatch(data)
	if err != nil || match == nil {
		return 0, false
	}
	version, err := strconv.Atoi(string(match[1]))
	return version, err == nil
}
