package runner

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"lagoonstile"
	"lagoonstile/controller"
	"lagoonstile/dispatcher"
	"lagoonstile/gossiper"
	"lagoonstile/linker"
	"lagoonstile/quarantiner"
)

// Timing of the exchange with peers.
const (
	gossipInterval = 200 * time.Millisecond
	// offerAfter is how long a peer may be behind before it is sent the
	// configuration: with the log there it catches up by itself.
	offerAfter = time.Second
	// keysExpireAfter drops the keys of an incarnation that handed them over.
	keysExpireAfter = 3 * epochLength
)

// peers is one instance's side of the cell: it hears peers for the control
// goroutine and asks them for traffic goroutines.
type peers struct {
	instance *Instance
	linker   *linker.Linker
	senders  map[lagoonstile.InstanceID]*peerSender
}

// peerSender is what the gossip loop knows of one peer.
type peerSender struct {
	digests gossiper.Sender
	// connection is the one that digests were sent on.
	connection int
	// behind is since when the peer has had an older version; zero if not.
	behind time.Time
}

var _ linker.Handler = (*peers)(nil)

// Known lets an instance in that the list has at the address.
func (p *peers) Known(id lagoonstile.InstanceID, from netip.Addr) bool {
	known := false
	p.instance.control.ask(func(_ time.Time, state *controller.State) {
		for _, member := range state.Members() {
			listed, err := netip.ParseAddrPort(member.PeerAddress)
			if err == nil && member.ID == id && listed.Addr() == from {
				known = true
			}
		}
	})
	return known
}

// Digest takes in what a peer says.
func (p *peers) Digest(digest gossiper.Digest) {
	p.instance.suspects.hear(digest)
	p.instance.control.send(func(now time.Time, state *controller.State) { state.MergeDigest(now, digest) })
}

// Snapshot takes in a configuration that a peer offers.
func (p *peers) Snapshot(snapshot *lagoonstile.Snapshot) {
	p.instance.control.send(func(now time.Time, state *controller.State) { state.Adopt(now, snapshot) })
}

// Order runs an order that a peer passed on.
func (p *peers) Order(order *dispatcher.Order) dispatcher.Reply {
	table := p.instance.table.Load()
	if table == nil {
		return p.instance.dispatcher.Serve(context.Background(), order, nil)
	}
	return p.instance.dispatcher.Serve(context.Background(), order, table.Entry(order.Service))
}

// Page takes one page of the keys that a leaving peer hands over.
func (p *peers) Page(page *dispatcher.Page) error {
	return p.instance.dispatcher.Receive(time.Now(), *page)
}

// orders is the side that the dispatcher asks. It is a type of its own because
// a peer's order comes in and this instance's goes out under the same name.
type orders struct{ *peers }

var _ dispatcher.Peers = orders{}

// Order passes an order to the instance where its home is now.
func (o orders) Order(ctx context.Context, home lagoonstile.Home, order dispatcher.Order) (dispatcher.Reply, error) {
	owner, ok := o.owner(home)
	if !ok {
		return dispatcher.Reply{}, fmt.Errorf("home %s is not in the cell", home)
	}
	ret, err := o.linker.Call(ctx, owner, linker.Call{Order: &order})
	if err != nil {
		return dispatcher.Reply{}, err
	}
	if ret.Reply == nil {
		return dispatcher.Reply{}, fmt.Errorf("instance %s: %s", owner, ret.Refused)
	}
	return *ret.Reply, nil
}

// owner returns the instance to ask about a home.
func (o orders) owner(home lagoonstile.Home) (lagoonstile.InstanceID, bool) {
	if home.Instance == o.instance.self.Instance {
		successor := o.instance.dispatcher.Successor()
		if successor != "" {
			return successor, true
		}
	}
	owner, ok := o.instance.cell.Load().Owner(dispatcher.HomeID(home))
	return owner, ok && owner != o.instance.self.Instance
}

