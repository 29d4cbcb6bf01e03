package steerer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonstile"
	"lagoonstile/gossiper"
)

// Server is the state of one run of a server in its service's steerer.
type Server struct {
	// Backend is the first registry entry of the run. It never changes, because
	// requests read it concurrently with SetBackends.
	Backend lagoonstile.Backend
	// Key identifies the server in messages to peers.
	Key gossiper.Key

	// entry is the latest registry entry of the run.
	entry  lagoonstile.Backend
	belief Belief
	// doubted is the Doubted value of the last BeliefChange.
	doubted bool
	// inFlight is the number of requests from this instance at the server.
	inFlight int
	// told is the inFlight of the last News, and news is set while the server is among
	// the next.
	told int
	news bool
	// peers holds the latest report of each peer, and peerLoad the total of the
	// requests in those that are not older than peerLoadMaxAge.
	peers    map[Peer]peerState
	peerLoad int
	// beliefAt is the time for which failing holds the failure probability.
	beliefAt time.Time
	failing  float64
	// good and bad count the responses seen by this instance.
	good, bad uint64
	// lastChange is the time of the last event that must be reported to peers.
	lastChange time.Time
	// lastRequestAt is the last time at which an instance is known to have sent the
	// server a request.
	lastRequestAt time.Time
	// lastFailureAt is the time of the last known failure.
	lastFailureAt time.Time
	// warmupEnd is when the server's warm-up ends.
	warmupEnd time.Time
	// pausedUntil is the time before which the server must not be used.
	pausedUntil time.Time
	// unreachedPause is the length of the last pause after a failure to connect. It
	// is reset to 0 by a good response.
	unreachedPause time.Duration
	// gone is set once another server was found at the address, or a peer has reported
	// that, or that the server is leaving.
	gone bool
	// leaving is set once the server has said that it is leaving.
	leaving bool
}

// peerState is the content of a peer's latest report on a server.
type peerState struct {
	good, bad uint64
	inFlight  int
	at        time.Time
	// counted is set while inFlight is part of the server's peerLoad.
	counted bool
}

// KeyOf returns the key that identifies one run of a server in messages to peers.
func KeyOf(backend lagoonstile.Backend) gossiper.Key {
	digest := xxhash.New()
	for _, part := range []string{string(backend.Service), string(backend.ID), backend.Address} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return gossiper.Key(digest.Sum64() ^ uint64(backend.StartedAtMs))
}

func (server *Server) usable(now time.Time) bool {
	return !server.entry.Draining && !server.leaving && !now.Before(server.pausedUntil)
}

// load returns the known number of requests at the server: this instance's own and
// those in peers' recent reports.
func (server *Server) load() int { return server.inFlight + server.peerLoad }

// pause keeps the server from being used until the given time. It never shortens
// an earlier pause.
func (server *Server) pause(until time.Time) {
	if until.After(server.pausedUntil) {
		server.pausedUntil = until
	}
}

func compareServerIDs(a, b lagoonstile.ServerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
