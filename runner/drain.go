package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lagoonstile/auditor"
	"lagoonstile/controller"
	"lagoonstile/dispatcher"
	"lagoonstile/gossiper"
	"lagoonstile/listener"
)

// Timing of a graceful shutdown.
const (
	// drainPollInterval is how often a draining instance checks whether it is
	// idle.
	drainPollInterval = 20 * time.Millisecond
	// leavingPropagationTime is how long peers may still name this instance in
	// entry answers after it has started to report that it is leaving.
	leavingPropagationTime = gossiper.LoadInterval
	// successorPropagationTime is how long a sealed instance forwards orders to its
	// successor, until all peers know the successor.
	successorPropagationTime = 2 * gossiper.LoadInterval
	// handoverTimeout limits a handover to a successor that does not respond.
	handoverTimeout = 10 * time.Second
)

// DrainRequested returns a channel that is closed when an operator requests this
// instance to drain.
func (i *Instance) DrainRequested() <-chan struct{} { return i.drainRequested }

func (i *Instance) requestDrain() {
	i.drainOnce.Do(func() { close(i.drainRequested) })
}

// Drain shuts the instance down gracefully. If the context ends first, the
// remaining requests are aborted and the error says how many.
//
// The order of the steps matters. First, entry answers no longer name this
// instance. When the entry answers that callers already have are no longer valid,
// no caller opens connections to it any more, and the existing connections are
// closed. Closing them earlier would affect callers that have only just been
// directed here. From then on, only requests that will end before the deadline of the
// context are taken. The keys are handed over last, when no order can run any more.
func (i *Instance) Drain(ctx context.Context) error {
	i.log.Info("draining", "entry-validity", i.settings.EntryValidity)
	i.markLeaving()
	sleep(ctx, leavingPropagationTime+i.settings.EntryValidity)
	if end, ok := ctx.Deadline(); ok {
		i.forwarder.StartDrain(end)
	}
	i.callerListener.StartDrain()
	i.awaitIdle(ctx)
	handoverErr := i.handOver(ctx)
	i.awaitIdle(ctx)
	// A request may still arrive on an open connection.
	i.forwarder.StartDrain(time.Now())
	awaitEnds(ctx, i.callerListener, i.adminListener)
	busy := i.callerListener.BusyConnections()
	i.writeAuditOnce(ctx)
	i.Stop()
	if busy > 0 {
		return fmt.Errorf("drain of %s: %d requests aborted: %w", i.settings.Instance, busy, ctx.Err())
	}
	if handoverErr != nil {
		return fmt.Errorf("drain of %s: %w", i.settings.Instance, handoverErr)
	}
	i.log.Info("left")
	return nil
}

// markLeaving removes this instance from its own entry answers and, through the
// digest, from those of its peers.
func (i *Instance) markLeaving() {
	i.leaving.Store(true)
	i.control.send(func(now time.Time, state *controller.State) {
		state.SetLeaving()
		state.AuditQueue().Add(auditor.Event{At: now, Instance: i.self.Instance, Kind: auditor.KindDraining, Version: state.Version()})
	})
}

// awaitIdle waits until no caller is connected, and so no request is in flight,
// or until the context ends.
func (i *Instance) awaitIdle(ctx context.Context) {
	awaitNone(ctx, i.callerListener.Connections)
}

// awaitNone waits until a count is 0 or the context ends.
func awaitNone(ctx context.Context, count func() int) {
	for count() > 0 && sleep(ctx, drainPollInterval) {
	}
}

// awaitEnds makes listeners refuse new connections and ends those that are idle. It waits
// until no request of the callers is in flight, and until the clients of all listeners
// have closed the connections that have ended, or until the context ends.
func awaitEnds(ctx context.Context, callers *listener.Listener, others ...*listener.Listener) {
	callers.StopAccepting()
	for _, l := range others {
		l.StopAccepting()
		l.StartDrain()
	}
	awaitNone(ctx, func() int {
		open := callers.BusyConnections() + callers.EndingConnections()
		for _, l := range others {
			open += l.EndingConnections()
		}
		return open
	})
}

// handOver sends the order keys to a successor and then waits until peers know
// the successor.
func (i *Instance) handOver(ctx context.Context) error {
	i.dispatcher.Seal()
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	successor := i.peers.successor()
	err := i.dispatcher.HandOver(handoverCtx, successor)
	detail := "successor=" + string(successor)
	if err != nil {
		detail = err.Error()
	}
	i.log.Info("keys-handed-over", "successor", successor, "cause", err)
	i.control.send(func(now time.Time, state *controller.State) {
		state.AuditQueue().Add(auditor.Event{At: now, Instance: i.self.Instance, Kind: auditor.KindHandover, Version: state.Version(), Detail: detail})
	})
	if errors.Is(err, dispatcher.ErrNoSuccessor) {
		// The last instance of a fleet has no successor, which is not an error.
		return nil
	}
	if err == nil {
		sleep(ctx, successorPropagationTime)
	}
	return err
}
