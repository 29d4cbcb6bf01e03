package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Traffic and disruption of the case coded-slash.
const (
	orderClients = 16
	// orderPause is the time between two orders of a client.
	orderPause = 50 * time.Millisecond
	// Of losingServers servers of each service, one answer in ten is lost for
	// losingTime.
	losingServers    = 3
	losingPerMillion = 100_000
	losingTime       = 4 * time.Second
)

// playCodedSlash sends orders whose number has a slash, which is coded in the path, as
// RFC 3986 has it. The path begins with the prefix of the route for orders and with no
// longer one, so an order may run once at most. Meanwhile, servers run requests whose
// answers are lost.
func playCodedSlash(s *stage) error {
	if err := s.startFleet(false); err != nil {
		return err
	}
	for _, server := range s.servers {
		if s.trouble && server.number <= losingServers {
			server.losing.Store(losingPerMillion)
			s.note("%s loses %d in a million answers from now on", server.id, losingPerMillion)
		}
	}
	var clients sync.WaitGroup
	end := time.Now().Add(losingTime)
	for n := range orderClients {
		clients.Go(func() {
			for order := 0; time.Now().Before(end); order++ {
				s.sendOrder(n, order)
				time.Sleep(orderPause)
			}
		})
	}
	clients.Wait()
	return nil
}

// sendOrder sends an order of a client and checks how often it ran.
func (s *stage) sendOrder(client, order int) {
	r := request{
		id: fmt.Sprintf("order-%d-%d", client, order), method: http.MethodPost, host: host, body: "one pallet",
		target: fmt.Sprintf("/order/files%%2F%d", order),
	}
	a := s.send(s.nodes[(client+order)%nodeCount].values.HTTP, r)
	if runs := s.noteRequest(r, a); len(runs) > 1 {
		s.breaks("%s is no request that may be repeated, and ran %d times", r.id, len(runs))
	}
}

// hiddenRequests is the number of requests of the case hidden-account.
const hiddenRequests = 24

// playHiddenAccount sends requests of one tenant that name another tenant in the header
// that the system sets itself, and call that header one of the connection. In each case
// the server must be told the tenant that holds the key.
func playHiddenAccount(s *stage) error {
	const key, holder, other = "k-museo-1", "museo-nord", "lab-bologna"
	if err := s.startFleet(true); err != nil {
		return err
	}
	for n := range hiddenRequests {
		r := request{
			id: fmt.Sprintf("tenant-%02d", n), method: http.MethodPost, host: host, body: "one pallet", target: "/order/7",
			headers: []header{{s.names.Key, key}, {s.names.Account, other}},
		}
		if s.trouble {
			r.headers = append(r.headers, header{"Connection", "keep-alive, " + s.names.Account})
		}
		a := s.send(s.nodes[n%nodeCount].values.HTTP, r)
		for _, found := range s.noteRequest(r, a, s.names.Account, s.names.Key) {
			if got := found.header.Values(s.names.Account); len(got) != 1 || got[0] != holder {
				s.breaks("the key is that of %s, and %s was told the tenants %q", holder, found.server, got)
			}
		}
	}
	return nil
}

// Traffic of the case cut-answers. A first request is sent so long after the SIGTERM that
// it is answered after the node has begun to close connections, 3 s after the SIGTERM, and
// so early that its answer can be read before the end of the grace time of 6 s.
const (
	pipelineClients = 24
	firstSentAfter  = 2500 * time.Millisecond
	sentWithin      = 300 * time.Millisecond
	firstWorkMs     = 700
	firstBytes      = 500_000
	bytesPerSecond  = 2_500_000
	// Further requests follow the first one, each a time after the one before it.
	furtherRequests = 8
	furtherGap      = 200 * time.Millisecond
)

// playCutAnswers stops a node gracefully while clients that pipeline safe requests read
// the answer to the first one. What the node has read and passed on must be answered in
// full.
func playCutAnswers(s *stage) error {
	if err := s.startFleet(false); err != nil {
		return err
	}
	node := s.nodes[0]
	if s.trouble {
		if err := node.command.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		s.note("SIGTERM to %s", node.values.Name)
	}
	termAt := time.Now()
	var clients sync.WaitGroup
	for n := range pipelineClients {
		clients.Go(func() {
			time.Sleep(time.Until(termAt.Add(firstSentAfter + time.Duration(n)*sentWithin/pipelineClients)))
			s.playPipeline(node, n)
		})
	}
	clients.Wait()
	return nil
}

