// Package gossiper computes and merges the digests by which the instances of the
// fleet tell each other the state of servers and instances.
//
// Every instance is the only writer of its own state. It sends each peer digests
// with what changed since the previous digest. Counts are cumulative for an
// incarnation, so a lost or duplicated digest does no harm, and later state of
// an origin replaces its earlier state. State that is not refreshed expires
// after PeerTimeout. Digests are best effort: no guarantee of the fleet depends
// on them.
//
// Servers and services are identified by a hash of their ids, which keeps
// digests small and does not change with the configuration version. An instance
// sends no reports on the few servers of its configuration whose hashes collide.
package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonstile"
)

// Key identifies a server or a service. It is a hash, so keys may collide.
type Key uint32

// ServerKey returns the key of a server. The address is part of it: a server
// that moves to another address is treated as a new server.
func ServerKey(service lagoonstile.ServiceID, server lagoonstile.Server) Key {
	return key(string(service), string(server.ID), server.Address)
}

// ServiceKey returns the key of a service.
func ServiceKey(service lagoonstile.ServiceID) Key { return key(string(service)) }

func key(parts ...string) Key {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	return Key(hash.Sum64())
}

// Report holds what an origin has observed of one server since the origin
// started.
type Report struct {
	Key Key `cbor:"1,keyasint"`
	// Good and Bad count answers. Bad includes slow requests.
	Good     uint64 `cbor:"2,keyasint,omitempty"`
	Bad      uint64 `cbor:"3,keyasint,omitempty"`
	Draining bool   `cbor:"5,keyasint,omitempty"`
	Ejected  bool   `cbor:"6,keyasint,omitempty"`
}

// Digest is a message of an instance, the origin, about itself and about the
// servers that it uses.
type Digest struct {
	Origin      lagoonstile.InstanceID  `cbor:"1,keyasint"`
	Incarnation lagoonstile.Incarnation `cbor:"2,keyasint"`
	Version     lagoonstile.Version     `cbor:"3,keyasint"`
	// Epoch is the epoch of the origin's table of idempotency keys.
	Epoch   uint64 `cbor:"4,keyasint,omitempty"`
	Leaving bool   `cbor:"5,keyasint,omitempty"`
	// Load is the number of requests running or waiting at the origin, over all
	// services.
	Load uint32 `cbor:"6,keyasint,omitempty"`
	// AdoptedHomes lists the incarnations whose tables of idempotency keys the
	// origin has taken over, written as "instance.incarnation".
	AdoptedHomes []string `cbor:"7,keyasint,omitempty"`
	// CallerAddress and FailureDomain are those of the origin.
	CallerAddress string                    `cbor:"8,keyasint,omitempty"`
	FailureDomain lagoonstile.FailureDomain `cbor:"9,keyasint,omitempty"`
	// Quarantined lists the fingerprints of requests that must not run.
	Quarantined []uint64 `cbor:"10,keyasint,omitempty"`
	// Crashes lists the requests that the origin has learned something of lately,
	// because a server crashed during them or they were completed after that.
	Crashes []Crash  `cbor:"11,keyasint,omitempty"`
	Reports []Report `cbor:"12,keyasint,omitempty"`
	// Full marks a digest whose Reports cover every server that has anything to
	// report. Other digests hold only reports that have changed.
	Full bool `cbor:"14,keyasint,omitempty"`
	// Degraded lists the services of which the origin uses fewer than half of the
	// servers.
	Degraded []Key `cbor:"13,keyasint,omitempty"`
}

// Crash is what is known of a suspected request (quarantiner.Evidence). Fingerprint
// identifies the request.
type Crash struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Count is the length of the row of crashes.
	Count      uint32 `cbor:"2,keyasint"`
	Clearances uint32 `cbor:"3,keyasint,omitempty"`
}

// Timing of the exchange.
const (
	// UrgentInterval is the minimum time between two digests to a peer. Bad
	// answers and changes of Draining or Ejected are sent at this interval.
	UrgentInterval = 150 * time.Millisecond
	// LoadInterval is the time between two digests with load and good answers.
	LoadInterval = time.Second
	// maxGoodReports is the maximum number of reports in one digest that are there
	// only because their good answers have changed. With more servers the reports
	// rotate over several digests, so that the amount of data sent does not grow
	// with the number of servers.
	maxGoodReports = 64
	// PeerTimeout is the time after its last digest at which a peer no longer
	// counts as alive.
	PeerTimeout = 3 * time.Second
)

// Sender computes the digests to send over one connection to a peer. The zero
// value has sent nothing. Each new connection needs a new Sender.
type Sender struct {
	// sent holds the last report sent on each server. It is nil before the first
	// digest.
	sent     map[Key]Report
	leaving  bool
	lastLoad time.Time
	last     time.Time
	// nextGood is the index at which the rotation of good reports continues.
	nextGood int
}

