package runner

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"lagoonstile"
	"lagoonstile/controller"
	"lagoonstile/dispatcher"
	"lagoonstile/forwarder"
	"lagoonstile/gossiper"
	"lagoonstile/linker"
	"lagoonstile/quarantiner"
	"lagoonstile/rationer"
	"lagoonstile/throttler"
)

// Timing of the exchange with peers.
const (
	gossipInterval = 200 * time.Millisecond
	// snapshotOfferDelay is how long a peer must be behind before this instance
	// sends it the configuration. While the log is available, the peer catches up
	// by itself.
	snapshotOfferDelay = time.Second
	// adoptedKeysTTL is how long this instance keeps the keys that another
	// incarnation handed over to it. A key is valid for at most two epochs.
	adoptedKeysTTL = 3 * epochDuration
)

// peerExchange exchanges messages with peers: it passes the received messages to
// the control goroutine and the dispatcher, sends gossip, and forwards orders for
// the goroutines that serve requests.
type peerExchange struct {
	instance *Instance
	linker   *linker.Linker
	// states is used by gossipOnce only.
	states map[lagoonstile.InstanceID]*peerState
}

// peerState is the state that the gossip loop keeps for one peer.
type peerState struct {
	digests gossiper.Sender
	// connection is the number of the connection on which the digests were sent.
	connection int
	// behindSince is when the peer's configuration version was first seen to be
	// older than this instance's, or when the last offer was sent to the peer. It
	// is zero if the peer is up to date or not alive.
	behindSince time.Time
}

var _ linker.Handler = (*peerExchange)(nil)

// IsAllowed reports whether the instance list has the instance at the address.
func (p *peerExchange) IsAllowed(id lagoonstile.InstanceID, from netip.Addr) bool {
	allowed := false
	p.instance.control.sendAndWait(func(_ time.Time, state *controller.State) {
		for _, member := range state.Members() {
			listed, err := netip.ParseAddrPort(member.PeerAddress)
			if err == nil && member.ID == id && listed.Addr() == from {
				allowed = true
			}
		}
	})
	return allowed
}

// HandleDigest merges a peer's digest into the control state and the suspects.
func (p *peerExchange) HandleDigest(digest gossiper.Digest) {
	p.instance.suspects.receive(digest)
	p.instance.control.send(func(now time.Time, state *controller.State) { state.MergeDigest(now, digest) })
}

// HandleSnapshot passes a configuration that a peer offers to the control state.
func (p *peerExchange) HandleSnapshot(snapshot *lagoonstile.Snapshot) {
	p.instance.control.send(func(now time.Time, state *controller.State) { state.Adopt(now, snapshot) })
}

// HandleQuotas answers a peer's questions about quotas and applies its answers.
func (p *peerExchange) HandleQuotas(from lagoonstile.InstanceID, message throttler.Message) {
	p.instance.quotas.receive(from, message)
}

// HandleOrder runs an order that a peer forwarded and returns the reply to it.
func (p *peerExchange) HandleOrder(order *dispatcher.Order) dispatcher.Reply {
	table := p.instance.table.Load()
	if table == nil {
		return p.instance.dispatcher.Serve(context.Background(), order, nil)
	}
	return p.instance.dispatcher.Serve(context.Background(), order, table.Entry(order.Service))
}

// orderCopies is how many times a forwarded order is in memory at either instance: as
// the message and as the order, or as the order and in the queue of the connection.
const orderCopies = 2

// ReserveOrder takes the memory for an order that a peer will forward from the budget for
// callers.
func (p *peerExchange) ReserveOrder(bodyBytes int64) (release func(), ok bool) {
	share := p.instance.budget.NewShare(rationer.Request, func(rationer.Phase) {})
	share.Begin(rationer.Working)
	if !share.TryTake(orderCopies*bodyBytes + forwarder.RequestBytes) {
		share.Close()
		return nil, false
	}
	return share.Close, true
}

// HandlePage stores one page of the keys that a leaving peer hands over.
func (p *peerExchange) HandlePage(page *dispatcher.Page) error {
	return p.instance.dispatcher.Receive(time.Now(), *page)
}

// dispatcherPeers sends the dispatcher's messages to peers. It is a separate type
// to keep outgoing messages apart from the incoming ones, which peerExchange
// handles.
type dispatcherPeers struct{ *peerExchange }

var _ dispatcher.Peers = dispatcherPeers{}

// ForwardOrder forwards an order to the instance that now holds the keys of its
// home.
func (p dispatcherPeers) ForwardOrder(ctx context.Context, home lagoonstile.Home, order dispatcher.Order) (dispatcher.Reply, error) {
	owner, ok := p.owner(home)
	if !ok {
		return dispatcher.Reply{}, fmt.Errorf("no live instance holds the keys of home %s", home)
	}
	share := rationer.FromContext(ctx)
	copies := orderCopies * int64(len(order.Body))
	if !share.Take(ctx, copies) {
		return dispatcher.Reply{}, fmt.Errorf("no memory to forward an order of %d bytes to instance %s", len(order.Body), owner)
	}
	defer share.Return(copies)
	response, err := p.linker.CallOrder(ctx, owner, &order)
	if err != nil {
		return dispatcher.Reply{}, err
	}
	if response.Reply == nil {
		return dispatcher.Reply{}, fmt.Errorf("instance %s: %s", owner, response.RefusalReason)
	}
	return *response.Reply, nil
}

