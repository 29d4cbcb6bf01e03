package steerer

import (
	"time"

	"lagoonstile"
	"lagoonstile/gossiper"
)

// Report is what an instance tells its peers about one server. The counts are
// cumulative over the lifetime of the instance, so the next report makes up for
// a lost one.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Key       gossiper.Key
	Good, Bad uint64
	InFlight  int
	// Gone is set once the server has announced that it is leaving, or another
	// server was found at its address.
	Gone bool
	// Near is set if the report is only news of InFlight, which matters to the nearest
	// peers at once and to the others hardly. It is not sent.
	Near bool `cbor:"-"`
}

// Peer identifies one incarnation of another instance.
type Peer struct {
	Instance    lagoonstile.InstanceID
	Incarnation lagoonstile.Incarnation
}

// maxInitialResponses is the number of responses up to which a peer's first report
// updates the belief. A report with more mainly counts responses from before this
// instance received the peer's reports, which may be out of date.
const maxInitialResponses = 4

// Reports returns a report on each server with an event since the given time that
// must be reported to peers.
func (s *Service) Reports(since time.Time) []Report {
	var reports []Report
	for _, server := range s.order {
		if server.lastChange.After(since) {
			reports = append(reports, server.Report())
		}
	}
	return reports
}

// Report returns the current report on the server for peers.
func (server *Server) Report() Report {
	return Report{Key: server.Key, Good: server.good, Bad: server.bad, InFlight: server.inFlight, Gone: server.gone || server.leaving}
}

// busyLoad returns the number of requests at the server from which every grant and
// response there is news.
func (server *Server) busyLoad() int { return max(server.entry.Slots*busyShare/100, 1) }

// noteLoad records that the server's requests in flight have changed from the given
// number, which is news if the server is or was busy, or if peers believe that it is.
func (s *Service) noteLoad(server *Server, past int) {
	busy := server.peerLoad+max(past, server.inFlight) >= server.busyLoad()
	if !server.news && (busy || server.told > server.inFlight) {
		server.news = true
		s.news = append(s.news, server)
	}
}

// News returns reports on the requests in flight that have changed since the last call
// at servers that are busy. With few slots each request counts, and news of it must be
// faster than the request.
func (s *Service) News() []Report {
	var reports []Report
	for _, server := range s.news {
		server.news = false
		if server.inFlight == server.told {
			continue
		}
		server.told = server.inFlight
		report := server.Report()
		report.Near = true
		reports = append(reports, report)
	}
	s.news = s.news[:0]
	return reports
}

// ReceiveReport applies a peer's report. It returns whether the server belongs to
// this service, and the tickets granted as a result. A Peer is a single
// incarnation of an instance, so the counts in its reports never decrease.
func (s *Service) ReceiveReport(now time.Time, from Peer, report Report) (bool, []*Ticket) {
	s.peerLoads.expire(now)
	server := s.byKey[report.Key]
	if server == nil {
		return false, nil
	}
	past, known := server.peers[from]
	if report.Good < past.good || report.Bad < past.bad {
		return true, nil // The datagrams arrived out of order.
	}
	good, bad := report.Good-past.good, report.Bad-past.bad
	if good+bad > 0 && (known || good+bad <= maxInitialResponses) {
		s.observe(now, server, from.Instance, good, bad)
	}
	if good+bad > 0 || report.InFlight > past.inFlight {
		server.lastRequestAt = now
	}
	s.peerLoads.set(server, from, peerState{good: report.Good, bad: report.Bad, inFlight: report.InFlight, at: now})
	if report.Gone && !server.gone {
		server.gone = true
		server.pause(now.Add(gonePause))
	}
	// A report without failures can only make its own server acceptable. Failures may
	// also raise the tolerance of waiting tickets for other servers.
	if bad == 0 && !s.hasRoom(now, server) {
		return true, nil
	}
	return true, s.grantWaiting(now)
}