// playPipeline sends the requests of a client and checks their answers. A request that
// was not passed on does not count.
func (s *stage) playPipeline(node *node, client int) {
	p := pipeline{gap: furtherGap, bytesPerSecond: bytesPerSecond}
	p.requests = append(p.requests, request{
		id: fmt.Sprintf("client-%02d-first", client), method: http.MethodGet, host: host,
		target: fmt.Sprintf("/order/files/%d?work-ms=%d&bytes=%d", client, firstWorkMs, firstBytes),
	})
	for n := range furtherRequests {
		p.requests = append(p.requests, request{id: fmt.Sprintf("client-%02d-further-%d", client, n+1), method: http.MethodGet, host: host, target: "/stock/7"})
	}
	answers := s.sendPipeline(node.values.HTTP, p)
	for n, r := range p.requests {
		if runs := s.noteRequest(r, answers[n]); len(runs) > 0 && answers[n].status == 0 {
			s.breaks("%s was passed on to %s, which has answered it, and the connection ended without a whole answer", r.id, runs[0].server)
		}
	}
}

// Traffic and disruption of the case broken-behind.
const (
	readingClients = 80
	clientRate     = 1_500_000 // Bytes a second.
	earlierBytes   = 220_000
	lastBytes      = 2_300_000
	quickMs        = 20
	// Of breakingServers servers of each service, five answers in a hundred are broken off
	// for breakingTime, and again after breakingPause.
	breakingSpells     = 2
	breakingPause      = 2 * time.Second
	breakingServers    = 4
	breakingPerMillion = 50_000
	breakingTime       = 5500 * time.Millisecond
	// allowedCuts is how often a machine may cut off requests that it has passed on.
	allowedCuts = 3
)

// playBrokenBehind lets clients pipeline five downloads and a large one behind them,
// while servers break off some answers. An answer that is broken off must cost no other
// request its answer.
func playBrokenBehind(s *stage) error {
	if err := s.startFleet(false); err != nil {
		return err
	}
	cuts := make([]atomic.Int64, nodeCount)
	for spell := range breakingSpells {
		if spell > 0 {
			time.Sleep(breakingPause)
		}
		s.playSpell(spell, cuts)
	}
	for n := range cuts {
		s.note("%s left %d requests that sound servers have answered without a whole answer", s.nodes[n].values.Name, cuts[n].Load())
		if cuts[n].Load() > allowedCuts {
			s.breaks("more than %d on %s", allowedCuts, s.nodes[n].values.Name)
		}
	}
	return nil
}

// playSpell lets clients pipeline downloads while servers break off answers, and adds to
// the cuts of each node.
func (s *stage) playSpell(spell int, cuts []atomic.Int64) {
	s.setBreaking(breakingPerMillion)
	defer s.setBreaking(0)
	var clients sync.WaitGroup
	end := time.Now().Add(breakingTime)
	for n := range readingClients {
		clients.Go(func() {
			for turn := 0; time.Now().Before(end); turn++ {
				node := (n + turn) % nodeCount
				cuts[node].Add(s.playDownloads(s.nodes[node], fmt.Sprintf("client-%d-%02d-%d", spell, n, turn)))
			}
		})
	}
	time.Sleep(time.Until(end))
	s.setBreaking(0)
	clients.Wait()
}

// setBreaking sets the share of answers that the faulty servers break off.
func (s *stage) setBreaking(perMillion int64) {
	for _, server := range s.servers {
		if s.trouble && server.number <= breakingServers {
			server.breaking.Store(perMillion)
		}
	}
}

// playDownloads pipelines downloads and returns how many of them, without the first one
// of the connection, a sound server has answered although the client has no whole answer.
func (s *stage) playDownloads(node *node, name string) int64 {
	p := pipeline{bytesPerSecond: clientRate}
	for n, size := range []int{earlierBytes, earlierBytes, earlierBytes, earlierBytes, earlierBytes, lastBytes} {
		p.requests = append(p.requests, request{
			id: fmt.Sprintf("%s-%d", name, n+1), method: http.MethodGet, host: host,
			target: fmt.Sprintf("/order/files/%d?work-ms=%d&bytes=%d", n, quickMs, size),
		})
	}
	cut := int64(0)
	for n, a := range s.sendPipeline(node.values.HTTP, p) {
		runs := s.noteRequest(p.requests[n], a)
		if n > 0 && a.status == 0 && slices.ContainsFunc(runs, func(r run) bool { return !r.broken }) {
			cut++
		}
	}
	return cut
}