// HandOver gives a page of keys to the successor.
func (o orders) HandOver(ctx context.Context, to lagoonstile.InstanceID, page dispatcher.Page) error {
	ret, err := o.linker.Call(ctx, to, linker.Call{Page: &page})
	if err != nil {
		return err
	}
	if ret.Refused != "" {
		return fmt.Errorf("instance %s: %s", to, ret.Refused)
	}
	return nil
}

// gossip tells peers what is new for as long as the instance runs.
func (p *peers) gossip(ctx context.Context) {
	for sleep(ctx, gossipInterval) {
		p.gossipOnce()
		p.instance.dispatcher.RemoveExpired(time.Now(), keysExpireAfter)
	}
}

// outgoing is what one round of gossip says to one peer.
type outgoing struct {
	to       lagoonstile.InstanceID
	digest   *gossiper.Digest
	snapshot *lagoonstile.Snapshot
}

func (p *peers) gossipOnce() {
	connected := p.linker.Connected()
	var messages []outgoing
	var members []lagoonstile.Instance
	p.instance.control.ask(func(now time.Time, state *controller.State) {
		members = state.Members()
		whole := state.CompleteDigest(p.own(now))
		for id, connection := range connected {
			messages = append(messages, p.next(now, state, id, connection, whole))
		}
	})
	p.linker.SetPeers(members)
	for _, message := range messages {
		p.say(message)
	}
}

// own is the part of this instance's digest that the control goroutine does
// not know.
func (p *peers) own(now time.Time) gossiper.Digest {
	running, waiting := p.instance.gate.Load()
	digest := gossiper.Digest{
		Epoch:        p.instance.dispatcher.Home().Epoch,
		Load:         uint32(running + waiting),
		AdoptedHomes: p.instance.dispatcher.AdoptedHomes(),
	}
	digest.Quarantined, digest.Crashes = p.instance.suspects.tell(now)
	return digest
}

// next works out what to say to a peer.
func (p *peers) next(now time.Time, state *controller.State, id lagoonstile.InstanceID, connection int, whole gossiper.Digest) outgoing {
	sender := p.senders[id]
	if sender == nil || sender.connection != connection {
		sender = &peerSender{connection: connection}
		p.senders[id] = sender
	}
	message := outgoing{to: id}
	version := state.PeerVersion(id)
	if digest, due := sender.digests.Next(now, whole); due {
		message.digest = &digest
	}
	switch {
	case !state.PeerAlive(now, id) || version >= state.Version():
		sender.behind = time.Time{}
	case sender.behind.IsZero():
		sender.behind = now
	case now.Sub(sender.behind) >= offerAfter:
		sender.behind = now
		message.snapshot, _ = state.Snapshot()
	}
	return message
}

func (p *peers) say(message outgoing) {
	if message.digest != nil {
		p.linker.Send(message.to, linker.Message{Digest: message.digest})
	}
	if message.snapshot != nil {
		p.instance.log.Info("configuration-offered", "peer", message.to, "version", message.snapshot.Configuration.Version)
		p.linker.Send(message.to, linker.Message{Snapshot: message.snapshot})
	}
}

// successor chooses the instance that order keys go to: the least loaded one
// that is linked and stays.
func (p *peers) successor() lagoonstile.InstanceID {
	linked := p.linker.Connected()
	var best lagoonstile.InstanceID
	var load int
	for _, candidate := range p.instance.cell.Load().Candidates("") {
		id := candidate.Home.Instance
		if linked[id] > 0 && !candidate.Leaving && (best == "" || candidate.Load < load) {
			best, load = id, candidate.Load
		}
	}
	return best
}

// printsOf turns prints into what a digest carries.
func printsOf(prints []quarantiner.Fingerprint) []uint64 {
	out := make([]uint64, 0, len(prints))
	for _, print := range prints {
		out = append(out, uint64(print))
	}
	return out
}
