// Package gossiper keeps what the instances of a cell tell each other about
// servers and about themselves.
//
// Every instance is the only writer of its own state and sends it to each peer
// as digests: what changed since the peer was last told. Counts are cumulative
// for an incarnation, so a digest that is lost or comes twice does no harm, and
// the latest one of an origin is all there is to know of it. A state that is
// not renewed ages out in seconds. Nothing that must hold depends on any of it.
//
// Servers and services are named by their index in the sorted configuration of
// a version, which keeps a digest small. Instances with different versions
// exchange versions only, and the rest once they agree.
package gossiper

import (
	"maps"
	"slices"
	"time"

	"lagoonstile"
)

// Index is the place of a server in the list of all servers of a
// configuration, by service and then by server id.
type Index uint32

// Report is what an origin knows of one server since it started.
type Report struct {
	Index Index `cbor:"1,keyasint"`
	// Good and Bad count answers.
	Good uint64 `cbor:"2,keyasint,omitempty"`
	Bad  uint64 `cbor:"3,keyasint,omitempty"`
	// InFlight is how many requests the origin has at the server.
	InFlight uint32 `cbor:"4,keyasint,omitempty"`
	Draining bool   `cbor:"5,keyasint,omitempty"`
	Ejected  bool   `cbor:"6,keyasint,omitempty"`
}

// Digest is one message of an origin about itself.
type Digest struct {
	Origin      lagoonstile.InstanceID  `cbor:"1,keyasint"`
	Incarnation lagoonstile.Incarnation `cbor:"2,keyasint"`
	Version     lagoonstile.Version     `cbor:"3,keyasint"`
	// Epoch is that of the origin's key table.
	Epoch   uint64 `cbor:"4,keyasint,omitempty"`
	Leaving bool   `cbor:"5,keyasint,omitempty"`
	// Load is the requests in flight at the origin, over all services.
	Load uint32 `cbor:"6,keyasint,omitempty"`
	// Homes lists the incarnations whose order keys the origin has taken over.
	Homes []string `cbor:"7,keyasint,omitempty"`
	// CallerAddress and FailureDomain are those of the origin.
	CallerAddress string                    `cbor:"8,keyasint,omitempty"`
	FailureDomain lagoonstile.FailureDomain `cbor:"9,keyasint,omitempty"`
	// Quarantined lists fingerprints of requests that must not run.
	Quarantined []uint64 `cbor:"10,keyasint,omitempty"`
	// Crashes lists the requests that the origin lately saw servers crash on.
	Crashes []Crash  `cbor:"11,keyasint,omitempty"`
	Reports []Report `cbor:"12,keyasint,omitempty"`
	// Poor lists services, by their place in the sorted configuration, of which
	// the origin reaches less than half of the servers.
	Poor []uint32 `cbor:"13,keyasint,omitempty"`
}

// Crash counts the servers that crashed while a request was in flight at them.
type Crash struct {
	Print uint64 `cbor:"1,keyasint"`
	Count uint32 `cbor:"2,keyasint"`
}

// Timing of the exchange.
const (
	// UrgentInterval is how often a peer is told of bad answers and notices.
	UrgentInterval = 200 * time.Millisecond
	// LoadInterval is how often a peer is told of load and good answers.
	LoadInterval = time.Second
	// PeerTimeout is how long a silent origin is taken to be there.
	PeerTimeout = 3 * time.Second
)

// Sender works out what one peer must be told. The zero value has told nothing.
type Sender struct {
	told     map[Index]Report
	version  lagoonstile.Version
	leaving  bool
	lastFull time.Time
	last     time.Time
}

// Next returns the digest for the peer out of this instance's whole state, and
// false when nothing is due. The peer's version is the one it last said.
func (s *Sender) Next(now time.Time, whole Digest, peerVersion lagoonstile.Version) (Digest, bool) {
	if !s.last.IsZero() && now.Sub(s.last) < UrgentInterval {
		return Digest{}, false
	}
	if s.version != whole.Version || peerVersion != whole.Version || s.told == nil {
		s.told = make(map[Index]Report)
		s.version = whole.Version
	}
	due := now.Sub(s.lastFull) >= LoadInterval || s.leaving != whole.Leaving
	s.leaving = whole.Leaving
	next := whole
	next.Reports = nil
	if peerVersion == whole.Version {
		next.Reports = s.changed(whole.Reports, due)
	}
	if !due && len(next.Reports) == 0 {
		return Digest{}, false
	}
	s.last = now
	if due {
		s.lastFull = now
	}
	for _, report := range next.Reports {
		s.told[report.Index] = report
	}
	return next, true
}

