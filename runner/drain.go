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
)

// Timing of a graceful shutdown.
const (
	// drainPoll is how often a draining instance looks whether it is idle.
	drainPoll = 20 * time.Millisecond
	// hearsay is how long peers may go on naming this instance in entry answers
	// after it said that it is leaving.
	hearsay = gossiper.LoadInterval
	// lingering is how long a sealed instance passes orders on to its
	// successor, until peers know that one.
	lingering = 2 * gossiper.LoadInterval
	// handOverLimit ends a handover to a successor that does not answer.
	handOverLimit = 10 * time.Second
)

// DrainRequested returns a channel that is closed when an operator asks this
// instance to leave.
func (i *Instance) DrainRequested() <-chan struct{} { return i.drainRequested }

func (i *Instance) requestDrain() {
	i.drainOnce.Do(func() { close(i.drainRequested) })
}

// Drain leaves gracefully. The end of the context cuts it short, and then the
// error says what was cut.
//
// The order of the steps matters. Callers first stop hearing of this instance,
// and then stop using it because what they heard has run out; only then are
// connections closed, so that none is closed under a caller who has just been
// sent here. The keys go last, when nothing can run any more.
func (i *Instance) Drain(ctx context.Context) error {
	i.log.Info("draining", "entry-validity", i.settings.EntryValidity)
	i.hide()
	sleep(ctx, hearsay+i.settings.EntryValidity)
	i.callers.Leave()
	i.awaitIdle(ctx)
	handOverErr := i.handOver(ctx)
	i.awaitIdle(ctx)
	busy := i.callers.Busy()
	i.writeAuditOnce(ctx)
	i.Stop()
	if busy > 0 {
		return fmt.Errorf("drain of %s: %d requests cut: %w", i.settings.Instance, busy, ctx.Err())
	}
	if handOverErr != nil {
		return fmt.Errorf("drain of %s: %w", i.settings.Instance, handOverErr)
	}
	i.log.Info("left")
	return nil
}

// hide takes this instance out of entry answers, its own and its peers'.
func (i *Instance) hide() {
	i.hidden.Store(true)
	i.control.send(func(now time.Time, state *controller.State) {
		state.SetLeaving()
		state.AuditQueue().Add(auditor.Event{At: now, Instance: i.self.Instance, Kind: auditor.KindDraining, Version: state.Version()})
	})
}

// awaitIdle waits until no caller is connected and no request in flight.
func (i *Instance) awaitIdle(ctx context.Context) {
	for i.callers.Connections() > 0 && sleep(ctx, drainPoll) {
	}
}

// handOver gives the order keys to a successor and stays until peers know.
func (i *Instance) handOver(ctx context.Context) error {
	i.dispatcher.Seal()
	limited, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	successor := i.peers.successor()
	err := i.dispatcher.HandOver(limited, successor)
	detail := "successor=" + string(successor)
	if err != nil {
		detail = err.Error()
	}
	i.log.Info("keys-handed-over", "successor", successor, "cause", err)
	i.control.send(func(now time.Time, state *controller.State) {
		state.AuditQueue().Add(auditor.Event{At: now, Instance: i.self.Instance, Kind: auditor.KindHandover, Version: state.Version(), Detail: detail})
	})
	if errors.Is(err, dispatcher.ErrNoSuccessor) {
		// The last instance of a cell leaves too; there is nothing to mend.
		return nil
	}
	if err == nil {
		sleep(ctx, lingering)
	}
	return err
}
