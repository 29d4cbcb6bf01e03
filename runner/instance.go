// Package runner assembles the other packages into a running instance of the
// fleet. An Instance gets its configuration, with the list of servers, from the
// platform's log. A Node serves a fleet whose servers and members register
// themselves, and the package that embeds it supplies the plan, the servers and
// the members. The commands, the tests and the demo all start instances through
// this package; several can run in one process.
package runner

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"lagoonstile"
	"lagoonstile/admitter"
	"lagoonstile/connector"
	"lagoonstile/controller"
	"lagoonstile/dispatcher"
	"lagoonstile/forwarder"
	"lagoonstile/linker"
	"lagoonstile/listener"
	"lagoonstile/loader"
	"lagoonstile/picker"
	"lagoonstile/rationer"
	"lagoonstile/recorder"
	"lagoonstile/router"
	"lagoonstile/scheduler"
	"lagoonstile/throttler"
)

// Settings of the key table.
const (
	// maxAnswerBytes limits the total size of the answers stored for replay.
	maxAnswerBytes = 16 << 20
	// epochDuration is how long new keys use the same epoch. A key is valid for
	// one to two epochs.
	epochDuration = 10 * time.Minute
)

// Instance is a running instance of the fleet. Create one with Start.
type Instance struct {
	settings loader.Settings
	log      *slog.Logger
	self     controller.Identity

	platformLog  lagoonstile.Log
	instanceList lagoonstile.InstanceList

	table     atomic.Pointer[router.Table]
	control   *control
	forwarder *forwarder.Forwarder
	recorder  *recorder.Recorder
	gate      *admitter.Gate

	allocation allocation
	// budget bounds the bytes that are held for callers.
	budget         *rationer.Budget
	callerListener *listener.Listener
	adminListener  *listener.Listener

	peerSnapshot atomic.Pointer[controller.PeerSnapshot]
	peers        *peerExchange
	dispatcher   *dispatcher.Dispatcher
	suspects     *instanceSuspects
	quotas       *quotas

	cancel context.CancelFunc
	loops  sync.WaitGroup
	// leaving is true from the start of a drain. Entry answers must then not name
	// this instance.
	leaving atomic.Bool

	drainOnce      sync.Once
	drainRequested chan struct{}
}

// Start starts an instance, which runs until Stop or Drain. It rejects requests
// with the kind "not-ready" until a configuration is in force.
func Start(settings loader.Settings, log *slog.Logger) (*Instance, error) {
	resources := Resources{MemoryBytes: settings.MemoryBytes, Descriptors: settings.Descriptors}
	i := &Instance{
		settings:     settings,
		log:          log.With("instance", settings.Instance),
		platformLog:  &connector.Log{Base: settings.LogURL, Client: connector.NewClient(), MaxResponseBytes: resources.ResponseBytes()},
		instanceList: &connector.InstanceList{Base: settings.InstancesURL, Client: connector.NewClient(), MaxResponseBytes: resources.ResponseBytes()},
		recorder:     recorder.New(),
		gate:         admitter.New(settings.MaxInFlight, scheduler.DefaultShares),

		drainRequested: make(chan struct{}),

		allocation: resources.allocate(),
	}
	i.budget = rationer.New(i.allocation.callerBudget - i.allocation.keyBudget(settings.MaxKeys))
	i.suspects = &instanceSuspects{instance: i}
	i.peers = &peerExchange{instance: i, states: make(map[lagoonstile.InstanceID]*peerState)}
	// The instance list does not tell whether the whole fleet starts.
	i.quotas = newQuotas(settings.Instance, settings.FailureDomain, false, func(to lagoonstile.InstanceID, message throttler.Message) {
		i.peers.linker.Send(to, linker.Message{Quotas: &message})
	})
	i.forwarder = &forwarder.Forwarder{
		Table:        i.table.Load,
		InstanceGate: i.gate,
		Picker:       &picker.TwoChoices{},
		Quotas:       i.quotas,
		Suspects:     i.suspects,
		Recorder:     i.recorder,
		Log:          i.log,

		ResponseLimits:     settings.ResponseLimits,
		MaxIdleConnections: forwarder.IdleConnections(i.allocation.idleBudget),
	}
	i.peerSnapshot.Store(&controller.PeerSnapshot{})
	if err := i.listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.startLoops(ctx)
	i.log.Info("started", "callers", i.CallerAddress(), "admin", i.AdminAddress())
	return i, nil
}

// listen sets this instance's identity, creates the control state and the
// dispatcher, and opens the listeners. The listener for callers is opened last,
// because a request may arrive as soon as it is open.
func (i *Instance) listen() error {
	i.self = controller.Identity{
		Instance:      i.settings.Instance,
		Incarnation:   lagoonstile.Incarnation(uuid.NewString()[:8]),
		FailureDomain: i.settings.FailureDomain,
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	i.control = newControl(controller.New(random))
	limits := i.allocation.keyLimits(i.settings.MaxKeys)
	i.dispatcher = dispatcher.New(time.Now(), i.self.Instance, i.self.Incarnation, limits, i.forwarder.Run, dispatcherPeers{i.peers})
	i.forwarder.Orders = i.dispatcher
	var err error
	if i.peers.linker, err = linker.Listen(i.settings.PeerAddress, i.self.Instance, i.self.Incarnation, i.peers, i.log); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	adminLimits := i.allocation.otherLimits(i.settings.Limits, RoleOperators, i.log)
	if i.adminListener, err = listener.Listen(i.settings.AdminAddress, adminLimits, i.adminHandler()); err != nil {
		i.peers.linker.Close()
		return fmt.Errorf("admin: %w", err)
	}
	callerLimits := i.allocation.callerLimits(i.settings.Limits, forwarder.RequestBytes, i.budget, i.log)
	if i.callerListener, err = listener.Listen(i.settings.CallerAddress, callerLimits, i.callerHandler()); err != nil {
		i.peers.linker.Close()
		i.adminListener.Close()
		return fmt.Errorf("callers: %w", err)
	}
	i.self.CallerAddress = i.callerListener.Address()
	i.self.PeerAddress = i.peers.linker.Address()
	i.control.state.SetIdentity(time.Now(), i.self)
	return nil
}

func (i *Instance) startLoops(ctx context.Context) {
	for _, loop := range []func(context.Context){i.runControl, i.readLog, i.readInstances, i.writeAudit, i.peers.gossip, i.quotas.run} {
		i.loops.Add(1)
		go func() {
			defer i.loops.Done()
			loop(ctx)
		}()
	}
}

// CallerAddress returns the IP:port that callers connect to.
func (i *Instance) CallerAddress() string { return i.callerListener.Address() }

// AdminAddress returns the IP:port that operators connect to.
func (i *Instance) AdminAddress() string { return i.adminListener.Address() }

// Identity returns the instance's identity.
func (i *Instance) Identity() controller.Identity { return i.self }

// Stop ends the instance immediately, without draining, as a crash would.
func (i *Instance) Stop() {
	i.cancel()
	i.callerListener.Close()
	i.peers.linker.Close()
	i.adminListener.Close()
	i.forwarder.Close()
	i.loops.Wait()
}

// sleep waits for d or until the context ends. It reports false if the context
// ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