// changed returns the reports that the peer must be told: urgent ones at once,
// the others when a load digest is due.
func (s *Sender) changed(reports []Report, due bool) []Report {
	var out []Report
	for _, report := range reports {
		told := s.told[report.Index]
		told.Index = report.Index
		if report == told {
			continue
		}
		urgent := report.Bad != told.Bad || report.Draining != told.Draining || report.Ejected != told.Ejected
		if urgent || due {
			out = append(out, report)
		}
	}
	return out
}

// Delta is new evidence of an origin about one server.
type Delta struct {
	Origin    lagoonstile.InstanceID
	Index     Index
	Good, Bad uint64
}

// Peer is what is known of one other instance.
type Peer struct {
	Digest Digest
	// Heard is when the last digest came.
	Heard time.Time
	// Reports has the last report on each server. It belongs to the version in
	// Digest.
	Reports map[Index]Report
}

// View merges the digests of all peers. The zero value knows of none.
type View struct {
	peers map[lagoonstile.InstanceID]*Peer
}

// Merge takes in a digest and returns the evidence that it adds. The first
// digest of an incarnation, and the first one after a change of version, adds
// none: nobody knows how much of its counts is old.
func (v *View) Merge(now time.Time, digest Digest) []Delta {
	if v.peers == nil {
		v.peers = make(map[lagoonstile.InstanceID]*Peer)
	}
	peer := v.peers[digest.Origin]
	fresh := peer == nil || peer.Digest.Incarnation != digest.Incarnation || peer.Digest.Version != digest.Version
	if fresh {
		peer = &Peer{Reports: make(map[Index]Report)}
		v.peers[digest.Origin] = peer
	}
	var deltas []Delta
	for _, report := range digest.Reports {
		past, known := peer.Reports[report.Index]
		peer.Reports[report.Index] = report
		// A server that the origin did not report before has zero counts at the
		// start of the state, unless the state itself is new.
		if !known && fresh {
			continue
		}
		if report.Good < past.Good || report.Bad < past.Bad {
			continue
		}
		if report.Good > past.Good || report.Bad > past.Bad {
			deltas = append(deltas, Delta{Origin: digest.Origin, Index: report.Index, Good: report.Good - past.Good, Bad: report.Bad - past.Bad})
		}
	}
	peer.Digest = digest
	peer.Heard = now
	return deltas
}

// Drop forgets a peer.
func (v *View) Drop(id lagoonstile.InstanceID) { delete(v.peers, id) }

// Alive returns the peers heard of lately, sorted by id.
func (v *View) Alive(now time.Time) []*Peer {
	var alive []*Peer
	for _, id := range slices.Sorted(maps.Keys(v.peers)) {
		if peer := v.peers[id]; now.Sub(peer.Heard) <= PeerTimeout {
			alive = append(alive, peer)
		}
	}
	return alive
}

// Heard reports whether a peer was heard of lately.
func (v *View) Heard(now time.Time, id lagoonstile.InstanceID) bool {
	peer := v.peers[id]
	return peer != nil && now.Sub(peer.Heard) <= PeerTimeout
}

// Version returns the version that a peer last said, or 0.
func (v *View) Version(id lagoonstile.InstanceID) lagoonstile.Version {
	if peer := v.peers[id]; peer != nil {
		return peer.Digest.Version
	}
	return 0
}

// Around is what the live peers say of one server.
type Around struct {
	InFlight          int
	Draining, Ejected bool
}

// Around sums up what live peers of the given version say of each server.
func (v *View) Around(now time.Time, version lagoonstile.Version) map[Index]Around {
	out := make(map[Index]Around)
	for _, peer := range v.Alive(now) {
		if peer.Digest.Version != version {
			continue
		}
		for index, report := range peer.Reports {
			around := out[index]
			around.InFlight += int(report.InFlight)
			around.Draining = around.Draining || report.Draining
			around.Ejected = around.Ejected || report.Ejected
			out[index] = around
		}
	}
	return out
}
