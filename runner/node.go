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
	"lagoonstile/exchanger"
	"lagoonstile/listener"
	"lagoonstile/messenger"
	"lagoonstile/partitioner"
	"lagoonstile/quarantiner"
	"lagoonstile/rationer"
	"lagoonstile/recorder"
	"lagoonstile/relayer"
	"lagoonstile/retrier"
	"lagoonstile/router"
	"lagoonstile/sampler"
	"lagoonstile/steerer"
	"lagoonstile/throttler"
)

// NodeSettings are the settings of a node.
type NodeSettings struct {
	Instance      lagoonstile.InstanceID
	FailureDomain lagoonstile.FailureDomain
	// Capacity is announced to the other members. It is zero if it is unknown.
	Capacity lagoonstile.Capacity
	// CallerAddress and PeerAddress are the IP:port addresses to listen on for
	// clients (TCP) and for peers (UDP).
	CallerAddress, PeerAddress string
	Limits                     listener.Limits
	Headers                    relayer.Headers
	// Responses limits the responses of servers. The zero value means the defaults.
	Responses exchanger.Limits
	// RetryBudget is the fleet-wide retry budget of each service. The node uses its
	// share of it.
	RetryBudget retrier.FleetBudget
	FaultModel  steerer.FaultModel
	// FleetStart is true when the whole fleet starts for the first time.
	FleetStart bool
	// Resources bound what the node holds for its clients and servers.
	Resources Resources
}

// Timing of a node.
const (
	// nodeTickInterval is the interval at which the allocator reconsiders waiting
	// requests and the node checks which peers are live.
	nodeTickInterval = 20 * time.Millisecond
	// peerTimeout is how long a peer of this node's cell counts as live after its last
	// digest, and rosterTimeout how long another member does after its last sign of
	// life, which rosters pass on in several steps.
	peerTimeout   = 5 * messenger.HeartbeatInterval
	rosterTimeout = 4 * time.Second
	// storeReaders is the number of instances of a cell that read the store
	// themselves. Two notice when one of them is cut off.
	storeReaders = 2
	// fleetSizeTimeout is how long after its announcement or its last digest a peer
	// is included in the fleet size by which the retry budget is divided. It is
	// longer than peerTimeout because the retries that a silent peer made within
	// this time still count.
	fleetSizeTimeout = 10 * time.Second
	// nodeCrashThreshold is the length of the row of server crashes after which a
	// request is quarantined.
	nodeCrashThreshold = 3
)

