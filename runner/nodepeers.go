package runner

import (
	"slices"
	"time"

	"lagoonstile"
	"lagoonstile/messenger"
	"lagoonstile/partitioner"
	"lagoonstile/steerer"
	"lagoonstile/throttler"
)

// What a node knows of the other members, and what follows from it.

// nodePeer is the state that a node keeps for one other member.
type nodePeer struct {
	member lagoonstile.Member
	// inCell is true if the member is in this node's cell.
	inCell bool
	// announcedAt is when this incarnation was first announced, and lastHeard the
	// time of its last sign of life.
	announcedAt, lastHeard time.Time
	// live is true from the first sign of life until the peer has been silent for
	// its timeout. Each change is logged for peers of this node's cell.
	live bool
	// ready is true if the peer takes new clients.
	ready bool
	// digest is the last digest received from the peer itself.
	digest messenger.Digest
}

// timeout returns how long the peer counts as live after its last sign of life.
func (p *nodePeer) timeout() time.Duration {
	if p.inCell {
		return peerTimeout
	}
	return rosterTimeout
}

// updateFleetPosition logs the peers that have become silent and passes this node's
// position among the live members of its cell to the allocator.
func (n *Node) updateFleetPosition(now time.Time) {
	n.mu.Lock()
	own := n.seats.of(n.settings.Instance)
	before, total := 0, own
	for id, peer := range n.peers {
		if peer.live && now.Sub(peer.lastHeard) > peer.timeout() {
			peer.live = false
			n.news.announce()
			n.log.Warn("peer-lost", "peer", id, "silent-ms", now.Sub(peer.lastHeard).Milliseconds())
		}
		if peer.live && peer.inCell {
			seats := n.seats.of(id)
			total += seats
			if id < n.settings.Instance {
				before += seats
			}
		}
	}
	n.mu.Unlock()
	n.allocator.SetFleetPosition(turnPosition(before, own, total))
}

// SetMembers replaces the list of announced members. It may include this node.
func (n *Node) SetMembers(members []lagoonstile.Member) {
	now := time.Now()
	n.mu.Lock()
	next := make(map[lagoonstile.InstanceID]*nodePeer, len(members))
	n.runs = make(map[messenger.Run]*nodePeer, len(members))
	var others []lagoonstile.Member
	for _, member := range members {
		if member.ID == n.settings.Instance {
			continue
		}
		peer := n.peers[member.ID]
		if peer == nil || peer.member.Incarnation != member.Incarnation {
			peer = &nodePeer{announcedAt: now}
			n.log.Info("member-announced", "peer", member.ID, "incarnation", member.Incarnation, "address", member.PeerAddress)
		}
		peer.member = member
		next[member.ID] = peer
		n.runs[messenger.RunOf(member)] = peer
		others = append(others, member)
	}
	n.peers = next
	n.seats = newSeats(members)
	n.partition = partitioner.Divide(append(others[:len(others):len(others)], n.Self()))
	cell := n.cell()
	for id, peer := range n.peers {
		peer.inCell = n.partition.CellOf(id) == cell
	}
	n.news.announce()
	n.allocator.SetBackends(n.partition.Backends(cell, n.backends))
	partition := n.partition
	n.mu.Unlock()
	// A member that is answered must be in the throttler's list already.
	n.quotas.setMembers(members)
	n.messenger.SetMembers(others, func(id lagoonstile.InstanceID) bool { return partition.CellOf(id) == cell })
}

// cell returns this node's cell. The caller must hold n.mu.
func (n *Node) cell() partitioner.Cell { return n.partition.CellOf(n.settings.Instance) }

// PeerOffsets holds a live peer's positions in the topics that all instances follow.
type PeerOffsets struct {
	Instance lagoonstile.InstanceID
	// SameDomain is true if the peer is in this node's failure domain.
	SameDomain bool
	// Changed holds the ends of the last changes, and Read the ends of what the peer
	// has read.
	Changed, Read messenger.Offsets
	// Version is that of the plan that the peer has in force, or 0.
	Version lagoonstile.Version
}

