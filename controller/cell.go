package controller

import (
	"slices"
	"time"

	"lagoonstile"
	"lagoonstile/gossiper"
	"lagoonstile/locator"
)

// Cell is what is known of the other instances, as traffic goroutines see it.
// It is never modified.
type Cell struct {
	peers []cellPeer
	// owners maps an incarnation, as "instance.incarnation", to the instance
	// that has its order keys now.
	owners map[string]lagoonstile.InstanceID
	// SelfLeaving says that the instance list has this instance as leaving.
	SelfLeaving bool
}

type cellPeer struct {
	candidate locator.Candidate
	poor      []gossiper.Key
}

// Cell returns the live peers as of now.
func (s *State) Cell(now time.Time) *Cell {
	cell := &Cell{
		owners:      make(map[string]lagoonstile.InstanceID),
		SelfLeaving: s.members[s.self.Instance].State == lagoonstile.InstanceLeaving,
	}
	for _, peer := range s.view.Alive(now) {
		digest := peer.Digest
		home := lagoonstile.Home{Instance: digest.Origin, Incarnation: digest.Incarnation, Epoch: digest.Epoch}
		next := cellPeer{
			candidate: locator.Candidate{
				Home:          home,
				Address:       digest.CallerAddress,
				FailureDomain: digest.FailureDomain,
				Load:          int(digest.Load),
				Leaving:       digest.Leaving || s.members[digest.Origin].State == lagoonstile.InstanceLeaving,
			},
			poor: digest.Poor,
		}
		cell.peers = append(cell.peers, next)
		cell.owners[string(digest.Origin)+"."+string(digest.Incarnation)] = digest.Origin
	}
	s.addSuccessors(now, cell)
	return cell
}

// addSuccessors lets a successor go before the home itself: the home, if it is
// still there, only passes on what it gets.
func (s *State) addSuccessors(now time.Time, cell *Cell) {
	for _, peer := range s.view.Alive(now) {
		for _, home := range peer.Digest.Homes {
			cell.owners[home] = peer.Digest.Origin
		}
	}
}

// Owner returns the instance that has the order keys of an incarnation now.
func (c *Cell) Owner(homeID string) (lagoonstile.InstanceID, bool) {
	owner, ok := c.owners[homeID]
	return owner, ok
}

// Candidates returns the peers that an entry answer for the service may name.
func (c *Cell) Candidates(service lagoonstile.ServiceID) []locator.Candidate {
	out := make([]locator.Candidate, 0, len(c.peers)+1)
	key := gossiper.ServiceKey(service)
	for _, peer := range c.peers {
		candidate := peer.candidate
		candidate.Poor = slices.Contains(peer.poor, key)
		out = append(out, candidate)
	}
	return out
}
