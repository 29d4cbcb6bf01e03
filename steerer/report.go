package steerer

import (
	"time"

	"lagoonstile"
	"lagoonstile/gossiper"
)

// Report is what an instance tells its peers of one server. The counts grow
// over the life of the instance, so that a lost report does no harm.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Key       gossiper.Key
	Good, Bad uint64
	InFlight  int
	// Gone says that the server itself said that it is leaving.
	Gone bool
}

// Peer names one life of another instance.
type Peer struct {
	Instance    lagoonstile.InstanceID
	Incarnation lagoonstile.Incarnation
}

// mostNews is how many answers a first report may hold. More of them came
// before this instance listened, and are history.
const mostNews = 4

// Reports returns what peers should hear of servers that changed since the
// given time.
func (s *Service) Reports(since time.Time) []Report {
	var reports []Report
	for _, server := range s.order {
		if server.changed.After(since) {
			reports = append(reports, server.Report())
		}
	}
	return reports
}

// Report returns what peers should hear of one server.
func (v *Server) Report() Report {
	return Report{Key: v.Key, Good: v.good, Bad: v.bad, InFlight: v.inFlight, Gone: v.gone}
}

// Hear takes in a peer's report. It reports whether the server is one of this
// service, and the tickets that can go now. The peer is one life of an
// instance: its counts never go down.
func (s *Service) Hear(now time.Time, from Peer, report Report) (bool, []*Ticket) {
	server := s.byKey[report.Key]
	if server == nil {
		return false, nil
	}
	past, known := server.others[from]
	if report.Good < past.good || report.Bad < past.bad {
		return true, nil // Two datagrams changed places.
	}
	good, bad := report.Good-past.good, report.Bad-past.bad
	if good+bad > 0 && (known || good+bad <= mostNews) {
		s.observe(now, server, from.Instance, good, bad)
	}
	if good+bad > 0 || report.InFlight > past.inFlight {
		server.offered = now
	}
	server.others[from] = heard{good: report.Good, bad: report.Bad, inFlight: report.InFlight, at: now}
	if report.Gone && !server.gone {
		server.gone = true
		server.pause(now.Add(gonePause))
	}
	return true, s.fill(now)
}