// Next returns the digest to send to the peer, given a digest with this
// instance's complete state. The result is false if nothing is due. The first
// digest is full.
func (s *Sender) Next(now time.Time, complete Digest) (Digest, bool) {
	if !s.last.IsZero() && now.Sub(s.last) < UrgentInterval {
		return Digest{}, false
	}
	loadDue := now.Sub(s.lastLoad) >= LoadInterval || s.leaving != complete.Leaving
	next := complete
	next.Full = s.sent == nil
	if next.Full {
		s.sent = make(map[Key]Report)
	}
	next.Reports = s.changed(complete.Reports, loadDue, next.Full)
	if !loadDue && len(next.Reports) == 0 {
		return Digest{}, false
	}
	s.last = now
	s.leaving = complete.Leaving
	if loadDue {
		s.lastLoad = now
	}
	for _, report := range next.Reports {
		s.sent[report.Key] = report
	}
	return next, true
}

// changed returns the reports to send: all of them in a full digest, otherwise
// the urgent ones, and if a load digest is due, up to maxGoodReports of the other
// changed ones.
func (s *Sender) changed(reports []Report, loadDue, full bool) []Report {
	if full {
		return reports
	}
	var out []Report
	good := 0
	for i := range reports {
		at := (s.nextGood + i) % len(reports)
		report := reports[at]
		sent := s.sent[report.Key]
		sent.Key = report.Key
		urgent := report.Bad != sent.Bad || report.Draining != sent.Draining || report.Ejected != sent.Ejected
		switch {
		case urgent:
			out = append(out, report)
		case loadDue && report != sent && good < maxGoodReports:
			out = append(out, report)
			good++
			if good == maxGoodReports {
				s.nextGood = at + 1
			}
		}
	}
	return out
}

// Delta holds the answers that an origin has newly reported about one server.
type Delta struct {
	Origin    lagoonstile.InstanceID
	Key       Key
	Good, Bad uint64
}

// Peer is the state of one other instance.
type Peer struct {
	Digest Digest
	// LastHeard is when the last digest arrived.
	LastHeard time.Time
	// hasFull is set once a full digest has arrived. From then on, a server
	// without a report is known to have counts of zero.
	hasFull bool
	// Reports holds the last report on each server.
	Reports map[Key]Report
}

// View merges the digests of all peers. The zero value is empty and ready to use.
type View struct {
	peers map[lagoonstile.InstanceID]*Peer
}

// Merge applies a digest and returns the evidence that it adds. A full digest
// adds none. It only sets the counts from which later digests are measured,
// because it is unknown how much of its counts is old. Digests that arrive before
// the first full one add none either.
func (v *View) Merge(now time.Time, digest Digest) []Delta {
	if v.peers == nil {
		v.peers = make(map[lagoonstile.InstanceID]*Peer)
	}
	peer := v.peers[digest.Origin]
	if peer == nil || peer.Digest.Incarnation != digest.Incarnation || digest.Full {
		peer = &Peer{Reports: make(map[Key]Report)}
		v.peers[digest.Origin] = peer
	}
	peer.hasFull = peer.hasFull || digest.Full
	var deltas []Delta
	for _, report := range digest.Reports {
		delta, ok := peer.replaceReport(report, digest.Full)
		if ok {
			delta.Origin = digest.Origin
			deltas = append(deltas, delta)
		}
	}
	peer.Digest = digest
	peer.LastHeard = now
	return deltas
}

// replaceReport stores a report and returns what it adds to the previous report
// on the same server. The result is false if it adds nothing or if there is no
// valid previous state to compare it with.
func (p *Peer) replaceReport(report Report, full bool) (Delta, bool) {
	previous := p.Reports[report.Key]
	p.Reports[report.Key] = report
	if full || !p.hasFull || report.Good < previous.Good || report.Bad < previous.Bad {
		return Delta{}, false
	}
	delta := Delta{Key: report.Key, Good: report.Good - previous.Good, Bad: report.Bad - previous.Bad}
	return delta, delta.Good+delta.Bad > 0
}

// AlivePeers returns the peers that are alive, sorted by id.
func (v *View) AlivePeers(now time.Time) []*Peer {
	var alive []*Peer
	for _, id := range slices.Sorted(maps.Keys(v.peers)) {
		if peer := v.peers[id]; now.Sub(peer.LastHeard) <= PeerTimeout {
			alive = append(alive, peer)
		}
	}
	return alive
}

// IsAlive reports whether the last digest of a peer is not older than
// PeerTimeout.
func (v *View) IsAlive(now time.Time, id lagoonstile.InstanceID) bool {
	peer := v.peers[id]
	return peer != nil && now.Sub(peer.LastHeard) <= PeerTimeout
}

// Version returns the configuration version that a peer last reported, or 0.
func (v *View) Version(id lagoonstile.InstanceID) lagoonstile.Version {
	if peer := v.peers[id]; peer != nil {
		return peer.Digest.Version
	}
	return 0
}

// PeerFlags reports whether any live peer considers a server draining or has
// ejected it.
type PeerFlags struct {
	Draining, Ejected bool
}

// Flags combines the reports of the live peers on each server.
func (v *View) Flags(now time.Time) map[Key]PeerFlags {
	out := make(map[Key]PeerFlags)
	for _, peer := range v.AlivePeers(now) {
		for key, report := range peer.Reports {
			flags := out[key]
			flags.Draining = flags.Draining || report.Draining
			flags.Ejected = flags.Ejected || report.Ejected
			out[key] = flags
		}
	}
	return out
}
