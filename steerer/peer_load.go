package steerer

import "time"

// peerLoadQueue keeps the peerLoad of servers up to date: it holds, in order of
// time, the reports that count and have not expired. Its cost for each report is
// constant. The zero value is empty.
type peerLoadQueue struct {
	reports []countedReport
}

// countedReport is a report of a peer that is part of a server's peerLoad, unless
// the peer has sent a later one.
type countedReport struct {
	server *Server
	from   Peer
	at     time.Time
}

// set replaces a peer's latest report on a server.
func (q *peerLoadQueue) set(server *Server, from Peer, next peerState) {
	past := server.peers[from]
	if past.counted {
		server.peerLoad -= past.inFlight
	}
	if next.inFlight > 0 {
		next.counted = true
		server.peerLoad += next.inFlight
		q.reports = append(q.reports, countedReport{server: server, from: from, at: next.at})
	}
	server.peers[from] = next
}

// expire stops counting the reports that are older than peerLoadMaxAge.
func (q *peerLoadQueue) expire(now time.Time) {
	n := 0
	for n < len(q.reports) && now.Sub(q.reports[n].at) > peerLoadMaxAge {
		q.reports[n].expire()
		n++
	}
	q.reports = q.reports[n:]
}

// expire stops counting the report if it is still the peer's latest one.
func (r countedReport) expire() {
	latest := r.server.peers[r.from]
	if !latest.counted || !latest.at.Equal(r.at) {
		return
	}
	latest.counted = false
	r.server.peerLoad -= latest.inFlight
	r.server.peers[r.from] = latest
}
