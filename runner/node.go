package runner

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"lagoonstile"
	"lagoonstile/allocator"
	"lagoonstile/listener"
	"lagoonstile/messenger"
	"lagoonstile/quarantiner"
	"lagoonstile/recorder"
	"lagoonstile/relayer"
	"lagoonstile/retrier"
	"lagoonstile/router"
	"lagoonstile/steerer"
)

// NodeSettings are what a node is told when it starts.
type NodeSettings struct {
	Instance      lagoonstile.InstanceID
	FailureDomain lagoonstile.FailureDomain
	// Callers and Peers are the IP:port for clients (TCP) and peers (UDP).
	Callers, Peers string
	Limits         listener.Limits
	Headers        relayer.Headers
	// Share is this instance's part of the retry budget of each service.
	Share retrier.FleetBudget
	Rules steerer.FaultModel
}

// Timing of a node.
const (
	// nodeTick is how often waiting requests are looked at.
	nodeTick = 20 * time.Millisecond
	// peerTimeout is how long a silent peer is taken to be there.
	peerTimeout = 5 * messenger.HeartbeatInterval
	// fleetMemory is how long a silent peer counts for the size of the fleet:
	// its repeats of that time still count.
	fleetMemory = 10 * time.Second
	// crashesAreProof is how many servers a request must crash before it is run no
	// more.
	crashesAreProof = 3
)