// PeerOffsets returns the positions of each live peer of this node's cell.
func (n *Node) PeerOffsets() []PeerOffsets {
	var out []PeerOffsets
	n.eachLive(time.Now(), func(peer *nodePeer) {
		if !peer.inCell {
			return
		}
		out = append(out, PeerOffsets{
			Instance:   peer.member.ID,
			SameDomain: peer.member.FailureDomain == n.settings.FailureDomain,
			Changed:    peer.digest.Offsets,
			Read:       peer.digest.Read,
			Version:    peer.digest.Version,
		})
	})
	return out
}

// ShouldReadStore reports whether this node should read the store itself. In each
// cell, the storeReaders instances with the lowest ids among those that are live and
// able to read the store do so. The others get the updates from them.
func (n *Node) ShouldReadStore() bool {
	before := 0
	n.eachLive(time.Now(), func(peer *nodePeer) {
		if peer.inCell && peer.member.ID < n.settings.Instance && peer.digest.Offsets.ReadsStore && !peer.digest.Leaving {
			before++
		}
	})
	return before < storeReaders
}

// ReadFrom returns the instances that this node should ask for the topics in place of
// the store, in the order in which to try them. There are none if the node is in the
// cell that reads the store.
func (n *Node) ReadFrom() []lagoonstile.InstanceID {
	n.mu.Lock()
	defer n.mu.Unlock()
	parent, ok := n.cell().Parent()
	if !ok {
		return nil
	}
	var ids []lagoonstile.InstanceID
	rank := 0
	for id, peer := range n.peers {
		if n.partition.CellOf(id) == parent {
			ids = append(ids, id)
		}
		if peer.inCell && id < n.settings.Instance && peer.live {
			rank++
		}
	}
	slices.Sort(ids)
	if len(ids) > storeReaders && rank%storeReaders == 1 {
		// The two readers of a cell ask different instances, so that one of them
		// notices if the other's source falls silent.
		ids[0], ids[1] = ids[1], ids[0]
	}
	return ids
}

// ExpectsReaders reports whether enough other instances of this node's cell are
// announced that read the store once they have started.
func (n *Node) ExpectsReaders() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := 0
	for id, peer := range n.peers {
		if peer.inCell && id < n.settings.Instance {
			before++
		}
	}
	return before >= storeReaders
}

// fleetSize returns the number of instances that share the retry budgets. A member
// that this node hears of neither directly nor from rosters is included.
func (n *Node) fleetSize() int {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	size := 1
	for _, peer := range n.peers {
		heardOf := peer.inCell || peer.member.FailureDomain == n.settings.FailureDomain
		if !heardOf || now.Sub(peer.lastHeard) <= fleetSizeTimeout || now.Sub(peer.announcedAt) <= fleetSizeTimeout {
			size++
		}
	}
	return size
}

var _ messenger.Receiver = (*Node)(nil)

// ReceiveDigest applies a digest from a member. Digests from unknown members are
// ignored.
func (n *Node) ReceiveDigest(from lagoonstile.InstanceID, digest messenger.Digest) {
	n.mu.Lock()
	peer := n.peers[from]
	if peer == nil {
		n.mu.Unlock()
		return
	}
	now := time.Now()
	if !peer.live {
		peer.live = true
		n.log.Info("peer-heard", "peer", from, "incarnation", digest.Incarnation)
	}
	peer.lastHeard = now
	peer.ready = digest.Version > 0 && !digest.Leaving
	if peer.inCell {
		n.news.receive(&peer.digest, &digest)
	}
	peer.digest = digest
	n.mergeRoster(now, digest.Roster)
	n.mu.Unlock()
	n.suspects.receive(from, digest)
	n.allocator.ReceiveReports(steerer.Peer{Instance: from, Incarnation: digest.Incarnation}, digest.Reports)
}

// ReceiveQuotaMessage applies a member's message about quotas.
func (n *Node) ReceiveQuotaMessage(from lagoonstile.InstanceID, message throttler.Message) {
	n.quotas.receive(from, message)
}
