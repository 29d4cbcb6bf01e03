// Package gossiper keeps what the instances of a cell tell each other about
// servers and about themselves.
//
// Every instance is the only writer of its own state and sends it to each peer
// as digests: what changed since the peer was last told. Counts are cumulative
// for an incarnation, so a digest that is lost or comes twice does no harm, and
// the latest one of an origin is all there is to know of it. A state that is
// not renewed ages out in seconds. Nothing that must hold depends on any of it.
//
// Servers and services are named by a hash of their ids, which keeps a digest
// small and does not change with the version in force. An instance leaves out
// the few servers of its configuration whose hashes are equal.
package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonstile"
)

// Key names a server or a service.
type Key uint32

// ServerKey returns the key of a server. A server that moves to another address
// is another one.
func ServerKey(service lagoonstile.ServiceID, server lagoonstile.Server) Key {
	return key(string(service), string(server.ID), server.Address)
}

// ServiceKey returns the key of a service.
func ServiceKey(service lagoonstile.ServiceID) Key { return key(string(service)) }

func key(parts ...string) Key {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Key(digest.Sum64())
}

// Report is what an origin knows of one server since it started.
type Report struct {
	Key Key `cbor:"1,keyasint"`
	// Good and Bad count answers.
	Good     uint64 `cbor:"2,keyasint,omitempty"`
	Bad      uint64 `cbor:"3,keyasint,omitempty"`
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
	// Full says that Reports has every server with counts.
	Full bool `cbor:"14,keyasint,omitempty"`
	// Poor lists the services of which the origin reaches less than half of the
	// servers.
	Poor []Key `cbor:"13,keyasint,omitempty"`
}

// Crash counts the servers that crashed while a request was in flight at them.
type Crash struct {
	Print uint64 `cbor:"1,keyasint"`
	Count uint32 `cbor:"2,keyasint"`
}

// Timing of the exchange.
const (
	// UrgentInterval is how often a peer is told of bad answers and notices.
	UrgentInterval = 150 * time.Millisecond
	// LoadInterval is how often a peer is told of load and good answers.
	LoadInterval = time.Second
	// calmReports bounds the reports of good answers in one digest. In a large
	// cell servers take turns, so that the rate does not grow with their number.
	calmReports = 64
	// PeerTimeout is how long a silent origin is taken to be there.
	PeerTimeout = 3 * time.Second
)

// Sender works out what must be said on one link to a peer. The zero value has
// said nothing; each new connection wants a new one.
type Sender struct {
	told     map[Key]Report
	leaving  bool
	lastFull time.Time
	last     time.Time
	// turn is where the reports of good answers go on.
	turn int
}

// Next returns the digest for the peer out of this instance's whole state, and
// false when nothing is due.
func (s *Sender) Next(now time.Time, whole Digest) (Digest, bool) {
	if !s.last.IsZero() && now.Sub(s.last) < UrgentInterval {
		return Digest{}, false
	}
	due := now.Sub(s.lastFull) >= LoadInterval || s.leaving != whole.Leaving
	next := whole
	next.Full = s.told == nil
	if next.Full {
		s.told = make(map[Key]Report)
	}
	next.Reports = s.changed(whole.Reports, due, next.Full)
	if !due && len(next.Reports) == 0 {
		return Digest{}, false
	}
	s.last = now
	s.leaving = whole.Leaving
	if due {
		s.lastFull = now
	}
	for _, report := range next.Reports {
		s.told[report.Key] = report
	}
	return next, true
}

// changed returns the reports that the peer must be told: urgent ones at once,
// the others in turns when a load digest is due, and all of them in a full one.
func (s *Sender) changed(reports []Report, due, full bool) []Report {
	if full {
		return reports
	}
	var out []Report
	calm := 0
	for i := range reports {
		at := (s.turn + i) % len(reports)
		report := reports[at]
		told := s.told[report.Key]
		told.Key = report.Key
		urgent := report.Bad != told.Bad || report.Draining != told.Draining || report.Ejected != told.Ejected
		switch {
		case urgent:
			out = append(out, report)
		case due && report != told && calm < calmReports:
			out = append(out, report)
			calm++
			if calm == calmReports {
				s.turn = at + 1
			}
		}
	}
	return out
}

// Delta is new evidence of an origin about one server.
type Delta struct {
	Origin    lagoonstile.InstanceID
	Key       Key
	Good, Bad uint64
}

// Peer is what is known of one other instance.
type Peer struct {
	Digest Digest
	// Heard is when the last digest came.
	Heard time.Time
	// started says that a full digest came: servers without a report have no
	// counts.
	started bool
	// Reports has the last report on each server.
	Reports map[Key]Report
}

// View merges the digests of all peers. The zero value knows of none.
type View struct {
	peers map[lagoonstile.InstanceID]*Peer
}

// Merge takes in a digest and returns the evidence that it adds. A full digest
// is where counting starts: nobody knows how much of its counts is old.
func (v *View) Merge(now time.Time, digest Digest) []Delta {
	if v.peers == nil {
		v.peers = make(map[lagoonstile.InstanceID]*Peer)
	}
	peer := v.peers[digest.Origin]
	if peer == nil || peer.Digest.Incarnation != digest.Incarnation || digest.Full {
		peer = &Peer{Reports: make(map[Key]Report)}
		v.peers[digest.Origin] = peer
	}
	peer.started = peer.started || digest.Full
	var deltas []Delta
	for _, report := range digest.Reports {
		delta, ok := peer.take(report, digest.Full)
		if ok {
			delta.Origin = digest.Origin
			deltas = append(deltas, delta)
		}
	}
	peer.Digest = digest
	peer.Heard = now
	return deltas
}

// take replaces a report and returns what it adds to the one before.
func (p *Peer) take(report Report, full bool) (Delta, bool) {
	past := p.Reports[report.Key]
	p.Reports[report.Key] = report
	if full || !p.started || report.Good < past.Good || report.Bad < past.Bad {
		return Delta{}, false
	}
	delta := Delta{Key: report.Key, Good: report.Good - past.Good, Bad: report.Bad - past.Bad}
	return delta, delta.Good+delta.Bad > 0
}

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
	Draining, Ejected bool
}

// Around sums up what the live peers say of each server.
func (v *View) Around(now time.Time) map[Key]Around {
	out := make(map[Key]Around)
	for _, peer := range v.Alive(now) {
		for key, report := range peer.Reports {
			around := out[key]
			around.Draining = around.Draining || report.Draining
			around.Ejected = around.Ejected || report.Ejected
			out[key] = around
		}
	}
	return out
}