// owner returns the peer that now holds the keys of a home. It reports false if
// there is none.
func (p dispatcherPeers) owner(home lagoonstile.Home) (lagoonstile.InstanceID, bool) {
	if home.Instance == p.instance.self.Instance {
		successor := p.instance.dispatcher.Successor()
		if successor != "" {
			return successor, true
		}
	}
	owner, ok := p.instance.peerSnapshot.Load().Owner(dispatcher.HomeID(home))
	return owner, ok && owner != p.instance.self.Instance
}

// HandOver sends a page of keys to the successor.
func (p dispatcherPeers) HandOver(ctx context.Context, to lagoonstile.InstanceID, page dispatcher.Page) error {
	response, err := p.linker.Call(ctx, to, linker.Call{Page: &page})
	if err != nil {
		return err
	}
	if response.RefusalReason != "" {
		return fmt.Errorf("instance %s: %s", to, response.RefusalReason)
	}
	return nil
}

// gossip periodically sends digests and configurations to peers and removes
// expired keys, until the context ends.
func (p *peerExchange) gossip(ctx context.Context) {
	for sleep(ctx, gossipInterval) {
		p.gossipOnce()
		p.instance.dispatcher.RemoveExpired(time.Now(), adoptedKeysTTL)
	}
}

// outgoingMessage holds what one round of gossip sends to one peer. The digest
// and the snapshot are nil if they are not due.
type outgoingMessage struct {
	to       lagoonstile.InstanceID
	digest   *gossiper.Digest
	snapshot *lagoonstile.Snapshot
}

// gossipOnce sends each connected peer the messages that are due.
func (p *peerExchange) gossipOnce() {
	connected := p.linker.ConnectionNumbers()
	var messages []outgoingMessage
	var members []lagoonstile.Instance
	p.instance.control.sendAndWait(func(now time.Time, state *controller.State) {
		members = state.Members()
		digest := state.CompleteDigest(p.localDigest(now))
		for id, connection := range connected {
			messages = append(messages, p.nextMessage(now, state, id, connection, digest))
		}
	})
	p.linker.SetPeers(members)
	for _, message := range messages {
		p.sendMessage(message)
	}
}

// membersOf returns the instances of the instance list as members.
func membersOf(list []lagoonstile.Instance) []lagoonstile.Member {
	members := make([]lagoonstile.Member, 0, len(list))
	for _, instance := range list {
		members = append(members, lagoonstile.Member{ID: instance.ID, FailureDomain: instance.FailureDomain, PeerAddress: instance.PeerAddress})
	}
	return members
}

// localDigest returns the part of this instance's digest that is not in the
// control state.
func (p *peerExchange) localDigest(now time.Time) gossiper.Digest {
	running, waiting := p.instance.gate.Load()
	digest := gossiper.Digest{
		Epoch:        p.instance.dispatcher.Home().Epoch,
		Load:         uint32(running + waiting),
		AdoptedHomes: p.instance.dispatcher.AdoptedHomes(),
	}
	digest.Quarantined, digest.Crashes = p.instance.suspects.report(now)
	return digest
}

// nextMessage returns what is due to be sent to a peer. The argument complete is
// this instance's complete digest. On a new connection, the state kept for the peer
// is reset.
func (p *peerExchange) nextMessage(now time.Time, state *controller.State, id lagoonstile.InstanceID, connection int, complete gossiper.Digest) outgoingMessage {
	peer := p.states[id]
	if peer == nil || peer.connection != connection {
		peer = &peerState{connection: connection}
		p.states[id] = peer
	}
	message := outgoingMessage{to: id}
	version := state.PeerVersion(id)
	if digest, due := peer.digests.Next(now, complete); due {
		message.digest = &digest
	}
	switch {
	case !state.PeerAlive(now, id) || version >= state.Version():
		peer.behindSince = time.Time{}
	case peer.behindSince.IsZero():
		peer.behindSince = now
	case now.Sub(peer.behindSince) >= snapshotOfferDelay:
		peer.behindSince = now
		message.snapshot, _ = state.Snapshot()
	}
	return message
}

func (p *peerExchange) sendMessage(message outgoingMessage) {
	if message.digest != nil {
		p.linker.Send(message.to, linker.Message{Digest: message.digest})
	}
	if message.snapshot != nil {
		p.instance.log.Info("configuration-offered", "peer", message.to, "version", message.snapshot.Configuration.Version)
		p.linker.Send(message.to, linker.Message{Snapshot: message.snapshot})
	}
}

// successor returns the instance to hand the order keys over to: the least loaded
// connected peer that is not leaving. It returns "" if there is none.
func (p *peerExchange) successor() lagoonstile.InstanceID {
	connected := p.linker.ConnectionNumbers()
	var best lagoonstile.InstanceID
	var load int
	for _, candidate := range p.instance.peerSnapshot.Load().Candidates("") {
		id := candidate.Home.Instance
		if connected[id] > 0 && !candidate.Leaving && (best == "" || candidate.Load < load) {
			best, load = id, candidate.Load
		}
	}
	return best
}

// fingerprintValues converts fingerprints to the form that digests use.
func fingerprintValues(fingerprints []quarantiner.Fingerprint) []uint64 {
	out := make([]uint64, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		out = append(out, uint64(fingerprint))
	}
	return out
}
