package main

import (
	"fmt"
	"net/http"
	"sync"
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
