package runner

import (
	"math/rand/v2"
	"time"

	"lagoonstile"
	"lagoonstile/messenger"
)

// Sizes of rosters. Both are constant, so that the messages of one instance do not
// grow with the fleet.
const (
	// rosterFanout is the number of members that each roster is sent to.
	rosterFanout = 4
	// maxRosterEntries bounds the size of a roster to that of an Ethernet frame.
	maxRosterEntries = 100
)

// cells returns the number of cells of the fleet.
func (n *Node) cells() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition.Cells()
}

// Roster returns the live members of this node's failure domain, itself included,
// and some members of the same failure domain to tell them. With a single cell
// every member hears from every other one, and both are empty.
func (n *Node) Roster() ([]messenger.RosterEntry, []lagoonstile.InstanceID) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partition.Cells() == 1 {
		return nil, nil
	}
	var neighbors []*nodePeer
	for _, peer := range n.peers {
		if peer.member.FailureDomain == n.settings.FailureDomain {
			neighbors = append(neighbors, peer)
		}
	}
	rand.Shuffle(len(neighbors), func(a, b int) { neighbors[a], neighbors[b] = neighbors[b], neighbors[a] })
	roster := []messenger.RosterEntry{{Run: messenger.RunOf(n.Self()), Ready: n.Ready()}}
	var receivers []lagoonstile.InstanceID
	for _, peer := range neighbors {
		if len(receivers) < rosterFanout {
			receivers = append(receivers, peer.member.ID)
		}
		if age := now.Sub(peer.lastHeard); age <= rosterTimeout && len(roster) < maxRosterEntries {
			units := uint8((age + messenger.RosterAgeUnit - 1) / messenger.RosterAgeUnit)
			roster = append(roster, messenger.RosterEntry{Run: messenger.RunOf(peer.member), Age: units, Ready: peer.ready})
		}
	}
	return roster, receivers
}

// mergeRoster applies the entries that are newer than what this node knows. Their
// ages are rounded up, so that an entry that goes round does not become newer. The
// caller must hold n.mu.
func (n *Node) mergeRoster(now time.Time, roster []messenger.RosterEntry) {
	for _, entry := range roster {
		peer := n.runs[entry.Run]
		heard := now.Add(-time.Duration(entry.Age) * messenger.RosterAgeUnit)
		if peer == nil || peer.inCell || !heard.After(peer.lastHeard) {
			continue
		}
		peer.lastHeard = heard
		peer.ready = entry.Ready
		peer.live = true
	}
}
