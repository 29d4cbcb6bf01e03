package controller

import (
	"slices"
	"time"

	"lagoonstile"
	"lagoonstile/gossiper"
	"lagoonstile/locator"
)

// PeerSnapshot is a snapshot of the live peers. It is never modified, so traffic
// goroutines can read it.
type PeerSnapshot struct {
	peers []snapshotPeer
	// owners maps an incarnation, written as "instance.incarnation", to the
	// instance that currently holds its table of idempotency keys.
	owners map[string]lagoonstile.InstanceID
	// SelfLeaving reports whether the instance list marks this instance as
	// leaving.
	SelfLeaving bool
}

// snapshotPeer is one live peer.
type snapshotPeer struct {
	candidate locator.Candidate
	// degraded lists the services of which the peer uses fewer than half of the
	// servers.
	degraded []gossiper.Key
}

// PeerSnapshot returns a snapshot of the peers that are alive at the given time.
func (s *State) PeerSnapshot(now time.Time) *PeerSnapshot {
	snapshot := &PeerSnapshot{
		owners:      make(map[string]lagoonstile.InstanceID),
		SelfLeaving: s.members[s.self.Instance].State == lagoonstile.InstanceLeaving,
	}
	for _, peer := range s.view.AlivePeers(now) {
		digest := peer.Digest
		home := lagoonstile.Home{Instance: digest.Origin, Incarnation: digest.Incarnation, Epoch: digest.Epoch}
		next := snapshotPeer{
			candidate: locator.Candidate{
				Home:          home,
				Address:       digest.CallerAddress,
				FailureDomain: digest.FailureDomain,
				Load:          int(digest.Load),
				Leaving:       digest.Leaving || s.members[digest.Origin].State == lagoonstile.InstanceLeaving,
			},
			degraded: digest.Degraded,
		}
		snapshot.peers = append(snapshot.peers, next)
		snapshot.owners[string(digest.Origin)+"."+string(digest.Incarnation)] = digest.Origin
	}
	s.addSuccessors(now, snapshot)
	return snapshot
}

// addSuccessors makes each successor the owner of the homes that it has taken
// over, even if the previous owner is still alive, because that instance would
// only forward the requests.
func (s *State) addSuccessors(now time.Time, snapshot *PeerSnapshot) {
	for _, peer := range s.view.AlivePeers(now) {
		for _, home := range peer.Digest.AdoptedHomes {
			snapshot.owners[home] = peer.Digest.Origin
		}
	}
}

// Owner returns the instance that currently holds the table of idempotency keys
// of the incarnation homeID, written as "instance.incarnation". The result is
// false if no live peer holds it.
func (s *PeerSnapshot) Owner(homeID string) (lagoonstile.InstanceID, bool) {
	owner, ok := s.owners[homeID]
	return owner, ok
}

// Candidates returns the live peers as candidates for the addresses that a client
// of the service is told to connect to. Peers that are leaving or that use fewer
// than half of the service's servers are included and marked as such.
func (s *PeerSnapshot) Candidates(service lagoonstile.ServiceID) []locator.Candidate {
	out := make([]locator.Candidate, 0, len(s.peers)+1)
	key := gossiper.ServiceKey(service)
	for _, peer := range s.peers {
		candidate := peer.candidate
		candidate.Degraded = slices.Contains(peer.degraded, key)
		out = append(out, candidate)
	}
	return out
}