// Node is one instance of a fleet whose servers and members register themselves.
// Whoever embeds it tells it the plan, the servers and the members as they
// change; all else is the node's own.
type Node struct {
	settings    NodeSettings
	log         *slog.Logger
	incarnation lagoonstile.Incarnation

	table     atomic.Pointer[router.PlanTable]
	allocator *allocator.Allocator
	relayer   *relayer.Relayer
	recorder  *recorder.Recorder
	suspects  *nodeSuspects
	messenger *messenger.Messenger
	callers   *listener.Listener
	others    []*listener.Listener

	leaving atomic.Bool
	share   atomic.Pointer[retrier.FleetBudget]
	known   atomic.Pointer[messenger.Offsets]

	mu sync.Mutex
	// peers holds every announced member but this one.
	peers map[lagoonstile.InstanceID]*nodePeer

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// nodePeer is what a node knows of one other member.
type nodePeer struct {
	member lagoonstile.Member
	// announced and heard are when the member was last announced and heard of.
	announced, heard time.Time
	// live is what the log last said.
	live   bool
	digest messenger.Digest
}

// StartNode starts a node. Requests are refused until there is a plan.
func StartNode(settings NodeSettings, log *slog.Logger) (*Node, error) {
	n := &Node{
		settings:    settings,
		log:         log.With("instance", settings.Instance),
		incarnation: lagoonstile.Incarnation(uuid.NewString()[:8]),
		recorder:    recorder.New(),
		peers:       make(map[lagoonstile.InstanceID]*nodePeer),
	}
	n.known.Store(&messenger.Offsets{})
	n.SetShare(settings.Share)
	n.suspects = &nodeSuspects{node: n, keeper: quarantiner.Tracker{CrashThreshold: crashesAreProof}}
	n.allocator = allocator.New(settings.Rules, settings.FailureDomain, n.tellUrgent)
	n.allocator.OnChange = n.noteChange
	n.relayer = &relayer.Relayer{
		Headers:     settings.Headers,
		Table:       n.table.Load,
		Allocator:   n.allocator,
		Share:       func() retrier.FleetBudget { return *n.share.Load() },
		Instances:   n.fleetSize,
		Suspects:    n.suspects,
		Recorder:    n.recorder,
		Log:         n.log,
		SplitOffset: rand.Float64(),
	}
	var err error
	if n.messenger, err = messenger.Listen(settings.Peers, n, n.hear, n.log); err != nil {
		return nil, err
	}
	if n.callers, err = listener.Listen(settings.Callers, settings.Limits, n.relayer); err != nil {
		n.messenger.Close()
		return nil, fmt.Errorf("callers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.loop(func() { n.messenger.SendHeartbeats(ctx) })
	n.loop(func() { n.tick(ctx) })
	n.log.Info("started", "incarnation", n.incarnation, "callers", n.callers.Address(), "peers", n.messenger.Address())
	return n, nil
}

func (n *Node) loop(run func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		run()
	}()
}

func (n *Node) tick(ctx context.Context) {
	for sleep(ctx, nodeTick) {
		n.allocator.Tick()
		n.notePeers(time.Now())
	}
}

// notePeers logs peers that fell silent and finds this node's place among those
// that live.
func (n *Node) notePeers(now time.Time) {
	n.mu.Lock()
	fleet := steerer.Fleet{Size: 1}
	for id, peer := range n.peers {
		if peer.live && now.Sub(peer.heard) > peerTimeout {
			peer.live = false
			n.log.Warn("peer-lost", "peer", id, "silent-ms", now.Sub(peer.heard).Milliseconds())
		}
		if peer.live {
			fleet.Size++
			if id < n.settings.Instance {
				fleet.Index++
			}
		}
	}
	n.mu.Unlock()
	n.allocator.SetFleet(fleet)
}

// noteChange logs a change of mind about a server.
func (n *Node) noteChange(change steerer.BeliefChange) {
	event := "server-trusted"
	if change.Doubted {
		event = "server-doubted"
	}
	from := change.From
	if from == "" {
		from = n.settings.Instance
	}
	n.log.Info(event, "service", change.Service, "server", change.Server, "from", from,
		"failing", fmt.Sprintf("%.2f", change.FailureProbability), "good", change.Good, "bad", change.Bad)
}

// Serve opens a further listener, which ends with the node.
func (n *Node) Serve(address string, handler http.Handler) error {
	l, err := listener.Listen(address, n.settings.Limits, handler)
	if err != nil {
		return err
	}
	n.others = append(n.others, l)
	return nil
}

// SetPlan puts a plan in force. One that is invalid or not newer than the one
// in force is left, and the error says why.
func (n *Node) SetPlan(plan *lagoonstile.Plan) error {
	if err := plan.Validate(); err != nil {
		return err
	}
	past := n.table.Load()
	if past != nil && plan.Version <= past.Plan.Version {
		return fmt.Errorf("plan %d is not newer than %d", plan.Version, past.Plan.Version)
	}
	n.table.Store(router.NewPlanTable(plan))
	n.log.Info("plan-in-force", "version", plan.Version, "routes", len(plan.Routes), "services", len(plan.Pools))
	return nil
}

// SetBackends takes all servers that are registered.
func (n *Node) SetBackends(backends []lagoonstile.Backend) { n.allocator.SetBackends(backends) }

// SetShare replaces this instance's part of the retry budgets.
func (n *Node) SetShare(share retrier.FleetBudget) { n.share.Store(&share) }

// SetKnown says up to which offsets this node knows what the fleet follows.
func (n *Node) SetKnown(known messenger.Offsets) { n.known.Store(&known) }

// SetMembers takes all members that are announced.
func (n *Node) SetMembers(members []lagoonstile.Member) {
	now := time.Now()
	n.mu.Lock()
	next := make(map[lagoonstile.InstanceID]*nodePeer, len(members))
	var told []lagoonstile.Member
	for _, member := range members {
		if member.ID == n.settings.Instance {
			continue
		}
		peer := n.peers[member.ID]
		if peer == nil || peer.member.Incarnation != member.Incarnation {
			peer = &nodePeer{announced: now}
			n.log.Info("member-announced", "peer", member.ID, "incarnation", member.Incarnation, "address", member.PeerAddress)
		}
		peer.member = member
		next[member.ID] = peer
		told = append(told, member)
	}
	n.peers = next
	n.mu.Unlock()
	n.messenger.SetMembers(told)
}

// Self returns how this node announces itself.
func (n *Node) Self() lagoonstile.Member {
	return lagoonstile.Member{
		ID:            n.settings.Instance,
		Incarnation:   n.incarnation,
		CallerAddress: n.callers.Address(),
		PeerAddress:   n.messenger.Address(),
		FailureDomain: n.settings.FailureDomain,
		Leaving:       n.leaving.Load(),
	}
}

// Ready reports whether the node can serve clients and stays.
func (n *Node) Ready() bool { return n.table.Load() != nil && !n.leaving.Load() }

// Version returns the version in force, or 0.
func (n *Node) Version() lagoonstile.Version {
	if table := n.table.Load(); table != nil {
		return table.Plan.Version
	}
	return 0
}

// Addresses returns where clients of a failure domain should connect: the
// instances there that live and stay, or else all that do.
func (n *Node) Addresses(near lagoonstile.FailureDomain) []string {
	now := time.Now()
	var close, all []string
	add := func(address string, domain lagoonstile.FailureDomain) {
		all = append(all, address)
		if domain == near {
			close = append(close, address)
		}
	}
	if n.Ready() {
		add(n.callers.Address(), n.settings.FailureDomain)
	}
	for _, peer := range n.alive(now) {
		if !peer.digest.Leaving && peer.digest.Version > 0 {
			add(peer.member.CallerAddress, peer.member.FailureDomain)
		}
	}
	if len(close) > 0 {
		return close
	}
	return all
}

// alive returns the peers that were heard of lately.
func (n *Node) alive(now time.Time) []nodePeer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var alive []nodePeer
	for _, peer := range n.peers {
		if now.Sub(peer.heard) <= peerTimeout {
			alive = append(alive, *peer)
		}
	}
	return alive
}

// PeerKnown is how far a live peer is.
type PeerKnown struct {
	Instance lagoonstile.InstanceID
	Near     bool
	Known    messenger.Offsets
}

// PeersKnown returns how far the live peers are.
func (n *Node) PeersKnown() []PeerKnown {
	alive := n.alive(time.Now())
	out := make([]PeerKnown, 0, len(alive))
	for _, peer := range alive {
		out = append(out, PeerKnown{
			Instance: peer.member.ID,
			Near:     peer.member.FailureDomain == n.settings.FailureDomain,
			Known:    peer.digest.Offsets,
		})
	}
	return out
}

// ReadsStore reports whether this node should read the store itself: in each
// failure domain the first live instance by id does that can, and the others get
// what is new from it.
func (n *Node) ReadsStore() bool {
	for _, peer := range n.alive(time.Now()) {
		near := peer.member.FailureDomain == n.settings.FailureDomain
		if near && peer.member.ID < n.settings.Instance && peer.digest.Offsets.ReadsStore && !peer.digest.Leaving {
			return false
		}
	}
	return true
}

// fleetSize returns how many instances share the retry budgets.
func (n *Node) fleetSize() int {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	size := 1
	for _, peer := range n.peers {
		if now.Sub(peer.heard) <= fleetMemory || now.Sub(peer.announced) <= fleetMemory {
			size++
		}
	}
	return size
}

// hear takes in what a member says.
func (n *Node) hear(from lagoonstile.InstanceID, digest messenger.Digest) {
	n.mu.Lock()
	peer := n.peers[from]
	if peer == nil {
		n.mu.Unlock()
		return
	}
	if !peer.live {
		peer.live = true
		n.log.Info("peer-heard", "peer", from, "incarnation", digest.Incarnation)
	}
	peer.heard = time.Now()
	peer.digest = digest
	n.mu.Unlock()
	n.suspects.hear(from, digest)
	n.allocator.ReceiveReports(steerer.Peer{Instance: from, Incarnation: digest.Incarnation}, digest.Reports)
}

// tellUrgent tells peers of a failure at once.
func (n *Node) tellUrgent(_ lagoonstile.ServiceID, report steerer.Report) {
	n.messenger.Broadcast([]steerer.Report{report})
}

var _ messenger.Source = (*Node)(nil)

// LocalDigest returns the node's digest without reports.
func (n *Node) LocalDigest() messenger.Digest {
	return messenger.Digest{
		Incarnation: n.incarnation,
		Version:     n.Version(),
		Leaving:     n.leaving.Load(),
		Crashes:     n.suspects.tell(),
		Offsets:     *n.known.Load(),
	}
}

// Reports returns what peers should hear of servers.
func (n *Node) Reports(since time.Time) []steerer.Report { return n.allocator.Reports(since) }

// WriteMetrics writes the node's metrics as text.
func (n *Node) WriteMetrics(w http.ResponseWriter) {
	datagrams, bytes := n.messenger.Sent()
	n.recorder.Gauge("peers.datagrams", datagrams)
	n.recorder.Gauge("peers.sent-bytes", bytes)
	n.recorder.Gauge("peers.strangers", n.messenger.UnknownSenders())
	n.recorder.Gauge("peers.alive", int64(len(n.alive(time.Now()))))
	n.recorder.Gauge("plan.version", int64(n.Version()))
	n.recorder.Gauge("callers.connections", int64(n.callers.Connections()))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = n.recorder.WriteTo(w)
}

// Recorder returns the node's metrics for those who add their own.
func (n *Node) Recorder() *recorder.Recorder { return n.recorder }

// Timing of a node's graceful shutdown.
const (
	// keptAddresses is how long clients go on using an address that is no longer
	// named to them.
	keptAddresses = 3 * time.Second
)

// Hide takes the node out of what clients are told, here and at its peers.
func (n *Node) Hide() {
	if n.leaving.Swap(true) {
		return
	}
	n.log.Info("leaving", "busy", n.callers.Busy())
	n.messenger.Broadcast(nil)
}

// Drain leaves gracefully: clients first stop hearing of this node, then its
// connections end with their next answer, and it stops when none is left. The
// end of the context cuts it short.
func (n *Node) Drain(ctx context.Context) {
	n.Hide()
	sleep(ctx, keptAddresses)
	n.callers.Leave()
	for n.callers.Connections() > 0 && sleep(ctx, drainPoll) {
	}
	n.log.Info("left", "cut", n.callers.Busy())
	n.Stop()
}

// Stop ends the node at once.
func (n *Node) Stop() {
	n.cancel()
	n.callers.Close()
	for _, l := range n.others {
		l.Close()
	}
	n.messenger.Close()
	n.loops.Wait()
}