// Node is an instance of a fleet whose servers and members register themselves.
// The package that embeds it sets the plan, the servers and the members whenever
// they change. Create one with StartNode.
type Node struct {
	settings    NodeSettings
	log         *slog.Logger
	incarnation lagoonstile.Incarnation

	table      atomic.Pointer[router.PlanTable]
	allocator  *allocator.Allocator
	relayer    *relayer.Relayer
	recorder   *recorder.Recorder
	suspects   *nodeSuspects
	quotas     *quotas
	messenger  *messenger.Messenger
	allocation allocation
	// budget bounds the bytes that are held for callers. Other listeners have budgets of
	// their own.
	budget         *rationer.Budget
	callerListener *listener.Listener
	extraListeners []*listener.Listener

	leaving     atomic.Bool
	retryBudget atomic.Pointer[retrier.FleetBudget]
	offsets     atomic.Pointer[nodeOffsets]

	mu sync.Mutex
	// peers holds every announced member except this one, and runs the same by the
	// run that rosters name.
	peers map[lagoonstile.InstanceID]*nodePeer
	runs  map[messenger.Run]*nodePeer
	// partition holds the cells of the announced members.
	partition *partitioner.Partition
	// backends holds the registered servers of all cells.
	backends []lagoonstile.Backend
	news     peerNews
	seats    seats

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// nodeOffsets are a node's positions in the topics that all instances follow: the
// ends of the last changes, and the ends of what was read.
type nodeOffsets struct{ changed, read messenger.Offsets }

// StartNode starts a node. The node rejects requests until it has a plan.
func StartNode(settings NodeSettings, log *slog.Logger) (*Node, error) {
	n := &Node{
		settings:    settings,
		log:         log.With("instance", settings.Instance),
		incarnation: lagoonstile.Incarnation(uuid.NewString()[:8]),
		recorder:    recorder.New(),
		peers:       make(map[lagoonstile.InstanceID]*nodePeer),
		partition:   &partitioner.Partition{},
		allocation:  settings.Resources.allocate(),
		news:        peerNews{changed: make(chan struct{})},
	}
	n.budget = rationer.New(n.allocation.callerBudget)
	n.offsets.Store(&nodeOffsets{})
	n.SetRetryBudget(settings.RetryBudget)
	n.suspects = &nodeSuspects{node: n, tracker: quarantiner.Tracker{CrashThreshold: nodeCrashThreshold}}
	n.quotas = newQuotas(settings.Instance, settings.FailureDomain, settings.FleetStart, func(to lagoonstile.InstanceID, message throttler.Message) {
		n.messenger.SendQuotaMessage(to, message)
	})
	n.allocator = allocator.New(settings.FaultModel, settings.FailureDomain, n.broadcastUrgent)
	n.allocator.OnChange = n.logBeliefChange
	n.relayer = &relayer.Relayer{
		Headers:     settings.Headers,
		PlanTable:   n.table.Load,
		Allocator:   n.allocator,
		RetryBudget: func() retrier.FleetBudget { return *n.retryBudget.Load() },
		Instances:   n.fleetSize,
		Quotas:      n.quotas,
		Suspects:    n.suspects,
		Recorder:    n.recorder,
		Log:         n.log,
		SplitOffset: rand.Float64(),

		ResponseLimits: settings.Responses,
	}
	var err error
	if n.messenger, err = messenger.Listen(settings.PeerAddress, n, n, n.log); err != nil {
		return nil, err
	}
	if n.callerListener, err = listener.Listen(settings.CallerAddress, n.allocation.callerLimits(settings.Limits, exchanger.ExchangeBytes, n.budget, n.log), n.relayer); err != nil {
		n.messenger.Close()
		return nil, fmt.Errorf("callers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.startLoop(func() { n.messenger.SendHeartbeats(ctx) })
	n.startLoop(func() { n.tick(ctx) })
	n.log.Info("started", "incarnation", n.incarnation, "callers", n.callerListener.Address(), "peers", n.messenger.Address())
	return n, nil
}

// startLoop runs a loop on a goroutine that Stop waits for.
func (n *Node) startLoop(run func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		run()
	}()
}

// tick runs the periodic work until the context ends.
func (n *Node) tick(ctx context.Context) {
	for sleep(ctx, nodeTickInterval) {
		n.allocator.Tick()
		n.quotas.tick()
		n.updateFleetPosition(time.Now())
	}
}

// logBeliefChange logs that a server is doubted or trusted again.
func (n *Node) logBeliefChange(change steerer.BeliefChange) {
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

// AddListener opens an additional listener, which is closed when the node stops. The role
// decides how much memory its clients may use, which no other listener uses.
func (n *Node) AddListener(address string, role ListenerRole, handler http.Handler) error {
	l, err := listener.Listen(address, n.allocation.otherLimits(n.settings.Limits, role, n.log), handler)
	if err != nil {
		return err
	}
	n.extraListeners = append(n.extraListeners, l)
	return nil
}

// SetPlan puts a plan in force. It returns an error and changes nothing if the plan
// is invalid or not newer than the one in force.
func (n *Node) SetPlan(plan *lagoonstile.Plan) error {
	if err := plan.Validate(); err != nil {
		return err
	}
	current := n.table.Load()
	if current != nil && plan.Version <= current.Plan.Version {
		return fmt.Errorf("plan %d is not newer than plan %d, which is in force", plan.Version, current.Plan.Version)
	}
	n.quotas.setAccounts(plan.Accounts)
	n.callerListener.SetRequestLimits(plan.Limits.HeaderBytes, plan.Limits.BodyBytes, plan.Limits.HeaderTimeout)
	n.table.Store(router.NewPlanTable(plan))
	n.log.Info("plan-in-force", "version", plan.Version, "routes", len(plan.Routes), "services", len(plan.Pools))
	return nil
}

// SetBackends replaces the list of registered servers. The node uses those of its
// cell.
func (n *Node) SetBackends(backends []lagoonstile.Backend) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.backends = backends
	n.allocator.SetBackends(n.partition.Backends(n.cell(), backends))
}

// SetRetryBudget replaces the fleet-wide retry budget of each service.
func (n *Node) SetRetryBudget(budget retrier.FleetBudget) { n.retryBudget.Store(&budget) }

// SetOffsets sets this node's positions in the topics that all instances follow: the
// ends of the last changes, and the ends of what was read.
func (n *Node) SetOffsets(changed, read messenger.Offsets) {
	n.offsets.Store(&nodeOffsets{changed: changed, read: read})
}

// Self returns the member entry with which this node is announced.
func (n *Node) Self() lagoonstile.Member {
	return lagoonstile.Member{
		ID:            n.settings.Instance,
		Incarnation:   n.incarnation,
		CallerAddress: n.callerListener.Address(),
		PeerAddress:   n.messenger.Address(),
		FailureDomain: n.settings.FailureDomain,
		Leaving:       n.leaving.Load(),
		Capacity:      n.settings.Capacity,
	}
}

// Ready reports whether the node has a plan and is not leaving.
func (n *Node) Ready() bool { return n.table.Load() != nil && !n.leaving.Load() }

// Version returns the version of the plan in force, or 0 if there is none.
func (n *Node) Version() lagoonstile.Version {
	if table := n.table.Load(); table != nil {
		return table.Plan.Version
	}
	return 0
}

// Addresses returns at most the given number of addresses that a client in a failure
// domain should connect to: those of ready instances in that failure domain or, if
// there are none, of ready instances in all. Which ones a client gets depends on what
// the instances can carry (package sampler), and stays the same.
func (n *Node) Addresses(callerDomain lagoonstile.FailureDomain, client string, most int) []string {
	var sameDomain, all []sampler.Candidate
	add := func(member *lagoonstile.Member) {
		candidate := candidateOf(member)
		all = append(all, candidate)
		if member.FailureDomain == callerDomain {
			sameDomain = append(sameDomain, candidate)
		}
	}
	if n.Ready() {
		self := n.Self()
		add(&self)
	}
	n.eachLive(time.Now(), func(peer *nodePeer) {
		if peer.ready {
			add(&peer.member)
		}
	})
	if len(sameDomain) > 0 {
		return sampler.Sample(sameDomain, client, most)
	}
	return sampler.Sample(all, client, most)
}

// broadcastUrgent sends a report to the cell immediately, without waiting for the next
// heartbeat.
func (n *Node) broadcastUrgent(_ lagoonstile.ServiceID, report steerer.Report) {
	n.messenger.Broadcast([]steerer.Report{report})
}

var _ messenger.Source = (*Node)(nil)

// LocalDigest returns the node's digest without reports.
func (n *Node) LocalDigest() messenger.Digest {
	offsets := n.offsets.Load()
	digest := messenger.Digest{
		Incarnation: n.incarnation,
		Version:     n.Version(),
		Leaving:     n.leaving.Load(),
		Offsets:     offsets.changed,
		Read:        offsets.read,
	}
	n.suspects.addTo(&digest)
	return digest
}

// Reports returns the reports on servers that changed after the given time.
func (n *Node) Reports(since time.Time) []steerer.Report { return n.allocator.Reports(since) }

// WriteMetrics writes the node's metrics as text.
func (n *Node) WriteMetrics(w http.ResponseWriter) {
	datagrams, bytes := n.messenger.Sent()
	n.recorder.SetGauge("peers.datagrams", datagrams)
	n.recorder.SetGauge("peers.sent-bytes", bytes)
	n.recorder.SetGauge("peers.strangers", n.messenger.UnknownSenders())
	alive := int64(0)
	n.eachLive(time.Now(), func(*nodePeer) { alive++ })
	n.recorder.SetGauge("peers.alive", alive)
	n.recorder.SetGauge("turns.seats", int64(n.ownSeats()))
	n.recorder.SetGauge("cells", int64(n.cells()))
	n.recorder.SetGauge("plan.version", int64(n.Version()))
	n.quotas.writeMetrics(n.recorder)
	n.recorder.SetGauge("callers.connections", int64(n.callerListener.Connections()))
	n.recorder.SetGauge("callers.ending", int64(n.callerListener.EndingConnections()))
	n.recorder.SetGauge("callers.shed", n.callerListener.Shed())
	setBudgetGauges(n.recorder, n.budget)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = n.recorder.WriteTo(w)
}

// Recorder returns the node's metrics, so that the embedding package can add its
// own.
func (n *Node) Recorder() *recorder.Recorder { return n.recorder }

// Timing of a node's graceful shutdown.
const (
	// clientAddressTTL is how long clients may continue to use an address after
	// instances have stopped giving it to them.
	clientAddressTTL = 3 * time.Second
)

// MarkLeaving makes this node and, through the digest, its peers stop giving the
// node's address to clients.
func (n *Node) MarkLeaving() {
	if n.leaving.Swap(true) {
		return
	}
	n.log.Info("leaving", "busy", n.callerListener.BusyConnections())
	n.messenger.BroadcastToAll()
}

// Drain shuts the node down gracefully. Clients first stop receiving the node's
// address. After clientAddressTTL, idle connections are closed, and busy ones after
// their response, and only requests that will end before the deadline of the context
// are taken. When half of the time that is then left has passed, no more requests are
// sent to servers. When no connection is in use, the node takes no request at all. It stops
// when the clients have closed all connections, since they may not have read the last
// responses before, or when the context ends.
func (n *Node) Drain(ctx context.Context) {
	n.MarkLeaving()
	sleep(ctx, clientAddressTTL)
	if end, ok := ctx.Deadline(); ok {
		n.relayer.StartDrain(end)
		defer time.AfterFunc(time.Until(end)/2, n.allocator.Close).Stop()
	}
	n.callerListener.StartDrain()
	awaitNone(ctx, n.callerListener.Connections)
	// A request may still arrive on an open connection.
	n.relayer.StartDrain(time.Now())
	awaitEnds(ctx, n.callerListener, n.extraListeners...)
	n.log.Info("left", "cut", n.callerListener.BusyConnections(), "ending", n.callerListener.EndingConnections())
	n.Stop()
}

// Stop ends the node immediately, without draining.
func (n *Node) Stop() {
	n.cancel()
	n.callerListener.Close()
	for _, l := range n.extraListeners {
		l.Close()
	}
	n.messenger.Close()
	n.loops.Wait()
}
