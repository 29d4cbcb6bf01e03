package runner

import (
	"time"

	"lagoonstile/messenger"
)

// peerNews tells those who follow the peers' positions when to look at them again.
// The caller must hold the node's mutex, except for the channel.
type peerNews struct {
	// changed is closed and replaced when the positions have changed.
	changed chan struct{}
	// read holds the ends of what any peer of the cell has read.
	read messenger.Offsets
}

// announce wakes those who follow the peers.
func (p *peerNews) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// receive compares a digest of a peer of the cell with the one before it. Most say
// nothing new: followers pass the end of what the readers read on in their own digests,
// so only a later end than any before it is news.
func (p *peerNews) receive(before, digest *messenger.Digest) {
	read := messenger.Offsets{
		Plans:   max(p.read.Plans, digest.Read.Plans),
		Entries: max(p.read.Entries, digest.Read.Entries),
		Members: max(p.read.Members, digest.Read.Members),
	}
	changed := before.Offsets != digest.Offsets || before.Version != digest.Version || before.Leaving != digest.Leaving
	if !changed && read == p.read {
		return
	}
	p.read = read
	p.announce()
}

// PeerNews returns a channel that is closed once the positions of the live peers may
// differ from what they are now.
func (n *Node) PeerNews() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.news.changed
}

// eachLive calls visit for each peer that is live, as far as this node knows. These
// are the ones of its cell and of its failure domain. The peer must not be kept.
func (n *Node) eachLive(now time.Time, visit func(peer *nodePeer)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, peer := range n.peers {
		if now.Sub(peer.lastHeard) <= peer.timeout() {
			visit(peer)
		}
	}
}
